//! The connections of a router to sidecars and other routers, and the heartbeats on them.

use crate::{
    config::fleet::BackendMode,
    id::{BackendId, Incarnation},
    membership::peer_selection::{sidecars, witness_addresses},
    peer::link::{Endpoint, Link},
    peer::wire::{Heartbeat, Hello},
    process::router::Router,
    process::router_calls::serve_call,
    process::settings::RouterSettings,
};
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

impl Router {
    /// Returns the heartbeat to send to a peer; only a sidecar gets its backend server's state.
    fn heartbeat(&self, peer: &Hello) -> Heartbeat {
        let mut heartbeat = Heartbeat {
            accepting: self.is_ready(),
            bills_logged_below: self.bills.logged_below(),
            closed_grants: self.budgets.closed_grants(),
            ..self.configuration.heartbeat()
        };
        if peer.backend.is_empty() {
            heartbeat.billed_elsewhere = self.bills.billed_elsewhere(Incarnation(peer.incarnation));
        } else {
            heartbeat.backend_state = self.backend_state(&peer.backend).into();
        }
        heartbeat
    }

    /// Returns the state that the configuration gives a backend server, `active` if it has no rule.
    fn backend_state(&self, backend: &str) -> &'static str {
        let Ok(id) = backend.parse::<BackendId>() else {
            return "excluded";
        };
        match self.fleet().backends.get(&id).map(|rule| rule.state) {
            None | Some(BackendMode::Active) => "active",
            Some(BackendMode::Leaving) => "leaving",
            Some(BackendMode::Excluded) => "excluded",
        }
    }

    /// Applies a heartbeat of a sidecar or another router.
    fn handle_heartbeat(&self, link: &Arc<Link>, heartbeat: &Heartbeat) {
        self.bills.closed_elsewhere(&heartbeat.billed_elsewhere);
        if link.peer().backend.is_empty() {
            self.configuration.record_heartbeat(link, heartbeat);
            self.bills
                .handle_heartbeat(link.peer_incarnation(), heartbeat);
        } else {
            let leaving = self.backend_state(&link.peer().backend) != "active";
            self.routes().apply_heartbeat(link, heartbeat, leaving);
            self.orders.record_carried_out(link, &heartbeat.ordered);
        }
    }

    /// Adopts the bills kept for a peer once its last connection has been closed for
    /// `lost_router_ms`.
    pub(crate) async fn watch_peer(&self, link: Arc<Link>) {
        let peer = link.peer_incarnation();
        self.peer_connections.opened(peer);
        link.closed().await;
        self.configuration.remove_peer(&link);
        self.peer_connections.closed(peer);
        tokio::time::sleep(Duration::from_millis(self.settings.timing.lost_router_ms)).await;
        if !self.peer_connections.is_open(peer) {
            self.bills.adopt_kept_bills(peer);
        }
    }

    /// Follows the host list and keeps connections to the sidecars and routers that are needed.
    pub(crate) async fn follow_host_list(self: Arc<Self>) {
        let mut hosts = self.host_updates();
        let on_open = {
            let router = Arc::clone(&self);
            Arc::new(move |link: &Arc<Link>| router.link_opened(link))
                as Arc<dyn Fn(&_) + Send + Sync>
        };
        let on_close = {
            let router = Arc::clone(&self);
            Arc::new(move |link: &Arc<Link>| router.link_closed(link))
                as Arc<dyn Fn(&_) + Send + Sync>
        };
        loop {
            let list = Arc::clone(&hosts.borrow_and_update());
            self.routes().hosts_changed(&list);
            let per_service = self.settings.tuning.sidecars_per_service;
            let mut wanted = Vec::new();
            let mut names = HashSet::new();
            for sidecar in sidecars(&self.settings.host, &list, per_service) {
                wanted.push(sidecar.address);
                names.insert(&sidecar.name);
            }
            wanted.extend(witness_addresses(&self.settings.host, &list));
            self.dialer.keep_connected(&wanted, &on_open, &on_close);
            self.routes().forget_unlisted(&names);
            if hosts.changed().await.is_err() {
                return;
            }
        }
    }

    fn link_opened(&self, link: &Arc<Link>) {
        if !link.peer().backend.is_empty() {
            self.routes().connection_opened(link);
        }
    }

    fn link_closed(&self, link: &Arc<Link>) {
        if link.peer().backend.is_empty() {
            self.configuration.remove_peer(link);
        } else {
            self.routes().connection_closed(link);
        }
    }
}

/// Returns the endpoint of a router; it holds no strong reference, as the router owns it.
pub(crate) fn endpoint(
    weak: &Weak<Router>,
    settings: &RouterSettings,
    incarnation: Incarnation,
    [address, admin]: [SocketAddr; 2],
) -> Endpoint {
    let sender = Weak::clone(weak);
    let receiver = Weak::clone(weak);
    let server = Weak::clone(weak);
    Endpoint {
        hello: Hello {
            incarnation: incarnation.0,
            host: settings.host.name.to_string(),
            zone: settings.host.zone.to_string(),
            address: address.to_string(),
            backend: String::new(),
            service: String::new(),
            admin: admin.to_string(),
        },
        settings: settings.timing.link(),
        heartbeat: Arc::new(move |peer| match sender.upgrade() {
            Some(router) => router.heartbeat(peer),
            None => Heartbeat::default(),
        }),
        on_heartbeat: Arc::new(move |link, heartbeat| {
            if let Some(router) = receiver.upgrade() {
                router.handle_heartbeat(link, &heartbeat);
            }
        }),
        on_call: Arc::new(move |body, responder| {
            if let Some(router) = server.upgrade() {
                tokio::spawn(serve_call(router, body, responder));
            }
        }),
    }
}
