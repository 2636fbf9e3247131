//! After a restart, a router that drew no more of a budget left its predecessor's account as it was.
//! What that had held looked like tokens that would come back, so callers were told to come back
//! (429) when the budget was in fact spent (402).

mod common;

use common::{
    gateway::{PREPAID, TestGateway, WORKSPACE},
    router::shard,
    server::{ScriptedServer, success},
    store::FakeStore,
};
use mallowpath_gateway::{Account, AccountLine, Gateway, Topic};

#[tokio::test]
async fn tokens_that_a_predecessor_held_count_as_spent_at_once() {
    let server = ScriptedServer::start(vec![success("hello")]).await;
    let store = FakeStore::default();
    store.put(Topic::Configuration, "configuration", Some("1"));
    store.put(Topic::Backends, "b0", Some(&server.address.to_string()));
    let mut account = Account {
        epoch: 1,
        sequence: 1,
        incarnation: 77,
        ..Account::default()
    };
    let line = AccountLine {
        granted: PREPAID,
        spent: 100,
        ..AccountLine::default()
    };
    account.lines.insert(WORKSPACE.parse().unwrap(), line);
    // The router that restarts and another one have the same store.
    store.put_bytes(Topic::Budgets(shard()), "restarted", account.encode());
    let restarted = TestGateway::start_router(&store, |settings| {
        settings.account = "restarted".into();
    })
    .await;
    let other = TestGateway::start_router(&store, |_| {}).await;
    for test in [&restarted, &other] {
        let is_ready = |gateway: &Gateway| {
            gateway.directory.router_count() == 2 && gateway.backends.len() == 1
        };
        test.wait_until(is_ready).await;
    }
    tokio::time::sleep(std::time::Duration::from_millis(800)).await;
    let tokens = "x-tokens: 1000 30\r\n";
    // The first refusal may come from a copy of the ledger that is older.
    other.call("/once/", tokens).await;
    assert_eq!(other.call("/once/", tokens).await.status, 402);
    assert_eq!(restarted.call("/once/", tokens).await.status, 402);
    assert_eq!(server.count(), 0);
}
