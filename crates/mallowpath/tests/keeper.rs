//! Keepers, wallets and the ledger together, with lost, duplicated, delayed and reordered messages.

use mallowpath::{
    BudgetId, GrantId, Incarnation, Keeper, KeeperSettings, Ledger, LedgerBatch, LedgerEntry,
    LedgerRecord, Offset, OutgoingRequest, Reservation, ReserveOutcome, SliceAnswer, SliceId,
    SliceReply, SliceRequest, SliceReturn, Tokens, TopUpRecord, Version, Wallet, WalletSettings,
};
use proptest::{prelude::*, test_runner::RngSeed};

const KEEPERS: usize = 2;
const ROUTERS: usize = 3;
const IDLE_MS: u64 = 10_000;

#[derive(Debug, Clone)]
enum Message {
    Request(usize, OutgoingRequest),
    Reply(usize, Incarnation, SliceReply),
    Return(usize, SliceReturn),
    Acknowledge(usize, SliceId),
    Append(LedgerBatch),
}

struct Router {
    wallet: Wallet,
    running: Vec<Reservation>,
    spent: u64,
}

/// A simulated fleet whose message delivery and log are controlled by the test.
struct Fleet {
    budget: BudgetId,
    log: Vec<LedgerBatch>,
    reference: Ledger,
    max_paid_tokens: u64,
    keepers: Vec<Keeper>,
    routers: Vec<Router>,
    network: Vec<Message>,
    now_ms: u64,
    version: u64,
}

fn budget() -> BudgetId {
    "workspace/budget".parse().expect("the name is valid")
}

fn keeper_id(index: usize) -> Incarnation {
    Incarnation(100 + index as u64)
}

fn router_id(index: usize) -> Incarnation {
    Incarnation(200 + index as u64)
}

impl Fleet {
    fn new() -> Self {
        let mut keepers = Vec::new();
        for index in 0..KEEPERS {
            // Short times and no minimum draw, so that grants open, close and shrink often.
            let settings = KeeperSettings {
                floor_divisor: u64::MAX,
                idle_ms: IDLE_MS,
                batch_interval_ms: 0,
                ..KeeperSettings::default()
            };
            keepers.push(Keeper::new(keeper_id(index), Ledger::default(), settings));
        }
        let mut routers = Vec::new();
        for index in 0..ROUTERS {
            let settings = WalletSettings {
                idle_ms: IDLE_MS / 5,
                ..WalletSettings::default()
            };
            let wallet = Wallet::new(router_id(index), settings);
            routers.push(Router {
                wallet,
                running: Vec::new(),
                spent: 0,
            });
        }
        let mut fleet = Self {
            budget: budget(),
            log: Vec::new(),
            reference: Ledger::default(),
            max_paid_tokens: 0,
            keepers,
            routers,
            network: Vec::new(),
            now_ms: 0,
            version: 0,
        };
        fleet.set_limit(500);
        fleet
    }

    fn append(&mut self, batch: LedgerBatch) {
        let offset = Offset(self.log.len() as u64);
        self.reference
            .apply(offset, &batch)
            .expect("the offset is next");
        self.log.push(batch);
        let balance = self.reference.balance(&self.budget).unwrap_or_default();
        self.max_paid_tokens = self
            .max_paid_tokens
            .max(balance.limit.0 + balance.top_ups.0);
    }

    fn set_limit(&mut self, tokens: u64) {
        self.version += 1;
        let record = LedgerRecord::limit(&self.budget, Version(self.version), Tokens(tokens));
        self.append(LedgerBatch {
            author: 1,
            sequence: self.version,
            records: vec![record],
        });
    }

    fn top_up(&mut self, id: usize, tokens: u64) {
        let record = TopUpRecord {
            budget: self.budget.to_string(),
            id: id.to_string(),
            tokens,
            issued_at: 0,
        };
        let records = vec![LedgerRecord {
            entry: Some(LedgerEntry::TopUp(record)),
        }];
        self.network.push(Message::Append(LedgerBatch {
            author: 2,
            sequence: 0,
            records,
        }));
    }

    fn reserve(&mut self, index: usize, tokens: u64) -> bool {
        let router = &mut self.routers[index];
        let outcome = router
            .wallet
            .reserve(&self.budget, Tokens(tokens), self.now_ms);
        let ReserveOutcome::Reserved(reservation) = outcome else {
            return false;
        };
        router.running.push(reservation);
        true
    }

    fn settle(&mut self, index: usize, choice: usize, share: u64) {
        let router = &mut self.routers[index];
        if router.running.is_empty() {
            return;
        }
        let reservation = router.running.swap_remove(choice % router.running.len());
        let total: u64 = reservation.parts.iter().map(|part| part.tokens.0).sum();
        let spent = total * (share % 5) / 4;
        let parts = router.wallet.settle(reservation, Tokens(spent));
        assert_eq!(parts.iter().map(|part| part.tokens.0).sum::<u64>(), spent);
        router.spent += spent;
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(keeper, OutgoingRequest { request, .. }) => {
                let reply = self.keepers[keeper].answer_final(&request, self.now_ms);
                let router = usize::try_from(request.router.0 - 200).expect("a small number");
                self.network
                    .push(Message::Reply(router, keeper_id(keeper), reply));
            }
            Message::Reply(router, keeper, reply) => {
                self.routers[router]
                    .wallet
                    .apply_reply(keeper, &reply, self.now_ms);
            }
            Message::Return(router, returned) => {
                let keeper = usize::try_from(returned.slice.id.incarnation.0 - 100);
                let keeper = keeper.expect("a small number");
                assert!(self.keepers[keeper].return_slice(&returned));
                self.network
                    .push(Message::Acknowledge(router, returned.slice.id));
            }
            Message::Acknowledge(router, slice) => {
                self.routers[router]
                    .wallet
                    .acknowledge_return(&self.budget, slice);
            }
            Message::Append(batch) => self.append(batch),
        }
    }

    fn run_keeper(&mut self, index: usize) {
        self.keepers[index].tick(self.now_ms);
        if let Some(batch) = self.keepers[index].next_batch(self.now_ms) {
            self.network.push(Message::Append(batch));
        }
    }

    fn replay(&mut self, index: usize, count: usize) {
        for _ in 0..count {
            let keeper = &mut self.keepers[index];
            let next = keeper.ledger().next();
            let position = usize::try_from(next.0).expect("a small number");
            let Some(batch) = self.log.get(position) else {
                return;
            };
            keeper
                .replay(next, batch, self.now_ms)
                .expect("the offset is next");
        }
    }

    fn run_router(&mut self, index: usize, keeper: usize) {
        let wallet = &mut self.routers[index].wallet;
        for request in wallet.due_requests(|_| Some(keeper_id(keeper)), self.now_ms) {
            let keeper = usize::try_from(request.keeper.0 - 100).expect("a small number");
            self.network.push(Message::Request(keeper, request));
        }
        for returned in wallet.due_returns(self.now_ms) {
            self.network.push(Message::Return(index, returned));
        }
    }

    fn step(&mut self, (kind, a, b): (u8, usize, u64)) {
        let router = a % ROUTERS;
        let keeper = a % KEEPERS;
        let small = usize::try_from(b % 8).expect("a small number");
        let message_index = (!self.network.is_empty()).then(|| a % self.network.len().max(1));
        match (kind, message_index) {
            (0..=3, _) => drop(self.reserve(router, b % 60 + 1)),
            (4..=5, _) => self.settle(router, small, b),
            (6..=13, Some(message_index)) => {
                let message = self.network.remove(message_index);
                self.deliver(message);
            }
            (14, Some(message_index)) => self.deliver(self.network[message_index].clone()),
            (15, Some(message_index)) => drop(self.network.remove(message_index)),
            (16..=17, _) => self.run_keeper(keeper),
            (18..=20, _) => self.run_router(router, small % KEEPERS),
            (21..=22, _) => self.replay(keeper, small),
            (23, _) => self.now_ms += b * 20,
            (24, _) => self.top_up(small, b),
            (25, _) if b.is_multiple_of(4) => self.set_limit(b * 5),
            _ => {}
        }
    }

    /// Returns the tokens that routers have spent or can still spend without a keeper.
    fn committed(&self) -> u64 {
        let mut sum = 0;
        for router in &self.routers {
            sum += router.spent;
            for held in router.wallet.outstanding().values() {
                sum += held.reserved.0 + held.free.0;
            }
        }
        sum
    }

    /// Settles all requests and runs enough rounds for all idle slices and grants to be returned.
    fn quiesce(&mut self) {
        for round in 0..100 {
            self.now_ms += IDLE_MS / 10;
            for index in 0..ROUTERS {
                while !self.routers[index].running.is_empty() {
                    self.settle(index, 0, round);
                }
            }
            self.round();
        }
    }

    /// Advances the time by a second, runs all routers and keepers, and delivers all messages.
    fn round(&mut self) {
        self.now_ms += 1_000;
        for index in 0..ROUTERS {
            self.run_router(index, index % KEEPERS);
        }
        for index in 0..KEEPERS {
            self.replay(index, self.log.len());
            self.run_keeper(index);
        }
        for message in std::mem::take(&mut self.network) {
            self.deliver(message);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn spending_stays_within_the_budget_and_unspent_tokens_are_returned(
        steps in prop::collection::vec((0_u8..26, 0_usize..1_000, 0_u64..200), 1..400),
    ) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
            prop_assert!(fleet.committed() <= fleet.max_paid_tokens);
        }
        fleet.quiesce();
        prop_assert!(fleet.committed() <= fleet.max_paid_tokens);
        let balance = fleet.reference.balance(&fleet.budget).expect("the limit was set");
        let spent: u64 = fleet.routers.iter().map(|router| router.spent).sum();
        prop_assert_eq!(balance.open, Tokens::ZERO, "a grant or slice was not returned");
        prop_assert_eq!(balance.spent, Tokens(spent), "the ledger must count the tokens spent");
        for keeper in &fleet.keepers {
            prop_assert_eq!(keeper.ledger().state_hash(), fleet.reference.state_hash());
        }
    }
}

#[test]
fn a_budget_can_be_spent_completely() {
    let mut fleet = Fleet::new();
    for _ in 0..500 {
        for index in 0..ROUTERS {
            fleet.reserve(index, 7);
            fleet.settle(index, 0, 4);
        }
        fleet.round();
    }
    fleet.quiesce();
    for _ in 0..500 {
        for index in 0..ROUTERS {
            fleet.reserve(index, 1);
            fleet.settle(index, 0, 4);
        }
        fleet.round();
    }
    assert_eq!(
        fleet.routers.iter().map(|router| router.spent).sum::<u64>(),
        500
    );
}

fn request(number: u64, needed: u64) -> SliceRequest {
    let (needed, expected) = (Tokens(needed), Tokens(needed));
    SliceRequest {
        router: router_id(0),
        number,
        budget: budget(),
        needed,
        expected,
        reservation: needed,
    }
}

#[test]
fn a_keeper_serves_requests_from_its_grants_while_the_log_is_unavailable() {
    let mut fleet = Fleet::new();
    fleet.replay(0, 1);
    let short = fleet.keepers[0].answer_final(&request(1, 20), 0);
    assert_eq!(
        short.answer,
        SliceAnswer::Short {
            retry_after_ms: 500
        }
    );
    fleet.run_keeper(0);
    let Some(Message::Append(batch)) = fleet.network.pop() else {
        panic!("a draw is due")
    };
    fleet.append(batch.clone());
    assert_eq!(fleet.keepers[0].next_batch(499), None);
    assert_eq!(
        fleet.keepers[0].next_batch(500),
        Some(batch.clone()),
        "a batch that was not read back is offered again"
    );
    fleet.append(batch);
    fleet.replay(0, 2);
    assert_eq!(
        fleet.reference.balance(&budget()).expect("known").open,
        Tokens(20)
    );

    let first = fleet.keepers[0].answer_final(&request(2, 5), 600);
    let SliceAnswer::Granted(slices) = &first.answer else {
        panic!("tokens are held")
    };
    assert_eq!(slices[0].tokens, Tokens(5));
    assert_eq!(
        fleet.keepers[0].answer_final(&request(2, 5), 700),
        first,
        "a repeated request gets the same slice"
    );
    assert_eq!(
        fleet.keepers[0].answer_final(&request(1, 20), 700).answer,
        SliceAnswer::Stale
    );

    // From here on the log is unavailable: no batch is read back.
    let second = fleet.keepers[0].answer_final(&request(3, 15), 800);
    assert!(matches!(second.answer, SliceAnswer::Granted(_)));
    let third = fleet.keepers[0].answer_final(&request(4, 15), 900);
    assert_eq!(
        third.answer,
        SliceAnswer::Short {
            retry_after_ms: 500
        }
    );
    let mut appends_ms = Vec::new();
    for now_ms in (1_000..6_000).step_by(100) {
        if fleet.keepers[0].next_batch(now_ms).is_some() {
            appends_ms.push(now_ms);
        }
    }
    assert_eq!(
        appends_ms,
        [1_000, 1_500, 2_500, 4_000],
        "the delay between attempts increases"
    );
    let later = fleet.keepers[0].answer_final(&request(5, 15), 5_900);
    assert_eq!(
        later.answer,
        SliceAnswer::Short {
            retry_after_ms: 2_000
        }
    );
}

#[test]
fn exhausted_is_answered_only_when_no_open_grant_can_return_tokens() {
    let mut fleet = Fleet::new();
    fleet.replay(0, 1);
    let exhausted = fleet.keepers[0].answer_final(&request(1, 501), 0).answer;
    assert_eq!(exhausted, SliceAnswer::Exhausted);
    let grant = GrantId {
        incarnation: keeper_id(1),
        sequence: 1,
    };
    let records = vec![LedgerRecord::draw(&budget(), grant, Tokens(500))];
    fleet.append(LedgerBatch {
        author: keeper_id(1).0,
        sequence: 1,
        records,
    });
    fleet.replay(0, 1);
    let short = fleet.keepers[0].answer_final(&request(2, 1), 0).answer;
    assert!(
        matches!(short, SliceAnswer::Short { .. }),
        "the other keeper may return tokens"
    );
    let records = vec![LedgerRecord::close(grant, Tokens::ZERO)];
    fleet.append(LedgerBatch {
        author: keeper_id(1).0,
        sequence: 2,
        records,
    });
    fleet.replay(0, 1);
    assert_eq!(
        fleet.keepers[0].answer_final(&request(3, 1), 0).answer,
        SliceAnswer::Exhausted
    );
    let mut unknown = request(4, 1);
    unknown.budget = "other".parse().expect("the name is valid");
    assert_eq!(
        fleet.keepers[0].answer_final(&unknown, 0).answer,
        SliceAnswer::UnknownBudget
    );
}

#[test]
fn a_configured_limit_is_appended_once() {
    let mut keeper = Keeper::new(keeper_id(0), Ledger::default(), KeeperSettings::default());
    keeper.set_limit(&budget(), Version(3), Tokens(9));
    let batch = keeper.next_batch(0).expect("the limit is new");
    keeper
        .replay(Offset(0), &batch, 0)
        .expect("the offset is next");
    assert_eq!(
        keeper.ledger().balance(&budget()).expect("known").limit,
        Tokens(9)
    );
    keeper.set_limit(&budget(), Version(3), Tokens(9));
    keeper.set_limit(&budget(), Version(2), Tokens(5));
    assert_eq!(keeper.next_batch(0), None);
}

/// Returns the size of the next grant of a keeper with default settings when another keeper holds
/// `taken` of 102,400 tokens.
fn next_draw(taken: u64, needed: u64, expected: u64) -> u64 {
    let mut keeper = Keeper::new(keeper_id(0), Ledger::default(), KeeperSettings::default());
    let other = GrantId {
        incarnation: keeper_id(1),
        sequence: 1,
    };
    let records = vec![
        LedgerRecord::limit(&budget(), Version(1), Tokens(102_400)),
        LedgerRecord::draw(&budget(), other, Tokens(taken)),
    ];
    let batch = LedgerBatch {
        author: 1,
        sequence: 1,
        records,
    };
    keeper
        .replay(Offset(0), &batch, 0)
        .expect("the offset is next");
    let mut request = request(1, needed);
    request.expected = Tokens(expected);
    keeper.answer_final(&request, 0);
    let batch = keeper.next_batch(0).expect("a draw is due");
    keeper
        .replay(Offset(1), &batch, 0)
        .expect("the offset is next");
    keeper.ledger().open_grants(keeper_id(0))[0].2.0
}

#[test]
fn draws_have_a_floor_and_shrink_with_the_tokens_left() {
    assert_eq!(next_draw(0, 10, 10), 400);
    assert_eq!(next_draw(51_200, 10, 10), 200);
    assert_eq!(next_draw(102_300, 10, 10), 10);
    assert_eq!(next_draw(0, 900, 900), 900);
}

#[test]
fn idle_grants_are_returned_sooner_while_most_of_a_budget_is_granted() {
    let mut keeper = Keeper::new(keeper_id(0), Ledger::default(), KeeperSettings::default());
    keeper.set_limit(&budget(), Version(1), Tokens(8_000));
    let limit = keeper.next_batch(0).expect("the limit is new");
    keeper
        .replay(Offset(0), &limit, 0)
        .expect("the offset is next");
    keeper.answer_final(&request(1, 100), 0);
    let draw = keeper.next_batch(1_000).expect("a draw is due");
    keeper
        .replay(Offset(1), &draw, 1_000)
        .expect("the offset is next");
    keeper.tick(100_000);
    assert_eq!(
        keeper.next_batch(100_000),
        None,
        "most of the budget is left"
    );
    let other = GrantId {
        incarnation: keeper_id(1),
        sequence: 1,
    };
    let records = vec![LedgerRecord::draw(&budget(), other, Tokens(7_000))];
    let batch = LedgerBatch {
        author: keeper_id(1).0,
        sequence: 1,
        records,
    };
    keeper
        .replay(Offset(2), &batch, 100_000)
        .expect("the offset is next");
    keeper.tick(100_000);
    let records = keeper.next_batch(100_000).expect("a return is due").records;
    let grant = GrantId {
        incarnation: keeper_id(0),
        sequence: 1,
    };
    assert_eq!(records, [LedgerRecord::close(grant, Tokens(100))]);
}

#[test]
fn a_slice_is_limited_to_a_share_of_the_available_tokens_unless_more_is_needed() {
    let mut keeper = Keeper::new(keeper_id(0), Ledger::default(), KeeperSettings::default());
    keeper.set_limit(&budget(), Version(1), Tokens(102_400));
    let limit = keeper.next_batch(0).expect("the limit is new");
    keeper
        .replay(Offset(0), &limit, 0)
        .expect("the offset is next");
    keeper.answer_final(&request(1, 51_200), 0);
    let draw = keeper.next_batch(1_000).expect("a draw is due");
    keeper
        .replay(Offset(1), &draw, 1_000)
        .expect("the offset is next");
    let mut large_request = request(2, 10);
    large_request.expected = Tokens(1_000_000);
    let SliceAnswer::Granted(slices) = keeper.answer_final(&large_request, 1_000).answer else {
        panic!("tokens are held")
    };
    assert_eq!(slices[0].tokens, Tokens(12_800));
    let SliceAnswer::Granted(slices) = keeper.answer_final(&request(3, 20_000), 1_000).answer
    else {
        panic!("tokens are held")
    };
    assert_eq!(slices[0].tokens, Tokens(20_000));
}
