//! Replay of the `members` stream.

use mallowpath::{
    ApplyOutcome, Fence, FenceDone, FenceTarget, Incarnation, Join, KeyEpoch, Leave, Members,
    MembersChange, MembersCheckpoint, Offset, confirmed_hash,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use prost::Message;
use std::collections::BTreeSet;

fn join(incarnation: u64, host: u64, previous: u64) -> MembersChange {
    process(incarnation, host, previous, false)
}

fn process(incarnation: u64, host: u64, previous: u64, router: bool) -> MembersChange {
    let name = host.to_string();
    MembersChange::Join(Join {
        incarnation,
        name,
        previous,
        router,
        ..Join::default()
    })
}

fn target(number: u64) -> FenceTarget {
    if number < 2 {
        return FenceTarget::Keys(KeyEpoch {
            shard: 1,
            epoch: number,
        });
    }
    FenceTarget::Router(number)
}

fn fence(incarnation: u64) -> MembersChange {
    MembersChange::Fence(Fence {
        target: Some(target(incarnation)),
        author: 1,
    })
}

fn done(incarnation: u64, confirmed: &[u64]) -> MembersChange {
    let confirmed: BTreeSet<Incarnation> = confirmed.iter().copied().map(Incarnation).collect();
    let confirmed_hash = confirmed_hash(&confirmed);
    MembersChange::FenceDone(FenceDone {
        target: Some(target(incarnation)),
        confirmed_hash,
    })
}

fn apply(members: &mut Members, change: MembersChange) -> ApplyOutcome {
    members.apply(members.next_offset(), &change.into())
}

fn change(kind: u8, a: u64, b: u64, c: u64) -> MembersChange {
    match kind {
        0..=4 => process(a, a % 3, c, b == 2),
        5 => fence(b),
        6 => done(b, &[]),
        7 => done(b, &[a, c]),
        _ => MembersChange::Leave(Leave { incarnation: a }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_checkpoint_at_any_point_gives_the_same_state(
        draws in vec((0..9u8, 1..6u64, 1..3u64, 0..6u64), 1..60),
        cut in 0..60usize,
    ) {
        let mut whole = Members::default();
        let mut resumed = Members::default();
        for (index, (kind, a, b, c)) in draws.into_iter().enumerate() {
            if index == cut {
                let bytes = resumed.checkpoint().encode_to_vec();
                let checkpoint = MembersCheckpoint::decode(bytes.as_slice()).expect("encoded");
                resumed = Members::from_checkpoint(&checkpoint);
            }
            let change = change(kind, a, b, c);
            let outcome = apply(&mut whole, change.clone());
            assert_eq!(outcome, apply(&mut resumed, change.clone()));
            // An append whose answer was lost is repeated; the copy is void.
            assert_eq!(apply(&mut whole.clone(), change), ApplyOutcome::Void);
        }
        assert_eq!(whole, resumed);
    }
}

#[test]
fn a_fence_is_confirmed_by_those_that_joined_before_it_and_are_not_gone() {
    let mut members = Members::default();
    for change in [
        join(1, 1, 0),
        join(2, 2, 0),
        join(3, 3, 0),
        fence(9),
        join(4, 4, 0),
    ] {
        assert_eq!(apply(&mut members, change), ApplyOutcome::Valid);
    }
    let all = [1, 2, 3].map(Incarnation);
    assert_eq!(members.must_confirm(Offset(3)), BTreeSet::from(all));
    assert_eq!(apply(&mut members, done(9, &[1, 2])), ApplyOutcome::Void);
    assert_eq!(apply(&mut members, join(5, 1, 1)), ApplyOutcome::Valid);
    apply(&mut members, MembersChange::Leave(Leave { incarnation: 2 }));
    assert_eq!(apply(&mut members, done(9, &[3])), ApplyOutcome::Valid);
    assert_eq!(members.fence_done_offset(target(9)), Some(Offset(8)));
}

#[test]
fn a_delayed_join_of_a_dead_sidecar_does_not_displace_the_live_one() {
    let mut members = Members::default();
    assert_eq!(apply(&mut members, join(2, 1, 0)), ApplyOutcome::Valid);
    assert_eq!(apply(&mut members, join(1, 1, 0)), ApplyOutcome::Void);
    assert!(members.must_confirm(Offset(2)).contains(&Incarnation(2)));
}

#[test]
fn routers_that_went_after_a_grant_was_drawn_may_hold_slices_of_it() {
    let mut members = Members::default();
    for change in [
        process(1, 1, 0, true),
        process(2, 2, 0, true),
        process(3, 1, 1, true),
        MembersChange::Leave(Leave { incarnation: 2 }),
        join(4, 4, 0),
        fence(3),
        process(5, 5, 0, true),
    ] {
        assert_eq!(apply(&mut members, change), ApplyOutcome::Valid);
    }
    let holders = |members_seen| {
        members
            .possible_slice_holders(Offset(members_seen), Offset(5))
            .expect("all known")
    };
    assert_eq!(holders(0), [1, 2, 3].map(Incarnation).into());
    assert_eq!(holders(3), [2, 3].map(Incarnation).into());
    assert_eq!(holders(4), [3].map(Incarnation).into());
    assert_eq!(members.must_confirm(Offset(5)), [4].map(Incarnation).into());
    assert_eq!(members.last_sidecar_gone_at(), None);
}
