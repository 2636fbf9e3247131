//! Orders that bring backend servers to the role and version given in the configuration.

use mallowpath::{
    IniDocument, LogClient, LogClientSettings, PublishOutcome, publish, sections_of_document,
};
use mallowpath_embedded::{EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{client, host_list, simulated_engine};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const EXAMPLE_INI: &str = include_str!("../example/fleet.ini");
const ROLE_TIMEOUT: Duration = Duration::from_secs(12);

fn backend_settings(
    fencing: &[simulated_engine::Fencing],
) -> Vec<(String, simulated_engine::Settings)> {
    let mut backends = Vec::new();
    for fencing in fencing {
        let settings = simulated_engine::Settings {
            model: "small".into(),
            fencing: *fencing,
            model_load_ms: 100,
            ..simulated_engine::Settings::default()
        };
        backends.push(("small".into(), settings));
    }
    backends
}

async fn publish_rules(fleet: &EmbeddedFleet, rules: &str) {
    let mut document = IniDocument::default();
    document.merge_text("fleet.ini", EXAMPLE_INI);
    document.merge_text("rules.ini", rules);
    let log = LogClient::new(fleet.log_service.address, LogClientSettings::default());
    let published = publish(&log, &sections_of_document(&document), "test")
        .await
        .expect("published");
    assert!(
        matches!(published, PublishOutcome::Accepted(_)),
        "{published:?}"
    );
}

async fn order_state(fleet: &EmbeddedFleet, backend: usize) -> Value {
    let address = fleet.model_backends[backend].address;
    client::send_and_read(address, "GET /v1/orders", &[], "")
        .await
        .expect("an answer")
        .json()
}

async fn wait_for_role(fleet: &EmbeddedFleet, backend: usize, role: &str) -> Duration {
    let started = Instant::now();
    while order_state(fleet, backend).await["role"] != role {
        assert!(
            started.elapsed() < ROLE_TIMEOUT,
            "backend server {backend} did not take role {role} in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

#[tokio::test]
async fn backends_with_and_without_fencing_reach_version_and_role() {
    let fencing = [
        simulated_engine::Fencing::Refuse,
        simulated_engine::Fencing::Ignore,
    ];
    let settings = EmbeddedFleetSettings {
        model_backends: backend_settings(&fencing),
        ..EmbeddedFleetSettings::default()
    };
    let fleet = EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts");
    let rule = "service = small\nversion = v2\nrole = decode\n";
    let rules = format!("[backend small-0]\n{rule}[backend small-1]\n{rule}");
    publish_rules(&fleet, &rules).await;
    for backend in 0..fencing.len() {
        wait_for_role(&fleet, backend, "decode").await;
        let state = order_state(&fleet, backend).await;
        assert!(
            state["models"]
                .as_array()
                .expect("a list")
                .contains(&json!("small@v2")),
            "{state}"
        );
    }
}

#[tokio::test]
async fn another_router_continues_orders_with_a_newer_fencing_token() {
    let fencing = [simulated_engine::Fencing::Ignore];
    let settings = EmbeddedFleetSettings {
        routers: 2,
        model_backends: backend_settings(&fencing),
        ..EmbeddedFleetSettings::default()
    };
    let fleet = EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts");
    publish_rules(
        &fleet,
        "[backend small-0]\nservice = small\nrole = prefill\n",
    )
    .await;
    wait_for_role(&fleet, 0, "prefill").await;
    let names = ["router-0", "router-1"];
    for name in names {
        host_list::remove_host(fleet.host_list.address, name)
            .await
            .expect("the host list is up");
        let role = format!("without-{name}");
        publish_rules(
            &fleet,
            &format!("[backend small-0]\nservice = small\nrole = {role}\n"),
        )
        .await;
        wait_for_role(&fleet, 0, &role).await;
        if name == names[0] {
            register_router_again(&fleet, 0).await;
        }
    }
    let stats =
        client::send_and_read(fleet.model_backends[0].address, "GET /v1/stats", &[], "").await;
    let stats = stats.expect("an answer").json();
    let accepted = stats["orders"].as_array().cloned().unwrap_or_default();
    let mut last = 0;
    for order in &accepted {
        let fence = order["fence"].as_u64().expect("a fencing token");
        assert!(
            fence >= last,
            "an order with an older fencing token was accepted: {accepted:?}"
        );
        last = fence;
    }
    assert!(accepted.len() >= 3, "{stats}");
    assert!(
        last > accepted[0]["fence"].as_u64().expect("a fencing token"),
        "{accepted:?}"
    );
}

async fn register_router_again(fleet: &EmbeddedFleet, router: usize) {
    let host = host_list::Host {
        name: format!("router-{router}"),
        address: fleet.routers[router].1.peers,
        role: "router".into(),
        availability_zone: "zone-0".into(),
        region: "local".into(),
        state: "live".into(),
        service: String::new(),
    };
    host_list::add_host(fleet.host_list.address, &host)
        .await
        .expect("the host list is up");
}
