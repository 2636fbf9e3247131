//! Retries: only where safe, within the budget, with jittered backoff.

use mallowpath::{FailedTry, NoRetry, RetryBudget, RetrySettings, TryOutcome};
use rand::{Rng, SeedableRng, rngs::StdRng};

const FAILED: FailedTry = FailedTry {
    outcome: TryOutcome::NotRun,
    repeatable: false,
    tries: 1,
    deadline_ms: 60_000,
};

#[test]
fn only_a_try_that_may_run_again_is_repeated() {
    let cases = [
        (TryOutcome::NotRun, false, None),
        (TryOutcome::NotRun, true, None),
        (TryOutcome::Unknown, true, None),
        (TryOutcome::Unknown, false, Some(NoRetry::MayHaveRun)),
        (TryOutcome::Ran, true, Some(NoRetry::Ran)),
        (TryOutcome::Ran, false, Some(NoRetry::Ran)),
    ];
    for (outcome, repeatable, refused) in cases {
        let mut budget = RetryBudget::new(RetrySettings::default());
        let failed = FailedTry {
            outcome,
            repeatable,
            ..FAILED
        };
        assert_eq!(budget.may_retry(&failed, 0, 0).err(), refused, "{failed:?}");
        let late = FailedTry {
            deadline_ms: 40,
            ..failed
        };
        let refused = refused.or(Some(NoRetry::Deadline));
        assert_eq!(
            budget.may_retry(&late, 39, u64::MAX).err(),
            refused,
            "{late:?}"
        );
        let last = FailedTry { tries: 3, ..failed };
        assert!(budget.may_retry(&last, 0, 0).is_err(), "{last:?}");
    }
}

#[test]
fn backoff_is_spread_over_a_doubling_range() {
    let settings = RetrySettings {
        tries_max: 100,
        burst: 100_000,
        ..RetrySettings::default()
    };
    let mut budget = RetryBudget::new(settings);
    let mut rng = StdRng::seed_from_u64(5);
    for (tries, max_ms) in [(1, 50), (2, 100), (4, 400), (90, 2_000)] {
        let failed = FailedTry { tries, ..FAILED };
        let mut sum_ms = 0;
        for _ in 0..4_000 {
            let backoff_ms = budget.may_retry(&failed, 0, rng.random()).expect("a retry");
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

/// Sends `count` requests that fail with probability `failing`; returns tries for each request.
fn amplification(settings: RetrySettings, count: u32, failing: f64) -> f64 {
    let mut rng = StdRng::seed_from_u64(9);
    let mut budget = RetryBudget::new(settings);
    let mut tries_total = 0;
    for _ in 0..count {
        for tries in 1.. {
            tries_total += 1;
            if !rng.random_bool(failing) {
                budget.success();
                break;
            }
            if budget
                .may_retry(&FailedTry { tries, ..FAILED }, 0, rng.random())
                .is_err()
            {
                break;
            }
        }
    }
    f64::from(tries_total) / f64::from(count)
}

#[test]
fn a_failing_backend_is_not_amplified() {
    for failing in [0.01, 0.1, 0.5, 0.9, 1.0] {
        let settings = RetrySettings::default();
        let bound = 1.0 + settings.ratio + f64::from(settings.burst) / 10_000.0;
        let ours = amplification(settings, 10_000, failing);
        let unlimited = RetrySettings {
            ratio: 1.0,
            burst: 1_000_000,
            ..RetrySettings::default()
        };
        let plain = amplification(unlimited, 10_000, failing);
        println!("{failing} failing: {ours} tries a request, {plain} without a budget");
        assert!(ours <= bound, "{ours} tries a request at {failing} failing");
        assert!(
            failing < 1.0 || (ours < 1.002 && plain > 2.9),
            "{ours} {plain}"
        );
    }
}
