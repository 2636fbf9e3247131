//! Reports between routers: the load of a host, and the waits for answers of backend servers.

use super::gateway::Gateway;
use crate::{host_load::LoadReport, placement::WaitSums};
use mallowpath::{BackendWait, BackendWaitReport, FrameBody, HostLoadReport, round_to_u64};
use rand::seq::SliceRandom;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Interval between reports of waits.
const WAIT_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The number of routers that get a report of waits; which ones is random each time.
const WAIT_RECEIVERS_MAX: usize = 24;

/// Measures the load of the host and reports it to the other routers of the availability zone.
pub(super) async fn report_host_load(gateway: Arc<Gateway>) {
    let zone = gateway.settings.zone.clone();
    let zone_routers = || gateway.directory.routers_in(&zone);
    let report = |report: LoadReport| {
        let report = HostLoadReport {
            router: gateway.settings.account.to_string(),
            is_out: report.is_out,
            used_bits_per_s: report.used_bits_per_s,
            used_millicores: report.used_millicores,
        };
        let body = FrameBody::HostLoadReport(report);
        for peer in gateway.directory.reachable_peers_in(&zone) {
            tokio::spawn(Arc::clone(&gateway.keeper_client).send_to(peer, body.clone()));
        }
    };
    let is_ready = || gateway.is_ready();
    gateway.host_load.run(zone_routers, is_ready, report).await;
}

/// Records the load of another router of the availability zone.
pub(super) fn apply_host_load_report(gateway: &Gateway, message: HostLoadReport) {
    let report = LoadReport {
        is_out: message.is_out,
        used_bits_per_s: message.used_bits_per_s,
        used_millicores: message.used_millicores,
    };
    let router = Arc::from(message.router);
    gateway.host_load.record_report(router, report);
}

/// Reports the waits for answers of backend servers to other routers; never returns.
pub(super) async fn report_waits(gateway: Arc<Gateway>) {
    loop {
        sleep(WAIT_REPORT_INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
        let waits = gateway.backends.take_unreported_waits(gateway.now_ms());
        if waits.is_empty() {
            continue;
        }
        let mut report = BackendWaitReport::default();
        for (backend, sums) in waits {
            report.waits.push(BackendWait {
                backend: backend.to_string(),
                wait_ms: round_to_u64(sums.wait_ms),
                work_tokens: round_to_u64(sums.work_tokens),
                requests: round_to_u64(sums.requests),
            });
        }
        let body = FrameBody::BackendWaitReport(report);
        let mut peers = gateway.directory.reachable_peers();
        peers.shuffle(&mut rand::rng());
        peers.truncate(WAIT_RECEIVERS_MAX);
        for peer in peers {
            let client = Arc::clone(&gateway.keeper_client);
            tokio::spawn(client.send_to(peer, body.clone()));
        }
    }
}

/// Adds the waits that another router reports.
pub(super) fn apply_wait_report(gateway: &Gateway, report: &BackendWaitReport) {
    let now_ms = gateway.now_ms();
    for wait in &report.waits {
        let Ok(backend) = wait.backend.parse() else {
            continue;
        };
        let sums = WaitSums {
            wait_ms: wait.wait_ms as f64,
            work_tokens: wait.work_tokens as f64,
            requests: wait.requests as f64,
        };
        gateway.backends.add_reported_waits(&backend, sums, now_ms);
    }
}
