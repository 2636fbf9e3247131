//! Client of the platform's host list.

use crate::{
    Backoff, HostId, Region, Result, ServiceId, Zone,
    stream::http_call::{HttpCall, HttpCaller},
};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    fmt::{self, Display},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

const READ_STEP: &str = "read host list";

/// The hosts of one version of the list.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HostList {
    /// The version of the list; each change of the list changes it.
    pub version: u64,
    /// The hosts, in the order in which the platform lists them.
    pub hosts: Vec<HostEntry>,
}

/// A host that runs a process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the host.
    pub name: HostId,
    /// The address at which the process accepts connections from other processes of the fleet.
    pub address: SocketAddr,
    /// The role of the process.
    pub role: HostRole,
    /// The availability zone of the host.
    #[serde(rename = "availability_zone")]
    pub zone: Zone,
    /// The region of the host.
    pub region: Region,
    /// Whether the host is about to be removed.
    pub state: HostState,
    /// The service of the sidecar's backend server, if the platform labels the host with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
}

/// The role of the process on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// Accepts requests of callers.
    Router,
    /// Runs beside a backend server and forwards requests to it.
    Sidecar,
}

/// Whether a host is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host remains in the fleet.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// A client of the host list.
#[derive(Debug, Clone)]
pub struct HostClient {
    caller: HttpCaller,
    settings: HostClientSettings,
}

/// Settings of a [`HostClient`].
#[derive(Debug, Clone, Copy)]
pub struct HostClientSettings {
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout for an answer, in addition to `long_poll_ms`, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Time that the platform may delay its answer until the list changes, in milliseconds.
    pub long_poll_ms: u64,
    /// Delays before a failed read is retried.
    pub backoff: Backoff,
}

#[derive(Debug, Deserialize)]
struct ListAnswer {
    version: u64,
    #[serde(default)]
    hosts: Vec<Value>,
}

impl HostList {
    /// Returns the state of a host, or `None` if it is not on the list.
    pub fn state_of(&self, name: &HostId) -> Option<HostState> {
        let entry = self.hosts.iter().find(|host| host.name == *name)?;
        Some(entry.state)
    }
}

impl HostClient {
    /// Creates a client of the host list at `address`, which connects at the first call.
    pub fn new(address: SocketAddr, settings: HostClientSettings) -> Self {
        Self {
            caller: HttpCaller::new(address, settings.connect_timeout_ms),
            settings,
        }
    }

    /// Reads the list repeatedly and sends each new version to `lists`, until all receivers are
    /// dropped.
    ///
    /// While reads fail, `lists` keeps the last list.
    pub async fn watch(&self, lists: watch::Sender<Arc<HostList>>) {
        let mut since = None;
        let mut failures = 0;
        loop {
            let read = tokio::select! {
                read = self.read(since) => read,
                () = lists.closed() => return,
            };
            match read {
                Ok(list) => {
                    failures = 0;
                    if since == Some(list.version) {
                        // Limits the rate of reads if the platform answers without waiting.
                        sleep(Duration::from_millis(self.settings.backoff.min_ms)).await;
                        continue;
                    }
                    since = Some(list.version);
                    lists.send_replace(Arc::new(list));
                }
                Err(e) => {
                    log::warn!("{e}; keeping the last host list and retrying");
                    let delay_ms = self.settings.backoff.delay_ms(failures, rand::random());
                    failures += 1;
                    sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Reads the list as soon as its version differs from `since`, or after `long_poll_ms`.
    ///
    /// The hosts may be omitted if the version is still `since`. Hosts that can't be parsed are
    /// omitted.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the status is not 200 or the list itself can't be
    /// parsed.
    pub async fn read(&self, since: Option<u64>) -> Result<HostList> {
        let long_poll_ms = self.settings.long_poll_ms;
        let path = match since {
            Some(version) => format!("/v1/hosts?since={version}&wait_ms={long_poll_ms}"),
            None => "/v1/hosts".to_owned(),
        };
        let timeout_ms = self.settings.answer_timeout_ms + long_poll_ms;
        let call = HttpCall {
            operation: READ_STEP,
            method: Method::GET,
            path,
            body: Bytes::new(),
            timeout_ms,
        };
        let answer = self.caller.call(call).await?;
        if answer.status != StatusCode::OK {
            return Err(self.caller.status_error(READ_STEP, &answer));
        }
        let answer: ListAnswer = self.caller.parse(READ_STEP, &answer)?;
        Ok(HostList {
            version: answer.version,
            hosts: parse_hosts(answer.hosts),
        })
    }
}

/// Parses each host separately, so that an invalid entry does not affect the others.
fn parse_hosts(values: Vec<Value>) -> Vec<HostEntry> {
    let mut hosts = Vec::with_capacity(values.len());
    for value in values {
        match HostEntry::deserialize(&value) {
            Ok(host) => hosts.push(host),
            Err(e) => log::warn!("skipping an invalid entry of the host list, {value}: {e}"),
        }
    }
    hosts
}

impl Display for HostRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Router => "router",
            Self::Sidecar => "sidecar",
        })
    }
}

impl Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
        })
    }
}

impl Default for HostClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            answer_timeout_ms: 3_000,
            long_poll_ms: 10_000,
            backoff: Backoff::default(),
        }
    }
}
