//! A router that is being stopped cuts streams whose engines pause, although nobody else takes them.

use crate::{
    Outcome, Verdict,
    client::{ClientAnswer, ClientRequest, send},
    deployment::{Deployment, RESUMABLE, STRIDE},
    engine::{Answer, begin_stream, event, last_event_id, write_events},
    http::write_chunk,
    process::SIGTERM,
    record::Record,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

/// Number of streams in progress when the router is stopped.
const STREAMS: usize = 3;

/// Events of each stream.
const EVENTS: u64 = 10;

/// The event after which the engine pauses.
const PAUSE_AFTER: u64 = 3;

/// The pause; clients bear one of 4 s on this route.
const PAUSE: Duration = Duration::from_millis(2_500);

/// The time from the requests to the signal.
const SIGNAL_AFTER: Duration = Duration::from_millis(300);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    // With these streams, both engines are full: other routers' requests have the other slots.
    let accepted = Arc::new(AtomicUsize::new(0));
    let engine = || answer(Arc::clone(&accepted), trouble);
    let mut deployment = Deployment::start(record, 1, [engine(), engine()])?;
    // A router that has been in touch for more than contact-ms.
    sleep(Duration::from_secs(4));
    let front = deployment.front(0);
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let request = ClientRequest {
                path: RESUMABLE,
                key: "key-0",
                attempt: &format!("stream-{number}"),
                tokens: (100, EVENTS * STRIDE),
                deadline_ms: 6_000,
            };
            send(front, &request, &record)
        }));
        sleep(Duration::from_millis(50));
    }
    sleep(SIGNAL_AFTER);
    // Planned work.
    deployment.signal_router(0, SIGTERM);
    let answers: Vec<ClientAnswer> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default())
        .collect();
    deployment.wait_for_end(0, Duration::from_secs(8));
    let passed_on = answers.iter().filter(|answer| answer.status == 200).count();
    let cut = answers
        .iter()
        .filter(|answer| answer.status == 200 && !answer.is_complete);
    let cut = cut.count();
    record.line(&format!(
        "judge: {passed_on} streams were passed on to a sound engine, {cut} of them ended without a \
         complete answer"
    ));
    if passed_on == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns an engine's behaviour: the first streams are served, then it is full.
fn answer(accepted: Arc<AtomicUsize>, trouble: bool) -> Arc<Answer> {
    Arc::new(move |engine, request, stream| {
        if accepted.fetch_add(1, Ordering::SeqCst) >= STREAMS {
            return engine.reject_as_full(request, stream);
        }
        engine.begin_run(request);
        begin_stream(request, stream)?;
        let begin = last_event_id(request) + 1;
        for number in begin..=PAUSE_AFTER {
            write_chunk(stream, event(number).as_bytes())?;
        }
        if trouble {
            engine.log("pauses");
            sleep(PAUSE);
            engine.log("goes on");
        }
        let attempt = request.header("attempt-id").unwrap_or_default();
        let written = write_events(stream, begin.max(PAUSE_AFTER + 1), EVENTS);
        let end = if written.is_ok() {
            "ends"
        } else {
            "was cut off in"
        };
        engine.log(&format!("{end} the run of {attempt}"));
        written
    })
}
