//! The wallet of a router: reservations, slice requests, returns and fencing.

use mallowpath::{
    BudgetId, GrantId, Incarnation, OutgoingRequest, Reservation, ReserveOutcome, Slice,
    SliceAnswer, SliceId, SliceReply, Tokens, Wallet, WalletSettings,
};

const KEEPER: Incarnation = Incarnation(100);

fn budget() -> BudgetId {
    "workspace/budget".parse().expect("the name is valid")
}

fn wallet() -> Wallet {
    Wallet::new(
        Incarnation(200),
        WalletSettings {
            idle_ms: 2_000,
            ..WalletSettings::default()
        },
    )
}

fn slice(sequence: u64, tokens: u64) -> Slice {
    Slice {
        id: SliceId {
            incarnation: KEEPER,
            sequence,
        },
        grant: GrantId {
            incarnation: KEEPER,
            sequence: 1 + sequence / 10,
        },
        tokens: Tokens(tokens),
    }
}

fn send_requests(wallet: &mut Wallet, now_ms: u64) -> Vec<OutgoingRequest> {
    wallet.due_requests(|_| Some(KEEPER), now_ms)
}

fn reply(wallet: &mut Wallet, number: u64, answer: SliceAnswer, now_ms: u64) -> bool {
    let reply = SliceReply {
        number,
        oldest_open_grant: 0,
        unspent: Tokens(40),
        answer,
    };
    wallet.apply_reply(KEEPER, &reply, now_ms)
}

fn reserved(outcome: ReserveOutcome) -> Reservation {
    let ReserveOutcome::Reserved(reservation) = outcome else {
        panic!("not reserved: {outcome:?}")
    };
    reservation
}

fn filled(slices: &[Slice]) -> Wallet {
    let mut wallet = wallet();
    wallet.reserve(&budget(), Tokens(1), 0);
    let number = send_requests(&mut wallet, 0)[0].request.number;
    assert!(reply(
        &mut wallet,
        number,
        SliceAnswer::Granted(slices.to_vec()),
        0
    ));
    wallet
}

#[test]
fn a_reservation_spans_slices_and_frees_its_unspent_tokens() {
    let mut wallet = filled(&[slice(1, 10), slice(2, 10)]);
    let reservation = reserved(wallet.reserve(&budget(), Tokens(15), 1));
    assert_eq!(reservation.parts.len(), 2);
    assert!(matches!(
        wallet.reserve(&budget(), Tokens(6), 1),
        ReserveOutcome::Insufficient { .. }
    ));
    let spent = wallet.settle(reservation, Tokens(12));
    let spent: Vec<u64> = spent.iter().map(|part| part.tokens.0).collect();
    assert_eq!(spent, [10, 2]);
    assert_eq!(wallet.outstanding()[&budget()].free, Tokens(8));
    reserved(wallet.reserve(&budget(), Tokens(8), 1));
}

#[test]
fn a_cost_above_the_reservation_is_charged_up_to_the_reservation() {
    // A backend server that miscounts reports more tokens than were reserved.
    let mut wallet = filled(&[slice(1, 10)]);
    let reservation = reserved(wallet.reserve(&budget(), Tokens(6), 1));
    let spent = wallet.settle(reservation, Tokens(600));
    assert_eq!(spent[0].tokens, Tokens(6));
    assert_eq!(wallet.outstanding()[&budget()].free, Tokens(4));
}

#[test]
fn callers_without_enough_tokens_share_one_request() {
    let mut wallet = wallet();
    assert_eq!(
        wallet.reserve(&budget(), Tokens(30), 0),
        ReserveOutcome::Insufficient {
            retry_after_ms: 200
        }
    );
    wallet.reserve(&budget(), Tokens(20), 0);
    let requests = send_requests(&mut wallet, 0);
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].request.needed, Tokens(20));
    assert_eq!(requests[0].request.expected, Tokens(30));
    wallet.reserve(&budget(), Tokens(20), 10);
    assert!(send_requests(&mut wallet, 10).is_empty());
    assert_eq!(
        send_requests(&mut wallet, 200),
        requests,
        "a repeated request carries the same number"
    );
}

#[test]
fn only_the_first_reply_to_a_request_takes_effect() {
    let mut wallet = filled(&[slice(1, 10)]);
    assert!(!reply(
        &mut wallet,
        1,
        SliceAnswer::Granted(vec![slice(1, 10)]),
        0
    ));
    assert!(!reply(
        &mut wallet,
        9,
        SliceAnswer::Granted(vec![slice(2, 10)]),
        0
    ));
    assert_eq!(wallet.outstanding()[&budget()].free, Tokens(10));
}

#[test]
fn exhausted_and_short_are_distinguished_by_the_unspent_tokens() {
    let mut wallet = wallet();
    wallet.reserve(&budget(), Tokens(30), 0);
    send_requests(&mut wallet, 0);
    reply(
        &mut wallet,
        1,
        SliceAnswer::Short {
            retry_after_ms: 700,
        },
        0,
    );
    let outcome = wallet.reserve(&budget(), Tokens(40), 100);
    assert_eq!(
        outcome,
        ReserveOutcome::Insufficient {
            retry_after_ms: 600
        }
    );
    assert_eq!(
        wallet.reserve(&budget(), Tokens(41), 100),
        ReserveOutcome::Exhausted
    );
    assert!(
        send_requests(&mut wallet, 699).is_empty(),
        "the retry delay of the keeper has not passed"
    );
    assert_eq!(send_requests(&mut wallet, 700).len(), 1);
    reply(&mut wallet, 2, SliceAnswer::UnknownBudget, 700);
    assert_eq!(
        wallet.reserve(&budget(), Tokens(1), 700),
        ReserveOutcome::UnknownBudget
    );
}

#[test]
fn tokens_are_requested_before_the_wallet_runs_out() {
    let mut wallet = filled(&[slice(1, 100)]);
    reserved(wallet.reserve(&budget(), Tokens(60), 1));
    assert_eq!(
        send_requests(&mut wallet, 1).len(),
        0,
        "more than half of the expected use is free"
    );
    reserved(wallet.reserve(&budget(), Tokens(30), 2));
    let requests = send_requests(&mut wallet, 2);
    assert_eq!(requests[0].request.expected, Tokens(90));
    assert_eq!(requests[0].request.needed, Tokens(1));
}

#[test]
fn used_up_and_idle_slices_are_returned_until_acknowledged() {
    let mut wallet = filled(&[slice(1, 10), slice(2, 10)]);
    let reservation = reserved(wallet.reserve(&budget(), Tokens(10), 100));
    assert!(
        wallet.due_returns(100).is_empty(),
        "tokens of the slice are reserved"
    );
    wallet.settle(reservation, Tokens(10));
    let returns = wallet.due_returns(100);
    assert_eq!(
        (
            returns.len(),
            returns[0].slice.id.sequence,
            returns[0].unspent.0
        ),
        (1, 1, 0)
    );
    assert!(wallet.due_returns(200).is_empty());
    assert_eq!(
        wallet.due_returns(300),
        returns,
        "an unacknowledged return is repeated"
    );
    wallet.acknowledge_return(&budget(), returns[0].slice.id);
    let idle = wallet.due_returns(2_100);
    assert_eq!(
        (idle.len(), idle[0].slice.id.sequence, idle[0].unspent.0),
        (1, 2, 10)
    );
    assert!(matches!(
        wallet.reserve(&budget(), Tokens(1), 2_100),
        ReserveOutcome::Insufficient { .. }
    ));
}

#[test]
fn a_fenced_router_reserves_no_more_tokens() {
    let mut wallet = filled(&[slice(1, 10)]);
    let running = reserved(wallet.reserve(&budget(), Tokens(4), 0));
    wallet.stop_permanently();
    assert_eq!(
        wallet.reserve(&budget(), Tokens(1), 0),
        ReserveOutcome::Stopped
    );
    assert!(send_requests(&mut wallet, 1_000).is_empty());
    assert_eq!(wallet.settle(running, Tokens(3))[0].tokens, Tokens(3));
    assert_eq!(
        wallet.reserve(&budget(), Tokens(1), 0),
        ReserveOutcome::Stopped
    );
}

#[test]
fn slices_of_a_fenced_keeper_are_neither_accepted_nor_spent() {
    let mut wallet = filled(&[slice(1, 10)]);
    assert_eq!(wallet.report_keeper(KEEPER), None);
    let running = reserved(wallet.reserve(&budget(), Tokens(4), 0));
    wallet.reserve(&budget(), Tokens(7), 0);
    let late = send_requests(&mut wallet, 0)[0].request.number;
    wallet.fence_keeper(KEEPER);
    assert!(!reply(
        &mut wallet,
        late,
        SliceAnswer::Granted(vec![slice(2, 50)]),
        0
    ));
    assert!(matches!(
        wallet.reserve(&budget(), Tokens(1), 0),
        ReserveOutcome::Insufficient { .. }
    ));
    assert!(
        !wallet
            .report_keeper(KEEPER)
            .expect("the keeper is fenced")
            .settled
    );
    wallet.settle(running, Tokens(3));
    let report = wallet.report_keeper(KEEPER).expect("the keeper is fenced");
    assert!(report.settled);
    assert_eq!(report.grants.len(), 1);
    assert_eq!(report.grants[0].spent, Tokens(3));
    assert!(
        wallet.due_returns(10_000).is_empty(),
        "slices of a fenced keeper are not returned"
    );
}
