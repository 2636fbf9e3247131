//! Tests of retries: only where safe, within the budget, with jittered backoff.

use mallowpath::{AttemptOutcome, FailedAttempt, RetryBudget, RetryDenied, RetrySettings};
use rand::{Rng, SeedableRng, rngs::StdRng};

const FAILED: FailedAttempt = FailedAttempt {
    outcome: AttemptOutcome::NotRun,
    repeatable: false,
    attempts: 1,
    deadline_ms: 60_000,
};

#[test]
fn only_a_request_that_may_run_again_is_retried() {
    let cases = [
        (AttemptOutcome::NotRun, false, None),
        (AttemptOutcome::NotRun, true, None),
        (AttemptOutcome::Unknown, true, None),
        (
            AttemptOutcome::Unknown,
            false,
            Some(RetryDenied::MayHaveRun),
        ),
        (AttemptOutcome::Ran, true, Some(RetryDenied::Ran)),
        (AttemptOutcome::Ran, false, Some(RetryDenied::Ran)),
    ];
    for (outcome, repeatable, refused) in cases {
        let mut budget = RetryBudget::new(RetrySettings::default());
        let failed = FailedAttempt {
            outcome,
            repeatable,
            ..FAILED
        };
        assert_eq!(
            budget.charge_retry(&failed, 0, 0).err(),
            refused,
            "{failed:?}"
        );
        let late = FailedAttempt {
            deadline_ms: 40,
            ..failed
        };
        let refused = refused.or(Some(RetryDenied::Deadline));
        assert_eq!(
            budget.charge_retry(&late, 39, u64::MAX).err(),
            refused,
            "{late:?}"
        );
        let last = FailedAttempt {
            attempts: 3,
            ..failed
        };
        assert!(budget.charge_retry(&last, 0, 0).is_err(), "{last:?}");
    }
}

#[test]
fn backoff_is_jittered_within_a_doubling_range() {
    let settings = RetrySettings {
        max_attempts: 100,
        burst: 100_000,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    let mut rng = StdRng::seed_from_u64(5);
    for (attempts, max_ms) in [(1, 50), (2, 100), (4, 400), (90, 2_000)] {
        let failed = FailedAttempt { attempts, ..FAILED };
        let mut sum_ms = 0;
        for _ in 0..4_000 {
            let backoff_ms = budget
                .charge_retry(&failed, 0, rng.random())
                .expect("a retry");
            assert!(backoff_ms <= max_ms);
            sum_ms += backoff_ms;
        }
        let mean_ms = sum_ms as f64 / 4_000.0;
        assert!(
            (mean_ms / max_ms as f64 - 0.5).abs() < 0.05,
            "{mean_ms} of {max_ms}"
        );
    }
}

/// Simulates `count` requests whose attempts fail with `failure_probability`.
///
/// Returns the mean number of attempts per request.
fn attempts_per_request(settings: RetrySettings, count: u32, failure_probability: f64) -> f64 {
    let mut rng = StdRng::seed_from_u64(9);
    let mut budget = RetryBudget::new(settings);
    let mut attempts_total = 0;
    for _ in 0..count {
        for attempts in 1.. {
            attempts_total += 1;
            if !rng.random_bool(failure_probability) {
                budget.record_success();
                break;
            }
            if budget
                .charge_retry(&FailedAttempt { attempts, ..FAILED }, 0, rng.random())
                .is_err()
            {
                break;
            }
        }
    }
    f64::from(attempts_total) / f64::from(count)
}

#[test]
fn the_retry_budget_bounds_the_load_on_a_failing_backend_server() {
    for failure_probability in [0.01, 0.1, 0.5, 0.9, 1.0] {
        let settings = RetrySettings::default();
        let bound = 1.0 + settings.ratio + f64::from(settings.burst) / 10_000.0;
        let with_budget = attempts_per_request(settings, 10_000, failure_probability);
        let unlimited = RetrySettings {
            ratio: 1.0,
            burst: 1_000_000,
            ..RetrySettings::default()
        };
        let without_budget = attempts_per_request(unlimited, 10_000, failure_probability);
        println!(
            "failure probability {failure_probability}: {with_budget} attempts per request, \
             {without_budget} without a budget"
        );
        assert!(
            with_budget <= bound,
            "{with_budget} attempts per request at failure probability {failure_probability}"
        );
        assert!(
            failure_probability < 1.0 || (with_budget < 1.002 && without_budget > 2.9),
            "{with_budget} {without_budget}"
        );
    }
}
