//! The settings of a process, read from one INI file.
//!
//! A router reads the section `[router]` and a sidecar the section `[sidecar]`. Settings are read
//! once at startup; what may change at run time belongs to the fleet's configuration.

use crate::{
    config::entries::Entries,
    config::ini::IniDocument,
    config::issue::{Issue, IssueReport, nearest},
    config::section::{Section, SectionReader, YES_OR_NO, sections_of_document},
    config::work_eligibility::ConfirmationPolicy,
    id::{BackendId, HostId, Region, ServiceId, Zone},
    memory::host_limits::{HostLimits, MemorySize},
    process::peer_timing::PeerTiming,
};
use std::{net::SocketAddr, path::Path, sync::Arc};

const ADDRESS_FORMAT: &str = "an IP address and port, such as 10.0.0.1:8080";
const NAME_FORMAT: &str = "a name of letters, digits and - _ . / :";
/// The least memory and the least number of descriptors with which a process can do its work.
const MIN_MEMORY_MB: u64 = 32;
const MIN_DESCRIPTORS: u64 = 256;
/// The limits on times in milliseconds, except where a setting has limits of its own.
const MIN_MS: u64 = 1;
const MAX_MS: u64 = 3_600_000;
/// The limit on `key_keep_ms`, one day.
const MAX_KEY_KEEP_MS: u64 = 24 * 3_600_000;
/// The limit on settings that are counts.
const MAX_COUNT: u64 = 100_000;
/// The limit on `unconfirmed_after_ms`: a leaving backend server stops taking work within 5 s, and
/// half a second of that is left as a margin.
const MAX_UNCONFIRMED_MS: u64 = 4_500;
/// The age that a router's confirmation by the log service reaches between two reads.
const LOG_READ_AGE_MS: u64 = 1_000;

/// Settings of the host and its platform services, which every process of the fleet has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host in the host list.
    pub name: HostId,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Region,
    /// Address of the listener for other processes of the fleet.
    pub peer_listen: SocketAddr,
    /// Address of the admin listener, which serves metrics, health checks and state dumps.
    pub admin_listen: SocketAddr,
    /// Address of the platform's log service.
    pub log_service: SocketAddr,
    /// Address of the platform's host list service.
    pub host_list: SocketAddr,
    /// The memory and the descriptors of the process.
    pub limits: HostLimits,
}

/// Settings of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// The router's host and its platform services.
    pub host: HostSettings,
    /// Address of the listener for callers.
    pub callers_listen: SocketAddr,
    /// Intervals and timeouts.
    pub timing: PeerTiming,
    /// What may be left at its default.
    pub tuning: RouterTuning,
}

/// Settings of a router that have a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterTuning {
    /// How long a caller may take to send the head of a request.
    pub header_timeout_ms: u64,
    /// How long a caller may take to send the body of a request.
    pub body_timeout_ms: u64,
    /// How long bills are collected into a batch before it is appended to the log.
    pub bill_batch_ms: u64,
    /// How long one slice of a budget should last at the rate at which the router spends tokens.
    pub slice_ms: u64,
    /// Number of sidecars of each service that the router connects to.
    pub sidecars_per_service: u64,
    /// Limit on the requests that wait for a backend server.
    pub max_waiting: u64,
    /// How long a draining router still accepts connections until the load balancer has noticed.
    pub drain_notice_ms: u64,
    /// How long a starting router tries to load a configuration.
    pub load_timeout_ms: u64,
    /// How long an idempotency key stays bound after its run has ended.
    pub key_keep_ms: u64,
    /// How long the other replica of a key shard may be unreachable before it is replaced.
    pub key_takeover_ms: u64,
    /// Whether this router holds keys without a replica while it is the only one of its region.
    ///
    /// The keys are lost with the process. No key is then bound to a second request, but the shards
    /// of the process stay unavailable to later processes.
    pub keys_without_witness: bool,
}

/// Settings of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// The sidecar's host and its platform services.
    pub host: HostSettings,
    /// Name of the sidecar's backend server.
    pub backend: BackendId,
    /// Address of that backend server.
    pub backend_address: SocketAddr,
    /// The service that the backend server provides.
    pub service: ServiceId,
    /// Intervals and timeouts.
    pub timing: PeerTiming,
    /// What may be left at its default.
    pub tuning: SidecarTuning,
}

/// Settings of a sidecar that have a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarTuning {
    /// Limit on the requests that run on the backend server at the same time.
    pub max_running: u64,
    /// Time without data from the backend server within an answer after which the run is given up.
    pub backend_timeout_ms: u64,
    /// How long the answer of an ended run is kept for callers that reconnect.
    pub keep_answer_ms: u64,
    /// Age of the last confirmation of the state after which no new work is taken.
    pub unconfirmed_after_ms: u64,
    /// The sources that have to confirm the state within that time.
    pub confirmation: ConfirmationPolicy,
    /// Interval between polls of the backend server's load.
    pub load_poll_ms: u64,
    /// Whether the backend server itself refuses orders with an old fencing token.
    pub server_checks_fences: bool,
    /// How long an order may take before the backend server's state counts as unknown.
    pub order_timeout_ms: u64,
}

impl RouterSettings {
    /// Reads the section `[router]`.
    ///
    /// # Errors
    ///
    /// Returns every issue with its file and line.
    pub fn from_document(document: &IniDocument) -> Result<Self, IssueReport> {
        read_settings(document, "router", read_router)
    }

    /// Returns every key of the section.
    pub fn keys() -> Vec<&'static str> {
        known_keys("router", read_router)
    }
}

impl SidecarSettings {
    /// Reads the section `[sidecar]`.
    ///
    /// # Errors
    ///
    /// Returns every issue with its file and line.
    pub fn from_document(document: &IniDocument) -> Result<Self, IssueReport> {
        read_settings(document, "sidecar", read_sidecar)
    }

    /// Returns every key of the section.
    pub fn keys() -> Vec<&'static str> {
        known_keys("sidecar", read_sidecar)
    }
}

/// Reads a router's settings from a file.
///
/// # Errors
///
/// Returns every issue with its file and line.
pub fn read_router_settings(file: &Path) -> Result<RouterSettings, IssueReport> {
    RouterSettings::from_document(&IniDocument::read_file(file))
}

/// Reads a sidecar's settings from a file.
///
/// # Errors
///
/// Returns every issue with its file and line.
pub fn read_sidecar_settings(file: &Path) -> Result<SidecarSettings, IssueReport> {
    SidecarSettings::from_document(&IniDocument::read_file(file))
}

/// Reads the section `wanted` and reports the issues of the whole document.
fn read_settings<T>(
    document: &IniDocument,
    wanted: &str,
    read_section: impl Fn(&mut SectionReader<'_>) -> Option<T>,
) -> Result<T, IssueReport> {
    let mut issues = document.issues.clone();
    let mut settings = None;
    for (name, section) in sections_of_document(document) {
        let header = name.to_string();
        if header != wanted {
            let expected = format!("the section [{wanted}]");
            let mut issue = Issue::new(&header, "", Some(&header), &expected);
            issue.hint = nearest(&header, &[wanted]);
            issues.push(issue);
            continue;
        }
        let mut reader = SectionReader::new(&section, &mut issues);
        settings = read_section(&mut reader);
        reader.finish();
    }
    if settings.is_none() && issues.is_empty() {
        issues.push(Issue::new(wanted, "", None, "this section"));
    }
    document.fill_locations(&mut issues);
    match settings {
        Some(settings) if issues.is_empty() => Ok(settings),
        _ => Err(IssueReport::new(issues)),
    }
}

/// Returns every key that `read_section` asks for.
fn known_keys<T>(
    kind: &str,
    read_section: impl Fn(&mut SectionReader<'_>) -> Option<T>,
) -> Vec<&'static str> {
    let section = Section {
        kind: Arc::from(kind),
        name: Arc::from(""),
        entries: Entries::default(),
    };
    let mut issues = Vec::new();
    let mut reader = SectionReader::new(&section, &mut issues);
    read_section(&mut reader);
    reader.finish()
}

fn read_router(reader: &mut SectionReader<'_>) -> Option<RouterSettings> {
    let host = read_host(reader);
    let callers_listen = reader.required("callers_listen", ADDRESS_FORMAT);
    let timing = PeerTiming::read(reader);
    let default = RouterTuning::default();
    let tuning = RouterTuning {
        header_timeout_ms: millis(reader, "header_timeout_ms", default.header_timeout_ms),
        body_timeout_ms: millis(reader, "body_timeout_ms", default.body_timeout_ms),
        bill_batch_ms: millis(reader, "bill_batch_ms", default.bill_batch_ms),
        slice_ms: millis(reader, "slice_ms", default.slice_ms),
        sidecars_per_service: count(reader, "sidecars_per_service", default.sidecars_per_service),
        max_waiting: count(reader, "max_waiting", default.max_waiting),
        drain_notice_ms: millis(reader, "drain_notice_ms", default.drain_notice_ms),
        load_timeout_ms: millis(reader, "load_timeout_ms", default.load_timeout_ms),
        key_keep_ms: reader.number("key_keep_ms", MIN_MS, MAX_KEY_KEEP_MS, default.key_keep_ms),
        key_takeover_ms: millis(reader, "key_takeover_ms", default.key_takeover_ms),
        keys_without_witness: reader.choice(
            "keys_without_witness",
            &YES_OR_NO,
            default.keys_without_witness,
        ),
    };
    let host = host?;
    let callers_listen = callers_listen?;
    check_distinct_addresses(
        reader,
        &[
            ("callers_listen", callers_listen),
            ("peer_listen", host.peer_listen),
            ("admin_listen", host.admin_listen),
        ],
    );
    Some(RouterSettings {
        host,
        callers_listen,
        timing,
        tuning,
    })
}

fn read_sidecar(reader: &mut SectionReader<'_>) -> Option<SidecarSettings> {
    let host = read_host(reader);
    let backend = reader.required("backend", NAME_FORMAT);
    let backend_address = reader.required("backend_address", ADDRESS_FORMAT);
    let service = reader.required("service", NAME_FORMAT);
    let timing = PeerTiming::read(reader);
    let default = SidecarTuning::default();
    let tuning = SidecarTuning {
        max_running: count(reader, "max_running", default.max_running),
        backend_timeout_ms: millis(reader, "backend_timeout_ms", default.backend_timeout_ms),
        keep_answer_ms: millis(reader, "keep_answer_ms", default.keep_answer_ms),
        unconfirmed_after_ms: millis(reader, "unconfirmed_after_ms", default.unconfirmed_after_ms),
        confirmation: reader
            .optional("confirmation", "any, all or once")
            .unwrap_or(default.confirmation),
        load_poll_ms: millis(reader, "load_poll_ms", default.load_poll_ms),
        server_checks_fences: reader.choice(
            "server_checks_fences",
            &YES_OR_NO,
            default.server_checks_fences,
        ),
        order_timeout_ms: millis(reader, "order_timeout_ms", default.order_timeout_ms),
    };
    check_unconfirmed_after(reader, &timing, &tuning);
    let host = host?;
    check_distinct_addresses(
        reader,
        &[
            ("peer_listen", host.peer_listen),
            ("admin_listen", host.admin_listen),
        ],
    );
    Some(SidecarSettings {
        host,
        backend: backend?,
        backend_address: backend_address?,
        service: service?,
        timing,
        tuning,
    })
}

fn read_host(reader: &mut SectionReader<'_>) -> Option<HostSettings> {
    let name = reader.required("name", NAME_FORMAT);
    let zone = reader.required("zone", NAME_FORMAT);
    let region = reader.required("region", NAME_FORMAT);
    let peer_listen = reader.required("peer_listen", ADDRESS_FORMAT);
    let admin_listen = reader.required("admin_listen", ADDRESS_FORMAT);
    let log_service = reader.required("log_service", ADDRESS_FORMAT);
    let host_list = reader.required("host_list", ADDRESS_FORMAT);
    let limits = read_limits(reader);
    Some(HostSettings {
        name: name?,
        zone: zone?,
        region: region?,
        peer_listen: peer_listen?,
        admin_listen: admin_listen?,
        log_service: log_service?,
        host_list: host_list?,
        limits,
    })
}

fn read_limits(reader: &mut SectionReader<'_>) -> HostLimits {
    let default = HostLimits::default();
    let default_mb = default.memory.bytes() >> 20;
    let memory_mb = reader.number("memory_mb", MIN_MEMORY_MB, MAX_COUNT, default_mb);
    let descriptors_max = reader.number(
        "descriptors_max",
        MIN_DESCRIPTORS,
        MAX_COUNT,
        default.descriptors_max,
    );
    HostLimits {
        memory: MemorySize::from_mib(memory_mb),
        descriptors_max,
    }
}

/// Checks the bounds of `unconfirmed_after_ms`.
///
/// Above the upper bound, a leaving backend server could take work for too long. Below the lower
/// one, a backend server whose state is confirmed regularly would stop taking work.
///
/// A router's confirmation is up to [`LOG_READ_AGE_MS`] old when the router sends its heartbeat.
/// The heartbeat answers one sent up to one interval before and holds until the next one arrives,
/// so the lower bound is [`LOG_READ_AGE_MS`] and twice the interval.
fn check_unconfirmed_after(
    reader: &mut SectionReader<'_>,
    timing: &PeerTiming,
    tuning: &SidecarTuning,
) {
    let min_ms = LOG_READ_AGE_MS + 2 * timing.heartbeat_ms;
    if (min_ms..=MAX_UNCONFIRMED_MS).contains(&tuning.unconfirmed_after_ms) {
        return;
    }
    if !reader.has("unconfirmed_after_ms") {
        let max_ms = (tuning.unconfirmed_after_ms - LOG_READ_AGE_MS) / 2;
        return reader.reject("heartbeat_ms", &format!("at most {max_ms} in a sidecar"));
    }
    let expected = format!(
        "{min_ms} to {MAX_UNCONFIRMED_MS}: at least {LOG_READ_AGE_MS} and twice heartbeat_ms, and \
         within the 5000 in which a leaving backend server stops taking work"
    );
    reader.reject("unconfirmed_after_ms", &expected);
}

/// Checks that no two listeners share an address.
///
/// Port 0 may be repeated, as each listener is then given a free port.
fn check_distinct_addresses(reader: &mut SectionReader<'_>, listeners: &[(&str, SocketAddr)]) {
    for (index, (key, address)) in listeners.iter().enumerate() {
        for (other_key, other) in &listeners[..index] {
            if address.port() == 0 || address != other {
                continue;
            }
            reader.reject(key, &format!("an address other than that of {other_key}"));
        }
    }
}

pub(super) fn millis(reader: &mut SectionReader<'_>, key: &'static str, default: u64) -> u64 {
    reader.number(key, MIN_MS, MAX_MS, default)
}

fn count(reader: &mut SectionReader<'_>, key: &'static str, default: u64) -> u64 {
    reader.number(key, 1, MAX_COUNT, default)
}

impl Default for RouterTuning {
    fn default() -> Self {
        Self {
            header_timeout_ms: 5_000,
            body_timeout_ms: 30_000,
            bill_batch_ms: 5_000,
            slice_ms: 5_000,
            sidecars_per_service: 16,
            max_waiting: 10_000,
            drain_notice_ms: 1_000,
            load_timeout_ms: 20_000,
            key_keep_ms: 3_600_000,
            key_takeover_ms: 3_000,
            keys_without_witness: false,
        }
    }
}

impl Default for SidecarTuning {
    fn default() -> Self {
        Self {
            max_running: 64,
            backend_timeout_ms: 60_000,
            keep_answer_ms: 600_000,
            unconfirmed_after_ms: 4_000,
            confirmation: ConfirmationPolicy::Any,
            load_poll_ms: 500,
            server_checks_fences: false,
            order_timeout_ms: 60_000,
        }
    }
}
