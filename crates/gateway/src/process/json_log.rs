//! Structured logs on standard output that never block a request.
//!
//! Lines go into a bounded queue, and a thread writes them in batches. Lines that do not fit are
//! dropped and counted. The lines of requests are rate-limited, with separate limits for successes
//! and other requests, so that failures remain visible under load. The remaining lines are written
//! before the process ends, unless nothing reads standard output.

use log::{LevelFilter, Record};
use mallowpath::{Result, start_logging_to, wall_clock_ms};
use serde::Serialize;
use serde_json::value::RawValue;
use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// The capacity of the queue.
const QUEUE_LINES: usize = 2_048;

/// How long lines are collected before they are written together.
const BATCH_DELAY_MS: u64 = 100;

/// How long the end of the process waits for the remaining lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of successful requests logged per second.
const LOGGED_SUCCESSES_PER_S: u64 = 10;

/// The maximum number of other requests logged per second.
const LOGGED_FAILURES_PER_S: u64 = 200;

/// The number of lines dropped since the last formatted line.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

static REQUEST_RATES: Mutex<RequestRates> = Mutex::new(RequestRates {
    window_start: None,
    successes: 0,
    failures: 0,
});

/// The numbers of ended requests within the current window of one second.
struct RequestRates {
    window_start: Option<Instant>,
    successes: u64,
    failures: u64,
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    event: &'a str,
    host: &'a str,
    /// The number of lines dropped before this one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    fields: Option<&'a RawValue>,
}

/// A guard that flushes the log when it is dropped at the end of the process.
#[derive(Debug)]
pub struct LogGuard {
    queue: SyncSender<Queued>,
}

#[derive(Debug)]
enum Queued {
    Line(Vec<u8>),
    /// A request to be notified once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Starts logging for the process on `host`.
///
/// The caller keeps the returned guard until the process ends.
///
/// # Errors
///
/// Fails with [`Category::Config`](mallowpath::Category::Config) if logging has already been
/// started.
pub fn start_json_logging(host: &str, level: LevelFilter) -> Result<LogGuard> {
    let (queue, receiver) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&receiver));
    let host = host.to_owned();
    let format = move |record: &Record<'_>, text: &str| json_line(&host, record, text);
    let output: Box<dyn Write + Send> = Box::new(QueueWriter(queue.clone()));
    start_logging_to(level, format, output.into())?;
    Ok(LogGuard { queue })
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (flushed, wait) = sync_channel(1);
        // A full queue means that standard output is blocked, so waiting would not help.
        if self.queue.try_send(Queued::Flush(flushed)).is_ok() {
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Logs an event with its fields at level info.
pub(crate) fn log_event(event: &str, fields: &impl Serialize) {
    match serde_json::to_string(fields) {
        Ok(fields) => log::info!(target: event, "{fields}"),
        Err(error) => log::error!("can't serialize event {event}, not logging it: {error}"),
    }
}

/// Logs the end of a request, subject to the rate limit of its outcome.
pub(crate) fn log_request(is_success: bool, fields: &str) {
    if !try_acquire_line(is_success) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        return;
    }
    log::info!(target: "request", "{fields}");
}

/// Returns whether the rate limit allows another line, and counts the line.
fn try_acquire_line(is_success: bool) -> bool {
    let mut rates = REQUEST_RATES.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let second = Duration::from_secs(1);
    if rates.window_start.is_none_or(|start| now >= start + second) {
        *rates = RequestRates {
            window_start: Some(now),
            successes: 0,
            failures: 0,
        };
    }
    if is_success {
        rates.successes += 1;
        rates.successes <= LOGGED_SUCCESSES_PER_S
    } else {
        rates.failures += 1;
        rates.failures <= LOGGED_FAILURES_PER_S
    }
}

fn json_line(host: &str, record: &Record<'_>, text: &str) -> String {
    let fields: Option<&RawValue> = if text.starts_with('{') {
        serde_json::from_str(text).ok()
    } else {
        None
    };
    let line = Line {
        at_ms: wall_clock_ms(),
        level: record.level().as_str(),
        event: record.target(),
        host,
        left_out: DROPPED_LINES.swap(0, Ordering::Relaxed),
        message: fields.is_none().then_some(text),
        fields,
    };
    serde_json::to_string(&line).expect("a log line contains only strings, numbers and JSON")
}

/// A writer that puts lines into the queue and drops them when it is full.
struct QueueWriter(SyncSender<Queued>);

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.write_all(buf)?;
        Ok(buf.len())
    }

    fn write_all(&mut self, buf: &[u8]) -> io::Result<()> {
        if self.0.try_send(Queued::Line(buf.to_vec())).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Queued>) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        let mut flushes = Vec::new();
        add_to_batch(first, &mut batch, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(Duration::from_millis(BATCH_DELAY_MS));
        }
        while let Ok(queued) = receiver.try_recv() {
            add_to_batch(queued, &mut batch, &mut flushes);
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = io::stdout().write_all(&batch);
        batch.clear();
        for flush in flushes {
            // The receiver is gone if it has already timed out.
            let _ = flush.try_send(());
        }
    }
}

fn add_to_batch(queued: Queued, batch: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
    match queued {
        Queued::Line(line) => batch.extend_from_slice(&line),
        Queued::Flush(flush) => flushes.push(flush),
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}
