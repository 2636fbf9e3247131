//! An engine sends bytes after a complete answer, late, on a connection that is in use again.

use crate::{
    Outcome, Verdict,
    client::{ClientRequest, send},
    deployment::{Deployment, PLAIN},
    engine::{Answer, Engine},
    http::{Request, write_response},
    record::Record,
};
use std::{
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::Duration,
};

/// Number of requests.
const REQUESTS: u64 = 40;

/// The request during which the bytes after the answer before it come, counted over both engines.
const LATE_BYTES_AT: u64 = 12;

/// Time for which an engine works on a request.
const WORK: Duration = Duration::from_millis(60);

/// The bytes that come after a complete answer.
const LATE_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let requests = Arc::new(AtomicU64::new(0));
    let engine = || answer(Arc::clone(&requests), trouble);
    let deployment = Deployment::start(record, 1, [engine(), engine()])?;
    let (mut served, mut broken) = (0, 0);
    for number in 0..REQUESTS {
        // After a promise that it has not run, a client sends a request once more.
        for attempt in ["", "-again"] {
            let request = ClientRequest {
                path: PLAIN,
                key: "key-0",
                attempt: &format!("notice-{number}{attempt}"),
                tokens: (0, 0),
                deadline_ms: 3_000,
            };
            let answer = send(deployment.front(0), &request, record);
            sleep(WORK);
            let runs = runs_of(&deployment.engines, request.attempt);
            let is_promise = matches!(answer.status, 408 | 421 | 429 | 503);
            if is_promise && runs > 0 {
                broken += 1;
                record.line(&format!(
                    "judge: {} was answered {} and has run",
                    request.attempt, answer.status
                ));
            }
            served += u64::from(answer.status == 200);
            if !is_promise {
                break;
            }
        }
    }
    record.line(&format!(
        "judge: {served} served, {broken} refused that ran"
    ));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns how often the engines ran an attempt.
fn runs_of(engines: &[Engine], attempt: &str) -> usize {
    let runs = engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.attempt == attempt).count()
}

/// Returns an engine's behaviour: one answer a request, and once the bytes after an answer.
fn answer(requests: Arc<AtomicU64>, trouble: bool) -> Arc<Answer> {
    Arc::new(move |engine, request, stream| {
        if trouble && requests.fetch_add(1, Ordering::SeqCst) == LATE_BYTES_AT {
            engine.log("sends bytes after its last answer on this connection");
            stream.write_all(LATE_BYTES)?;
        }
        engine.begin_run(request);
        sleep(WORK);
        write_answer(request, stream)
    })
}

fn write_answer(request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let attempt = request.header("attempt-id").unwrap_or_default();
    let seal = format!("seal-{attempt}");
    let headers = [
        ("Attempt-Id", attempt),
        ("Response-Seal", &*seal),
        ("Keep-Alive", "timeout=5"),
    ];
    write_response(stream, "200 OK", &headers, b"{\"posted\":true}")?;
    Ok(true)
}
