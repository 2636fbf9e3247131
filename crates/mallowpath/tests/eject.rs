//! Ejection of outliers, their return, and detection of silent connections.

use mallowpath::{BackendId, EjectSettings, Outliers, SilenceDetector, SilenceSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn service(count: usize) -> (Outliers, Vec<BackendId>) {
    let mut outliers = Outliers::new(EjectSettings::default());
    let mut ids = Vec::new();
    for number in 0..count {
        let id: BackendId = format!("b{number}").parse().expect("a valid name");
        outliers.insert(&id);
        ids.push(id);
    }
    (outliers, ids)
}

fn fail_in_a_row(outliers: &mut Outliers, id: &BackendId, now_ms: u64) -> Option<u64> {
    (0..5).find_map(|_| outliers.failure(id, now_ms))
}

#[test]
fn the_ejected_share_is_capped_whatever_fails() {
    for count in [1, 2, 3, 4, 20] {
        let (mut outliers, ids) = service(count);
        let mut rng = StdRng::seed_from_u64(1);
        let mut most = 0;
        for now_ms in 0..20_000 {
            outliers.failure(&ids[rng.random_range(0..count)], now_ms);
            most = most.max(outliers.ejected(now_ms));
        }
        assert_eq!(most, count * 34 / 100, "of {count}");
    }
}

#[test]
fn failing_alike_is_no_outlier_and_failing_more_is() {
    let (mut outliers, ids) = service(10);
    for round in 0..200 {
        for id in &ids {
            // Half of all fail, never five in a row.
            if round % 2 == 0 {
                outliers.success(id, round);
            } else {
                assert_eq!(outliers.failure(id, round), None);
            }
        }
    }
    let (mut outliers, ids) = service(10);
    let mut ejected = None;
    for round in 0..50 {
        for id in &ids[1..] {
            outliers.success(id, round);
        }
        if round % 2 == 0 {
            outliers.success(&ids[0], round);
        } else {
            ejected = ejected.or(outliers.failure(&ids[0], round));
        }
    }
    assert!(
        ejected.is_some(),
        "half of its results failed beside healthy peers"
    );
}

#[test]
fn ejections_grow_and_are_forgiven_and_weight_returns_slowly() {
    let (mut outliers, ids) = service(3);
    let id = &ids[0];
    let mut now_ms = 100;
    for ejection_ms in [5_000, 10_000, 20_000] {
        let until_ms = fail_in_a_row(&mut outliers, id, now_ms).expect("an ejection");
        assert_eq!(until_ms - now_ms, ejection_ms);
        assert!(outliers.weight(id, until_ms - 1) <= 0.0);
        let mut last = 0.0;
        for since_ms in (0..=10_000).step_by(1_000) {
            let weight = outliers.weight(id, until_ms + since_ms);
            assert!(
                weight > last && weight <= 1.0,
                "{weight} after {since_ms} ms"
            );
            last = weight;
        }
        assert!(outliers.weight(id, until_ms) < 0.2 && last >= 1.0);
        now_ms = until_ms + 1;
        outliers.success(id, now_ms);
    }
    now_ms += 10_000;
    outliers.success(id, now_ms);
    let until_ms = fail_in_a_row(&mut outliers, id, now_ms).expect("an ejection");
    assert_eq!(until_ms - now_ms, 5_000, "the earlier ones are forgiven");
}

#[test]
fn silence_is_found_within_the_stated_time_and_not_by_the_own_pause() {
    let SilenceSettings {
        heartbeat_interval_ms,
        missed_max,
    } = SilenceSettings::default();
    for last_heard_ms in 10_000..10_500 {
        let mut detector = SilenceDetector::new(SilenceSettings::default(), 0);
        let mut found_ms = None;
        for now_ms in (0..20_000).step_by(100) {
            if now_ms <= last_heard_ms {
                detector.heard(now_ms);
            }
            if detector.check(now_ms) && found_ms.is_none() {
                found_ms = Some(now_ms);
            }
        }
        let found_ms = found_ms.expect("silence");
        let bound_ms = last_heard_ms + heartbeat_interval_ms * (missed_max + 1) + 100;
        assert!(
            found_ms > last_heard_ms + 1_500 && found_ms <= bound_ms,
            "{found_ms}"
        );
    }
    let mut detector = SilenceDetector::new(SilenceSettings::default(), 0);
    assert!(!detector.check(60_000), "this process slept");
    assert!(!detector.check(61_000));
    assert!(detector.check(62_000));
}
