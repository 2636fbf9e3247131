//! `check`: validates a configuration folder, warns of entries without effect and of limits that
//! contradict each other, and tells what differs from another configuration.

use crate::{
    against::Comparison,
    args::Check,
    report::{EXIT_INVALID, EXIT_OK, Report},
};
use mallowpath::{
    ConfigWarning, FleetConfig, IniDocument, Issue, IssueReport, Sections, SourceLocation,
};
use serde_json::{Value, json};
use std::path::Path;

/// What `check` found in a valid folder.
#[derive(Debug)]
struct Findings {
    fleet: FleetConfig,
    warnings: Vec<ConfigWarning>,
    /// `None` if no comparison was asked for or possible.
    comparison: Option<Comparison>,
}

/// Runs `check`.
pub(crate) async fn run(check: &Check) -> Report {
    let document = IniDocument::read_folder(&check.folder);
    let (fleet, sections) = match FleetConfig::from_document(&document) {
        Ok(parsed) => parsed,
        Err(issues) => return describe_issues(&issues, check.json),
    };
    let mut failure = None;
    let mut comparison = None;
    if let Some(against) = &check.against {
        match Comparison::load(against, &sections).await {
            Ok(loaded) => comparison = Some(loaded),
            Err(report) => failure = Some(report),
        }
    }
    let findings = Findings {
        warnings: document.warnings(&fleet, &sections),
        fleet,
        comparison,
    };
    let report = describe_findings(&findings, check);
    match failure {
        Some(failure) => with_failure(report, &failure),
        None => report,
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
    if !json {
        return Report::invalid(issues);
    }
    let mut list = Vec::new();
    for issue in &issues.issues {
        list.push(issue_json(issue));
    }
    Report::json(&json!({"valid": false, "issues": list}))
        .with_note(issues)
        .with_exit_status(EXIT_INVALID)
}

fn describe_findings(findings: &Findings, check: &Check) -> Report {
    let mut report = if check.json {
        Report::json(&findings_json(findings))
    } else {
        Report::text(findings_text(findings))
    };
    for warning in &findings.warnings {
        report = report.with_note(format_args!("warning: {warning}"));
    }
    if check.strict && !findings.warnings.is_empty() {
        return report
            .with_note("there are warnings and --strict was given")
            .with_exit_status(EXIT_INVALID);
    }
    report
}

/// Adds the report of a comparison that failed; an exit status other than 0 is kept.
fn with_failure(report: Report, failure: &Report) -> Report {
    let exit_status = match report.exit_status {
        EXIT_OK => failure.exit_status,
        status => status,
    };
    report
        .with_note(failure.stderr.trim_end())
        .with_exit_status(exit_status)
}

fn findings_text(findings: &Findings) -> String {
    let fleet = &findings.fleet;
    let warnings = match findings.warnings.len() {
        0 => String::new(),
        count => format!("; warnings: {count}"),
    };
    let mut lines = vec![format!(
        "valid; workspaces: {}, budgets: {}, services: {}, backend rules: {}{warnings}",
        fleet.workspaces.len(),
        fleet.budgets.len(),
        fleet.services.len(),
        fleet.backends.len(),
    )];
    if let Some(comparison) = &findings.comparison {
        lines.extend(comparison.lines());
    }
    lines.join("\n")
}

fn findings_json(findings: &Findings) -> Value {
    let fleet = &findings.fleet;
    let mut value = json!({
        "valid": true,
        "workspaces": fleet.workspaces.len(),
        "budgets": fleet.budgets.len(),
        "services": fleet.services.len(),
        "backends": fleet.backends.len(),
    });
    if !findings.warnings.is_empty() {
        let mut list = Vec::new();
        for warning in &findings.warnings {
            list.push(warning_json(warning));
        }
        value["warnings"] = Value::from(list);
    }
    if let Some(comparison) = &findings.comparison {
        value["against"] = comparison.origin_json();
        value["differences"] = comparison.differences_json();
    }
    value
}

fn warning_json(warning: &ConfigWarning) -> Value {
    let mut value = place_json(warning.location.as_ref(), &warning.section, &warning.key);
    value["text"] = Value::from(&*warning.text);
    value["hint"] = Value::from(&*warning.hint);
    value
}

fn issue_json(issue: &Issue) -> Value {
    let mut value = place_json(issue.location.as_ref(), &issue.section, &issue.key);
    value["value"] = Value::from(issue.value.as_deref());
    value["expected"] = Value::from(&*issue.expected);
    value["hint"] = Value::from(issue.hint.as_deref());
    value
}

/// Returns the part that a warning and an issue have in common.
fn place_json(location: Option<&SourceLocation>, section: &str, key: &str) -> Value {
    json!({
        "file": location.map(|location| &location.file),
        "line": location.map(|location| location.line),
        "section": section,
        "key": key,
    })
}
