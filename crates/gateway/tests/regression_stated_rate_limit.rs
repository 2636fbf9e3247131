//! A backend server that stated a limit on its requests got as many as before from all routers.

mod common;

use common::{
    gateway::TestGateway,
    server::{ScriptedServer, answer, success},
    store::FakeStore,
};
use mallowpath_gateway::{Gateway, Topic};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

const ROUTERS: usize = 4;

/// The requests per second that the limited server states.
const RATE_PER_S: usize = 2;

#[tokio::test]
async fn backend_gets_no_more_requests_than_it_states_from_all_routers_together() {
    let rate = format!("x-signature: s\r\nx-rate: {RATE_PER_S}\r\n");
    let limited = ScriptedServer::start(vec![answer("200 OK", &rate, "hello")]).await;
    let other = ScriptedServer::start(vec![success("hello")]).await;
    let store = FakeStore::default();
    store.put(Topic::Configuration, "configuration", Some("1"));
    store.put(Topic::Backends, "b0", Some(&limited.address.to_string()));
    store.put(Topic::Backends, "b1", Some(&other.address.to_string()));
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        let name = format!("router-{index}");
        let router = TestGateway::start_router(&store, |settings| {
            settings.account = Arc::from(name);
        })
        .await;
        routers.push(router);
    }
    let is_complete = |gateway: &Gateway| {
        gateway.directory.router_count() == ROUTERS && gateway.backends.len() == 2
    };
    for router in &routers {
        router.wait_until(is_complete).await;
    }
    // Each router has been told after a few requests.
    send_for(&routers, Duration::from_secs(1)).await;
    let before = limited.count();
    send_for(&routers, Duration::from_secs(4)).await;
    let received = limited.count() - before;
    let allowed = RATE_PER_S * 4 * 3 / 2 + 5;
    assert!(received <= allowed, "{received} requests in 4 s");
    assert!(received >= RATE_PER_S, "{received} requests in 4 s");
}

/// Sends requests to the routers in turn, 40 a second.
async fn send_for(routers: &[TestGateway], duration: Duration) {
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < duration {
        let router = &routers[count % routers.len()];
        assert_eq!(router.call("/again/", "").await.status, 200);
        count += 1;
        sleep(Duration::from_millis(25)).await;
    }
}
