//! Tests of the run table: a request starts at most once, and refusals name their reason.

use bytes::Bytes;
use mallowpath::{
    AttachAnswer, FenceTarget, Incarnation, KeyEpoch, KeyHash, RequestId, RunEnd, RunKey,
    RunSettings, RunTable, Submit, SubmitAnswer,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use std::collections::BTreeSet;

const SIDECAR: Incarnation = Incarnation(7);
const KEY_EPOCH: KeyEpoch = KeyEpoch { shard: 5, epoch: 2 };
const ROUTERS: u64 = 3;

fn id(router: u64, sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(router),
        sequence,
    }
}

fn submit(id: RequestId) -> Submit {
    let key = Some(RunKey {
        hash: KeyHash([0; 16]),
        body_hash: 0,
        committed_in: KEY_EPOCH,
    });
    Submit {
        id,
        sidecar: SIDECAR,
        lowest_open: 0,
        key,
        tombstone_on_refusal: false,
        has_memory: true,
    }
}

fn settings() -> RunSettings {
    RunSettings {
        keep_ms: 20,
        keep_bytes: 40,
        orphan_ms: 5,
        max_running: 3,
        retry_after_ms: 9,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_request_starts_once_and_never_after_its_tombstone(
        steps in vec((0..24u8, 1..=ROUTERS, 0..6u64), 1..150),
    ) {
        let mut table = RunTable::new(SIDECAR, settings(), []);
        let (mut started, mut tombstoned) = (BTreeSet::new(), BTreeSet::new());
        let (mut running, mut fenced_routers) = (BTreeSet::new(), BTreeSet::new());
        let mut epoch_fenced = false;
        for (now_ms, (kind, router, sequence)) in (0u64..).zip(steps) {
            let id = id(router, sequence);
            match kind {
                0..=9 => {
                    let lowest_open = if kind == 0 { sequence } else { 0 };
                    let (tombstone_on_refusal, has_memory) = (kind < 3, !(2..4).contains(&kind));
                    let answer = table.submit(&Submit {
                        lowest_open,
                        tombstone_on_refusal,
                        has_memory,
                        ..submit(id)
                    });
                    if answer == SubmitAnswer::Start {
                        assert!(has_memory, "{id} started without memory");
                        assert!(started.insert(id), "{id} started twice");
                        assert!(!tombstoned.contains(&id), "{id} started after its tombstone");
                        assert!(!fenced_routers.contains(&id.incarnation) && !epoch_fenced);
                        running.insert(id);
                    } else if answer == SubmitAnswer::Tombstoned {
                        assert!(!started.contains(&id), "{id} has run");
                    } else if tombstone_on_refusal && !started.contains(&id) {
                        tombstoned.insert(id);
                    }
                }
                10..=14 => {
                    if table.attach(id, 0) == AttachAnswer::NeverRuns {
                        assert!(!started.contains(&id), "{id} has run");
                        tombstoned.insert(id);
                    }
                }
                15..=20 => {
                    table.push_chunk(id, Bytes::from_static(&[0; 15]));
                    table.end(id, RunEnd::Complete, now_ms);
                    running.remove(&id);
                }
                21 => table.forget_fenced(id.incarnation),
                _ if sequence == 0 => {
                    let cancelled: BTreeSet<_> = table.fence(FenceTarget::Router(router)).into_iter().collect();
                    let of_router = running.iter().filter(|id| id.incarnation.0 == router);
                    assert_eq!(cancelled, of_router.copied().collect());
                    fenced_routers.insert(id.incarnation);
                }
                22 if sequence == 1 => {
                    assert!(table.fence(FenceTarget::Keys(KEY_EPOCH)).is_empty());
                    epoch_fenced = true;
                }
                _ => table.evict_ended(now_ms),
            }
            assert_eq!(table.running(), running.len());
            assert!(table.kept_bytes() <= settings().keep_bytes);
            for incarnation in &fenced_routers {
                let has_runs = running.iter().any(|id| id.incarnation == *incarnation);
                assert_eq!(table.fence_done(FenceTarget::Router(incarnation.0)), !has_runs);
            }
        }
    }
}

#[test]
fn attach_returns_chunks_from_the_requested_one_and_orphans_are_cancelled_once() {
    let mut table = RunTable::new(SIDECAR, settings(), []);
    let id = id(1, 1);
    assert_eq!(table.submit(&submit(id)), SubmitAnswer::Start);
    table.push_chunk(id, Bytes::from_static(b"a"));
    assert_eq!(table.push_chunk(id, Bytes::from_static(b"b")), Some(1));
    let chunks = vec![Bytes::from_static(b"b")];
    assert_eq!(
        table.attach(id, 1),
        AttachAnswer::Chunks { chunks, end: None }
    );
    table.detach(id, 10);
    assert!(
        table.take_orphans(100).is_empty(),
        "the submitting router is attached"
    );
    table.detach(id, 10);
    assert!(table.take_orphans(14).is_empty());
    assert_eq!(table.take_orphans(15), vec![id]);
    assert!(table.take_orphans(16).is_empty());
}

#[test]
fn request_without_memory_is_refused_as_full() {
    let mut table = RunTable::new(SIDECAR, settings(), []);
    let large = Submit {
        has_memory: false,
        tombstone_on_refusal: true,
        ..submit(id(1, 1))
    };
    let full = SubmitAnswer::Full { retry_after_ms: 9 };
    assert_eq!(table.submit(&large), full);
    assert_eq!(table.submit(&submit(id(1, 1))), SubmitAnswer::Tombstoned);
    assert_eq!(table.submit(&submit(id(1, 2))), SubmitAnswer::Start);
}

#[test]
fn refusals_name_their_reason() {
    let mut table = RunTable::new(SIDECAR, settings(), [FenceTarget::Router(9)]);
    let other = Submit {
        sidecar: Incarnation(8),
        ..submit(id(1, 1))
    };
    assert_eq!(table.submit(&other), SubmitAnswer::OtherIncarnation);
    assert_eq!(
        table.submit(&submit(id(9, 1))),
        SubmitAnswer::Fenced(Incarnation(9))
    );
    for sequence in 1..4 {
        assert_eq!(table.submit(&submit(id(1, sequence))), SubmitAnswer::Start);
    }
    assert_eq!(
        table.submit(&submit(id(1, 1))),
        SubmitAnswer::AlreadyRunning
    );
    assert_eq!(
        table.submit(&submit(id(1, 4))),
        SubmitAnswer::Full { retry_after_ms: 9 }
    );
    table.leave();
    assert_eq!(table.submit(&submit(id(1, 4))), SubmitAnswer::Leaving);
    assert_eq!(table.keyed_runs().len(), 3);
    table.fence(FenceTarget::Keys(KEY_EPOCH));
    table.fence(FenceTarget::Keys(KeyEpoch {
        epoch: 1,
        ..KEY_EPOCH
    }));
    assert_eq!(table.submit(&submit(id(1, 4))), SubmitAnswer::EpochFenced);
    assert!(table.fence_done(FenceTarget::Keys(KEY_EPOCH)));
}
