//! Tokens of fenced processes are returned only if they are proven unspent, and then exactly.

use mallowpath::{
    Bill, BillOutcome, BillWatermark, BudgetId, GrantId, Incarnation, Keeper, KeeperReclaim,
    KeeperSettings, KeptBills, Ledger, LedgerBatch, LedgerRecord, RecordedBill, RequestId,
    Reservation, ReserveOutcome, RouterReclaim, SliceReturn, Tokens, Version, Wallet,
    WalletSettings,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeSet;

const KEEPER: Incarnation = Incarnation(100);
const SIDECARS: [Incarnation; 2] = [Incarnation(300), Incarnation(301)];

fn budget() -> BudgetId {
    "workspace/budget".parse().expect("the name is valid")
}

/// One keeper, two routers and two sidecars; messages are delivered immediately.
struct Fleet {
    keeper: Keeper,
    wallets: [Wallet; 2],
    kept: [KeptBills; 2],
    running: Vec<(usize, Reservation)>,
    requests: u64,
    spent: u64,
    now_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut keeper = Keeper::new(KEEPER, Ledger::default(), KeeperSettings::default());
        keeper.set_limit(&budget(), Version(1), Tokens(1_000));
        let wallet = |id| Wallet::new(Incarnation(id), WalletSettings::default());
        let mut fleet = Self {
            keeper,
            wallets: [wallet(200), wallet(201)],
            kept: [KeptBills::default(), KeptBills::default()],
            running: Vec::new(),
            requests: 0,
            spent: 0,
            now_ms: 0,
        };
        fleet.append();
        fleet
    }

    fn append(&mut self) {
        while let Some(batch) = self.keeper.next_batch(self.now_ms) {
            let next = self.keeper.ledger().next();
            self.keeper
                .replay(next, &batch, self.now_ms)
                .expect("the offset is next");
        }
    }

    fn step(&mut self, (kind, a, b): (u8, usize, u64)) {
        let side = a % 2;
        self.now_ms += 100;
        match kind {
            0..=2 => {
                let outcome = self.wallets[side].reserve(&budget(), Tokens(b + 1), self.now_ms);
                if let ReserveOutcome::Reserved(reservation) = outcome {
                    self.running.push((side, reservation));
                }
            }
            3 => self.end_one(a, b),
            4..=5 => {
                for outgoing in self.wallets[side].due_requests(|_| Some(KEEPER), self.now_ms) {
                    let reply = self.keeper.answer_final(&outgoing.request, self.now_ms);
                    self.wallets[side].apply_reply(KEEPER, &reply, self.now_ms);
                }
                let closed = self.wallets[side].take_closed_grants();
                self.kept[a / 2 % 2].forget_grants(&closed);
            }
            6 => {
                for returned in self.wallets[side].due_returns(self.now_ms) {
                    assert!(self.keeper.return_slice(&returned));
                    self.wallets[side].acknowledge_return(&returned.budget, returned.slice.id);
                }
            }
            7 => {
                self.keeper.tick(self.now_ms);
                self.append();
            }
            _ => self.now_ms += b * 20,
        }
    }

    /// Ends a running request at a sidecar, which bills it.
    fn end_one(&mut self, choice: usize, cost: u64) {
        if self.running.is_empty() {
            return;
        }
        let (side, reservation) = self.running.swap_remove(choice % self.running.len());
        self.requests += 1;
        let incarnation = Incarnation(200 + side as u64);
        let bill = Bill {
            request: RequestId {
                incarnation,
                sequence: self.requests,
            },
            workspace: "workspace".parse().expect("the name is valid"),
            budget: budget(),
            parts: reservation.parts.clone(),
            prompt_tokens: Tokens(cost),
            completion_tokens: Tokens::ZERO,
            outcome: BillOutcome::Complete,
        };
        let bill = bill.charged();
        let amount = bill.amount();
        self.spent += amount.0;
        assert_eq!(self.kept[choice / 3 % 2].keep(bill), RecordedBill::Accepted);
        self.wallets[side].settle(reservation, amount);
        if cost.is_multiple_of(5) {
            let watermark = BillWatermark {
                router: incarnation,
                logged_below: self.requests + 1,
            };
            self.kept[0].logged_below(watermark);
            self.kept[1].logged_below(watermark);
        }
    }

    fn end_all(&mut self) {
        while !self.running.is_empty() {
            self.end_one(self.running.len(), 3);
        }
    }

    fn router_reclaim(&mut self) -> RouterReclaim {
        let mut reclaim = RouterReclaim::new(Incarnation(200), BTreeSet::from(SIDECARS));
        for (kept, sidecar) in self.kept.iter_mut().zip(SIDECARS) {
            assert!(reclaim.prove(&[]).is_err(), "a confirmation is missing");
            let confirmation = kept.seal(sidecar, Incarnation(200));
            reclaim.confirm(&confirmation);
            reclaim.confirm(&confirmation);
        }
        reclaim
    }

    /// Returns the open and the spent tokens after the live wallets have returned their unspent
    /// tokens.
    fn drain(&mut self) -> (u64, u64) {
        for _ in 0..5 {
            self.now_ms += KeeperSettings::default().idle_ms;
            for wallet in &mut self.wallets {
                for returned in wallet.due_returns(self.now_ms) {
                    self.keeper.return_slice(&returned);
                    wallet.acknowledge_return(&returned.budget, returned.slice.id);
                }
            }
            self.keeper.tick(self.now_ms);
            self.append();
        }
        self.ledger_sums()
    }

    fn ledger_sums(&self) -> (u64, u64) {
        let balance = self
            .keeper
            .ledger()
            .balance(&budget())
            .expect("the limit was set");
        (balance.open.0, balance.spent.0)
    }
}

fn any_steps() -> impl Strategy<Value = Vec<(u8, usize, u64)>> {
    prop::collection::vec((0_u8..9, 0_usize..100, 0_u64..60), 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_fenced_router_leaves_exactly_its_unspent_tokens(steps in any_steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
        fleet.end_all();
        fleet.keeper.fence_router(Incarnation(200));
        let slices = fleet.keeper.open_slices(Incarnation(200));
        let reclaim = fleet.router_reclaim();
        let all: Vec<_> = slices.iter().map(|(_, slice)| *slice).collect();
        for proof in reclaim.prove(&all).expect("all sidecars confirmed") {
            let returned = SliceReturn { budget: budget(), slice: proof.slice, unspent: proof.unspent };
            prop_assert!(fleet.keeper.return_slice(&returned));
        }
        // Late returns of the dead router itself have no effect.
        let (open, spent) = fleet.drain();
        prop_assert_eq!((open, spent), (0, fleet.spent));
    }

    #[test]
    fn a_fenced_keeper_leaves_exactly_its_unspent_tokens(steps in any_steps(), router_too: bool) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
        }
        let routers = [Incarnation(200), Incarnation(201)];
        let mut reclaim = KeeperReclaim::new(KEEPER, BTreeSet::from(routers));
        fleet.wallets[0].fence_keeper(KEEPER);
        fleet.wallets[1].fence_keeper(KEEPER);
        let early = fleet.wallets[1].report_keeper(KEEPER).expect("the keeper is fenced");
        reclaim.report(&early);
        fleet.end_all();
        prop_assert!(reclaim.records(fleet.keeper.ledger()).is_err());
        if router_too {
            let fenced = fleet.router_reclaim();
            prop_assert!(reclaim.report_fenced_router(&fenced).is_ok());
        }
        for wallet in &fleet.wallets {
            let report = wallet.report_keeper(KEEPER).expect("the keeper is fenced");
            reclaim.report(&report);
            reclaim.report(&report);
        }
        let records = reclaim.records(fleet.keeper.ledger()).expect("all routers reported");
        let mut ledger = fleet.keeper.ledger().clone();
        let batch = LedgerBatch { author: 201, sequence: 1, records };
        ledger.apply(ledger.next(), &batch).expect("the offset is next");
        ledger.apply(ledger.next(), &batch).expect("the offset is next");
        let balance = ledger.balance(&budget()).expect("the limit was set");
        prop_assert_eq!((balance.open.0, balance.spent.0), (0, fleet.spent));
    }
}

#[test]
fn a_bill_after_the_confirmation_is_refused() {
    let mut fleet = Fleet::new();
    fleet.router_reclaim();
    for kind in [0, 4, 7, 0, 4] {
        fleet.step((kind, 0, 9));
        fleet.now_ms += 1_000;
    }
    fleet.step((0, 0, 9));
    let (_, reservation) = fleet.running.pop().expect("tokens were granted");
    let request = RequestId {
        incarnation: Incarnation(200),
        sequence: 1,
    };
    let late = Bill {
        request,
        workspace: "workspace".parse().expect("the name is valid"),
        budget: budget(),
        parts: reservation.parts,
        prompt_tokens: Tokens(1),
        completion_tokens: Tokens(1),
        outcome: BillOutcome::Complete,
    };
    assert_eq!(fleet.kept[0].keep(late), RecordedBill::Conflict);
}

#[test]
fn a_resumed_keeper_changes_nothing_after_its_grants_were_reclaimed() {
    let mut ledger = Ledger::default();
    let grant = GrantId {
        incarnation: KEEPER,
        sequence: 1,
    };
    for records in [
        vec![LedgerRecord::limit(&budget(), Version(1), Tokens(100))],
        vec![LedgerRecord::draw(&budget(), grant, Tokens(60))],
        vec![LedgerRecord::reclaim(grant, Tokens(50))],
        vec![LedgerRecord::close(grant, Tokens(60))],
        vec![LedgerRecord::draw(&budget(), grant, Tokens(60))],
    ] {
        let batch = LedgerBatch {
            author: 1,
            sequence: 1,
            records,
        };
        ledger
            .apply(ledger.next(), &batch)
            .expect("the offset is next");
    }
    let balance = ledger.balance(&budget()).expect("the limit was set");
    assert_eq!(
        (balance.open.0, balance.spent.0, balance.available().0),
        (0, 10, 90)
    );
}
