//! Each request is billed exactly once, even if messages are lost or repeated or a router dies.

use mallowpath::{
    Audit, Bill, BillBatch, BillBook, BillOutcome, BillSettings, BillShelf, BillState, GrantId,
    Incarnation, Recorded, RequestId, SliceId, SlicePart, Tokens,
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

fn book(router: u64) -> BillBook {
    BillBook::new(
        Incarnation(router),
        BillSettings {
            interval_ms: 0,
            ..BillSettings::default()
        },
    )
}

/// Two routers, of which the first may die, and two sidecars that stay alive.
struct Fleet {
    books: [BillBook; 2],
    shelves: [BillShelf; 2],
    running: Vec<RequestId>,
    due: BTreeMap<RequestId, u64>,
    log: Vec<BillBatch>,
    audit: Audit,
    first_died: bool,
    now_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            books: [book(1), book(2)],
            shelves: [BillShelf::default(), BillShelf::default()],
            running: Vec::new(),
            due: BTreeMap::new(),
            log: Vec::new(),
            audit: Audit::default(),
            first_died: false,
            now_ms: 0,
        }
    }

    fn book(&mut self, index: usize) -> Option<&mut BillBook> {
        let dead = index == 0 && self.first_died;
        (!dead).then_some(&mut self.books[index])
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
                let Some(book) = self.book(side) else { return };
                let request = book.open();
                self.running.push(request);
            }
            3..=5 if !self.running.is_empty() => {
                let request = self.running.swap_remove(a % self.running.len());
                let bill = bill(request, 40, b);
                self.due.insert(request, bill.amount().0);
                let shelf = usize::from(request.sequence.is_multiple_of(2));
                assert_eq!(self.shelves[shelf].keep(bill.clone()), Recorded::Taken);
                let owner = usize::from(request.incarnation.0 == 2);
                let lost = b.is_multiple_of(3);
                if let Some(book) = self.book(owner).filter(|_| !lost) {
                    assert_eq!(book.finish(bill, b.is_multiple_of(2)), Recorded::Taken);
                }
            }
            6..=7 => {
                let now_ms = self.now_ms;
                let Some(batch) = self.book(side).and_then(|book| book.batch(now_ms)) else {
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
                let watermark = self.books[side].watermark();
                self.shelves[a / 2 % 2].logged_below(watermark);
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
        for request in self.books[side].appended(sequence) {
            for shelf in &mut self.shelves {
                shelf.logged(request);
            }
        }
    }

    fn hand_over(&mut self, shelf: usize, router: Incarnation, to: usize) {
        for bill in self.shelves[shelf].handover(router) {
            self.books[to].adopt(bill);
        }
    }

    /// Ends all requests and delivers all outstanding bills and messages.
    fn finish(&mut self) {
        for request in std::mem::take(&mut self.running) {
            let owner = usize::from(request.incarnation.0 == 2);
            if let Some(book) = self.book(owner) {
                book.abandon(request);
            }
        }
        for _ in 0..4 {
            for shelf in 0..2 {
                for request in self.shelves[shelf].logged_elsewhere(Incarnation(1)) {
                    self.books[0].logged_elsewhere(request);
                }
                self.hand_over(shelf, Incarnation(2), 1);
                self.hand_over(shelf, Incarnation(1), usize::from(self.first_died));
            }
            for side in 0..2 {
                self.now_ms += 10_000;
                let now_ms = self.now_ms;
                let Some(batch) = self.book(side).and_then(|book| book.batch(now_ms)) else {
                    continue;
                };
                let sequence = batch.sequence;
                self.append(batch);
                self.confirm(side, sequence);
            }
            for side in 0..2 {
                let Some(watermark) = self.book(side).map(|book| book.watermark()) else {
                    continue;
                };
                self.shelves[0].logged_below(watermark);
                self.shelves[1].logged_below(watermark);
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
        prop_assert_eq!(fleet.shelves[0].count() + fleet.shelves[1].count(), 0);
    }
}

#[test]
fn a_bill_never_exceeds_its_reservation() {
    let mut book = book(1);
    let bill = bill(book.open(), 10, 1_000);
    assert_eq!(bill.amount(), Tokens(10));
    assert_eq!(Bill::from_record(&bill.to_record()), Some(bill));
}

#[test]
fn an_answer_is_safe_only_with_a_second_zone_or_the_log() {
    let mut book = book(1);
    let (near, far) = (book.open(), book.open());
    assert_eq!(book.state(near), Some(BillState::Reserved));
    book.finish(bill(near, 9, 9), false);
    book.finish(bill(far, 9, 9), true);
    assert_eq!(book.state(near), Some(BillState::Final));
    assert_eq!(book.state(far), Some(BillState::Safe));
    assert_eq!(book.unsafe_bills().len(), 1);
    book.abandon(near);
    let batch = book.batch(0).expect("two bills are final");
    assert_eq!(book.batch(999), None);
    assert_eq!(
        book.batch(1_000),
        Some(batch.clone()),
        "an append without an answer is retried"
    );
    book.appended(batch.sequence + 1);
    assert_eq!(book.state(near), Some(BillState::Final));
    book.mark_safe(near);
    assert_eq!(book.state(near), Some(BillState::Safe));
    assert_eq!(book.watermark().logged_below, 1);
    book.appended(batch.sequence);
    assert_eq!(book.state(near), Some(BillState::Logged));
    assert_eq!(book.watermark().logged_below, 3);
}

#[test]
fn conflicting_copies_are_reported_and_the_first_counts() {
    let request = book(1).open();
    let mut other = book(2);
    assert_eq!(other.adopt(bill(request, 40, 30)), Recorded::Taken);
    assert_eq!(other.adopt(bill(request, 40, 30)), Recorded::Duplicate);
    assert_eq!(other.adopt(bill(request, 40, 31)), Recorded::Conflict);
    let mut audit = Audit::default();
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
    let mut book = book(1);
    let mut audit = Audit::default();
    let mut first = None;
    for round in 0..100 {
        for _ in 0..10 {
            let request = book.open();
            book.finish(bill(request, 9, 9), true);
        }
        let batch = book.batch(round * 10_000).expect("bills are final");
        book.appended(batch.sequence);
        audit.apply(&batch);
        audit.apply(first.get_or_insert(batch));
        assert!(audit.remembered_requests() <= 10);
    }
    assert_eq!(
        audit.budgets().values().next().expect("one budget").bills,
        1_000
    );
}
