//! `check`: validates a configuration folder offline.

use crate::{args::Check, report::Report};
use mallowpath::{FleetConfig, IniDocument, Issue, IssueReport, Sections};
use serde_json::{Value, json};
use std::path::Path;

/// Runs `check`.
pub(crate) fn run(check: &Check) -> Report {
    match read_folder(&check.folder) {
        Ok((fleet, _)) if check.json => Report::json(&json!({
            "valid": true,
            "workspaces": fleet.workspaces.len(),
            "budgets": fleet.budgets.len(),
            "services": fleet.services.len(),
            "backends": fleet.backends.len(),
        })),
        Ok((fleet, _)) => Report::text(format_args!(
            "valid; workspaces: {}, budgets: {}, services: {}, backend rules: {}",
            fleet.workspaces.len(),
            fleet.budgets.len(),
            fleet.services.len(),
            fleet.backends.len(),
        )),
        Err(issues) => describe_issues(&issues, check.json),
    }
}

/// Reads and validates a configuration folder.
///
/// # Errors
///
/// Returns every issue that was found in the folder.
pub(crate) fn read_folder(folder: &Path) -> Result<(FleetConfig, Sections), IssueReport> {
    FleetConfig::from_document(&IniDocument::read_folder(folder))
}

/// Returns the report of an invalid folder.
pub(crate) fn describe_issues(issues: &IssueReport, json: bool) -> Report {
    let report = Report::invalid(issues);
    if !json {
        return report;
    }
    let mut list = Vec::new();
    for issue in &issues.issues {
        list.push(issue_json(issue));
    }
    Report {
        stdout: format!("{:#}\n", json!({"valid": false, "issues": list})),
        ..report
    }
}

fn issue_json(issue: &Issue) -> Value {
    let location = issue.location.as_ref();
    json!({
        "file": location.map(|location| &location.file),
        "line": location.map(|location| location.line),
        "section": issue.section,
        "key": issue.key,
        "value": issue.value,
        "expected": issue.expected,
        "hint": issue.hint,
    })
}
