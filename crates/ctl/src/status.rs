//! `status`: shows the readiness, configuration and faults of every process.

use crate::{
    args::Status,
    report::{EXIT_FAILED, Report},
};
use mallowpath::{
    AdminClient, Error, HostClient, HostClientSettings, HostEntry, HostState, Result, find_admin,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::task::JoinSet;

/// Maximum number of processes that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Age of the last confirmation of the configuration above which a process is reported as faulty.
const MAX_CONFIG_AGE_MS: u64 = 7_000;

/// A process to query: an entry of the host list or the address of an admin listener.
#[derive(Debug, Clone)]
enum Target {
    Host(HostEntry),
    Admin(SocketAddr),
}

/// The result of querying one process.
#[derive(Debug)]
struct ProcessStatus {
    /// Index of the process among the targets, by which the rows are sorted.
    index: usize,
    name: String,
    role: String,
    zone: String,
    is_leaving: bool,
    dump: Result<Value>,
}

/// Runs `status`.
pub(crate) async fn run(status: &Status) -> Report {
    let mut targets = Vec::new();
    for admin in &status.admin {
        targets.push(Target::Admin(*admin));
    }
    if let Some(hosts) = status.hosts {
        let client = HostClient::new(hosts, HostClientSettings::default());
        match client.read(None).await {
            Ok(list) => targets.extend(list.hosts.into_iter().map(Target::Host)),
            Err(error) => return Report::from_error(&error),
        }
    } else if targets.is_empty() {
        return Report::invalid("name the host list by --hosts, or processes by --admin");
    }
    let rows = query_all(targets).await;
    let newest = rows.iter().filter_map(ProcessStatus::version).max();
    make_report(&rows, newest.unwrap_or_default(), status.json)
}

async fn query_all(targets: Vec<Target>) -> Vec<ProcessStatus> {
    let mut rows = Vec::with_capacity(targets.len());
    let mut queries = JoinSet::new();
    for (index, target) in targets.into_iter().enumerate() {
        if queries.len() >= MAX_CONCURRENT_QUERIES
            && let Some(Ok(row)) = queries.join_next().await
        {
            rows.push(row);
        }
        queries.spawn(query(index, target));
    }
    while let Some(result) = queries.join_next().await {
        rows.extend(result);
    }
    rows.sort_by_key(|row| row.index);
    rows
}

async fn query(index: usize, target: Target) -> ProcessStatus {
    match target {
        Target::Admin(admin) => {
            let dump = AdminClient::new(admin).dump().await;
            let field = |name: &str| match &dump {
                Ok(dump) => dump[name].as_str().unwrap_or_default().to_owned(),
                Err(_) => String::new(),
            };
            let mut name = field("host");
            if name.is_empty() {
                name = admin.to_string();
            }
            ProcessStatus {
                index,
                name,
                role: field("role"),
                zone: field("zone"),
                is_leaving: false,
                dump,
            }
        }
        Target::Host(host) => ProcessStatus {
            index,
            name: host.name.to_string(),
            role: host.role.to_string(),
            zone: host.zone.to_string(),
            is_leaving: host.state == HostState::Leaving,
            dump: fetch_dump(host.address).await,
        },
    }
}

async fn fetch_dump(peer: SocketAddr) -> Result<Value> {
    let admin = find_admin(peer).await?;
    AdminClient::new(admin).dump().await
}

impl ProcessStatus {
    fn field(&self, name: &str) -> &Value {
        match &self.dump {
            Ok(dump) => &dump[name],
            Err(_) => &Value::Null,
        }
    }

    fn version(&self) -> Option<u64> {
        self.field("config_version").as_u64()
    }

    fn is_ready(&self) -> bool {
        self.field("ready").as_bool().unwrap_or(false)
    }

    /// Returns a description of each fault of the process.
    ///
    /// A process that is draining or leaving is expected not to be ready.
    fn faults(&self, newest: u64) -> Vec<String> {
        let mut faults = Vec::new();
        if let Err(error) = &self.dump {
            faults.push(unreachable_fault(error));
            return faults;
        }
        let no_work = self.field("no_work").as_str();
        let is_expected_not_ready = self.is_leaving
            || matches!(no_work, Some("configuration" | "host_list"))
            || self.field("draining") == true;
        if !self.is_ready() && !is_expected_not_ready {
            faults.push(format!(
                "not ready ({})",
                no_work.unwrap_or("no reason given")
            ));
        }
        if let Some(version) = self.version().filter(|version| *version < newest) {
            faults.push(format!("configuration {version} is behind {newest}"));
        }
        match self.field("config_age_ms").as_u64() {
            Some(age_ms) if age_ms > MAX_CONFIG_AGE_MS => {
                faults.push(format!("configuration confirmed {age_ms} ms ago"));
            }
            Some(_) => {}
            None => faults.push("configuration never confirmed".to_owned()),
        }
        faults
    }

    /// Returns the faults of the process, and whether it is draining or leaving, for the table.
    fn remarks(&self, newest: u64) -> String {
        let mut remarks = self.faults(newest);
        if self.field("draining") == true {
            remarks.push("draining".to_owned());
        }
        if self.is_leaving {
            remarks.push("leaving by the host list".to_owned());
        } else if self.field("no_work") == "configuration" {
            remarks.push("leaving by the configuration".to_owned());
        }
        remarks.join(", ")
    }
}

#[cold]
fn unreachable_fault(error: &Error) -> String {
    format!("can't be asked: {error}")
}

fn make_report(rows: &[ProcessStatus], newest: u64, json: bool) -> Report {
    let mut faulty = 0;
    for row in rows {
        faulty += usize::from(!row.faults(newest).is_empty());
    }
    let report = if json {
        Report::json(&to_json(rows, newest))
    } else {
        Report::text(to_text(rows, newest))
    };
    if faulty == 0 {
        return report;
    }
    report.with_exit_status(EXIT_FAILED).with_note(format_args!(
        "{faulty} of {} processes need a look",
        rows.len()
    ))
}

fn to_text(rows: &[ProcessStatus], newest: u64) -> String {
    let mut lines = vec![format!(
        "{:<20} {:<8} {:<12} {:<6} {:>8} {:>8}  REMARKS",
        "HOST", "ROLE", "ZONE", "READY", "CONFIG", "AGE_MS"
    )];
    for row in rows {
        let ready = if row.is_ready() { "yes" } else { "no" };
        let number = |name: &str| match row.field(name).as_u64() {
            Some(number) => number.to_string(),
            None => "-".to_owned(),
        };
        let line = format!(
            "{:<20} {:<8} {:<12} {ready:<6} {:>8} {:>8}  {}",
            row.name,
            row.role,
            row.zone,
            number("config_version"),
            number("config_age_ms"),
            row.remarks(newest),
        );
        lines.push(line.trim_end().to_owned());
    }
    lines.push(format!("newest configuration: version {newest}"));
    lines.join("\n")
}

fn to_json(rows: &[ProcessStatus], newest: u64) -> Value {
    let mut processes = Vec::new();
    for row in rows {
        processes.push(json!({
            "host": row.name,
            "role": row.role,
            "zone": row.zone,
            "ready": row.is_ready(),
            "config_version": row.version(),
            "config_age_ms": row.field("config_age_ms"),
            "leaving": row.is_leaving,
            "faults": row.faults(newest),
        }));
    }
    json!({"newest_config_version": newest, "processes": processes})
}
