//! Bills of whole answers reach the log once, whoever dies after the last byte.

use mallowpath::{BillTotal, LogClient, LogClientSettings, Tokens, audit_log};
use mallowpath_embedded::{EXAMPLE_KEY, Site, SiteSettings};
use mallowpath_standins::{Outage, client};
use serde_json::json;
use std::time::Duration;

const PAUSE_MS: u64 = 100;
const TRIES: u32 = 100;

/// Two zones; the only sidecar and the first router share one of them.
async fn site() -> Site {
    let mut settings = SiteSettings {
        routers: 2,
        zones: 2,
        services: Vec::new(),
        ..SiteSettings::default()
    };
    settings.engines.truncate(1);
    settings.timing.lost_router_ms = 500;
    Site::start(settings).await.expect("the site starts")
}

/// Asks the first router for an answer of three tokens and returns its status.
async fn chat(site: &Site, max_tokens: u64) -> u16 {
    let bearer = format!("Bearer {EXAMPLE_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = json!({
        "model": "small", "max_tokens": max_tokens, "standin_tokens": 3,
        "messages": [{"role": "user", "content": "Hello"}],
    });
    let callers = site.routers[0].1.callers;
    let method_path = "POST /v1/chat/completions";
    let answer = client::send_and_read(callers, method_path, &headers, &body.to_string()).await;
    answer.expect("an answer").status
}

async fn billed(site: &Site) -> BillTotal {
    let log = LogClient::new(site.log.address, LogClientSettings::default());
    let report = audit_log(&log).await.expect("the log is up");
    assert_eq!((report.conflict_count, report.malformed_count), (0, 0));
    let name = "demo-prepaid".parse().expect("a name");
    report.budgets[&name].billed
}

#[tokio::test]
async fn router_and_sidecar_that_die_after_the_last_byte_leave_the_bill_to_the_witness() {
    let mut site = site().await;
    assert_eq!(chat(&site, 100).await, 200);
    site.log.change(|log| log.outage = Outage::Refuse);
    // Served from what the router holds; only the two zones make this bill safe.
    assert_eq!(chat(&site, 10).await, 200);
    site.kill_router(0);
    site.kill_sidecar(0);
    site.log.change(|log| log.outage = Outage::None);
    let whole = BillTotal {
        bills: 2,
        tokens: Tokens(10),
    };
    for _ in 0..TRIES {
        if billed(&site).await == whole {
            return;
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    panic!("billed {:?}", billed(&site).await);
}

#[tokio::test]
async fn router_that_dies_after_the_last_byte_leaves_the_bill_to_its_sidecar() {
    let mut site = site().await;
    assert_eq!(chat(&site, 100).await, 200);
    site.log.change(|log| log.outage = Outage::Refuse);
    assert_eq!(chat(&site, 10).await, 200);
    site.kill_router(0);
    site.log.change(|log| log.outage = Outage::None);
    site.restart_router(0).await.expect("it starts");
    for _ in 0..TRIES {
        if billed(&site).await.bills == 2 && site.sidecars[0].dump()["bills_kept"] == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    panic!("{:#}", site.sidecars[0].dump());
}
