//! A prompt part that ends every backend server that answers it was sent to one after the other.

mod common;

use common::{crashing_server::CrashingServer, gateway::TestGateway, store::FakeStore};
use mallowpath_gateway::{Gateway, Topic};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The part that ends backend servers.
const DEADLY: &[&str] = &["666"];

/// Routers in front of backend servers that a deadly part ends.
struct Fleet {
    servers: Vec<CrashingServer>,
    routers: Vec<TestGateway>,
    store: FakeStore,
    sent: usize,
}

impl Fleet {
    async fn start(router_count: usize, server_count: usize) -> Self {
        let store = FakeStore::default();
        store.put(Topic::Configuration, "configuration", Some("1"));
        let mut servers = Vec::new();
        for index in 0..server_count {
            let server = CrashingServer::start(DEADLY).await;
            let address = server.address.to_string();
            store.put(Topic::Backends, &format!("b{index}"), Some(&address));
            servers.push(server);
        }
        let mut fleet = Self {
            servers,
            routers: Vec::new(),
            store,
            sent: 0,
        };
        for index in 0..router_count {
            fleet.start_router(&format!("router-{index}")).await;
        }
        for router in &fleet.routers {
            let knows_all = |gateway: &Gateway| gateway.directory.router_count() == router_count;
            router.wait_until(knows_all).await;
        }
        fleet
    }

    async fn start_router(&mut self, name: &str) {
        let router = TestGateway::start_router(&self.store, |settings| {
            settings.account = Arc::from(name);
        })
        .await;
        let server_count = self.servers.len();
        let knows_servers = |gateway: &Gateway| gateway.backends.len() == server_count;
        router.wait_until(knows_servers).await;
        self.routers.push(router);
    }

    /// Sends a request with these prompt parts and one of its own to the next router; returns the
    /// status, or 0 if the answer broke off.
    async fn call(&mut self, shared_parts: &str) -> u16 {
        self.sent += 1;
        let own_part = 10_000 + self.sent;
        let headers = format!("x-prompt: {shared_parts} {own_part}\r\n");
        let router = &self.routers[self.sent % self.routers.len()];
        let answer = router.call("/resumed/", &headers).await;
        if answer.is_truncated {
            0
        } else {
            answer.status
        }
    }

    fn crash_count(&self) -> usize {
        self.servers.iter().map(CrashingServer::crash_count).sum()
    }

    /// Sends requests with the deadly part, each followed by sound ones, until backend servers have
    /// ended five times; then waits until the routers have had time to react.
    async fn crash_five_servers(&mut self) {
        for _ in 0..40 {
            if self.crash_count() >= 5 {
                break;
            }
            self.call("10 666 30").await;
            self.call("10 20").await;
            sleep(Duration::from_millis(100)).await;
        }
        assert!(self.crash_count() >= 5, "{} crashes", self.crash_count());
        // Sound requests clear the parts that they share with the deadly ones.
        for _ in 0..10 {
            sleep(Duration::from_millis(250)).await;
            self.call("10 20").await;
        }
    }
}

#[tokio::test]
async fn deadly_part_is_refused_by_all_routers_and_sound_requests_are_served() {
    let mut fleet = Fleet::start(3, 8).await;
    fleet.crash_five_servers().await;
    let crashes = fleet.crash_count();
    for _ in 0..6 {
        assert_eq!(fleet.call("10 666 30").await, 503);
        assert_eq!(fleet.call("10 20").await, 200);
        assert_eq!(fleet.call("11 20").await, 200);
    }
    assert_eq!(fleet.crash_count(), crashes);
}

#[tokio::test]
async fn router_that_starts_later_refuses_a_deadly_part() {
    let mut fleet = Fleet::start(2, 8).await;
    fleet.crash_five_servers().await;
    let crashes = fleet.crash_count();
    fleet.routers.clear();
    fleet.start_router("router-9").await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.call("10 666 30").await, 503);
    assert_eq!(fleet.call("10 20").await, 200);
    assert_eq!(fleet.crash_count(), crashes);
}

#[tokio::test]
async fn request_whose_part_ended_another_backend_is_not_sent_to_a_second_one() {
    let mut fleet = Fleet::start(2, 6).await;
    fleet.call("10 666 30").await;
    sleep(Duration::from_millis(150)).await;
    let crashes = fleet.crash_count();
    assert_eq!(fleet.call("10 666 30").await, 0);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(fleet.crash_count(), crashes + 1);
}
