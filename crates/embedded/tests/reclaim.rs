//! What lost routers leave unspent comes back once it is proven, and nothing before.

use mallowpath::{AuditReport, Incarnation, LogClient, LogClientSettings, audit_log};
use mallowpath_embedded::{EXAMPLE_KEY, Site, SiteSettings};
use mallowpath_standins::{
    Outage,
    client::{self, Answer},
};
use serde_json::{Value, json};
use std::time::Duration;

const CHAT: &str = "POST /v1/chat/completions";
const PAUSE_MS: u64 = 50;
const TRIES: u32 = 200;

/// A site with two routers in one zone: the keeper of the only budget, and one that it serves.
struct Pair {
    site: Site,
    keeper: usize,
    other: usize,
}

impl Pair {
    async fn start() -> Self {
        let mut settings = SiteSettings {
            routers: 2,
            ..SiteSettings::default()
        };
        settings.router_tuning.bill_batch_ms = 100;
        settings.router_tuning.drain_notice_ms = 20;
        settings.timing.lost_router_ms = 1000;
        let site = Site::start(settings).await.expect("the site starts");
        let mut pair = Self {
            site,
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

    /// Waits until a router has found its keepers by the whole host list.
    async fn wait_until_located(&self, router: usize) {
        let hosts = client::call(self.site.hosts.address, "GET /v1/hosts", &[], "").await;
        let version = hosts.expect("the host list is up").json()["version"].clone();
        for _ in 0..TRIES {
            if self.dump(router).await["budgets"]["located_by_hosts_version"] == version {
                return;
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        panic!("router {router} doesn't see the whole host list");
    }

    async fn chat(&self, router: usize, tokens: u64) -> Answer {
        let body = json!({
            "model": "small",
            // More than it uses, so that the rest of the slice stays with the router.
            "max_tokens": 100,
            "standin_tokens": tokens,
            "messages": [{"role": "user", "content": "Hello"}],
        });
        let callers = self.site.routers[router].1.callers;
        let bearer = format!("Bearer {EXAMPLE_KEY}");
        let headers = [("authorization", bearer.as_str())];
        client::call(callers, CHAT, &headers, &body.to_string())
            .await
            .expect("an answer")
    }

    async fn dump(&self, router: usize) -> Value {
        let admin = self.site.routers[router].1.admin;
        let answer = client::call(admin, "GET /dump", &[], "").await;
        answer.expect("a dump").json()
    }

    async fn incarnation(&self, router: usize) -> String {
        let dump = self.dump(router).await;
        dump["incarnation"].as_str().expect("a name").to_owned()
    }

    /// Returns the reclaim from a router at the keeper, once `wanted` holds for it.
    async fn reclaim(&self, fenced: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..TRIES {
            let reclaim = self.dump(self.keeper).await["reclaims"][fenced].clone();
            if wanted(&reclaim) {
                return reclaim;
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        panic!("keeper's state: {:#}", self.dump(self.keeper).await);
    }

    fn log(&self) -> LogClient {
        LogClient::new(self.site.log.address, LogClientSettings::default())
    }

    /// Ends routers gracefully, so that all that is not out of reach returns to the ledger.
    async fn drain(&self, routers: &[usize]) -> AuditReport {
        // The other router first, as it gives its slices back to the keeper.
        for number in routers {
            let router = &self.site.routers[*number].0;
            router.drain();
            router.drained().await;
        }
        audit_log(&self.log()).await.expect("the log is up")
    }
}

/// Returns what is out, spent and billed of the only budget.
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
async fn replaced_routers_unspent_tokens_come_back() {
    let mut pair = Pair::start().await;
    let lost = pair.incarnation(pair.other).await;
    let bearer = format!("Bearer {EXAMPLE_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = json!({
        "model": "small", "stream": true, "max_tokens": 2000, "standin_tokens": 2000,
        "messages": [{"role": "user", "content": "Hello"}],
    });
    let callers = pair.site.routers[pair.other].1.callers;
    let open = client::open(callers, CHAT, &headers, &body.to_string()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    pair.site
        .restart_router(pair.other)
        .await
        .expect("it starts");
    drop(open);
    let reclaim = pair.reclaim(&lost, is_done).await;
    assert!(reclaim["returned"].as_u64() > Some(0), "{reclaim}");
    assert_eq!(reclaim["unproven"], 0);
    assert_eq!(pair.chat(pair.other, 3).await.status, 200);
    let report = pair.drain(&[pair.other, pair.keeper]).await;
    let (open, spent, billed) = sums(&report);
    assert_eq!((open, spent), (0, billed), "{report}");
    assert!(billed > 20, "the cut stream is billed: {report}");
}

#[tokio::test]
async fn unlisted_routers_unspent_tokens_come_back() {
    let mut pair = Pair::start().await;
    let lost = pair.incarnation(pair.other).await;
    pair.site.kill_router(pair.other);
    let name = format!("router-{}", pair.other);
    pair.site
        .remove_from_host_list(&name)
        .await
        .expect("the host list is up");
    pair.reclaim(&lost, is_done).await;
    let report = pair.drain(&[pair.keeper]).await;
    assert_eq!(sums(&report), (0, 10, 10), "{report}");
}

#[tokio::test]
async fn lost_keepers_grants_come_back() {
    let mut pair = Pair::start().await;
    let lost = pair.incarnation(pair.keeper).await;
    pair.site
        .restart_router(pair.keeper)
        .await
        .expect("it starts");
    pair.wait_until_located(pair.keeper).await;
    let mut answers = 0;
    for _ in 0..TRIES {
        answers += u64::from(pair.chat(pair.keeper, 3).await.status == 200);
        if is_done(&pair.dump(pair.keeper).await["reclaims"][&lost]) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    pair.reclaim(&lost, is_done).await;
    let report = pair.drain(&[pair.other, pair.keeper]).await;
    let all = 10 + 5 * answers;
    assert_eq!(sums(&report), (0, all, all), "{report}");
}

#[tokio::test]
async fn tokens_stay_out_while_a_sidecar_may_have_billed_them() {
    let mut pair = Pair::start().await;
    let lost = pair.incarnation(pair.other).await;
    // Each engine has run something, so each sidecar may hold the sums that matter.
    for _ in 0..4 {
        assert_eq!(pair.chat(pair.other, 3).await.status, 200);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let silent = pair.site.sidecars[0].incarnation();
    pair.site.kill_sidecar(0);
    pair.site
        .restart_router(pair.other)
        .await
        .expect("it starts");
    let waits = |reclaim: &Value| reclaim["missing"] == json!([silent.to_string()]);
    let reclaim = pair.reclaim(&lost, waits).await;
    assert_eq!(
        (&reclaim["done"], &reclaim["returned"]),
        (&json!(false), &json!(0))
    );
    pair.site.restart_sidecar(0).await.expect("it starts");
    let reclaim = pair.reclaim(&lost, is_done).await;
    assert_eq!(reclaim["returned"], 0, "its sums are gone: {reclaim}");
    let out = reclaim["unproven"].as_u64().expect("a number");
    let report = pair.drain(&[pair.other, pair.keeper]).await;
    let (open, spent, billed) = sums(&report);
    assert!(open >= out && out > 0, "{report}");
    assert!(spent + open >= billed, "{report}");
}

#[tokio::test]
async fn fenced_router_that_lives_ends_itself() {
    let pair = Pair::start().await;
    let lost = pair.incarnation(pair.other).await;
    let fenced: Incarnation = lost.parse().expect("an incarnation");
    let keeper = &pair.site.routers[pair.keeper].0;
    keeper.fence(fenced).await.expect("the log is up");
    pair.site.routers[pair.other].0.drained().await;
    let report = pair.drain(&[pair.keeper]).await;
    assert_eq!(sums(&report), (0, 10, 10), "{report}");
}

#[tokio::test]
async fn sidecar_serves_only_once_its_join_is_in_the_log() {
    let mut pair = Pair::start().await;
    pair.site.log.change(|log| log.outage = Outage::Refuse);
    pair.site
        .restart_sidecar(0)
        .await
        .expect("it waits for the log");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!pair.site.sidecars[0].accepting());
    assert_eq!(pair.site.sidecars[0].dump()["joined"], false);
    pair.site.log.change(|log| log.outage = Outage::None);
    for _ in 0..TRIES {
        if pair.site.sidecars[0].accepting() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    panic!("{}", pair.site.sidecars[0].dump());
}
