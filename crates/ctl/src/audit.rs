//! `audit`: compares the bills in the log with the ledgers of the budgets.

use crate::{
    args::Audit,
    report::{EXIT_FAILED, EXIT_OK, Report},
};
use mallowpath::{AuditReport, LogClient, LogClientSettings, audit_log};
use serde_json::{Map, Value, json};

/// Runs `audit`.
pub(crate) async fn run(audit: &Audit) -> Report {
    let log = LogClient::new(audit.log, LogClientSettings::default());
    let found = match audit_log(&log).await {
        Ok(found) => found,
        Err(error) => return Report::from_error(&error),
    };
    let mut report = if audit.json {
        Report::json(&to_json(&found))
    } else {
        Report::text(&found)
    };
    report.exit_status = if has_faults(&found) {
        EXIT_FAILED
    } else {
        EXIT_OK
    };
    for (budget, audited) in &found.budgets {
        if audited.is_overbilled() {
            report = report.with_note(format_args!(
                "budget {budget}: bills of {} exceed what was handed out",
                audited.billed.tokens,
            ));
        }
        if audited.is_overspent() {
            report = report.with_note(format_args!(
                "budget {budget}: more is spent than its limit, which may have been lowered since"
            ));
        }
    }
    for conflict in &found.conflicts {
        report = report.with_note(format_args!(
            "request {}: billed {}, a copy says {}",
            conflict.request, conflict.counted, conflict.found
        ));
    }
    for stream in &found.truncated_streams {
        report = report.with_note(format_args!(
            "{stream}: the oldest records are no longer kept, so bills may be missing"
        ));
    }
    report
}

/// Returns whether the audit found a fault that no action of an operator can cause.
///
/// Spent tokens above the limit of a budget are not such a fault, as an operator may have lowered
/// the limit.
fn has_faults(found: &AuditReport) -> bool {
    let mut has_faults = found.conflict_count > 0 || found.malformed_count > 0;
    for audited in found.budgets.values() {
        has_faults |= audited.is_overbilled();
    }
    has_faults
}

fn to_json(found: &AuditReport) -> Value {
    let mut budgets = Map::new();
    for (budget, audited) in &found.budgets {
        let entry = json!({
            "bills": audited.billed.bills,
            "billed": audited.billed.tokens,
            "unbilled": audited.unbilled(),
            "limit": audited.balance.limit,
            "top_ups": audited.balance.top_ups,
            "spent": audited.balance.spent,
            "granted": audited.balance.open,
            "overbilled": audited.is_overbilled(),
            "overspent": audited.is_overspent(),
        });
        budgets.insert(budget.to_string(), entry);
    }
    let mut workspaces = Map::new();
    for (workspace, total) in &found.workspaces {
        let entry = json!({"bills": total.bills, "billed": total.tokens});
        workspaces.insert(workspace.to_string(), entry);
    }
    json!({
        "budgets": budgets,
        "workspaces": workspaces,
        "void_copies": found.duplicate_count,
        "conflicts": found.conflict_count,
        "malformed": found.malformed_count,
        "cut_streams": found.truncated_streams,
        "wrong": has_faults(found),
    })
}
