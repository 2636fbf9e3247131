//! One slice request, and one draw for it, cover all requests that wait for tokens.

use mallowpath::{
    BudgetId, Incarnation, Keeper, KeeperSettings, Ledger, LedgerBatch, LedgerRecord, Offset,
    ReserveOutcome, SliceAnswer, SliceRequest, Tokens, Version, Wallet, WalletSettings,
};

const ROUTER: Incarnation = Incarnation(200);
const KEEPER: Incarnation = Incarnation(100);

fn budget() -> BudgetId {
    "workspace/budget".parse().expect("the name is valid")
}

fn request(number: u64, expected: u64) -> SliceRequest {
    SliceRequest {
        router: ROUTER,
        number,
        budget: budget(),
        needed: Tokens(100),
        expected: Tokens(expected),
        reservation: Tokens(100),
    }
}

fn keeper() -> Keeper {
    let mut ledger = Ledger::default();
    let limit = LedgerRecord::limit(&budget(), Version(1), Tokens(1_000_000));
    let batch = LedgerBatch {
        author: 1,
        sequence: 1,
        records: vec![limit],
    };
    ledger.apply(Offset(0), &batch).expect("the first offset");
    let settings = KeeperSettings {
        floor_divisor: u64::MAX,
        ..KeeperSettings::default()
    };
    Keeper::new(KEEPER, ledger, settings)
}

#[test]
fn a_draw_covers_the_expected_use_of_the_router() {
    let mut keeper = keeper();
    keeper.try_answer(&request(1, 5_000), 0);
    let draw = keeper.next_batch(0).expect("a draw");
    keeper
        .replay(Offset(1), &draw, 10)
        .expect("the next offset");
    let SliceAnswer::Granted(slices) = keeper.try_answer(&request(1, 5_000), 10).answer else {
        panic!("not granted")
    };
    assert_eq!(slices[0].tokens, Tokens(5_000));
}

#[test]
fn a_slice_request_covers_all_waiting_requests() {
    let mut wallet = Wallet::new(ROUTER, WalletSettings::default());
    for _ in 0..3 {
        let outcome = wallet.reserve(&budget(), Tokens(100), 0);
        assert!(matches!(outcome, ReserveOutcome::Insufficient { .. }));
        wallet.start_waiting(&budget(), Tokens(100));
    }
    wallet.reserve(&budget(), Tokens(100), 0);
    let sent = wallet.due_requests(|_| Some(KEEPER), 0);
    assert_eq!(sent[0].request.needed, Tokens(100));
    assert_eq!(sent[0].request.expected, Tokens(300));
}
