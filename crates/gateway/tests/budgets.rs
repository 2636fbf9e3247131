//! No budget is overspent, whatever is lost, and tokens that nobody spent come back.

mod common;

use common::{
    backend::{Act, Server, success},
    fleet::{PREPAID, TestGateway, WORKSPACE, send},
    store::FakeStore,
};
use futures_util::FutureExt;
use mallowpath_gateway::{
    Account, Catalogue, DrawTask, Line, LocalBudgets, PlanSettings, Reservation, Topic, Workspace,
};
use proptest::prelude::*;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

const TOKENS: &str = "x-tokens: 1000 30\r\n";

#[tokio::test]
async fn a_request_beyond_the_budget_is_refused_for_good_and_the_rest_is_served() {
    let mut acts = vec![Act::StreamHead];
    acts.extend((1..=10).map(Act::Event));
    acts.push(Act::StreamEnd);
    let server = Server::start(acts).await;
    let test = TestGateway::start(&[server.address]).await;
    let mut served = 0;
    let mut last = 0;
    for _ in 0..20 {
        let got = test.call("/stream/", TOKENS).await;
        served += u64::from(got.status == 200);
        last = got.status;
    }
    // Each one costs its prompt and ten events of three tokens.
    assert_eq!(served, PREPAID / 1_030);
    assert_eq!(last, 402);
}

#[tokio::test]
async fn a_caller_that_leaves_before_the_answer_pays_for_the_prompt_once() {
    let server = Server::start(vec![Act::AwaitClose]).await;
    let test = TestGateway::start(&[server.address]).await;
    let mut stream = test.connect().await;
    send(&mut stream, "/stream/", TOKENS).await;
    test.wait_until(|gateway| {
        let holding = gateway.holding(&WORKSPACE.parse().unwrap(), PREPAID);
        holding.reserved == 1_030 && server.count() == 1
    })
    .await;
    drop(stream);
    // The connection closes without a byte, which is no proof that the request has not run.
    test.wait_until(|gateway| {
        let holding = gateway.holding(&WORKSPACE.parse().unwrap(), PREPAID);
        holding.reserved == 0 && holding.spent == 1_000
    })
    .await;
}

#[tokio::test]
async fn a_caller_that_leaves_after_the_answer_began_pays_for_prompt_and_events() {
    let acts = vec![
        Act::StreamHead,
        Act::Event(1),
        Act::Event(2),
        Act::AwaitClose,
    ];
    let server = Server::start(acts).await;
    let test = TestGateway::start(&[server.address]).await;
    let mut stream = test.connect().await;
    send(&mut stream, "/stream/", TOKENS).await;
    sleep(Duration::from_millis(300)).await;
    drop(stream);
    test.wait_until(|gateway| {
        let holding = gateway.holding(&WORKSPACE.parse().unwrap(), PREPAID);
        holding.reserved == 0 && holding.spent == 1_006
    })
    .await;
}

#[tokio::test]
async fn a_request_whose_answer_is_lost_is_paid() {
    let server = Server::start(vec![Act::Wait(50), Act::Close]).await;
    let test = TestGateway::start(&[server.address]).await;
    assert_eq!(test.call("/stream/", TOKENS).await.status, 502);
    let holding = holding(&test);
    assert_eq!((holding.reserved, holding.spent), (0, 1_000));
}

#[tokio::test]
async fn an_outage_of_the_store_leaves_what_is_held() {
    let server = Server::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    test.wait_until(|gateway| {
        let holding = gateway.holding(&WORKSPACE.parse().unwrap(), PREPAID);
        holding.granted > 2_000
    })
    .await;
    test.store.set_down(true);
    assert_eq!(test.call("/once/", TOKENS).await.status, 200);
    let short = test.call("/once/", "x-tokens: 8000 30\r\n").await;
    assert_eq!(short.status, 429);
    assert!(short.head.contains("retry-after"));
}

#[tokio::test]
async fn what_is_held_serves_a_small_request_while_a_large_one_waits_in_vain() {
    let server = Server::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    test.wait_until(|_| holding(&test).granted >= PREPAID / 2)
        .await;
    test.store.set_down(true);
    let large = test.call("/once/", "x-tokens: 9000 30\r\n");
    let small = async {
        sleep(Duration::from_millis(50)).await;
        test.call("/once/", TOKENS).await
    };
    let (large, small) = tokio::join!(large, small);
    assert_eq!((large.status, small.status), (429, 200));
}

#[tokio::test]
async fn a_router_that_ends_gives_back_what_it_held() {
    let test = TestGateway::start(&[]).await;
    let workspace = WORKSPACE.parse().unwrap();
    test.wait_until(|gateway| gateway.holding(&workspace, PREPAID).granted > 0)
        .await;
    test.gateway.drain();
    test.gateway.drained().await;
    assert_eq!(test.gateway.holding(&workspace, PREPAID).granted, 0);
}

#[tokio::test]
async fn requests_that_wait_for_tokens_count_once_in_the_demand() {
    const CALLS: u32 = 8;
    const HALF_LIFE_S: f64 = 3.0;
    let server = Server::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    let calls = (0..CALLS).map(|_| test.call("/once/", TOKENS));
    // The first draw has tokens for the largest request only, so the others wait for more draws.
    futures_util::future::join_all(calls).await;
    let most = f64::from(CALLS) * 1_030.0 * std::f64::consts::LN_2 / HALF_LIFE_S;
    let measured = holding(&test).tokens_per_s;
    assert!(
        measured <= most,
        "{measured} tokens a second, {most} at most"
    );
}

fn holding(test: &TestGateway) -> mallowpath_gateway::Holding {
    let workspace = WORKSPACE.parse().unwrap();
    test.gateway.holding(&workspace, PREPAID)
}

/// A router that only draws and spends.
struct Spender {
    task: DrawTask,
    local_budgets: Arc<LocalBudgets>,
    reserved: Vec<Reservation>,
    spent: u64,
}

impl Spender {
    async fn start(store: &FakeStore, name: &str) -> Self {
        let local_budgets = LocalBudgets::new();
        let settings = PlanSettings {
            floor_share: 0.2,
            ..PlanSettings::default()
        };
        let task = DrawTask::new(
            store.calls(),
            Arc::from(name),
            Arc::clone(&local_budgets),
            settings,
        );
        task.load().await;
        Self {
            task,
            local_budgets,
            reserved: Vec::new(),
            spent: 0,
        }
    }

    /// Tells whether the local budgets hold so many tokens.
    fn try_reserve(&self, tokens: u64) -> bool {
        let workspace = WORKSPACE.parse().unwrap();
        let reserved = self
            .local_budgets
            .reserve(&workspace, tokens, Instant::now());
        reserved.is_ok()
    }

    /// Spends for good; tells whether the local budgets held enough.
    fn spend(&mut self, tokens: u64) -> bool {
        let workspace = WORKSPACE.parse().unwrap();
        let now = Instant::now();
        self.local_budgets.count_demand(&workspace, tokens, now);
        match self.local_budgets.reserve(&workspace, tokens, now) {
            Ok(mut reservation) => {
                reservation.set_all_spent();
                self.reserved.push(reservation);
                self.spent += tokens;
                true
            }
            Err(_) => false,
        }
    }
}

fn catalogue() -> Catalogue {
    let mut catalogue = Catalogue::new(1);
    let workspace = Workspace {
        id: WORKSPACE.parse().unwrap(),
        prepaid: Some(PREPAID),
    };
    catalogue.add_workspace(workspace, &[]);
    catalogue
}

/// What happens to one of the routers.
#[derive(Debug, Clone, Copy)]
enum Event {
    Spend(u64),
    Draw,
    Killed,
}

fn event() -> impl Strategy<Value = (usize, Event)> {
    let what = prop_oneof![
        4 => (1_u64..900).prop_map(Event::Spend),
        4 => Just(Event::Draw),
        1 => Just(Event::Killed),
    ];
    (0_usize..4, what)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn routers_never_spend_more_than_was_paid(
        events in proptest::collection::vec(event(), 1..160),
        lost_one_in in prop_oneof![Just(0_u64), 3_u64..7],
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        let spent = runtime.block_on(play(&events, lost_one_in));
        prop_assert!(spent <= PREPAID, "{spent} of {PREPAID} spent");
    }
}

async fn play(events: &[(usize, Event)], lost_one_in: u64) -> u64 {
    let store = FakeStore::default();
    store.lose_one_in(lost_one_in);
    let catalogue = catalogue();
    let mut routers = Vec::new();
    for index in 0..4 {
        routers.push(Spender::start(&store, &format!("r{index}")).await);
    }
    let mut spent_before = 0;
    for (index, event) in events {
        match event {
            Event::Spend(tokens) => {
                routers[*index].spend(*tokens);
            }
            Event::Draw => {
                routers[*index].task.step(&catalogue).await;
            }
            Event::Killed => {
                spent_before += routers[*index].spent;
                routers[*index] = Spender::start(&store, &format!("r{index}")).await;
            }
        }
    }
    spent_before + routers.iter().map(|router| router.spent).sum::<u64>()
}

#[tokio::test(start_paused = true)]
async fn routers_that_draw_at_once_spend_nearly_all() {
    let store = FakeStore::default();
    let catalogue = catalogue();
    let mut routers = Vec::new();
    for index in 0..4 {
        routers.push(Spender::start(&store, &format!("r{index}")).await);
    }
    for round in 0..400 {
        let router = &mut routers[round % 4];
        router.spend(100);
        router.task.step(&catalogue).await;
        sleep(Duration::from_millis(100)).await;
    }
    let spent: u64 = routers.iter().map(|router| router.spent).sum();
    assert!(spent <= PREPAID);
    assert!(spent >= PREPAID * 97 / 100, "{spent} of {PREPAID} spent");
}

#[tokio::test]
async fn all_requests_that_wait_are_drawn_for_and_go_before_later_ones() {
    let store = FakeStore::default();
    let spender = Spender::start(&store, "r").await;
    let workspace = WORKSPACE.parse().unwrap();
    let mut waiting = Vec::new();
    for _ in 0..5 {
        assert!(!spender.try_reserve(900));
        waiting.push(spender.local_budgets.wait(&workspace, 900));
    }
    spender.task.step(&catalogue()).await;
    let holding = spender
        .local_budgets
        .holding(&workspace, PREPAID, 0.0, Instant::now());
    assert!(holding.granted >= 5 * 900, "{holding:?}");
    // What is left beside those that wait is less than a later one asks for.
    assert!(!spender.try_reserve(holding.granted - 5 * 900 + 1));
    let gone = waiting.pop();
    let mut reserved = Vec::new();
    for one in &waiting {
        reserved.push(one.reserve(Instant::now()).unwrap());
    }
    drop(waiting);
    // One that has not taken its tokens keeps them until it leaves.
    assert!(!spender.try_reserve(900));
    drop(gone);
    assert!(spender.try_reserve(900));
}

#[tokio::test]
async fn tokens_that_another_router_gave_back_are_found() {
    let store = FakeStore::default();
    let catalogue = catalogue();
    let holder = Spender::start(&store, "holder").await;
    let mut asker = Spender::start(&store, "asker").await;
    // The holder waits for all there is, so nothing is left for the asker.
    assert!(!holder.try_reserve(PREPAID));
    holder.task.step(&catalogue).await;
    assert!(!asker.spend(1_000));
    // The first step of the asker grants what does not fit, the second takes that back.
    for _ in 0..2 {
        asker.task.step(&catalogue).await;
        assert!(!asker.spend(1_000));
    }
    // Without demand the holder gives nearly all back.
    holder.task.step(&catalogue).await;
    sleep(Duration::from_millis(500)).await;
    assert!(!asker.spend(1_000));
    asker.task.step(&catalogue).await;
    assert!(asker.spend(1_000));
}

#[tokio::test]
async fn a_request_is_refused_at_once_while_others_hold_all_that_is_left() {
    const CALLS: u32 = 5;
    let server = Server::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    let mut account = Account {
        epoch: 1,
        sequence: 1,
        ..Account::default()
    };
    let line = Line {
        granted: PREPAID,
        ..Line::default()
    };
    account.lines.insert(WORKSPACE.parse().unwrap(), line);
    test.store
        .put_bytes(Topic::Budgets, "other", account.encode());
    // The first request finds out.
    assert_eq!(
        test.call("/once/", "x-tokens: 9000 30\r\n").await.status,
        429
    );
    let started = Instant::now();
    for _ in 0..CALLS {
        let got = test.call("/once/", "x-tokens: 9000 30\r\n").await;
        assert_eq!(got.status, 429);
        assert!(got.head.contains("retry-after"));
    }
    let took_ms = started.elapsed().as_millis();
    assert!(took_ms < 200, "{CALLS} refusals took {took_ms} ms");
}

/// Returns a router whose place another process has taken, which it does not know yet.
async fn replaced(catalogue: &Catalogue) -> Spender {
    let store = FakeStore::default();
    let old = Spender::start(&store, "r").await;
    old.task.step(catalogue).await;
    let new = Spender::start(&store, "r").await;
    new.task.step(catalogue).await;
    old
}

#[tokio::test(start_paused = true)]
async fn a_process_whose_place_was_taken_draws_no_more() {
    let catalogue = catalogue();
    let old = replaced(&catalogue).await;
    let workspace = WORKSPACE.parse().unwrap();
    let held = old
        .local_budgets
        .holding(&workspace, PREPAID, 0.0, Instant::now());
    let more = held.granted + 1;
    let refused = old.local_budgets.reserve(&workspace, more, Instant::now());
    assert_eq!(refused.unwrap_err().held, held.granted);
    old.task.step(&catalogue).await;
    let after = old
        .local_budgets
        .holding(&workspace, PREPAID, 0.0, Instant::now());
    assert!(after.granted <= held.granted);
}

#[tokio::test(start_paused = true)]
async fn requests_are_not_woken_while_nothing_new_is_known() {
    let catalogue = catalogue();
    let old = replaced(&catalogue).await;
    assert!(!old.try_reserve(PREPAID));
    // The step in which the process learns that its place was taken.
    old.task.step(&catalogue).await;
    let woken = old.local_budgets.refilled();
    tokio::pin!(woken);
    woken.as_mut().enable();
    // Each wake would have the request try again, which asks for the next step.
    assert!(!old.task.step(&catalogue).await);
    assert!(woken.now_or_never().is_none());
}

proptest! {
    #[test]
    fn an_account_reads_back_as_written(
        epoch in any::<u64>(),
        sequence in any::<u64>(),
        numbers in proptest::collection::vec(any::<(u64, u64, u64)>(), 0..5),
    ) {
        let mut account = Account { epoch, sequence, ..Account::default() };
        for (index, (closed, granted, spent)) in numbers.into_iter().enumerate() {
            let workspace = format!("w{index}").parse().unwrap();
            account.lines.insert(workspace, Line { closed, granted, spent });
        }
        let read = Account::decode("r", account.encode()).unwrap();
        prop_assert_eq!(read, account);
    }

    #[test]
    fn no_bytes_make_an_account_panic(bytes in any::<Vec<u8>>()) {
        // Whether they can be read does not matter here.
        let _ = Account::decode("r", bytes.into());
    }
}
