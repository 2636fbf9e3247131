//! `explain`: shows from the logs of the processes how a request ended and the state that its router
//! decided on.

use crate::{
    args::Explain,
    report::{EXIT_FAILED, EXIT_INVALID, Report},
};
use serde::Deserialize;
use serde_json::Value;
use std::{
    fmt::Write as _,
    fs,
    io::{self, Read},
};

/// Time before the log line of a request within which events of its host are shown.
const CONTEXT_WINDOW_MS: u64 = 10_000;

/// Maximum number of events that are shown for a request; the latest are kept.
const MAX_CONTEXT_EVENTS: usize = 12;

/// A line of the log of a process.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    at_ms: u64,
    event: String,
    host: String,
    #[serde(default)]
    message: Option<String>,
    #[serde(default)]
    fields: Option<Value>,
}

/// The fields of the log event `request`, which a router writes when a request ends.
#[derive(Debug, Deserialize)]
struct RequestFields {
    #[serde(rename = "request")]
    id: Option<String>,
    route: Option<String>,
    workspace: Option<String>,
    version: u64,
    ages: Ages,
    reason: String,
    status: u16,
    detail: Option<String>,
    #[serde(rename = "tries")]
    attempts: Vec<Attempt>,
    total_ms: u64,
    tokens: u64,
    spent: u64,
    events: u64,
}

/// Time since the router's copies of the shared state were last known to be current.
#[derive(Debug, Deserialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct Ages {
    configuration_ms: Option<u64>,
    backends_ms: Option<u64>,
    ledger_ms: Option<u64>,
}

/// One attempt to send the request to a backend server.
#[derive(Debug, Deserialize)]
struct Attempt {
    backend: String,
    after_ms: u64,
    failure: Option<String>,
}

/// Runs `explain`.
pub(crate) fn run(explain: &Explain) -> Report {
    let text = match read_logs(explain) {
        Ok(text) => text,
        Err(message) => return Report::invalid(message),
    };
    let lines = parse_lines(&text);
    let mut out = String::new();
    for line in &lines {
        let Some(request) = parse_request(line) else {
            continue;
        };
        if request.id.as_deref() == Some(explain.request.as_str()) {
            out.push_str(&describe_request(line, &request, &lines));
        }
    }
    if out.is_empty() {
        let id = &explain.request;
        let note = format!(
            "no line of request {id} among {} lines; its router may have left it out under load, or \
             been killed before its end",
            lines.len()
        );
        let exit_status = if lines.is_empty() {
            EXIT_INVALID
        } else {
            EXIT_FAILED
        };
        return Report::default()
            .with_note(note)
            .with_exit_status(exit_status);
    }
    Report::text(out.trim_end())
}

/// Returns the text of all log files, or of the standard input if no file is named.
///
/// # Errors
///
/// Returns a message that names the file that can't be read.
fn read_logs(explain: &Explain) -> Result<String, String> {
    let mut text = String::new();
    if explain.files.is_empty() {
        return match io::stdin().read_to_string(&mut text) {
            Ok(_) => Ok(text),
            Err(error) => Err(format!("standard input: {error}")),
        };
    }
    for file in &explain.files {
        match fs::read_to_string(file) {
            Ok(more) => text.push_str(&more),
            Err(error) => return Err(format!("{}: {error}", file.display())),
        }
        text.push('\n');
    }
    Ok(text)
}

/// Returns the log lines sorted by time.
///
/// Text before the JSON object of a line is ignored, as log collectors put prefixes there. A line
/// that can't be parsed is skipped.
fn parse_lines(text: &str) -> Vec<LogLine> {
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        if let Ok(line) = serde_json::from_str::<LogLine>(&line[start..]) {
            lines.push(line);
        }
    }
    lines.sort_by_key(|line| line.at_ms);
    lines
}

/// Returns the fields of a `request` event, or `None` for another event or malformed fields.
fn parse_request(line: &LogLine) -> Option<RequestFields> {
    if line.event != "request" {
        return None;
    }
    serde_json::from_value(line.fields.clone()?).ok()
}

fn describe_request(line: &LogLine, request: &RequestFields, lines: &[LogLine]) -> String {
    let mut out = String::new();
    let mut push_line = |text: String| {
        out.push_str(&text);
        out.push('\n');
    };
    let id = request.id.as_deref().unwrap_or("without an id");
    push_line(format!("request {id} at {}, {} ms", line.host, line.at_ms));
    let (reason, status, total) = (&request.reason, request.status, request.total_ms);
    push_line(format!(
        "  ended as {reason}, status {status}, after {total} ms"
    ));
    let route = request.route.as_deref().unwrap_or("none");
    push_line(format!(
        "  route {route}, configuration {}",
        request.version
    ));
    if let Some(workspace) = &request.workspace {
        let (tokens, spent) = (request.tokens, request.spent);
        push_line(format!(
            "  workspace {workspace}: {tokens} tokens at most, {spent} spent, {} events",
            request.events
        ));
    }
    if let Some(detail) = &request.detail {
        push_line(format!("  {detail}"));
    }
    let ages = &request.ages;
    push_line(format!(
        "  last read before it: configuration {}, backend servers {}, ledger {}",
        format_age(ages.configuration_ms),
        format_age(ages.backends_ms),
        format_age(ages.ledger_ms)
    ));
    for attempt in &request.attempts {
        let failure = attempt.failure.as_deref().unwrap_or("no failure");
        push_line(format!(
            "  after {} ms tried {}: {failure}",
            attempt.after_ms, attempt.backend
        ));
    }
    let context = preceding_events(line, request, lines);
    push_line(format!("  cause: {}", describe_cause(request, &context)));
    if !context.is_empty() {
        push_line("  before it on the host:".to_owned());
        for event in context {
            let before_ms = line.at_ms - event.at_ms;
            push_line(format!(
                "    {before_ms} ms: {}: {}",
                event.event,
                event_text(event)
            ));
        }
    }
    out
}

fn format_age(age_ms: Option<u64>) -> String {
    match age_ms {
        Some(age_ms) => format!("{age_ms} ms"),
        None => "never".to_owned(),
    }
}

/// Returns the likely cause of the outcome, as shown to an operator.
fn describe_cause(request: &RequestFields, context: &[&LogLine]) -> &'static str {
    match request.reason.as_str() {
        "budget_short" if is_budget_exhausted(request, context) => {
            "all tokens of the budget were spent or held by routers; what is held and not spent comes \
             back within a second or two"
        }
        "delivered" if request.status >= 400 => {
            "the backend server failed it; its answer was passed on"
        }
        "delivered" => "it was served",
        "no_configuration" => "the router had just started and knew no configuration",
        "no_route" => "no route of the configuration takes its host and path",
        "unknown_key" => "its API key names no workspace in the configuration",
        "body_too_large" => "its body is over the configured limit",
        "body_cut_off" => "its body did not come whole",
        "budget_spent" => "the workspace's budget is spent",
        "budget_short" => {
            "the router held too few tokens of the budget and could not draw more in time; see the \
             age of the ledger and the store's outages before it"
        }
        "overloaded" => {
            "the backend servers had more to do than they could begin in time; the router takes new \
             requests again when its requests wait less"
        }
        "no_backend" => "no backend server could be reached",
        "version_unknown" => {
            "servers of several versions may have begun the stream, and its origin was not found"
        }
        "quarantined" => "it, or a part of its prompt, ends backend servers",
        "shutting_down" => "its router shut down and might have ended before it",
        "rejected" => "the backend servers had no place for it",
        "answer_lost" => "a backend server broke off or answered wrongly after it was sent",
        "timeout" => "its time was up before a backend server answered",
        "stream_broken" => "the stream broke and might not go on elsewhere",
        "caller_left" => "the caller closed its connection",
        _ => "not known to this version",
    }
}

/// Returns whether the last draw from the budget before the request found no tokens left in it.
fn is_budget_exhausted(request: &RequestFields, context: &[&LogLine]) -> bool {
    let Some(workspace) = &request.workspace else {
        return false;
    };
    for event in context.iter().rev() {
        let Some(fields) = &event.fields else {
            continue;
        };
        // The array holds the closed, granted and spent tokens of the router, the prepaid tokens, and the
        // tokens that all routers have spent or hold.
        let numbers = &fields["changed"][workspace.as_str()];
        if let (Some(prepaid), Some(taken)) = (numbers[3].as_u64(), numbers[4].as_u64()) {
            return taken >= prepaid;
        }
    }
    false
}

/// Returns the events on the host shortly before the end of the request that may have affected it.
fn preceding_events<'a>(
    line: &LogLine,
    request: &RequestFields,
    lines: &'a [LogLine],
) -> Vec<&'a LogLine> {
    let mut found = Vec::new();
    for event in lines {
        let is_before = event.at_ms <= line.at_ms && event.at_ms + CONTEXT_WINDOW_MS >= line.at_ms;
        if event.host == line.host && is_before && may_affect(event, request) {
            found.push(event);
        }
    }
    let first = found.len().saturating_sub(MAX_CONTEXT_EVENTS);
    found.split_off(first)
}

fn may_affect(event: &LogLine, request: &RequestFields) -> bool {
    match event.event.as_str() {
        "dependency" | "process" | "configuration" => true,
        "budget" => {
            let text = event_text(event);
            event.fields.is_none()
                || request
                    .workspace
                    .as_ref()
                    .is_some_and(|workspace| text.contains(workspace.as_str()))
        }
        "backend" => {
            let text = event_text(event);
            request
                .attempts
                .iter()
                .any(|attempt| text.contains(&attempt.backend))
        }
        _ => false,
    }
}

/// Returns the message and the fields of an event.
fn event_text(event: &LogLine) -> String {
    let mut text = event.message.clone().unwrap_or_default();
    if let Some(fields) = &event.fields {
        // Writing to a `String` does not fail.
        let _ = write!(text, "{fields}");
    }
    text
}
