//! A keeper that waits for its first draw must find the tokens, and a keeper that closes must end.
//!
//! Once, the wait met its own refusal until it was over, so the first request for a budget took
//! about a second and a burst of them was refused; and a closing keeper drew what it had returned.

use mallowpath::{
    BudgetId, Incarnation, Keeper, KeeperSettings, Ledger, Offset, SliceAnswer, SliceRequest,
    SliceReturn, Tokens, Version,
};

const ROUTER: Incarnation = Incarnation(7);

struct Site {
    keeper: Keeper,
    next: u64,
    now_ms: u64,
}

impl Site {
    fn new() -> Self {
        let settings = KeeperSettings::default();
        let mut keeper = Keeper::new(Incarnation(1), Ledger::default(), settings);
        keeper.set_limit(&budget(), Version(1), Tokens(1_000_000));
        let mut site = Self {
            keeper,
            next: 0,
            now_ms: 0,
        };
        site.append();
        site
    }

    /// Appends what the keeper offers and lets it read that back; returns whether it did.
    fn append(&mut self) -> bool {
        self.now_ms += 1;
        let Some(batch) = self.keeper.batch(self.now_ms) else {
            return false;
        };
        let replayed = self.keeper.replay(Offset(self.next), &batch, self.now_ms);
        replayed.expect("no gap");
        self.next += 1;
        true
    }

    fn granted(&mut self, number: u64) -> Option<Tokens> {
        match self.keeper.offer(&request(number), self.now_ms).answer {
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
fn a_request_that_waits_for_a_draw_gets_its_tokens() {
    let mut site = Site::new();
    assert_eq!(site.granted(1), None);
    assert!(site.append());
    assert_eq!(site.granted(1), Some(Tokens(50)));
    // A copy of the request gets the same slice.
    assert_eq!(site.granted(1), Some(Tokens(50)));
    assert_eq!(site.keeper.open_slices(ROUTER).len(), 1);
}

#[test]
fn a_refusal_that_was_given_opens_no_slice_for_a_late_copy() {
    let mut site = Site::new();
    assert_eq!(site.granted(1), None);
    let last = site.keeper.request(&request(1), site.now_ms);
    assert!(matches!(last.answer, SliceAnswer::Short { .. }));
    assert!(site.append());
    assert_eq!(site.granted(1), None);
    assert!(site.keeper.open_slices(ROUTER).is_empty());
    assert_eq!(site.granted(2), Some(Tokens(50)));
}

#[test]
fn a_closing_keeper_settles_though_its_rate_asks_for_more() {
    let mut site = Site::new();
    assert_eq!(site.granted(1), None);
    site.append();
    assert_eq!(site.granted(1), Some(Tokens(50)));
    let slice = site.keeper.open_slices(ROUTER)[0].1;
    site.keeper.close();
    site.keeper.return_slice(&SliceReturn {
        budget: budget(),
        slice,
        unspent: Tokens(20),
    });
    for _ in 0..4 {
        site.keeper.tick(site.now_ms);
        site.append();
    }
    assert!(site.keeper.is_settled());
    let balance = site.keeper.ledger().balance(&budget()).expect("a balance");
    assert_eq!((balance.open, balance.spent), (Tokens::ZERO, Tokens(30)));
}
