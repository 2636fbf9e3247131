//! `status`: shows every process and what lags.

use crate::{
    args::Status,
    report::{FAILED, Report},
};
use mallowpath::{
    AdminClient, Error, HostClient, HostClientSettings, HostEntry, HostState, Result, find_admin,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::task::JoinSet;

/// Processes asked at the same time.
const ASKED_AT_ONCE: usize = 64;
/// Age of a confirmation from which a process is said to lag, in milliseconds.
const LAG_MS: u64 = 7_000;

/// A process to ask: one of the host list, or an admin listener.
#[derive(Debug, Clone)]
enum Target {
    Host(HostEntry),
    Admin(SocketAddr),
}

/// What one process answered.
#[derive(Debug)]
struct Row {
    /// Its place among the targets.
    order: usize,
    name: String,
    role: String,
    zone: String,
    is_leaving: bool,
    dump: Result<Value>,
}

/// Runs the command.
pub(crate) async fn run(status: &Status) -> Report {
    let mut targets = Vec::new();
    for admin in &status.admin {
        targets.push(Target::Admin(*admin));
    }
    if let Some(hosts) = status.hosts {
        let client = HostClient::new(hosts, HostClientSettings::default());
        match client.read(None).await {
            Ok(list) => targets.extend(list.hosts.into_iter().map(Target::Host)),
            Err(error) => return Report::failed(&error),
        }
    } else if targets.is_empty() {
        return Report::invalid("name the host list by --hosts, or processes by --admin");
    }
    let rows = ask_all(targets).await;
    let newest = rows.iter().filter_map(Row::version).max();
    describe(&rows, newest.unwrap_or_default(), status.json)
}

async fn ask_all(targets: Vec<Target>) -> Vec<Row> {
    let mut rows = Vec::with_capacity(targets.len());
    let mut asked = JoinSet::new();
    for (order, target) in targets.into_iter().enumerate() {
        if asked.len() >= ASKED_AT_ONCE
            && let Some(Ok(row)) = asked.join_next().await
        {
            rows.push(row);
        }
        asked.spawn(ask(order, target));
    }
    while let Some(answered) = asked.join_next().await {
        rows.extend(answered);
    }
    rows.sort_by_key(|row| row.order);
    rows
}

async fn ask(order: usize, target: Target) -> Row {
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
            Row {
                order,
                name,
                role: field("role"),
                zone: field("zone"),
                is_leaving: false,
                dump,
            }
        }
        Target::Host(host) => Row {
            order,
            name: host.name.to_string(),
            role: host.role.to_string(),
            zone: host.zone.to_string(),
            is_leaving: host.state == HostState::Leaving,
            dump: dump_of(host.address).await,
        },
    }
}

async fn dump_of(peer: SocketAddr) -> Result<Value> {
    let admin = find_admin(peer).await?;
    AdminClient::new(admin).dump().await
}

impl Row {
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

    /// Returns what is wrong with the process, in words.
    fn faults(&self, newest: u64) -> Vec<String> {
        let mut faults = Vec::new();
        if let Err(error) = &self.dump {
            faults.push(unreachable(error));
            return faults;
        }
        let no_work = self.field("no_work").as_str();
        let said_to_leave = self.is_leaving
            || matches!(no_work, Some("configuration" | "host_list"))
            || self.field("draining") == true;
        if !self.is_ready() && !said_to_leave {
            faults.push(format!(
                "not ready ({})",
                no_work.unwrap_or("no reason given")
            ));
        }
        if let Some(version) = self.version().filter(|version| *version < newest) {
            faults.push(format!("configuration {version} is behind {newest}"));
        }
        match self.field("config_age_ms").as_u64() {
            Some(age_ms) if age_ms > LAG_MS => {
                faults.push(format!("configuration confirmed {age_ms} ms ago"));
            }
            Some(_) => {}
            None => faults.push("configuration never confirmed".to_owned()),
        }
        faults
    }

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
fn unreachable(error: &Error) -> String {
    format!("can't be asked: {error}")
}

fn describe(rows: &[Row], newest: u64, json: bool) -> Report {
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
    report.with_status(FAILED).note(format_args!(
        "{faulty} of {} processes need a look",
        rows.len()
    ))
}

fn to_text(rows: &[Row], newest: u64) -> String {
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

fn to_json(rows: &[Row], newest: u64) -> Value {
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
