//! The state of a router for its operators: state dump, metrics and readiness.

use super::gateway::Gateway;
use mallowpath::AdminHooks;
use std::sync::Arc;

/// Returns what the admin interface shows and calls.
pub(super) fn admin_hooks(gateway: &Arc<Gateway>) -> AdminHooks {
    AdminHooks::new(
        gateway,
        |gateway| gateway.is_ready(),
        |gateway| gateway.dump(),
        |gateway| gateway.set_gauges(),
        Gateway::drain,
    )
}

impl Gateway {
    fn set_gauges(&self) {
        metrics::gauge!("gateway_caller_connections").set(self.callers.open_count() as f64);
        metrics::gauge!("gateway_buffered_bytes").set(self.buffers.used_bytes() as f64);
        metrics::gauge!("gateway_backends").set(self.backends.len() as f64);
        metrics::gauge!("gateway_unreachable_routers")
            .set(self.directory.unreachable_count() as f64);
        metrics::gauge!("gateway_quarantined_parts").set(self.quarantine.lock().len() as f64);
        if self.settings.link_rate.is_some() || self.settings.processor.is_some() {
            let shares = self.host_load.shares();
            metrics::gauge!("gateway_link_received_share").set(shares.received);
            metrics::gauge!("gateway_link_sent_share").set(shares.sent);
            metrics::gauge!("gateway_processor_share").set(shares.processor);
        }
        metrics::gauge!("gateway_known_streams").set(self.stream_origins.len() as f64);
        metrics::gauge!("gateway_remote_reservations").set(self.remote_reservations.len() as f64);
        self.set_queue_gauges();
    }

    /// Sets the number of requests that wait for tokens of each budget.
    fn set_queue_gauges(&self) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        for workspace in &configuration.workspaces {
            if workspace.prepaid.is_none() {
                continue;
            }
            let length = self.budgets.queue_length(&workspace.id);
            metrics::gauge!("gateway_budget_queue_length", "workspace" => workspace.id.to_string())
                .set(length as f64);
        }
    }

    fn quarantined_parts(&self) -> Vec<String> {
        let parts = self.quarantine.lock().parts();
        parts.iter().map(ToString::to_string).collect()
    }

    fn dump(&self) -> serde_json::Value {
        let configuration = self.configuration();
        serde_json::json!({
            "host": self.settings.host.as_str(),
            "zone": self.settings.zone.as_str(),
            "ready": self.is_ready(),
            "out_of_rotation": self.host_load.is_out_of_rotation(),
            "phase": format!("{:?}", *self.phase.borrow()),
            "version": configuration.as_ref().map(|configuration| configuration.version),
            "routes": configuration.as_ref().map(|configuration| configuration.route_count()),
            "backends": self.backends.len(),
            "connections": self.callers.open_count(),
            "buffered_bytes": self.buffers.used_bytes(),
            "buffered_max_bytes": self.buffers.max_bytes(),
            "routers": self.directory.router_count(),
            "unreachable_routers": self.directory.unreachable_count(),
            "remote_reservations": self.remote_reservations.len(),
            "quarantined_parts": self.quarantined_parts(),
            "ledger_ends": self.budgets.ends(),
        })
    }
}
