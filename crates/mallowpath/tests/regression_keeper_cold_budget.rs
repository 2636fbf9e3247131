//! Regression: the first request for a budget, and the end of a closing keeper.
//!
//! A request that waited for the first draw got its own stored refusal until the wait ended. The
//! first request for a budget took about a second, and a burst of first requests was refused. A
//! closing keeper drew again the tokens that it had returned, so that it didn't settle.

use mallowpath::{
    BudgetId, Incarnation, Keeper, KeeperSettings, Ledger, Offset, SliceAnswer, SliceRequest,
    SliceReturn, Tokens, Version,
};

const ROUTER: Incarnation = Incarnation(7);

struct Fixture {
    keeper: Keeper,
    next: u64,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Self {
        let settings = KeeperSettings::default();
        let mut keeper = Keeper::new(Incarnation(1), Ledger::default(), settings);
        keeper.set_limit(&budget(), Version(1), Tokens(1_000_000));
        let mut fixture = Self {
            keeper,
            next: 0,
            now_ms: 0,
        };
        fixture.append();
        fixture
    }

    /// Appends the keeper's next batch and replays it; returns whether there was one.
    fn append(&mut self) -> bool {
        self.now_ms += 1;
        let Some(batch) = self.keeper.next_batch(self.now_ms) else {
            return false;
        };
        let replayed = self.keeper.replay(Offset(self.next), &batch, self.now_ms);
        replayed.expect("no gap");
        self.next += 1;
        true
    }

    /// Offers a request and returns the tokens of its first slice, or `None` if it is refused.
    fn offer_request(&mut self, number: u64) -> Option<Tokens> {
        match self.keeper.try_answer(&request(number), self.now_ms).answer {
            SliceAnswer::Granted(slices) => Some(slices[0].tokens),
            _ => None,
        }
    }
}

fn budget() -> BudgetId {
    "b".parse().expect("a name")
}

fn request(number: u64) -> SliceRequest {
    SliceRequest {
        router: ROUTER,
        number,
        budget: budget(),
        needed: Tokens(50),
        expected: Tokens(50),
        reservation: Tokens(50),
    }
}

#[test]
fn a_request_that_waits_for_a_draw_is_granted() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.offer_request(1), None);
    assert!(fixture.append());
    assert_eq!(fixture.offer_request(1), Some(Tokens(50)));
    // A copy of the request gets the same slice.
    assert_eq!(fixture.offer_request(1), Some(Tokens(50)));
    assert_eq!(fixture.keeper.open_slices(ROUTER).len(), 1);
}

#[test]
fn a_late_copy_of_a_refused_request_opens_no_slice() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.offer_request(1), None);
    let last = fixture.keeper.answer_final(&request(1), fixture.now_ms);
    assert!(matches!(last.answer, SliceAnswer::Short { .. }));
    assert!(fixture.append());
    assert_eq!(fixture.offer_request(1), None);
    assert!(fixture.keeper.open_slices(ROUTER).is_empty());
    assert_eq!(fixture.offer_request(2), Some(Tokens(50)));
}

#[test]
fn a_closing_keeper_settles_despite_expected_use() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.offer_request(1), None);
    fixture.append();
    assert_eq!(fixture.offer_request(1), Some(Tokens(50)));
    let slice = fixture.keeper.open_slices(ROUTER)[0].1;
    fixture.keeper.close();
    fixture.keeper.return_slice(&SliceReturn {
        budget: budget(),
        slice,
        unspent: Tokens(20),
    });
    for _ in 0..4 {
        fixture.keeper.tick(fixture.now_ms);
        fixture.append();
    }
    assert!(fixture.keeper.is_settled());
    let balance = fixture
        .keeper
        .ledger()
        .balance(&budget())
        .expect("a balance");
    assert_eq!((balance.open, balance.spent), (Tokens::ZERO, Tokens(30)));
}
