//! Selection of peers from the host list by rendezvous hashing.

use crate::{
    id::{Region, ServiceId, Zone},
    process::settings::HostSettings,
    routing::rendezvous::{
        Candidate, HostLocation, SubsetSettings, pick, pick_n, rendezvous_key, subset,
    },
    stream::host_client::{HostEntry, HostList, HostRole, HostState},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// The number of routers in other zones that a router stays connected to, for bills and
/// configuration.
const WITNESS_COUNT: usize = 2;

/// The maximum number of routers that a starting router asks for the configuration.
const MAX_CONFIG_SOURCES: usize = 8;

/// One in this many places of a subset is reserved for sidecars in other zones.
const OTHER_ZONES_DIVISOR: usize = 5;

/// Returns the sidecars that a router connects to: a bounded subset of each service.
///
/// All sidecars of the router's region whose entry names no service are included as well.
pub(crate) fn sidecars<'a>(
    own_host: &HostSettings,
    hosts: &'a HostList,
    per_service: u64,
) -> Vec<&'a HostEntry> {
    let mut services: BTreeMap<&ServiceId, Vec<&HostEntry>> = BTreeMap::new();
    let mut chosen = Vec::new();
    for host in &hosts.hosts {
        if host.role != HostRole::Sidecar {
            continue;
        }
        match &host.service {
            Some(service) => services.entry(service).or_default().push(host),
            None if host.region == own_host.region => chosen.push(host),
            None => {}
        }
    }
    let size = usize::try_from(per_service).unwrap_or(usize::MAX);
    let settings = SubsetSettings {
        size,
        other_zones_min: size / OTHER_ZONES_DIVISOR,
    };
    let router = HostLocation {
        host: own_host.name.clone(),
        zone: own_host.zone.clone(),
        region: own_host.region.clone(),
    };
    for entries in services.values() {
        let locations = locations(entries);
        for index in subset(&router, &locations, &settings) {
            chosen.push(entries[index]);
        }
    }
    chosen
}

fn locations(hosts: &[&HostEntry]) -> Vec<HostLocation> {
    let mut locations = Vec::with_capacity(hosts.len());
    for host in hosts {
        locations.push(HostLocation {
            host: host.name.clone(),
            zone: host.zone.clone(),
            region: host.region.clone(),
        });
    }
    locations
}

/// Returns the addresses of the routers in other zones that keep this router's bills, in the order
/// of their rendezvous rank.
pub(crate) fn witness_addresses(own_host: &HostSettings, hosts: &HostList) -> Vec<SocketAddr> {
    let mut others = Vec::new();
    for host in &hosts.hosts {
        let live = host.role == HostRole::Router && host.state == HostState::Live;
        if live && host.zone != own_host.zone {
            others.push(host);
        }
    }
    let key = rendezvous_key(own_host.name.as_str());
    let mut addresses = Vec::new();
    for index in pick_n(key, &candidates(&others), WITNESS_COUNT) {
        addresses.push(others[index].address);
    }
    addresses
}

/// Returns the addresses of routers from which a starting router can get the configuration.
pub(crate) fn config_sources(own_host: &HostSettings, hosts: &HostList) -> Vec<SocketAddr> {
    let mut others = Vec::new();
    for host in &hosts.hosts {
        if host.role == HostRole::Router && host.name != own_host.name {
            others.push(host);
        }
    }
    let key = rendezvous_key(own_host.name.as_str());
    let mut addresses = Vec::new();
    for index in pick_n(key, &candidates(&others), MAX_CONFIG_SOURCES) {
        addresses.push(others[index].address);
    }
    addresses
}

/// Returns the router of a zone that runs the keeper of a ledger shard.
pub(crate) fn keeper_host<'a>(
    zone: &Zone,
    shard: u32,
    hosts: &'a HostList,
) -> Option<&'a HostEntry> {
    let mut routers = Vec::new();
    for host in &hosts.hosts {
        let live = host.role == HostRole::Router && host.state == HostState::Live;
        if live && host.zone == *zone {
            routers.push(host);
        }
    }
    let key = rendezvous_key(&format!("ledger-{shard}"));
    pick(key, &candidates(&routers)).map(|index| routers[index])
}

/// Returns the router that coordinates the orders in a region.
pub(crate) fn order_coordinator<'a>(region: &Region, hosts: &'a HostList) -> Option<&'a HostEntry> {
    let mut routers = Vec::new();
    for host in &hosts.hosts {
        let live = host.role == HostRole::Router && host.state == HostState::Live;
        if live && host.region == *region {
            routers.push(host);
        }
    }
    let key = rendezvous_key("orders");
    pick(key, &candidates(&routers)).map(|index| routers[index])
}

fn candidates<'a>(hosts: &[&'a HostEntry]) -> Vec<Candidate<'a>> {
    let mut candidates = Vec::with_capacity(hosts.len());
    for host in hosts {
        candidates.push(Candidate {
            name: host.name.as_str(),
            weight: 1.0,
        });
    }
    candidates
}
