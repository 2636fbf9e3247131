//! Outlier ejection, slow start and the detection of silent connections.

use mallowpath::{BackendId, OutlierDetector, OutlierSettings, SilenceDetector, SilenceSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn detector_of(count: usize) -> (OutlierDetector, Vec<BackendId>) {
    let mut outliers = OutlierDetector::new(OutlierSettings::default());
    let mut ids = Vec::new();
    for number in 0..count {
        let id: BackendId = format!("b{number}").parse().expect("a valid name");
        outliers.insert(&id);
        ids.push(id);
    }
    (outliers, ids)
}

fn fail_until_ejected(outliers: &mut OutlierDetector, id: &BackendId, now_ms: u64) -> Option<u64> {
    (0..5).find_map(|_| outliers.failure(id, now_ms))
}

#[test]
fn the_ejected_share_is_capped_if_all_backends_fail() {
    for count in [1, 2, 3, 4, 20] {
        let (mut outliers, ids) = detector_of(count);
        let mut rng = StdRng::seed_from_u64(1);
        let mut most = 0;
        for now_ms in 0..20_000 {
            outliers.failure(&ids[rng.random_range(0..count)], now_ms);
            most = most.max(outliers.ejected(now_ms));
        }
        assert_eq!(most, count * 34 / 100, "of {count} backend servers");
    }
}

#[test]
fn only_a_backend_that_fails_more_than_its_peers_is_ejected() {
    let (mut outliers, ids) = detector_of(10);
    for round in 0..200 {
        for id in &ids {
            // Half of all requests fail, but never five in a row.
            if round % 2 == 0 {
                outliers.success(id, round);
            } else {
                assert_eq!(outliers.failure(id, round), None);
            }
        }
    }
    let (mut outliers, ids) = detector_of(10);
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
        "half of its results failed while its peers were healthy"
    );
}

#[test]
fn ejections_double_until_reset_and_the_weight_rises_slowly() {
    let (mut outliers, ids) = detector_of(3);
    let id = &ids[0];
    let mut now_ms = 100;
    for ejection_ms in [5_000, 10_000, 20_000] {
        let until_ms = fail_until_ejected(&mut outliers, id, now_ms).expect("an ejection");
        assert_eq!(until_ms - now_ms, ejection_ms);
        assert!(outliers.weight(id, until_ms - 1) <= 0.0);
        let mut previous = 0.0;
        for elapsed_ms in (0..=10_000).step_by(1_000) {
            let weight = outliers.weight(id, until_ms + elapsed_ms);
            assert!(
                weight > previous && weight <= 1.0,
                "{weight} after {elapsed_ms} ms"
            );
            previous = weight;
        }
        assert!(outliers.weight(id, until_ms) < 0.2 && previous >= 1.0);
        now_ms = until_ms + 1;
        outliers.success(id, now_ms);
    }
    now_ms += 10_000;
    outliers.success(id, now_ms);
    let until_ms = fail_until_ejected(&mut outliers, id, now_ms).expect("an ejection");
    assert_eq!(
        until_ms - now_ms,
        5_000,
        "earlier ejections no longer count"
    );
}

#[test]
fn silence_is_detected_in_time_and_not_after_a_pause_of_this_process() {
    let SilenceSettings {
        heartbeat_interval_ms,
        max_missed_heartbeats,
    } = SilenceSettings::default();
    for last_heard_ms in 10_000..10_500 {
        let mut detector = SilenceDetector::new(SilenceSettings::default(), 0);
        let mut detected_ms = None;
        for now_ms in (0..20_000).step_by(100) {
            if now_ms <= last_heard_ms {
                detector.record_message(now_ms);
            }
            if detector.update_is_silent(now_ms) && detected_ms.is_none() {
                detected_ms = Some(now_ms);
            }
        }
        let detected_ms = detected_ms.expect("silence");
        let bound_ms = last_heard_ms + heartbeat_interval_ms * (max_missed_heartbeats + 1) + 100;
        assert!(
            detected_ms > last_heard_ms + 1_500 && detected_ms <= bound_ms,
            "{detected_ms}"
        );
    }
    let mut detector = SilenceDetector::new(SilenceSettings::default(), 0);
    assert!(
        !detector.update_is_silent(60_000),
        "this process was paused"
    );
    assert!(!detector.update_is_silent(61_000));
    assert!(detector.update_is_silent(62_000));
}
