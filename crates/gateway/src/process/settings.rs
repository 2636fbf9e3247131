//! Settings of the router and sidecar processes.

use crate::{
    budget::{DrawSettings, KeeperSettings},
    host_load::{LinkRate, ProcessorShare},
    placement::RetryLimiterSettings,
};
use mallowpath::{HostId, HostLimits, Zone};
use std::net::{IpAddr, SocketAddr};

/// The addresses on which a gateway listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Health checks of the load balancer.
    pub ready: SocketAddr,
    /// Metrics, state dumps and drain requests of operators.
    pub admin: SocketAddr,
    /// Calls of the store that other processes make through this one.
    pub relay: SocketAddr,
    /// Connections of other routers.
    pub peers: SocketAddr,
    /// Metrics only, in addition to `admin`.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the host.
    pub host: HostId,
    /// The key of the router's account, which is the same for every incarnation on the host.
    pub account: std::sync::Arc<str>,
    /// The availability zone of the host.
    pub zone: Zone,
    /// The rate of the host's network link; `None` if it limits nothing.
    pub link_rate: Option<LinkRate>,
    /// The share of the processor that the host gives the process; `None` if it limits nothing.
    pub processor: Option<ProcessorShare>,
    /// The memory and the descriptors of the process.
    pub limits: HostLimits,
    /// What it costs to send a request to another availability zone, as time in milliseconds; `None` if
    /// requests may leave the zone whenever that costs least.
    pub zone_crossing_cost_ms: Option<f64>,
    /// Whether backend servers that run a model are told how urgent a request is.
    pub state_urgency: bool,
    /// The addresses on which the router listens.
    pub listen: ListenSettings,
    /// The port on which every process of the fleet accepts relayed calls of the store.
    pub relay_port: u16,
    /// Hosts of other routers, used as relays from the start.
    pub seed_hosts: Vec<IpAddr>,
    /// Settings of draws from the budgets.
    pub draw_settings: DrawSettings,
    /// How long other routers may take to answer.
    pub keeper_settings: KeeperSettings,
    /// The fleet-wide limit on the retries of each service.
    pub retries: RetryLimiterSettings,
    /// How long backend servers whose registrations expired during an outage of the store may take
    /// to register again.
    pub reregistration_timeout_ms: u64,
    /// How long the load balancer takes to notice that the process is not ready.
    pub drain_notice_ms: u64,
    /// The time from the termination signal to the end of the process.
    pub shutdown_grace_ms: u64,
}

/// Settings of the sidecar process on the host of a backend server.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// The name of the host.
    pub host: HostId,
    /// The address for calls of the store that other processes make through this one.
    pub relay: SocketAddr,
    /// The memory and the descriptors of the process.
    pub limits: HostLimits,
}

impl GatewaySettings {
    /// Returns the relay addresses of the seed hosts, without this host.
    pub fn seed_relays(&self) -> Vec<SocketAddr> {
        let mut relays = Vec::new();
        for host in &self.seed_hosts {
            if *host != self.listen.relay.ip() {
                relays.push(SocketAddr::new(*host, self.relay_port));
            }
        }
        relays
    }
}
