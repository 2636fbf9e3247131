//! Replay rules of the ledger: all readers compute the same state, and no budget is overdrawn.

use mallowpath::{
    BudgetId, DEDUPE_WINDOW_OFFSETS, GrantId, Incarnation, Ledger, LedgerBatch, LedgerEntry,
    LedgerError, LedgerRecord, LoggedCheckpoint, Offset, RecordEffect, RecordOutcome, Tokens,
    TopUpRecord, Version, VoidReason, shard_of,
};
use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message;
use std::collections::BTreeMap;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

fn budget(name: &str) -> BudgetId {
    name.parse().expect("the name is valid")
}

fn grant(holder: u64, sequence: u64) -> GrantId {
    GrantId {
        incarnation: Incarnation(holder),
        sequence,
    }
}

fn top_up(name: &str, id: &str, tokens: u64, issued_at: u64) -> LedgerRecord {
    let (budget, id) = (name.to_owned(), id.to_owned());
    LedgerRecord {
        entry: Some(LedgerEntry::TopUp(TopUpRecord {
            budget,
            id,
            tokens,
            issued_at,
        })),
    }
}

fn batch(records: Vec<LedgerRecord>) -> LedgerBatch {
    LedgerBatch {
        author: 1,
        sequence: 1,
        records,
    }
}

fn apply(ledger: &mut Ledger, records: Vec<LedgerRecord>) -> Vec<RecordEffect> {
    let outcomes = ledger
        .apply(ledger.next(), &batch(records))
        .expect("the offset is next");
    outcomes.into_iter().map(|outcome| outcome.effect).collect()
}

/// Generates any record with few names and identifiers, so that they collide; some are malformed.
fn any_record() -> impl Strategy<Value = LedgerRecord> {
    let name = prop_oneof![4 => Just("a"), 4 => Just("b"), 1 => Just("c"), 1 => Just("no name")];
    let amount = prop_oneof![8 => 0_u64..1_000, 1 => Just(u64::MAX), 1 => Just(1_u64 << 60)];
    (0_u8..9, name, 0_u64..3, 0_u64..12, amount).prop_map(|(kind, name, holder, n, tokens)| {
        let id = grant(holder, n);
        let mut record = LedgerRecord::draw(&budget("a"), id, Tokens(tokens));
        match (kind, record.entry.as_mut()) {
            (0, _) => return LedgerRecord { entry: None },
            (1, _) => return top_up(name, &n.to_string(), tokens, holder),
            (2, _) => return LedgerRecord::limit(&budget("a"), Version(n), Tokens(tokens)),
            (3, _) => return LedgerRecord::limit(&budget("b"), Version(n), Tokens(tokens)),
            (4, _) => return LedgerRecord::close(id, Tokens(tokens)),
            (5, _) => return LedgerRecord::reclaim(id, Tokens(tokens % 64)),
            (_, Some(LedgerEntry::Draw(draw))) => name.clone_into(&mut draw.budget),
            _ => {}
        }
        record
    })
}

fn any_log() -> impl Strategy<Value = Vec<LedgerBatch>> {
    let batch = prop::collection::vec(any_record(), 0..4).prop_map(batch);
    prop::collection::vec(batch, 0..40)
}

fn replay(log: &[LedgerBatch]) -> (Ledger, Vec<RecordOutcome>) {
    let mut ledger = Ledger::default();
    let mut outcomes = Vec::new();
    for batch in log {
        outcomes.extend(
            ledger
                .apply(ledger.next(), batch)
                .expect("the offset is next"),
        );
    }
    (ledger, outcomes)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_budget_is_overdrawn_and_tokens_are_conserved(
        records in prop::collection::vec(any_record(), 0..120),
    ) {
        let mut ledger = Ledger::default();
        let mut paid = BTreeMap::<BudgetId, u64>::new();
        let mut open = BTreeMap::<GrantId, (BudgetId, u64)>::new();
        let mut spent = BTreeMap::<BudgetId, u64>::new();
        for record in records {
            for outcome in ledger.apply(ledger.next(), &batch(vec![record])).expect("the offset is next") {
                match (outcome.budget, outcome.grant, outcome.effect) {
                    (Some(budget), Some(grant), RecordEffect::Granted(tokens)) => {
                        prop_assert!(open.insert(grant, (budget, tokens.0)).is_none());
                    }
                    (Some(budget), Some(grant), RecordEffect::Returned(unspent) | RecordEffect::Reclaimed(unspent)) => {
                        let (drawn, tokens) = open.remove(&grant).expect("the grant was open");
                        prop_assert_eq!(&drawn, &budget);
                        prop_assert!(unspent.0 <= tokens);
                        *spent.entry(budget).or_default() += tokens - unspent.0;
                    }
                    _ => {}
                }
            }
            for (budget, balance) in ledger.balances() {
                let held: u64 = open.values().filter(|held| held.0 == *budget).map(|held| held.1).sum();
                prop_assert_eq!(balance.open.0, held);
                prop_assert_eq!(balance.spent.0, spent.get(budget).copied().unwrap_or_default());
                let most = paid.entry(budget.clone()).or_default();
                *most = (*most).max(balance.limit.0 + balance.top_ups.0);
                prop_assert!(balance.spent.0 + balance.open.0 <= *most);
            }
        }
    }

    #[test]
    fn replay_from_any_checkpoint_gives_the_same_state(log in any_log(), cut in 0_usize..40) {
        let (whole, outcomes) = replay(&log);
        let cut = cut.min(log.len());
        let (start, first) = replay(&log[..cut]);
        let checkpoint = start.checkpoint();
        let mut restored = Ledger::restore(&checkpoint).expect("the checkpoint is sound");
        let mut rest = Vec::new();
        for batch in &log[cut..] {
            rest.extend(restored.apply(restored.next(), batch).expect("the offset is next"));
        }
        prop_assert_eq!(&outcomes[first.len()..], &*rest);
        prop_assert_eq!(whole.state_hash(), restored.state_hash());
        prop_assert_eq!(whole, restored);
    }

    #[test]
    fn a_later_copy_of_a_record_that_took_effect_is_void(
        records in prop::collection::vec(any_record(), 1..60),
        copies in prop::collection::vec((0_usize..60, 0_usize..60), 0..60),
    ) {
        let mut ledger = Ledger::default();
        let mut took_effect = vec![false; records.len()];
        for (index, record) in records.iter().enumerate() {
            let effect = apply(&mut ledger, vec![record.clone()]);
            took_effect[index] = !matches!(effect[..], [RecordEffect::Void(_)]);
            for (after, copied) in &copies {
                if *after != index || took_effect.get(*copied) != Some(&true) {
                    continue;
                }
                let before: Vec<_> = ledger.balances().map(|(id, held)| (id.clone(), *held)).collect();
                let effect = apply(&mut ledger, vec![records[*copied].clone()]);
                let after: Vec<_> = ledger.balances().map(|(id, held)| (id.clone(), *held)).collect();
                prop_assert!(matches!(effect[..], [RecordEffect::Void(_)]), "{:?} {:?}", records[*copied], effect);
                prop_assert_eq!(before, after);
            }
        }
    }

    #[test]
    fn replay_of_any_bytes_is_deterministic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut one = Ledger::default();
        let mut two = Ledger::default();
        let first = one.apply_bytes(Offset(0), &bytes).expect("the offset is next");
        let second = two.apply_bytes(Offset(0), &bytes).expect("the offset is next");
        prop_assert_eq!(first, second);
        prop_assert_eq!(one.next(), Offset(1));
        prop_assert_eq!(one, two);
    }
}

#[test]
fn a_top_up_takes_effect_once_even_if_copies_arrive_late() {
    let a = budget("a");
    let mut ledger = Ledger::default();
    apply(
        &mut ledger,
        vec![LedgerRecord::limit(&a, Version(1), Tokens(10))],
    );
    let record = top_up("a", "t1", 5, 1);
    assert_eq!(
        apply(&mut ledger, vec![record.clone()]),
        [RecordEffect::ToppedUp(Tokens(5))]
    );
    let mut void = Vec::new();
    for step in 0..DEDUPE_WINDOW_OFFSETS + 3_000 {
        let near_end = step + 10 > DEDUPE_WINDOW_OFFSETS;
        let records = if near_end {
            vec![record.clone()]
        } else {
            Vec::new()
        };
        void.extend(apply(&mut ledger, records));
    }
    assert!(void.contains(&RecordEffect::Void(VoidReason::Duplicate)));
    assert!(void.contains(&RecordEffect::Void(VoidReason::Expired)));
    assert_eq!(
        ledger.balance(&a).expect("the limit was set").top_ups,
        Tokens(5)
    );
}

#[test]
fn a_lowered_limit_stops_draws_until_top_ups_exceed_the_deficit() {
    let a = budget("a");
    let mut ledger = Ledger::default();
    apply(
        &mut ledger,
        vec![LedgerRecord::limit(&a, Version(2), Tokens(100))],
    );
    apply(
        &mut ledger,
        vec![LedgerRecord::draw(&a, grant(1, 1), Tokens(80))],
    );
    let stale = apply(
        &mut ledger,
        vec![LedgerRecord::limit(&a, Version(1), Tokens(900))],
    );
    assert_eq!(stale, [RecordEffect::Void(VoidReason::Duplicate)]);
    apply(
        &mut ledger,
        vec![LedgerRecord::limit(&a, Version(3), Tokens(50))],
    );
    assert_eq!(
        ledger
            .balance(&a)
            .expect("the limit was set")
            .available_signed(),
        -30
    );
    let draw = apply(
        &mut ledger,
        vec![LedgerRecord::draw(&a, grant(1, 2), Tokens(1))],
    );
    assert_eq!(draw, [RecordEffect::Void(VoidReason::NothingLeft)]);
    apply(&mut ledger, vec![top_up("a", "t", 40, 0)]);
    let draw = apply(
        &mut ledger,
        vec![LedgerRecord::draw(&a, grant(1, 3), Tokens(70))],
    );
    assert_eq!(draw, [RecordEffect::Granted(Tokens(10))]);
}

#[test]
fn a_missing_record_or_a_damaged_checkpoint_is_an_error() {
    let mut ledger = Ledger::default();
    let gap = ledger.apply(Offset(1), &LedgerBatch::default());
    assert!(matches!(
        gap,
        Err(LedgerError::Gap {
            expected: Offset(0),
            found: Offset(1)
        })
    ));
    apply(
        &mut ledger,
        vec![LedgerRecord::limit(&budget("a"), Version(1), Tokens(10))],
    );
    let again = ledger.apply(Offset(0), &batch(vec![top_up("a", "t", 1, 0)]));
    assert!(again.expect("the record was applied before").is_empty());
    let mut checkpoint = ledger.checkpoint();
    checkpoint.state.push(0);
    assert!(matches!(
        Ledger::restore(&checkpoint),
        Err(LedgerError::DamagedCheckpoint { .. })
    ));
}

#[test]
fn a_reader_without_beginning_or_checkpoint_refuses_to_start() {
    let mut ledger = Ledger::default();
    for n in 1..=8 {
        apply(
            &mut ledger,
            vec![LedgerRecord::limit(&budget("a"), Version(n), Tokens(n))],
        );
    }
    let logged = |offset, checkpoint| LoggedCheckpoint {
        offset: Offset(offset),
        checkpoint,
    };
    let sound = logged(9, ledger.checkpoint());
    let early = logged(7, ledger.checkpoint());
    let mut damaged = logged(10, ledger.checkpoint());
    damaged.checkpoint.state_hash ^= 1;
    let start = |first, checkpoints: &[LoggedCheckpoint]| {
        Ledger::from_checkpoints(Offset(first), checkpoints)
    };
    assert!(matches!(
        start(1, &[]),
        Err(LedgerError::NoStart { first: Offset(1) })
    ));
    let late = start(9, std::slice::from_ref(&sound));
    assert!(
        matches!(late, Err(LedgerError::NoStart { .. })),
        "the records between the checkpoint and the first offset are missing"
    );
    let none = start(3, &[early, damaged.clone()]);
    assert!(matches!(none, Err(LedgerError::NoStart { .. })));
    assert_eq!(
        start(8, &[sound, damaged]).expect("a checkpoint is sound"),
        ledger
    );
    assert_eq!(
        start(0, &[]).expect("the beginning is kept"),
        Ledger::default()
    );
}

#[test]
fn budgets_are_distributed_evenly_over_shards() {
    let mut counts = [0; 16];
    for number in 0..16_000 {
        let shard = shard_of(&budget(&format!("workspace/{number}")), 16);
        counts[usize::try_from(shard).expect("a shard is a small number")] += 1;
    }
    assert!(
        counts.iter().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
    assert_eq!(shard_of(&budget("a"), 1), 0);
    assert_eq!(shard_of(&budget("a"), 0), 0);
}

#[test]
#[ignore = "measures time and memory; run manually in a release build"]
fn replay_cost_per_budget() {
    for count in [6_100_u64, 61_000] {
        let mut log = Vec::new();
        for n in 0..count {
            let name = budget(&format!("workspace-{}/budget-{n}", n % 1_400));
            let records = vec![
                LedgerRecord::limit(&name, Version(1), Tokens(1_000_000)),
                LedgerRecord::draw(&name, grant(n % 370, n + 1), Tokens(1_000)),
            ];
            log.push(batch(records).encode_to_vec());
        }
        let before = resident_bytes();
        let mut ledger = Ledger::default();
        let start = std::time::Instant::now();
        for (offset, bytes) in (0..).zip(&log) {
            ledger
                .apply_bytes(Offset(offset), bytes)
                .expect("the offset is next");
        }
        let replay = start.elapsed();
        let after = resident_bytes();
        let start = std::time::Instant::now();
        let checkpoint = ledger.checkpoint();
        let written = start.elapsed();
        println!(
            "budgets {count}: resident bytes {} replay ns {} checkpoint bytes {} checkpoint ns {} (per budget, one open grant each)",
            after.saturating_sub(before) / count,
            replay.as_nanos() / u128::from(count),
            checkpoint.state.len() as u64 / count,
            written.as_nanos() / u128::from(count),
        );
    }
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
