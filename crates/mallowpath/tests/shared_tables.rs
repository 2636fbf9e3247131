//! State shared by worker threads, under random schedules of the `shuttle` checker with a fixed
//! seed.
//!
//! As in the processes, a worker holds one lock at a time, so state that it read under one lock may
//! have changed when it takes the lock again.

use mallowpath::{
    AttachAnswer, Bill, BillAudit, BillOutcome, BillSettings, BudgetId, GrantId, Incarnation,
    PendingBills, RequestId, ReserveOutcome, RunSettings, RunTable, Slice, SliceAnswer, SliceId,
    SlicePart, SliceReply, Submit, SubmitAnswer, Tokens, Wallet, WalletSettings,
};
use shuttle::{
    check_random_with_seed,
    sync::{Arc, Mutex},
    thread,
};

const SEED: u64 = 7;
const SCHEDULES: usize = 300;
const ROUTER: Incarnation = Incarnation(1);
const KEEPER: Incarnation = Incarnation(2);
const SIDECAR: Incarnation = Incarnation(3);
const SLICE_TOKENS: Tokens = Tokens(100);

fn budget() -> BudgetId {
    "shared".parse().expect("a name")
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: ROUTER,
        sequence,
    }
}

#[test]
fn a_request_submitted_twice_starts_at_most_once_and_never_after_a_tombstone() {
    let schedule = || {
        let table = RunTable::new(SIDECAR, RunSettings::default(), []);
        let table = Arc::new(Mutex::new(table));
        let submit = Submit {
            id: request(1),
            sidecar: SIDECAR,
            lowest_open: 1,
            key: None,
            tombstone_on_refusal: false,
            has_memory: true,
        };
        let mut submitters = Vec::new();
        for _ in 0..2 {
            let table = Arc::clone(&table);
            submitters.push(thread::spawn(move || table.lock().unwrap().submit(&submit)));
        }
        let attached = {
            let table = Arc::clone(&table);
            thread::spawn(move || table.lock().unwrap().attach(request(1), 0))
        };
        let mut starts = 0;
        for submitter in submitters {
            starts += usize::from(submitter.join().unwrap() == SubmitAnswer::Start);
        }
        match attached.join().unwrap() {
            AttachAnswer::NeverRuns => assert_eq!(starts, 0, "started after its tombstone"),
            AttachAnswer::Chunks { .. } => assert_eq!(starts, 1),
            AttachAnswer::Evicted => panic!("nothing was evicted"),
        }
    };
    check_random_with_seed(schedule, SEED, SCHEDULES);
}

/// Answers the wallet's requests with slices and returns the tokens granted.
fn refill(wallet: &Mutex<Wallet>) -> u64 {
    let mut granted = 0;
    for round in 1..=4 {
        let requests = wallet.lock().unwrap().due_requests(|_| Some(KEEPER), round);
        for outgoing in requests {
            let slice = Slice {
                id: SliceId {
                    incarnation: KEEPER,
                    sequence: round,
                },
                grant: GrantId {
                    incarnation: KEEPER,
                    sequence: round,
                },
                tokens: SLICE_TOKENS,
            };
            let reply = SliceReply {
                number: outgoing.request.number,
                oldest_open_grant: 1,
                unspent: Tokens(1000),
                answer: SliceAnswer::Granted(vec![slice]),
            };
            granted += u64::from(wallet.lock().unwrap().apply_reply(KEEPER, &reply, round))
                * SLICE_TOKENS.0;
        }
        thread::yield_now();
    }
    granted
}

/// Returns the slices that are due and acknowledges them; returns their unspent tokens.
fn return_slices(wallet: &Mutex<Wallet>) -> u64 {
    let mut unspent = 0;
    for now_ms in 1..=3 {
        let returns = wallet.lock().unwrap().due_returns(now_ms);
        for returned in returns {
            unspent += returned.unspent.0;
            wallet
                .lock()
                .unwrap()
                .acknowledge_return(&returned.budget, returned.slice.id);
        }
        thread::yield_now();
    }
    unspent
}

/// Reserves and settles once, and returns the tokens spent.
fn spend(wallet: &Mutex<Wallet>, cost: Tokens) -> u64 {
    for now_ms in 1..=5 {
        let outcome = wallet
            .lock()
            .unwrap()
            .reserve(&budget(), Tokens(60), now_ms);
        let ReserveOutcome::Reserved(reservation) = outcome else {
            thread::yield_now();
            continue;
        };
        thread::yield_now();
        let mut spent = 0;
        for part in wallet.lock().unwrap().settle(reservation, cost) {
            spent += part.tokens.0;
        }
        return spent;
    }
    0
}

#[test]
fn a_wallet_shared_by_workers_conserves_tokens() {
    let schedule = || {
        let wallet = Arc::new(Mutex::new(Wallet::new(ROUTER, WalletSettings::default())));
        let mut spenders = Vec::new();
        for cost in [10, 60, 35] {
            let wallet = Arc::clone(&wallet);
            spenders.push(thread::spawn(move || spend(&wallet, Tokens(cost))));
        }
        let refiller = {
            let wallet = Arc::clone(&wallet);
            thread::spawn(move || refill(&wallet))
        };
        let returner = {
            let wallet = Arc::clone(&wallet);
            thread::spawn(move || return_slices(&wallet))
        };
        let mut spent = 0;
        for spender in spenders {
            spent += spender.join().unwrap();
        }
        let granted = refiller.join().unwrap();
        let returned = returner.join().unwrap();
        let held = wallet
            .lock()
            .unwrap()
            .outstanding()
            .remove(&budget())
            .unwrap_or_default();
        assert_eq!(held.reserved, Tokens::ZERO);
        assert!(
            spent + returned + held.free.0 + held.closing.0 >= granted,
            "tokens were lost"
        );
        assert!(
            spent + returned <= granted,
            "{spent} spent and {returned} returned of {granted}"
        );
    };
    check_random_with_seed(schedule, SEED, SCHEDULES);
}

fn bill(request: RequestId) -> Bill {
    Bill {
        request,
        workspace: "shared".parse().expect("a name"),
        budget: budget(),
        parts: vec![SlicePart {
            slice: SliceId {
                incarnation: KEEPER,
                sequence: 1,
            },
            grant: GrantId {
                incarnation: KEEPER,
                sequence: 1,
            },
            tokens: Tokens(5),
        }],
        prompt_tokens: Tokens(2),
        completion_tokens: Tokens(3),
        outcome: BillOutcome::Complete,
    }
}

#[test]
fn bills_finished_and_adopted_by_several_workers_count_once() {
    let schedule = || {
        let settings = BillSettings {
            interval_ms: 0,
            ..BillSettings::default()
        };
        let pending = Arc::new(Mutex::new(PendingBills::new(ROUTER, settings)));
        let mut workers = Vec::new();
        for _ in 0..2 {
            let pending = Arc::clone(&pending);
            workers.push(thread::spawn(move || {
                let request = pending.lock().unwrap().open();
                pending.lock().unwrap().finish(bill(request), true);
                // A sidecar that considers this router lost delivers the bill, too.
                pending.lock().unwrap().adopt(bill(request));
            }));
        }
        let audit = Arc::new(Mutex::new(BillAudit::default()));
        let log = |pending: &Mutex<PendingBills>, audit: &Mutex<BillAudit>, now_ms| {
            let batch = pending.lock().unwrap().batch(now_ms);
            let Some(batch) = batch else { return };
            audit.lock().unwrap().apply(&batch);
            pending.lock().unwrap().appended(batch.sequence);
        };
        let logger = {
            let (pending, audit) = (Arc::clone(&pending), Arc::clone(&audit));
            thread::spawn(move || {
                for now_ms in 1..=3 {
                    log(&pending, &audit, now_ms);
                    thread::yield_now();
                }
            })
        };
        for worker in workers {
            worker.join().unwrap();
        }
        logger.join().unwrap();
        log(&pending, &audit, 10);
        log(&pending, &audit, 11);
        let audit = audit.lock().unwrap();
        let total = audit.budgets().get(&budget()).expect("bills").tokens;
        assert_eq!(total, Tokens(10));
        assert_eq!(audit.conflict_count(), 0);
    };
    check_random_with_seed(schedule, SEED, SCHEDULES);
}
