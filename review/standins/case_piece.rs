//! An engine spoils a stream: the bytes after a whole event, in the same chunk, are no event.

use crate::{
    Outcome, Verdict,
    client::{ClientRequest, send},
    deployment::{Deployment, RESUMABLE, STRIDE},
    engine::{Answer, begin_stream, event, last_event_id, write_events},
    http::write_chunk,
    record::Record,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::Duration,
};

/// Number of streams.
const STREAMS: u64 = 40;

/// Events of each stream.
const EVENTS: u64 = 10;

/// The answer that is spoilt, counted over both engines.
const SPOILT: u64 = 12;

/// The event that comes whole, before the wrong bytes.
const LAST_WHOLE: u64 = 3;

/// Bytes that are no event.
const WRONG_BYTES: &[u8] = b"\x93\x1f\x02garbled\x7f\n\n\x04\x00";

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let answers = Arc::new(AtomicU64::new(0));
    let engine = || stream(Arc::clone(&answers), trouble);
    let deployment = Deployment::start(record, 1, [engine(), engine()])?;
    let mut broken = 0;
    let mut whole = 0;
    for number in 0..STREAMS {
        let request = ClientRequest {
            path: RESUMABLE,
            key: "key-0",
            attempt: &format!("stream-{number}"),
            tokens: (100, EVENTS * STRIDE),
            deadline_ms: 6_000,
        };
        let answer = send(deployment.front(0), &request, record);
        let ids = answer.event_ids();
        let expected: Vec<u64> = (1..=EVENTS).collect();
        if answer.status == 200 && ids == expected && answer.is_complete {
            whole += 1;
        } else if answer.status == 200 && has_gap(&ids, answer.is_complete) {
            broken += 1;
            record.line(&format!(
                "judge: {} got {ids:?} of 1 to {EVENTS}, complete {}",
                request.attempt, answer.is_complete
            ));
        }
        sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "judge: {whole} streams whole, {broken} with a piece missing"
    ));
    if whole == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns whether a piece is missing or comes twice, or the end of a complete stream is missing.
fn has_gap(ids: &[u64], is_complete: bool) -> bool {
    let follow = ids.iter().enumerate().all(|(at, id)| *id == at as u64 + 1);
    !follow || is_complete && ids.len() as u64 != EVENTS
}

/// Returns an engine's behaviour: whole streams, but for one that is spoilt.
fn stream(answers: Arc<AtomicU64>, trouble: bool) -> Arc<Answer> {
    Arc::new(move |engine, request, stream| {
        engine.begin_run(request);
        let number = answers.fetch_add(1, Ordering::SeqCst);
        begin_stream(request, stream)?;
        if !trouble || number != SPOILT {
            return write_events(stream, last_event_id(request) + 1, EVENTS);
        }
        for number in 1..LAST_WHOLE {
            write_chunk(stream, event(number).as_bytes())?;
        }
        let mut spoilt = event(LAST_WHOLE).into_bytes();
        spoilt.extend_from_slice(WRONG_BYTES);
        write_chunk(stream, &spoilt)?;
        engine.log(&format!("spoils the answer after event {LAST_WHOLE}"));
        sleep(Duration::from_millis(500));
        Ok(false)
    })
}
