//! New configuration versions and changes of backend servers take effect soon, and versions never
//! go back.

mod common;

use common::{
    gateway::TestGateway,
    server::{ScriptedServer, success},
};
use mallowpath_gateway::Topic;
use std::time::Duration;
use tokio::time::sleep;

#[tokio::test]
async fn a_new_version_takes_effect_within_2_s_and_is_not_replaced_by_an_older_one() {
    let server = ScriptedServer::start(vec![success("hello")]).await;
    let test = TestGateway::start(&[server.address]).await;
    assert_eq!(test.call("/new/", "").await.status, 404);
    test.store
        .put(Topic::Configuration, "configuration", Some("2"));
    let mut attempts = 0;
    while test.call("/new/", "").await.status != 200 {
        attempts += 1;
        assert!(attempts < 100, "the version did not take effect within 2 s");
        sleep(Duration::from_millis(20)).await;
    }
    test.store
        .put(Topic::Configuration, "configuration", Some("1"));
    sleep(Duration::from_millis(200)).await;
    assert_eq!(test.call("/new/", "").await.status, 200);
}

#[tokio::test]
async fn draining_and_removed_servers_get_no_requests() {
    let leaving = ScriptedServer::start(vec![success("leaving")]).await;
    let removed = ScriptedServer::start(vec![success("removed")]).await;
    let staying = ScriptedServer::start(vec![success("staying")]).await;
    let test = TestGateway::start(&[leaving.address, removed.address, staying.address]).await;
    let entry = format!("leaving {}", leaving.address);
    test.store.put(Topic::Backends, "b0", Some(&entry));
    test.store.put(Topic::Backends, "b1", None);
    test.wait_until(|gateway| gateway.backends.len() == 2).await;
    for _ in 0..8 {
        assert_eq!(test.call("/once/", "").await.body, "staying");
    }
}

#[tokio::test]
async fn a_server_removed_during_a_store_outage_gets_no_requests_afterwards() {
    let removed = ScriptedServer::start(vec![success("removed")]).await;
    let staying = ScriptedServer::start(vec![success("staying")]).await;
    let test = TestGateway::start(&[removed.address, staying.address]).await;
    test.store.set_down(true);
    sleep(Duration::from_millis(300)).await;
    // The record of the removal is compacted away, so only a full list of entries shows it.
    test.store.put(Topic::Backends, "b0", None);
    test.store.compact();
    test.store.set_down(false);
    test.wait_until(|gateway| gateway.backends.len() == 1).await;
    for _ in 0..4 {
        assert_eq!(test.call("/once/", "").await.body, "staying");
    }
}

#[tokio::test]
async fn an_invalid_entry_removes_only_its_own_server() {
    let invalid = ScriptedServer::start(vec![success("invalid")]).await;
    let valid = ScriptedServer::start(vec![success("valid")]).await;
    let test = TestGateway::start(&[invalid.address, valid.address]).await;
    test.store.put(Topic::Backends, "b0", Some("nonsense"));
    test.wait_until(|gateway| gateway.backends.len() == 1).await;
    for _ in 0..6 {
        assert_eq!(test.call("/once/", "").await.body, "valid");
    }
}
