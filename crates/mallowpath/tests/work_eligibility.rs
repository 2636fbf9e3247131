//! Whether a sidecar accepts new work when routers are behind and answers are late or lost.

use mallowpath::{
    ConfigHeartbeat, ConfirmationPolicy, HostState, NoWorkReason, Version, WorkEligibility,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, prop_assert, proptest},
    test_runner::RngSeed,
};

const UNCONFIRMED_AFTER_MS: u64 = 400;
const ROUTERS: usize = 3;

/// The version that a router has read from the log, and the time of that read.
#[derive(Clone, Copy, Default)]
struct RouterView {
    version: u64,
    confirmed_at_ms: Option<u64>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Guards against a sidecar that still accepts work more than `UNCONFIRMED_AFTER_MS` after its
    /// backend server was marked as leaving, as delayed and reordered answers could cause.
    ///
    /// Steps: 0 publishes a version, 1 lets a router read the log, 2 queries a router, 3 delivers an
    /// answer in any order. The backend server is leaving from version 5 on.
    #[test]
    fn no_work_is_accepted_once_the_leaving_state_is_older_than_the_limit(
        steps in vec((0..4_u8, 0..ROUTERS, 0..100_u64), 0..150),
    ) {
        const LEAVING_FROM_VERSION: usize = 5;
        let mut published_at_ms = Vec::new();
        let mut routers = [RouterView::default(); ROUTERS];
        let mut pending = Vec::new();
        let mut eligibility = WorkEligibility::default();
        let mut now_ms = 1_000;
        for (step, router, random) in steps {
            now_ms += random;
            match step {
                0 => published_at_ms.push(now_ms),
                1 => routers[router] = RouterView {
                    version: u64::try_from(published_at_ms.len()).expect("small"),
                    confirmed_at_ms: Some(now_ms),
                },
                2 => pending.push((now_ms, now_ms, routers[router])),
                _ if !pending.is_empty() => {
                    let index = usize::try_from(random).expect("small") % pending.len();
                    let (asked_at_ms, answered_at_ms, view) = pending.remove(index);
                    let age_ms = view.confirmed_at_ms.map(|at_ms| answered_at_ms - at_ms);
                    let answer = ConfigHeartbeat { next: 0, confirmed_age_ms: age_ms };
                    let is_leaving = view.version >= u64::try_from(LEAVING_FROM_VERSION).expect("small");
                    let state = if is_leaving { "leaving" } else { "active" };
                    let previous_version = eligibility.version();
                    eligibility.record_router_answer(Version(view.version), state, answer, asked_at_ms);
                    prop_assert!(eligibility.version() >= previous_version);
                }
                _ => {}
            }
            let accepts_work = eligibility.refusal(ConfirmationPolicy::Any, UNCONFIRMED_AFTER_MS, now_ms).is_none();
            if let Some(leaving_since_ms) = published_at_ms.get(LEAVING_FROM_VERSION - 1) {
                prop_assert!(!accepts_work || now_ms <= leaving_since_ms + UNCONFIRMED_AFTER_MS);
            }
        }
    }
}

fn confirmed(age_ms: u64) -> ConfigHeartbeat {
    ConfigHeartbeat {
        next: 0,
        confirmed_age_ms: Some(age_ms),
    }
}

#[test]
fn policies_any_and_all_require_one_or_both_sources() {
    let mut eligibility = WorkEligibility::default();
    let refusals = |eligibility: &WorkEligibility, now_ms| {
        [ConfirmationPolicy::Any, ConfirmationPolicy::All]
            .map(|policy| eligibility.refusal(policy, UNCONFIRMED_AFTER_MS, now_ms))
    };
    let unconfirmed = Some(NoWorkReason::Unconfirmed);
    assert_eq!(refusals(&eligibility, 0), [unconfirmed, unconfirmed]);
    eligibility.record_router_answer(Version(1), "active", confirmed(100), 1_000);
    assert_eq!(refusals(&eligibility, 1_300), [None, unconfirmed]);
    assert_eq!(refusals(&eligibility, 1_301), [unconfirmed, unconfirmed]);
    eligibility.record_host_list(Some(HostState::Live), 1_200);
    assert_eq!(refusals(&eligibility, 1_300), [None, None]);
    assert_eq!(refusals(&eligibility, 1_600), [None, unconfirmed]);
    assert_eq!(refusals(&eligibility, 1_601), [unconfirmed, unconfirmed]);
}

#[test]
fn policy_once_keeps_the_last_known_state_after_one_confirmation() {
    let mut eligibility = WorkEligibility::default();
    let refusal = |eligibility: &WorkEligibility| {
        eligibility.refusal(ConfirmationPolicy::Once, UNCONFIRMED_AFTER_MS, 1_000_000)
    };
    assert_eq!(refusal(&eligibility), Some(NoWorkReason::Unconfirmed));
    eligibility.record_router_answer(Version(1), "active", confirmed(100), 1_000);
    assert_eq!(refusal(&eligibility), None);
    eligibility.record_router_answer(Version(2), "leaving", confirmed(100), 2_000);
    assert_eq!(refusal(&eligibility), Some(NoWorkReason::Configuration));
}

#[test]
fn a_host_that_disappears_from_the_host_list_counts_as_leaving() {
    let mut eligibility = WorkEligibility::default();
    assert!(!eligibility.record_host_list(None, 0));
    assert!(eligibility.is_never_confirmed());
    assert!(eligibility.record_host_list(Some(HostState::Live), 10));
    assert_eq!(
        eligibility.refusal(ConfirmationPolicy::Any, UNCONFIRMED_AFTER_MS, 20),
        None
    );
    assert!(eligibility.record_host_list(None, 30));
    let refusal = eligibility.refusal(ConfirmationPolicy::Any, UNCONFIRMED_AFTER_MS, 40);
    assert_eq!(refusal, Some(NoWorkReason::HostList));
}

#[test]
fn an_answer_for_an_older_version_is_ignored() {
    let mut eligibility = WorkEligibility::default();
    eligibility.record_router_answer(Version(2), "leaving", confirmed(0), 100);
    assert!(!eligibility.record_router_answer(Version(1), "active", confirmed(0), 200));
    assert_eq!(eligibility.backend_state(), "leaving");
    assert_eq!(eligibility.config_age_ms(200), Some(100));
    assert!(eligibility.record_router_answer(Version(3), "active", confirmed(0), 300));
    assert_eq!(
        eligibility.refusal(ConfirmationPolicy::Any, UNCONFIRMED_AFTER_MS, 300),
        None
    );
}
