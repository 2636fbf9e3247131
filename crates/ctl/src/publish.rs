//! `publish`: puts the configuration of a folder into force.

use crate::{
    args::Publish,
    check::{describe_issues, read_folder},
    differences::{SectionChange, differences},
    report::{EXIT_CONFLICT, Report},
};
use mallowpath::{
    Category, ConfigState, Delta, Error, LogClient, LogClientSettings, PublishOutcome, Sections,
    Version, diff, load_config, publish_to_base,
};
use serde_json::{Value, json};

/// Runs `publish`.
pub(crate) async fn run(publish: &Publish) -> Report {
    let sections = match read_folder(&publish.folder) {
        Ok((_, sections)) => sections,
        Err(issues) => return describe_issues(&issues, publish.json),
    };
    let log = LogClient::new(publish.log, LogClientSettings::default());
    let state = match load_config(&log).await {
        Ok(state) => state,
        Err(error) => return Report::from_error(&error).with_note("nothing was published"),
    };
    let in_force = state.version();
    if publish.base.is_some_and(|base| base != in_force) {
        return conflict_report(
            in_force,
            state.author(),
            "it is not the one of --base",
            None,
        );
    }
    let delta = diff(state.sections(), &sections);
    if publish.dry_run {
        return describe_delta(&state, &delta, publish.json);
    }
    publish_delta(publish, &log, state, (&sections, &delta)).await
}

async fn publish_delta(
    publish: &Publish,
    log: &LogClient,
    state: ConfigState,
    (sections, delta): (&Sections, &Delta),
) -> Report {
    match publish_to_base(log, state, sections, &publish.author).await {
        Ok(PublishOutcome::Accepted(version)) if publish.json => {
            Report::json(&outcome_json("accepted", version, delta))
        }
        Ok(PublishOutcome::Accepted(version)) => Report::text(format_args!(
            "version {version} is in force; sections set: {}, removed: {}",
            delta.set.len(),
            delta.removed.len(),
        )),
        Ok(PublishOutcome::Unchanged(version)) if publish.json => {
            Report::json(&outcome_json("unchanged", version, delta))
        }
        Ok(PublishOutcome::Unchanged(version)) => Report::text(format_args!(
            "nothing differs from version {version}, which is in force"
        )),
        Ok(PublishOutcome::Rejected {
            version,
            author,
            reason,
            partial_version,
        }) => {
            let mut report =
                conflict_report(version, &author, &reason.to_string(), partial_version);
            if publish.json {
                let value = json!({"outcome": "lost", "version": version, "author": author,
                    "partly": partial_version});
                report.stdout = format!("{value:#}\n");
            }
            report
        }
        Err(error) => failure_report(&error),
    }
}

/// Returns the report of a failed publish.
///
/// The change may have taken effect if the answer of the log service was lost.
#[cold]
fn failure_report(error: &Error) -> Report {
    let report = Report::from_error(error);
    match error.category() {
        Category::Unknown => report.with_note(
            "the change may be in force or come into force; run the command again, which says so \
             if nothing differs",
        ),
        _ => report.with_note("nothing was published by the step that failed"),
    }
}

#[cold]
fn conflict_report(
    version: Version,
    author: &str,
    reason: &str,
    partial_version: Option<Version>,
) -> Report {
    let report = Report::default()
        .with_exit_status(EXIT_CONFLICT)
        .with_note(format_args!(
            "version {version} by {author} is in force, so this change is not: {reason}"
        ));
    let report = match partial_version {
        Some(partial_version) => report.with_note(format_args!(
            "earlier parts of this change came into force up to version {partial_version}"
        )),
        None => report,
    };
    report.with_note(format_args!(
        "see what differs with --dry-run, take {author}'s change into the folder, publish again"
    ))
}

fn outcome_json(outcome: &str, version: Version, delta: &Delta) -> Value {
    let mut set = Vec::new();
    for section in &delta.set {
        set.push(section.section_name().to_string());
    }
    let mut removed = Vec::new();
    for name in &delta.removed {
        removed.push(name.to_string());
    }
    json!({"outcome": outcome, "version": version, "set": set, "removed": removed})
}

fn describe_delta(state: &ConfigState, delta: &Delta, json: bool) -> Report {
    if json {
        return Report::json(&outcome_json("dry_run", state.version(), delta));
    }
    let mut lines = vec![format!(
        "version {} by {} is in force",
        state.version(),
        state.author()
    )];
    for difference in differences(state.sections(), delta) {
        lines.push(difference.to_string());
        if difference.change != SectionChange::Changed {
            continue;
        }
        for entry in difference.entries {
            lines.push(match entry.new {
                Some(_) => format!("    {entry}"),
                None => format!("    {} is dropped", entry.key),
            });
        }
    }
    Report::text(lines.join("\n"))
}
