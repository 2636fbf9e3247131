//! Claims of the right to send orders, the order fence of a sidecar and the queue of weight loads.

use mallowpath::{
    ApplyOutcome, Offset, OrderClaim, OrderDecision, OrderFence, OrderRights, OrderSettings,
    OrdersChange, OrdersRecord, WeightLoadOrder, WeightLoadQueue, WeightLoadSettings,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, any, proptest},
    test_runner::RngSeed,
};
use std::sync::Arc;

const ORDER_TIMEOUT_MS: u64 = 5;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_takes_effect_after_one_with_a_newer_fencing_token(
        server_checks_fences in any::<bool>(),
        steps in vec((0..4u8, 0..6u64), 1..60),
    ) {
        let settings = OrderSettings { server_checks_fences, timeout_ms: ORDER_TIMEOUT_MS };
        let mut fence = OrderFence::new(settings, 0);
        fence.mark_state_known();
        let mut in_flight = Vec::new();
        let mut highest_applied = 0;
        for (now_ms, (step_kind, value)) in steps.into_iter().enumerate() {
            if step_kind < 2 {
                if let OrderDecision::Send { ticket } = fence.admit(value, now_ms as u64) {
                    in_flight.push((ticket, value));
                }
            } else if !in_flight.is_empty() {
                // An order in flight takes effect at any time, unless the server refuses it.
                let index = usize::try_from(value).unwrap_or_default() % in_flight.len();
                let (ticket, fencing_token) = in_flight.swap_remove(index);
                fence.record_outcome(ticket);
                let refused = server_checks_fences && fencing_token < highest_applied;
                assert!(refused || fencing_token >= highest_applied, "{fencing_token} after {highest_applied}");
                highest_applied = highest_applied.max(fencing_token);
            }
            assert!(server_checks_fences || in_flight.len() <= 1);
        }
    }

    #[test]
    fn weight_loads_respect_the_limits_and_start_by_demand(
        steps in vec((0..3u8, 0..8u8, 0..4u64), 1..80),
    ) {
        let settings = WeightLoadSettings { interval_ms: 3, max_running: 2 };
        let mut queue = WeightLoadQueue::new(settings);
        let (mut running, mut waiting, mut last_ms) = (Vec::new(), Vec::new(), None);
        for (now_ms, (step_kind, backend, demand)) in (0u64..).zip(steps) {
            let id = format!("b{backend}").parse().expect("a name");
            if step_kind == 0 {
                let zone = format!("z{}", backend % 2).parse().expect("a name");
                queue.push(WeightLoadOrder { backend: id, zone, weights: Arc::from("w"), demand });
                waiting.retain(|(waiting, _)| *waiting != backend);
                if !running.contains(&format!("b{backend}")) {
                    waiting.push((backend, demand));
                }
            } else if step_kind == 1 {
                queue.end(&id);
                running.retain(|running| *running != id.to_string());
            } else if let Some(order) = queue.start_next(now_ms) {
                assert!(last_ms.is_none_or(|last_ms| now_ms >= last_ms + settings.interval_ms));
                assert!(waiting.iter().all(|(_, demand)| *demand <= order.demand));
                // Among equal demands, the zone with the fewest loads goes first.
                let zone_of = |name: &str| name.ends_with(['1', '3', '5', '7']);
                let in_zone = |name: &str| {
                    running.iter().filter(|other: &&String| zone_of(other) == zone_of(name)).count()
                };
                for (backend, demand) in &waiting {
                    let is_spread_or_equal = in_zone(&format!("b{backend}")) >= in_zone(order.backend.as_str());
                    assert!(is_spread_or_equal || *demand < order.demand);
                }
                last_ms = Some(now_ms);
                running.push(order.backend.to_string());
                waiting.retain(|(waiting, _)| format!("b{waiting}") != order.backend.to_string());
                assert!(running.len() <= settings.max_running);
            }
        }
    }
}

#[test]
fn the_first_of_two_concurrent_claims_is_valid() {
    let mut orders = OrderRights::default();
    let claim = |author, previous_fencing_token| -> OrdersRecord {
        let claim = OrderClaim {
            backend: String::from("b"),
            author,
            previous_fencing_token,
        };
        OrdersChange::Claim(claim).into()
    };
    assert_eq!(orders.apply(Offset(0), &claim(1, 0)), ApplyOutcome::Valid);
    assert_eq!(orders.apply(Offset(1), &claim(2, 0)), ApplyOutcome::Void);
    assert_eq!(orders.apply(Offset(2), &claim(1, 0)), ApplyOutcome::Void);
    orders = OrderRights::from_checkpoint(&orders.checkpoint());
    assert_eq!(orders.apply(Offset(3), &claim(2, 1)), ApplyOutcome::Valid);
    let grant = orders.grant(&"b".parse().expect("a name"));
    assert_eq!(grant.map(|grant| grant.fencing_token), Some(4));
}

#[test]
fn an_unknown_server_state_is_reported() {
    let settings = OrderSettings {
        timeout_ms: ORDER_TIMEOUT_MS,
        ..OrderSettings::default()
    };
    let mut fence = OrderFence::new(settings, 3);
    assert_eq!(fence.admit(3, 0), OrderDecision::StateUnknown);
    fence.mark_state_known();
    assert_eq!(fence.admit(3, 1), OrderDecision::Send { ticket: 1 });
    assert_eq!(fence.admit(4, 2), OrderDecision::Busy);
    assert_eq!(
        fence.admit(3, 2),
        OrderDecision::TooOld {
            highest_fencing_token: 4
        }
    );
    assert_eq!(
        fence.admit(4, 1 + ORDER_TIMEOUT_MS),
        OrderDecision::StateUnknown
    );
    assert!(fence.record_outcome(1));
    assert_eq!(fence.admit(4, 7), OrderDecision::Send { ticket: 2 });
}
