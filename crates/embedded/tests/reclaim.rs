//! Reclaims of granted tokens from lost routers: only tokens proven unspent return to the ledger.

use mallowpath::{AuditReport, Incarnation, LogClient, LogClientSettings, audit_log};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{
    Outage,
    client::{self, Response},
};
use serde_json::{Value, json};
use std::time::Duration;

const CHAT: &str = "POST /v1/chat/completions";
const POLL_INTERVAL_MS: u64 = 50;
const MAX_POLLS: u32 = 200;

/// A fleet of two routers in one zone: the keeper of the only budget, and another one to which the
/// keeper grants slices.
struct RouterPair {
    fleet: EmbeddedFleet,
    keeper: usize,
    other: usize,
}

impl RouterPair {
    async fn start() -> Self {
        let mut settings = EmbeddedFleetSettings {
            routers: 2,
            ..EmbeddedFleetSettings::default()
        };
        settings.router_tuning.bill_batch_ms = 100;
        settings.router_tuning.drain_notice_ms = 20;
        settings.timing.lost_router_ms = 1000;
        let fleet = EmbeddedFleet::start(settings)
            .await
            .expect("the fleet starts");
        let mut pair = Self {
            fleet,
            keeper: 0,
            other: 1,
        };
        for number in 0..2 {
            pair.wait_until_located(number).await;
        }
        for number in 0..2 {
            assert_eq!(pair.chat(number, 3).await.status, 200);
        }
        if pair.dump(1).await["budgets"]["keeper_of_shards"] != json!({}) {
            (pair.keeper, pair.other) = (1, 0);
        }
        pair
    }

    /// Waits until a router has located the keepers from the current version of the host list.
    async fn wait_until_located(&self, router: usize) {
        let host_list = self.fleet.host_list.address;
        for _ in 0..MAX_POLLS {
            // Read in each poll, as the host list answers a PUT before it publishes the change.
            let hosts = client::send_and_read(host_list, "GET /v1/hosts", &[], "").await;
            let version = hosts.expect("the host list is up").json()["version"].clone();
            if self.dump(router).await["budgets"]["located_by_hosts_version"] == version {
                return;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        panic!("router {router} has not read the current version of the host list");
    }

    async fn chat(&self, router: usize, tokens: u64) -> Response {
        let body = json!({
            "model": "small",
            // More than the answer uses, so that the router keeps the rest of the slice unspent.
            "max_tokens": 100,
            "standin_tokens": tokens,
            "messages": [{"role": "user", "content": "Hello"}],
        });
        let callers = self.fleet.routers[router].1.callers;
        let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
        let headers = [("authorization", bearer.as_str())];
        client::send_and_read(callers, CHAT, &headers, &body.to_string())
            .await
            .expect("an answer")
    }

    async fn dump(&self, router: usize) -> Value {
        let admin = self.fleet.routers[router].1.admin;
        let answer = client::send_and_read(admin, "GET /dump", &[], "").await;
        answer.expect("a dump").json()
    }

    async fn incarnation(&self, router: usize) -> String {
        let dump = self.dump(router).await;
        dump["incarnation"].as_str().expect("a name").to_owned()
    }

    /// Returns the keeper's reclaim of a fenced router once it meets the condition.
    async fn reclaim(&self, fenced: &str, condition: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..MAX_POLLS {
            let reclaim = self.dump(self.keeper).await["reclaims"][fenced].clone();
            if condition(&reclaim) {
                return reclaim;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        panic!(
            "timed out waiting for the reclaim; keeper's state: {:#}",
            self.dump(self.keeper).await
        );
    }

    fn log(&self) -> LogClient {
        LogClient::new(self.fleet.log_service.address, LogClientSettings::default())
    }

    /// Drains routers in the given order, which returns their unspent tokens to the ledger.
    ///
    /// Returns the audit of the log afterwards.
    async fn drain(&self, routers: &[usize]) -> AuditReport {
        // The keeper must come last, as the other router returns its slices to it.
        for number in routers {
            let router = &self.fleet.routers[*number].0;
            router.drain();
            router.drained().await;
        }
        audit_log(&self.log()).await.expect("the log is up")
    }
}

/// Returns the tokens of the only budget that are held by open grants, spent, and billed.
fn sums(report: &AuditReport) -> (u64, u64, u64) {
    assert_eq!((report.conflict_count, report.malformed_count), (0, 0));
    let name = "demo-prepaid".parse().expect("a name");
    let budget = report.budgets[&name];
    (
        budget.balance.open.0,
        budget.balance.spent.0,
        budget.billed.tokens.0,
    )
}

fn is_done(reclaim: &Value) -> bool {
    reclaim["done"] == true
}

#[tokio::test]
async fn unspent_tokens_of_a_restarted_router_are_reclaimed() {
    let mut pair = RouterPair::start().await;
    let lost = pair.incarnation(pair.other).await;
    let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = json!({
        "model": "small", "stream": true, "max_tokens": 2000, "standin_tokens": 2000,
        "messages": [{"role": "user", "content": "Hello"}],
    });
    let callers = pair.fleet.routers[pair.other].1.callers;
    let open = client::send(callers, CHAT, &headers, &body.to_string()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    pair.fleet
        .restart_router(pair.other)
        .await
        .expect("the router starts");
    drop(open);
    let reclaim = pair.reclaim(&lost, is_done).await;
    assert!(reclaim["returned"].as_u64() > Some(0), "{reclaim}");
    assert_eq!(reclaim["unproven"], 0);
    assert_eq!(pair.chat(pair.other, 3).await.status, 200);
    let report = pair.drain(&[pair.other, pair.keeper]).await;
    let (open, spent, billed) = sums(&report);
    assert_eq!((open, spent), (0, billed), "{report}");
    assert!(billed > 20, "the interrupted stream is billed: {report}");
}

#[tokio::test]
async fn unspent_tokens_of_an_unlisted_router_are_reclaimed() {
    let mut pair = RouterPair::start().await;
    let lost = pair.incarnation(pair.other).await;
    pair.fleet.kill_router(pair.other);
    let name = format!("router-{}", pair.other);
    pair.fleet
        .remove_from_host_list(&name)
        .await
        .expect("the host list is up");
    pair.reclaim(&lost, is_done).await;
    let report = pair.drain(&[pair.keeper]).await;
    assert_eq!(sums(&report), (0, 10, 10), "{report}");
}

#[tokio::test]
async fn grants_of_a_lost_keeper_are_reclaimed() {
    let mut pair = RouterPair::start().await;
    let lost = pair.incarnation(pair.keeper).await;
    pair.fleet
        .restart_router(pair.keeper)
        .await
        .expect("the router starts");
    pair.wait_until_located(pair.keeper).await;
    let mut answers = 0;
    for _ in 0..MAX_POLLS {
        answers += u64::from(pair.chat(pair.keeper, 3).await.status == 200);
        if is_done(&pair.dump(pair.keeper).await["reclaims"][&lost]) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    pair.reclaim(&lost, is_done).await;
    let report = pair.drain(&[pair.other, pair.keeper]).await;
    let billed_tokens = 10 + 5 * answers;
    assert_eq!(sums(&report), (0, billed_tokens, billed_tokens), "{report}");
}

#[tokio::test]
async fn tokens_are_not_returned_while_a_sidecar_may_have_billed_them() {
    let mut pair = RouterPair::start().await;
    let lost = pair.incarnation(pair.other).await;
    // Makes each sidecar of the model bill requests of the router that is lost.
    for _ in 0..4 {
        assert_eq!(pair.chat(pair.other, 3).await.status, 200);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let killed = pair.fleet.sidecars[0].incarnation();
    pair.fleet.kill_sidecar(0);
    pair.fleet
        .restart_router(pair.other)
        .await
        .expect("the router starts");
    let waits_for_killed = |reclaim: &Value| reclaim["missing"] == json!([killed.to_string()]);
    let reclaim = pair.reclaim(&lost, waits_for_killed).await;
    assert_eq!(
        (&reclaim["done"], &reclaim["returned"]),
        (&json!(false), &json!(0))
    );
    pair.fleet
        .restart_sidecar(0)
        .await
        .expect("the sidecar starts");
    let reclaim = pair.reclaim(&lost, is_done).await;
    assert_eq!(
        reclaim["returned"], 0,
        "the sidecar's sums are lost: {reclaim}"
    );
    let unproven = reclaim["unproven"].as_u64().expect("a number");
    let report = pair.drain(&[pair.other, pair.keeper]).await;
    let (open, spent, billed) = sums(&report);
    assert!(open >= unproven && unproven > 0, "{report}");
    assert!(spent + open >= billed, "{report}");
}

#[tokio::test]
async fn fenced_router_that_still_runs_shuts_down() {
    let pair = RouterPair::start().await;
    let lost = pair.incarnation(pair.other).await;
    let fenced: Incarnation = lost.parse().expect("an incarnation");
    let keeper = &pair.fleet.routers[pair.keeper].0;
    keeper.fence(fenced).await.expect("the log is up");
    pair.fleet.routers[pair.other].0.drained().await;
    let report = pair.drain(&[pair.keeper]).await;
    assert_eq!(sums(&report), (0, 10, 10), "{report}");
}

#[tokio::test]
async fn sidecar_accepts_requests_only_after_its_join_is_logged() {
    let mut pair = RouterPair::start().await;
    pair.fleet
        .log_service
        .change(|log| log.outage = Outage::Refuse);
    pair.fleet
        .restart_sidecar(0)
        .await
        .expect("the sidecar starts without the log");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!pair.fleet.sidecars[0].accepting());
    assert_eq!(pair.fleet.sidecars[0].dump()["joined"], false);
    pair.fleet
        .log_service
        .change(|log| log.outage = Outage::None);
    for _ in 0..MAX_POLLS {
        if pair.fleet.sidecars[0].accepting() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    panic!(
        "the sidecar accepts nothing: {}",
        pair.fleet.sidecars[0].dump()
    );
}
