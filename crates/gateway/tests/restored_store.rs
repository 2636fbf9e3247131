//! The store comes back from an older copy: what was in force stays in force, and no budget is
//! overspent.

mod common;

use common::{
    gateway::{PREPAID, TestGateway, WORKSPACE},
    router::{RAISE_HOLD_MS, TestRouter, configuration},
    server::{ScriptedServer, success},
    store::FakeStore,
};
use mallowpath::WorkspaceId;
use mallowpath_gateway::{
    Account, AccountLedger, AccountLine, GenerationChange, GenerationTracker, StoreGeneration,
    Topic,
};
use proptest::prelude::*;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time for routers to notice a restore, beyond that of their long polls.
const NOTICE_TIME: Duration = Duration::from_millis(600);

fn workspace() -> WorkspaceId {
    WORKSPACE.parse().unwrap()
}

#[test]
fn generation_rises_and_answers_of_an_earlier_one_are_outdated() {
    let mut generations = GenerationTracker::default();
    assert_eq!(generations.observe(None), GenerationChange::Same);
    assert_eq!(
        generations.observe(Some(StoreGeneration(4))),
        GenerationChange::Same
    );
    assert_eq!(
        generations.observe(Some(StoreGeneration(6))),
        GenerationChange::Restored
    );
    assert_eq!(
        generations.observe(Some(StoreGeneration(4))),
        GenerationChange::Outdated
    );
    assert_eq!(generations.observe(None), GenerationChange::Same);
    assert_eq!(
        generations.observe(Some(StoreGeneration(6))),
        GenerationChange::Same
    );
    assert_eq!(generations.current(), StoreGeneration(6));
}

#[tokio::test]
async fn version_and_evacuation_in_force_stay_so_until_they_are_written_again() {
    let inside = ScriptedServer::start(vec![success("inside")]).await;
    let outside = ScriptedServer::start(vec![success("outside")]).await;
    let test = TestGateway::start(&[]).await;
    let entry = format!("in zone-2 {}", inside.address);
    test.store.put(Topic::Backends, "b0", Some(&entry));
    let entry = outside.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&entry));
    test.wait_until(|gateway| gateway.backends.len() == 2).await;
    test.store.copy();
    test.store
        .put(Topic::Configuration, "configuration", Some("2"));
    test.store
        .put(Topic::Configuration, "evacuated/zone-2", Some("{}"));
    test.wait_until(|gateway| gateway.backends.evacuated_zones().len() == 1)
        .await;
    test.store.restore();
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(test.call("/new/", "").await.body, "outside");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(inside.count(), 0);
    // Records of the new generation are read, at offsets that were in use before.
    test.store
        .put(Topic::Configuration, "configuration", Some("3"));
    test.store
        .put(Topic::Configuration, "evacuated/zone-2", Some("{}"));
    test.store
        .put(Topic::Configuration, "evacuated/zone-2", None);
    test.wait_until(|gateway| gateway.backends.evacuated_zones().is_empty())
        .await;
}

#[tokio::test]
async fn servers_that_drained_or_left_get_no_requests_when_an_older_copy_lists_them() {
    let draining = ScriptedServer::start(vec![success("draining")]).await;
    let gone = ScriptedServer::start(vec![success("gone")]).await;
    let staying = ScriptedServer::start(vec![success("staying")]).await;
    let test = TestGateway::start(&[draining.address, gone.address, staying.address]).await;
    test.store.copy();
    let entry = format!("leaving {}", draining.address);
    test.store.put(Topic::Backends, "b0", Some(&entry));
    test.store.put(Topic::Backends, "b1", None);
    test.wait_until(|gateway| gateway.backends.len() == 2).await;
    test.store.restore();
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(test.call("/once/", "").await.body, "staying");
        sleep(Duration::from_millis(20)).await;
    }
    // A registration that is written in the new generation is in force.
    let entry = gone.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&entry));
    test.wait_until(|gateway| gateway.backends.len() == 3).await;
}

#[tokio::test]
async fn server_that_registered_after_the_copy_stays_in_use_until_it_registers_again() {
    let old = ScriptedServer::start(vec![success("old")]).await;
    let new = ScriptedServer::start(vec![success("new")]).await;
    let test = TestGateway::start(&[old.address]).await;
    test.store.copy();
    let entry = new.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&entry));
    test.store.put(Topic::Backends, "b0", None);
    test.wait_until(|gateway| gateway.backends.ids() == ["b1".parse().unwrap()])
        .await;
    test.store.restore();
    sleep(NOTICE_TIME).await;
    assert_eq!(test.call("/once/", "").await.body, "new");
    test.store.put(Topic::Backends, "b1", Some(&entry));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(test.call("/once/", "").await.body, "new");
}

#[tokio::test]
async fn routers_serve_on_and_draw_again_after_a_restore() {
    let server = ScriptedServer::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    let holds_tokens = || test.gateway.holding(&workspace(), PREPAID).granted > 0;
    test.store.copy();
    test.wait_until(|_| holds_tokens()).await;
    let tokens = "x-tokens: 970 30\r\n";
    assert_eq!(test.call("/once/", tokens).await.status, 200);
    test.store.restore();
    sleep(NOTICE_TIME).await;
    // From what it holds, at once; more than that only when others have had time to write again.
    assert_eq!(test.call("/once/", tokens).await.status, 200);
    let more = test.call("/once/", "x-tokens: 6970 30\r\n").await;
    assert_eq!(more.status, 429);
    sleep(Duration::from_millis(4_500)).await;
    assert_eq!(
        test.call("/once/", "x-tokens: 6970 30\r\n").await.status,
        200
    );
    assert_eq!(
        test.call("/once/", "x-tokens: 1970 30\r\n").await.status,
        402
    );
}

fn account(
    generation: u64,
    epoch: u64,
    sequence: u64,
    incarnation: u64,
    line: AccountLine,
) -> Account {
    let mut account = Account {
        epoch,
        sequence,
        generation: StoreGeneration(generation),
        incarnation,
        ..Account::default()
    };
    account.lines.insert(workspace(), line);
    account
}

fn granted(spent_before: u64, granted: u64) -> AccountLine {
    AccountLine {
        spent_before,
        granted,
        ..AccountLine::default()
    }
}

#[test]
fn account_of_an_older_copy_does_not_replace_a_newer_one() {
    let mut ledger = AccountLedger::default();
    ledger.set(Arc::from("r"), account(0, 1, 5, 9, granted(0, 500)));
    ledger.set(Arc::from("r"), account(0, 1, 3, 9, granted(0, 300)));
    assert_eq!(ledger.spent_or_held(&workspace()), 500);
    // The same process in the next generation; it has returned tokens.
    ledger.set(Arc::from("r"), account(1, 2, 1, 9, granted(0, 400)));
    assert_eq!(ledger.spent_or_held(&workspace()), 400);
}

#[test]
fn tokens_of_a_process_that_ended_with_lost_records_stay_counted_where_they_are_known() {
    let mut ledger = AccountLedger::default();
    ledger.set(Arc::from("r"), account(0, 4, 9, 7, granted(100, 500)));
    // The next process has read a copy with 300 tokens, and may use the same epoch again.
    ledger.set(Arc::from("r"), account(1, 4, 1, 8, granted(300, 50)));
    assert_eq!(ledger.spent_or_held(&workspace()), 600 + 50);
    ledger.set(Arc::from("r"), account(1, 4, 2, 8, granted(300, 80)));
    assert_eq!(ledger.spent_or_held(&workspace()), 600 + 80);
}

#[test]
fn demand_of_the_lost_time_is_held_back_for_routers_that_have_not_written_again() {
    let mut ledger = AccountLedger::default();
    let line = AccountLine {
        tokens_per_s: 20,
        ..granted(0, 300)
    };
    ledger.set(Arc::from("r"), account(1, 1, 1, 7, line));
    ledger.set_generation(StoreGeneration(1));
    assert_eq!(ledger.spent_or_held(&workspace()), 300);
    ledger.set_generation(StoreGeneration(2));
    assert_eq!(ledger.spent_or_held(&workspace()), 300 + 200);
    ledger.set(Arc::from("r"), account(2, 2, 1, 7, line));
    assert_eq!(ledger.spent_or_held(&workspace()), 300);
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Spend(u64),
    Draw,
    /// Ends the router and starts its next incarnation.
    Kill,
    /// Copies the store; a restore brings back the last copy.
    Copy,
    /// Restores the store, which all routers notice.
    Restore,
}

fn event() -> impl Strategy<Value = (usize, Event)> {
    let event = prop_oneof![
        16 => (1_u64..900).prop_map(Event::Spend),
        16 => Just(Event::Draw),
        2 => Just(Event::Kill),
        2 => Just(Event::Copy),
        1 => Just(Event::Restore),
    ];
    (0_usize..3, event)
}

/// Applies the events to three routers and returns the tokens that all incarnations have spent.
///
/// Kills that would come between a copy and its restore are left out: what a process that ended
/// then had drawn is not known to anybody.
async fn run_events(events: &[(usize, Event)]) -> u64 {
    let store = FakeStore::default();
    let configuration = configuration();
    let mut routers = Vec::new();
    for index in 0..3 {
        routers.push(TestRouter::start(&store, &format!("r{index}")).await);
    }
    store.copy();
    let mut spent_by_killed = 0;
    for (position, (index, event)) in events.iter().enumerate() {
        match event {
            Event::Spend(tokens) => drop(routers[*index].spend(*tokens)),
            Event::Draw => drop(routers[*index].task.draw_once(&configuration).await),
            Event::Kill if is_lost(&events[position..]) => {}
            Event::Kill => {
                spent_by_killed += routers[*index].spent;
                routers[*index] = TestRouter::start(&store, &format!("r{index}")).await;
            }
            Event::Copy => store.copy(),
            Event::Restore => {
                store.restore();
                routers.rotate_left(*index);
                for router in &mut routers {
                    // The restore is noticed by an append or by the read of another topic.
                    router.spend(700);
                    router.task.draw_once(&configuration).await;
                    router.spend(700);
                    router.task.check_for_restore();
                    router.task.draw_once(&configuration).await;
                    router.spend(700);
                }
                routers.rotate_right(*index);
                sleep(Duration::from_millis(RAISE_HOLD_MS + 10)).await;
            }
        }
    }
    spent_by_killed + routers.iter().map(|router| router.spent).sum::<u64>()
}

/// Returns whether a restore comes before the next copy.
fn is_lost(events: &[(usize, Event)]) -> bool {
    for (_, event) in events {
        match event {
            Event::Copy => return false,
            Event::Restore => return true,
            _ => {}
        }
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn routers_never_spend_more_than_the_prepaid_tokens(
        events in proptest::collection::vec(event(), 1..200),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let spent = runtime.block_on(run_events(&events));
        prop_assert!(spent <= PREPAID, "{spent} of {PREPAID} spent");
    }
}

#[tokio::test]
async fn server_that_drained_and_is_ready_again_stays_in_use_after_a_restore() {
    let server = ScriptedServer::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    let address = server.address.to_string();
    let leaving = format!("leaving {address}");
    test.store.put(Topic::Backends, "b0", Some(&leaving));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(test.call("/once/", "").await.status, 503);
    test.store.put(Topic::Backends, "b0", Some(&address));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(test.call("/once/", "").await.status, 200);
    test.store.copy();
    test.store
        .put(Topic::Backends, "other", Some("127.0.0.1:1"));
    test.wait_until(|gateway| gateway.backends.len() == 2).await;
    test.store.restore();
    sleep(NOTICE_TIME).await;
    let got = test.call("/again/", "").await;
    assert_eq!(got.status, 200);
}
