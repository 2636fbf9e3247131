//! `explain`: a request's way and the beliefs that decided it, from the logs of the processes.

use crate::{
    args::Explain,
    report::{FAILED, INVALID, Report},
};
use serde::Deserialize;
use serde_json::Value;
use std::{
    fmt::Write as _,
    fs,
    io::{self, Read},
};

/// How far before a request an event of its host is shown.
const CONTEXT_MS: u64 = 10_000;

/// The most events that are shown before a request.
const CONTEXT_LINES: usize = 12;

/// One line of a process's log.
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

/// The line of a request that ended.
#[derive(Debug, Deserialize)]
struct Request {
    #[serde(rename = "request")]
    id: Option<String>,
    route: Option<String>,
    workspace: Option<String>,
    version: u64,
    ages: Ages,
    reason: String,
    status: u16,
    detail: Option<String>,
    tries: Vec<Try>,
    total_ms: u64,
    tokens: u64,
    spent: u64,
    events: u64,
}

#[derive(Debug, Deserialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct Ages {
    configuration_ms: Option<u64>,
    backends_ms: Option<u64>,
    ledger_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Try {
    backend: String,
    after_ms: u64,
    failure: Option<String>,
}

/// Runs the command.
pub(crate) fn run(explain: &Explain) -> Report {
    let text = match read(explain) {
        Ok(text) => text,
        Err(message) => return Report::invalid(message),
    };
    let lines = parse(&text);
    let mut out = String::new();
    for line in &lines {
        let Some(request) = request(line) else {
            continue;
        };
        if request.id.as_deref() == Some(explain.request.as_str()) {
            out.push_str(&describe(line, &request, &lines));
        }
    }
    if out.is_empty() {
        let id = &explain.request;
        let note = format!(
            "no line of request {id} among {} lines; its router may have left it out under load, or \
             been killed before its end",
            lines.len()
        );
        let status = if lines.is_empty() { INVALID } else { FAILED };
        return Report::default().note(note).with_status(status);
    }
    Report::text(out.trim_end())
}

fn read(explain: &Explain) -> Result<String, String> {
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

/// Reads the lines in the order of their time; what stands before a line's JSON object is passed
/// over, as collectors of logs put their own marks there.
fn parse(text: &str) -> Vec<LogLine> {
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

fn request(line: &LogLine) -> Option<Request> {
    if line.event != "request" {
        return None;
    }
    serde_json::from_value(line.fields.clone()?).ok()
}

fn describe(line: &LogLine, request: &Request, lines: &[LogLine]) -> String {
    let mut out = String::new();
    let mut say = |text: String| {
        out.push_str(&text);
        out.push('\n');
    };
    let id = request.id.as_deref().unwrap_or("without an id");
    say(format!("request {id} at {}, {} ms", line.host, line.at_ms));
    let (reason, status, total) = (&request.reason, request.status, request.total_ms);
    say(format!(
        "  ended as {reason}, status {status}, after {total} ms"
    ));
    let route = request.route.as_deref().unwrap_or("none");
    say(format!(
        "  route {route}, configuration {}",
        request.version
    ));
    if let Some(workspace) = &request.workspace {
        let (tokens, spent) = (request.tokens, request.spent);
        say(format!(
            "  workspace {workspace}: {tokens} tokens at most, {spent} spent, {} events",
            request.events
        ));
    }
    if let Some(detail) = &request.detail {
        say(format!("  {detail}"));
    }
    let ages = &request.ages;
    say(format!(
        "  last read before it: configuration {}, backend servers {}, ledger {}",
        age(ages.configuration_ms),
        age(ages.backends_ms),
        age(ages.ledger_ms)
    ));
    for one in &request.tries {
        let failure = one.failure.as_deref().unwrap_or("no failure");
        say(format!(
            "  after {} ms tried {}: {failure}",
            one.after_ms, one.backend
        ));
    }
    let context = context(line, request, lines);
    say(format!("  cause: {}", cause(request, &context)));
    if !context.is_empty() {
        say("  before it on the host:".to_owned());
        for event in context {
            let before_ms = line.at_ms - event.at_ms;
            say(format!(
                "    {before_ms} ms: {}: {}",
                event.event,
                text(event)
            ));
        }
    }
    out
}

fn age(age_ms: Option<u64>) -> String {
    match age_ms {
        Some(age_ms) => format!("{age_ms} ms"),
        None => "never".to_owned(),
    }
}

/// Returns what an operator should take as the cause.
fn cause(request: &Request, context: &[&LogLine]) -> &'static str {
    match request.reason.as_str() {
        "budget_short" if is_taken(request, context) => {
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
        "rejected" => "the backend servers had no place for it",
        "answer_lost" => "a backend server broke off or answered wrongly after it was sent",
        "timeout" => "its time was up before a backend server answered",
        "stream_broken" => "the stream broke and might not go on elsewhere",
        "caller_left" => "the caller closed its connection",
        _ => "not known to this version",
    }
}

/// Tells whether the last draw before the request found nothing left of the budget.
fn is_taken(request: &Request, context: &[&LogLine]) -> bool {
    let Some(workspace) = &request.workspace else {
        return false;
    };
    for event in context.iter().rev() {
        let Some(fields) = &event.fields else {
            continue;
        };
        // Closed, granted and spent tokens, those paid for, and those taken by all routers.
        let numbers = &fields["changed"][workspace.as_str()];
        if let (Some(prepaid), Some(taken)) = (numbers[3].as_u64(), numbers[4].as_u64()) {
            return taken >= prepaid;
        }
    }
    false
}

/// Returns what happened on the host shortly before the request that has to do with it.
fn context<'a>(line: &LogLine, request: &Request, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let mut found = Vec::new();
    for event in lines {
        let is_before = event.at_ms <= line.at_ms && event.at_ms + CONTEXT_MS >= line.at_ms;
        if event.host == line.host && is_before && concerns(event, request) {
            found.push(event);
        }
    }
    let first = found.len().saturating_sub(CONTEXT_LINES);
    found.split_off(first)
}

fn concerns(event: &LogLine, request: &Request) -> bool {
    match event.event.as_str() {
        "dependency" | "process" | "configuration" => true,
        "budget" => {
            let text = text(event);
            event.fields.is_none()
                || request
                    .workspace
                    .as_ref()
                    .is_some_and(|w| text.contains(w.as_str()))
        }
        "backend" => {
            let text = text(event);
            request.tries.iter().any(|one| text.contains(&one.backend))
        }
        _ => false,
    }
}

fn text(event: &LogLine) -> String {
    let mut text = event.message.clone().unwrap_or_default();
    if let Some(fields) = &event.fields {
        // Writing to a text does not fail.
        let _ = write!(text, "{fields}");
    }
    text
}
