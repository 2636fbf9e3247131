//! Each request is billed exactly once, even if messages are lost or repeated or a router dies.

use mallowpath::{
    Bill, BillAudit, BillBatch, BillOutcome, BillSettings, BillState, GrantId, Incarnation,
    KeptBills, PendingBills, RecordedBill, RequestId, SliceId, SlicePart, Tokens,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeMap;

fn bill(request: RequestId, reserved: u64, cost: u64) -> Bill {
    let id = Incarnation(100);
    let part = |sequence, tokens| SlicePart {
        slice: SliceId {
            incarnation: id,
            sequence,
        },
        grant: GrantId {
            incarnation: id,
            sequence: 1,
        },
        tokens: Tokens(tokens),
    };
    let half = reserved / 2;
    let bill = Bill {
        request,
        workspace: "workspace".parse().expect("the name is valid"),
        budget: "workspace/budget".parse().expect("the name is valid"),
        parts: vec![part(1, half), part(2, reserved - half)],
        prompt_tokens: Tokens(cost / 3),
        completion_tokens: Tokens(cost - cost / 3),
        outcome: BillOutcome::Complete,
    };
    bill.charged()
}

fn pending_bills(router: u64) -> PendingBills {
    PendingBills::new(
        Incarnation(router),
        BillSettings {
            interval_ms: 0,
            ..BillSettings::default()
        },
    )
}

/// Two routers, of which the first may die, and two sidecars that stay alive.
struct Fleet {
    pending: [PendingBills; 2],
    kept: [KeptBills; 2],
    running: Vec<RequestId>,
    due: BTreeMap<RequestId, u64>,
    log: Vec<BillBatch>,
    audit: BillAudit,
    first_died: bool,
    now_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            pending: [pending_bills(1), pending_bills(2)],
            kept: [KeptBills::default(), KeptBills::default()],
            running: Vec::new(),
            due: BTreeMap::new(),
            log: Vec::new(),
            audit: BillAudit::default(),
            first_died: false,
            now_ms: 0,
        }
    }

    fn pending(&mut self, index: usize) -> Option<&mut PendingBills> {
        let dead = index == 0 && self.first_died;
        (!dead).then_some(&mut self.pending[index])
    }

    fn append(&mut self, batch: BillBatch) {
        self.audit.apply(&batch);
        self.log.push(batch);
    }

    fn step(&mut self, (kind, a, b): (u8, usize, u64)) {
        let side = a % 2;
        self.now_ms += 400;
        match kind {
            0..=2 => {
                let Some(pending) = self.pending(side) else {
                    return;
                };
                let request = pending.open();
                self.running.push(request);
            }
            3..=5 if !self.running.is_empty() => {
                let request = self.running.swap_remove(a % self.running.len());
                let bill = bill(request, 40, b);
                self.due.insert(request, bill.amount().0);
                let holder = usize::from(request.sequence.is_multiple_of(2));
                assert_eq!(self.kept[holder].keep(bill.clone()), RecordedBill::Accepted);
                let owner = usize::from(request.incarnation.0 == 2);
                let lost = b.is_multiple_of(3);
                if let Some(pending) = self.pending(owner).filter(|_| !lost) {
                    assert_eq!(
                        pending.finish(bill, b.is_multiple_of(2)),
                        RecordedBill::Accepted
                    );
                }
            }
            6..=7 => {
                let now_ms = self.now_ms;
                let Some(batch) = self.pending(side).and_then(|pending| pending.batch(now_ms))
                else {
                    return;
                };
                let sequence = batch.sequence;
                if b.is_multiple_of(4) {
                    return;
                }
                self.append(batch);
                if !b.is_multiple_of(3) {
                    self.confirm(side, sequence);
                }
            }
            8 => {
                let watermark = self.pending[side].watermark();
                self.kept[a / 2 % 2].logged_below(watermark);
            }
            9 => self.hand_over(a / 2 % 2, Incarnation(1), 1),
            10 if !self.log.is_empty() => {
                let copy = self.log[a % self.log.len()].clone();
                self.append(copy);
            }
            11 if b == 7 => self.first_died = true,
            _ => {}
        }
    }

    fn confirm(&mut self, side: usize, sequence: u64) {
        for request in self.pending[side].appended(sequence) {
            for kept in &mut self.kept {
                kept.logged(request);
            }
        }
    }

    fn hand_over(&mut self, holder: usize, router: Incarnation, to: usize) {
        for bill in self.kept[holder].bills_to_hand_over(router) {
            self.pending[to].adopt(bill);
        }
    }

    /// Ends all requests and delivers all outstanding bills and messages.
    fn finish(&mut self) {
        for request in std::mem::take(&mut self.running) {
            let owner = usize::from(request.incarnation.0 == 2);
            if let Some(pending) = self.pending(owner) {
                pending.abandon(request);
            }
        }
        for _ in 0..4 {
            for holder in 0..2 {
                for request in self.kept[holder].logged_elsewhere(Incarnation(1)) {
                    self.pending[0].logged_elsewhere(request);
                }
                self.hand_over(holder, Incarnation(2), 1);
                self.hand_over(holder, Incarnation(1), usize::from(self.first_died));
            }
            for side in 0..2 {
                self.now_ms += 10_000;
                let now_ms = self.now_ms;
                let Some(batch) = self.pending(side).and_then(|pending| pending.batch(now_ms))
                else {
                    continue;
                };
                let sequence = batch.sequence;
                self.append(batch);
                self.confirm(side, sequence);
            }
            for side in 0..2 {
                let Some(watermark) = self.pending(side).map(|pending| pending.watermark()) else {
                    continue;
                };
                self.kept[0].logged_below(watermark);
                self.kept[1].logged_below(watermark);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_is_billed_once(
        steps in prop::collection::vec((0_u8..12, 0_usize..100, 0_u64..80), 1..300),
    ) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
        fleet.finish();
        let totals = fleet.audit.budgets().values().next().copied().unwrap_or_default();
        prop_assert_eq!(totals.bills, fleet.due.len() as u64);
        prop_assert_eq!(totals.tokens.0, fleet.due.values().sum::<u64>());
        let workspace = fleet.audit.workspaces().values().next().copied().unwrap_or_default();
        prop_assert_eq!(workspace, totals);
        prop_assert_eq!(fleet.audit.conflict_count(), 0);
        prop_assert_eq!(fleet.kept[0].count() + fleet.kept[1].count(), 0);
    }
}

#[test]
fn a_bill_never_exceeds_its_reservation() {
    let mut pending = pending_bills(1);
    let bill = bill(pending.open(), 10, 1_000);
    assert_eq!(bill.amount(), Tokens(10));
    assert_eq!(Bill::from_record(&bill.to_record()), Some(bill));
}

#[test]
fn an_answer_is_safe_only_with_a_second_zone_or_the_log() {
    let mut pending = pending_bills(1);
    let (near, far) = (pending.open(), pending.open());
    assert_eq!(pending.state(near), Some(BillState::Reserved));
    pending.finish(bill(near, 9, 9), false);
    pending.finish(bill(far, 9, 9), true);
    assert_eq!(pending.state(near), Some(BillState::HeldInOneZone));
    assert_eq!(pending.state(far), Some(BillState::Safe));
    assert_eq!(pending.unsafe_bills().len(), 1);
    pending.abandon(near);
    let batch = pending.batch(0).expect("two bills are due");
    assert_eq!(pending.batch(999), None);
    assert_eq!(
        pending.batch(1_000),
        Some(batch.clone()),
        "an append without an answer is retried"
    );
    pending.appended(batch.sequence + 1);
    assert_eq!(pending.state(near), Some(BillState::HeldInOneZone));
    pending.mark_safe(near);
    assert_eq!(pending.state(near), Some(BillState::Safe));
    assert_eq!(pending.watermark().logged_below, 1);
    pending.appended(batch.sequence);
    assert_eq!(pending.state(near), Some(BillState::Logged));
    assert_eq!(pending.watermark().logged_below, 3);
}

#[test]
fn conflicting_copies_are_reported_and_the_first_counts() {
    let request = pending_bills(1).open();
    let mut other = pending_bills(2);
    assert_eq!(other.adopt(bill(request, 40, 30)), RecordedBill::Accepted);
    assert_eq!(other.adopt(bill(request, 40, 30)), RecordedBill::Duplicate);
    assert_eq!(other.adopt(bill(request, 40, 31)), RecordedBill::Conflict);
    let mut audit = BillAudit::default();
    for cost in [30, 30, 20] {
        let bills = vec![bill(request, 40, cost).to_record()];
        audit.apply(&BillBatch {
            author: 2,
            sequence: cost,
            logged_below: 1,
            bills,
        });
    }
    assert_eq!((audit.duplicate_count(), audit.conflict_count()), (2, 1));
    assert_eq!(audit.conflicts()[0].counted, Tokens(30));
    assert_eq!(audit.conflicts()[0].found, Tokens(20));
    assert_eq!(
        audit.budgets().values().next().expect("one budget").tokens,
        Tokens(30)
    );
}

#[test]
fn the_audit_remembers_only_what_is_above_the_watermark() {
    let mut pending = pending_bills(1);
    let mut audit = BillAudit::default();
    let mut first = None;
    for round in 0..100 {
        for _ in 0..10 {
            let request = pending.open();
            pending.finish(bill(request, 9, 9), true);
        }
        let batch = pending.batch(round * 10_000).expect("bills are due");
        pending.appended(batch.sequence);
        audit.apply(&batch);
        audit.apply(first.get_or_insert(batch));
        assert!(audit.remembered_requests() <= 10);
    }
    assert_eq!(
        audit.budgets().values().next().expect("one budget").bills,
        1_000
    );
}
