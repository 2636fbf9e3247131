//! Limits on requests that backend servers state.

use mallowpath::BackendId;
use mallowpath_gateway::{RateSharers, StatedRateLimit};
use proptest::{prelude::*, test_runner::RngSeed};
use std::sync::Arc;

/// The window in which the requests of all routers are counted.
const WINDOW_MS: u64 = 4_000;

/// Returns the times at which routers that always have requests send them to a backend server that
/// states `rate_per_s` from the beginning.
fn sent_at_ms(router_count: usize, rate_per_s: f64, for_ms: u64) -> Vec<u64> {
    let backend: BackendId = "b0".parse().unwrap();
    let mut routers: Vec<Arc<str>> = Vec::new();
    for index in 0..router_count {
        routers.push(format!("router-{index}").into());
    }
    let mut limits = Vec::new();
    for _ in 0..router_count {
        let mut limit = StatedRateLimit::default();
        assert!(limit.record(Some(rate_per_s), 0, 0));
        limits.push(limit);
    }
    let mut sent_at_ms = Vec::new();
    for now_ms in (0..for_ms).step_by(50) {
        for (own, limit) in routers.iter().zip(&mut limits) {
            let sharers = RateSharers {
                own,
                routers: &routers,
            };
            while limit.allows(sharers, &backend, now_ms) {
                limit.record_sent();
                sent_at_ms.push(now_ms);
            }
        }
    }
    sent_at_ms
}

/// Returns the most requests in any window.
fn most_in_window(sent_at_ms: &[u64]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (last, at_ms) in sent_at_ms.iter().enumerate() {
        while sent_at_ms[first] + WINDOW_MS <= *at_ms {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(25),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_routers_together_keep_to_the_limit_and_use_it(
        router_count in 1_usize..40,
        rate_per_s in 0.5_f64..60.0,
    ) {
        let sent_at_ms = sent_at_ms(router_count, rate_per_s, 12_000);
        let allowed = rate_per_s * 4.0 * 1.5 + 5.0;
        let most = most_in_window(&sent_at_ms);
        prop_assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
        // A share below one request is not sent at the end.
        let least = rate_per_s * 12.0 * 0.75 - rate_per_s - 4.0;
        prop_assert!(sent_at_ms.len() as f64 >= least, "{} in 12 s", sent_at_ms.len());
    }
}

#[test]
fn routers_saved_up_shares_do_not_exceed_the_limit() {
    for router_count in [1, 5, 12, 68, 370] {
        for rate_per_s in [0.5, 1.8, 2.0, 10.0] {
            let backend: BackendId = "b0".parse().unwrap();
            let routers: Vec<Arc<str>> = (0..router_count)
                .map(|index| format!("router-{index}").into())
                .collect();
            let mut sent = 0;
            for own in &routers {
                let sharers = RateSharers {
                    own,
                    routers: &routers,
                };
                let mut limit = StatedRateLimit::default();
                limit.record(Some(rate_per_s), 0, 0);
                // Idle for a minute, then as many requests as it allows within a window.
                for now_ms in (60_000..60_000 + WINDOW_MS).step_by(100) {
                    while limit.allows(sharers, &backend, now_ms) {
                        limit.record_sent();
                        sent += 1;
                    }
                }
            }
            let allowed = rate_per_s * 4.0 * 1.5 + 5.0;
            assert!(
                f64::from(sent) <= allowed,
                "{sent} of {router_count} routers at {rate_per_s} a second, {allowed} allowed",
            );
        }
    }
}

#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut limit = StatedRateLimit::default();
    assert!(limit.record(Some(2.0), 100, 150));
    assert!(!limit.record(None, 120, 160));
    assert_eq!(limit.rate_per_s(), Some(2.0));
    assert!(!limit.record(Some(1.5), 130, 170));
    assert_eq!(limit.rate_per_s(), Some(1.5));
    assert!(limit.record(None, 171, 200));
    assert_eq!(limit.rate_per_s(), None);
}

#[test]
fn server_that_stated_a_limit_of_zero_is_asked_again() {
    for router_count in [1, 4, 5, 12] {
        let sent_at_ms = sent_at_ms(router_count, 0.0, 900_000);
        assert!(!sent_at_ms.is_empty(), "{router_count} routers");
        assert!(most_in_window(&sent_at_ms) <= 5, "{router_count} routers");
    }
}

#[test]
fn limit_of_zero_stops_nearly_all_requests() {
    assert_eq!(sent_at_ms(5, 0.0, 60_000).len(), 0);
}
