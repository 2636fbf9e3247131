//! A stand-in for the platform's host list, where edits become visible after a delay.

use crate::{
    Outage, client,
    server::{self, SharedSettings},
};
use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, put},
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep_until, timeout},
};

/// A running host list.
pub type Handle = crate::Handle<Settings>;

/// Settings and faults of the host list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The delay until an edit becomes visible.
    pub lag_ms: u64,
    /// The outage mode of reads.
    pub outage: Outage,
    /// The hosts listed at the start.
    pub hosts: Vec<Host>,
}

/// One host of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// The address at which the router or sidecar on this host listens.
    pub address: SocketAddr,
    /// `router` or `sidecar`.
    pub role: String,
    /// The availability zone.
    pub availability_zone: String,
    /// The region.
    pub region: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The service that runs beside the sidecar, as a label of the host; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
}

#[derive(Debug)]
struct Service {
    settings: Arc<SharedSettings<Settings>>,
    list: watch::Sender<HostList>,
    edits: mpsc::UnboundedSender<Edit>,
}

#[derive(Debug, Default)]
struct HostList {
    version: u64,
    hosts: BTreeMap<String, Host>,
}

#[derive(Debug)]
struct Edit {
    visible_at: Instant,
    name: String,
    host: Option<Host>,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    since: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

/// Starts a host list.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listen = settings.listen;
    let mut list = HostList::default();
    for host in &settings.hosts {
        list.hosts.insert(host.name.clone(), host.clone());
    }
    let list = watch::Sender::new(list);
    let (edits, queued_edits) = mpsc::unbounded_channel();
    // Ends when the service, which owns the sender, is dropped.
    tokio::spawn(apply_edits(queued_edits, list.clone()));
    let settings = SharedSettings::new(settings);
    let service = Service {
        settings: Arc::clone(&settings),
        list,
        edits,
    };
    let router = Router::new()
        .route("/v1/hosts", get(list_hosts))
        .route("/v1/hosts/{name}", put(put_host).delete(delete_host))
        .with_state(Arc::new(service));
    server::start(listen, settings, router).await
}

/// Adds a host to the host list at `address`, as the platform does.
///
/// # Errors
///
/// Fails when the host list is unreachable or rejects the edit.
pub async fn add_host(address: SocketAddr, host: &Host) -> io::Result<()> {
    let path = format!("PUT /v1/hosts/{}", host.name);
    edit_list(address, &path, &json!(host).to_string()).await
}

/// Removes a host from the list at `address`.
///
/// # Errors
///
/// Fails when the host list is unreachable or rejects the edit.
pub async fn remove_host(address: SocketAddr, name: &str) -> io::Result<()> {
    edit_list(address, &format!("DELETE /v1/hosts/{name}"), "").await
}

async fn edit_list(address: SocketAddr, method_path: &str, body: &str) -> io::Result<()> {
    match client::send_and_read(address, method_path, &[], body).await {
        Ok(response) if response.status < 300 => Ok(()),
        Ok(response) => Err(io::Error::other(response.text)),
        Err(error) => Err(io::Error::other(error)),
    }
}

async fn list_hosts(
    State(service): State<Arc<Service>>,
    Query(query): Query<ListQuery>,
) -> Response {
    let outage = service.settings.get().outage;
    if let Some(response) = outage.override_response().await {
        return response;
    }
    let mut list = service.list.subscribe();
    let max_wait = Duration::from_millis(query.wait_ms);
    let has_changed = |list: &HostList| Some(list.version) != query.since;
    // After a timeout, the response holds the unchanged version and no hosts.
    drop(timeout(max_wait, list.wait_for(has_changed)).await);
    let list = list.borrow();
    if !has_changed(&list) {
        return Json(json!({ "version": list.version })).into_response();
    }
    let hosts: Vec<&Host> = list.hosts.values().collect();
    Json(json!({ "version": list.version, "hosts": hosts })).into_response()
}

async fn put_host(
    State(service): State<Arc<Service>>,
    Path(name): Path<String>,
    Json(host): Json<Host>,
) -> StatusCode {
    service.submit(name, Some(host))
}

async fn delete_host(State(service): State<Arc<Service>>, Path(name): Path<String>) -> StatusCode {
    service.submit(name, None)
}

async fn apply_edits(mut edits: mpsc::UnboundedReceiver<Edit>, list: watch::Sender<HostList>) {
    while let Some(edit) = edits.recv().await {
        sleep_until(edit.visible_at).await;
        list.send_modify(|list| {
            list.version += 1;
            match edit.host {
                Some(host) => list.hosts.insert(edit.name, host),
                None => list.hosts.remove(&edit.name),
            };
        });
    }
}

impl Service {
    /// Queues an edit; `None` removes the host.
    fn submit(&self, name: String, host: Option<Host>) -> StatusCode {
        let visible_at = Instant::now() + Duration::from_millis(self.settings.get().lag_ms);
        match self.edits.send(Edit {
            visible_at,
            name,
            host,
        }) {
            Ok(()) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag_ms: 0,
            outage: Outage::None,
            hosts: Vec::new(),
        }
    }
}
