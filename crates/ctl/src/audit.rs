//! `audit`: sets the bills against the ledgers.

use crate::{
    args::Audit,
    report::{FAILED, OK, Report},
};
use mallowpath::{AuditReport, LogClient, LogClientSettings, audit_log};
use serde_json::{Map, Value, json};

/// Runs the command.
pub(crate) async fn run(audit: &Audit) -> Report {
    let log = LogClient::new(audit.log, LogClientSettings::default());
    let found = match audit_log(&log).await {
        Ok(found) => found,
        Err(error) => return Report::failed(&error),
    };
    let mut report = if audit.json {
        Report::json(&to_json(&found))
    } else {
        Report::text(to_text(&found))
    };
    report.status = if found.is_wrong() { FAILED } else { OK };
    for (budget, audited) in &found.budgets {
        if audited.is_overbilled() {
            report = report.note(format_args!(
                "budget {budget}: bills of {} exceed the {} handed out",
                audited.billed.tokens,
                audited.handed_out()
            ));
        }
    }
    for conflict in &found.conflicts {
        report = report.note(format_args!(
            "request {}: billed {}, a copy says {}",
            conflict.request, conflict.counted, conflict.found
        ));
    }
    for stream in &found.cut_streams {
        report = report.note(format_args!(
            "{stream}: its oldest records are no longer kept, so bills may be missing"
        ));
    }
    report
}

fn to_text(found: &AuditReport) -> String {
    let mut lines = vec![format!(
        "{:<24} {:>10} {:>14} {:>14} {:>14}",
        "BUDGET", "BILLS", "BILLED", "HANDED OUT", "PAID"
    )];
    for (budget, audited) in &found.budgets {
        lines.push(format!(
            "{:<24} {:>10} {:>14} {:>14} {:>14}",
            budget.as_str(),
            audited.billed.bills,
            audited.billed.tokens.0,
            audited.handed_out().0,
            audited.paid().0,
        ));
    }
    for (workspace, total) in &found.workspaces {
        lines.push(format!(
            "workspace {workspace}: {} bills, {} tokens",
            total.bills, total.tokens
        ));
    }
    lines.push(format!(
        "{} void copies, {} conflicts, {} malformed bills",
        found.duplicate_count, found.conflict_count, found.malformed_count,
    ));
    lines.join("\n")
}

fn to_json(found: &AuditReport) -> Value {
    let mut budgets = Map::new();
    for (budget, audited) in &found.budgets {
        let entry = json!({
            "bills": audited.billed.bills,
            "billed": audited.billed.tokens,
            "handed_out": audited.handed_out(),
            "paid": audited.paid(),
            "overspent": audited.is_overspent() || audited.is_overbilled(),
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
        "truncated_streams": found.cut_streams.len(),
        "wrong": found.is_wrong(),
    })
}
