//! A stream of events that is passed on to a caller.
//!
//! Only whole events are forwarded. When the stream breaks and its route allows it, it goes on at
//! another backend server after the last event that was forwarded, within the same answer.

use super::{
    answer::BrokenStream,
    attempt::{Attempt, StartedAnswer, Try, attempt},
    events::EventSplitter,
    facts::TokenCount,
    outcome::{Reason, RequestLog},
    tries::Tries,
};
use crate::{budget::Reservation, connection::Upstream, placement::InFlight};
use bytes::Bytes;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use tokio::time::{Sleep, sleep_until};

/// How long a stream may be silent before it goes on elsewhere, where it can.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// How late a timer that was held up is seen at least.
const HELD_UP_MIN: Duration = Duration::from_millis(300);

/// What a stream needs to know of its route and service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamPlan {
    /// The declared size of the generation.
    pub(crate) tokens: Option<TokenCount>,
    /// Tokens in one event; 0 where that is not known.
    pub(crate) tokens_per_event: u64,
    /// Whether it may go on at another backend server.
    pub(crate) resumable: bool,
}

/// The body of an answer that is a stream of events.
pub(crate) struct StreamAnswer {
    /// `None` while a resumption has it.
    tries: Option<Tries>,
    log: Option<RequestLog>,
    source: Source,
    splitter: EventSplitter,
    reservation: Option<Reservation>,
    plan: StreamPlan,
    deadline: Instant,
    /// When the stream began to wait for its source; `None` while the source has more.
    waiting_since: Option<Instant>,
    /// Ends at the deadline or when the silence may be too long, whichever comes first.
    timer: Pin<Box<Sleep>>,
}

enum Source {
    Open(Box<OpenStream>),
    Resuming(Resuming),
    Ended,
}

struct OpenStream {
    body: Incoming,
    upstream: Upstream,
    flight: InFlight,
    idle_timeout_ms: Option<u64>,
}

type Resuming = Pin<Box<dyn Future<Output = (Tries, RequestLog, Option<StartedAnswer>)> + Send>>;

type Polled = Poll<Option<Result<Frame<Bytes>, BrokenStream>>>;

/// What a look at the source or the time came to.
enum Step {
    /// There is nothing to give out yet.
    Again,
    /// Whole events have come.
    Events(Bytes),
    /// The stream is whole.
    Ended,
    /// The stream can't go on.
    Broken,
}

impl StreamAnswer {
    pub(crate) fn new(
        tries: Tries,
        started: StartedAnswer,
        log: RequestLog,
        reservation: Option<Reservation>,
        plan: StreamPlan,
    ) -> Self {
        let deadline = tries.outgoing.deadline;
        let now = Instant::now();
        let first_check = deadline.min(now + SILENCE_MAX);
        let last_event = tries.facts.last_event;
        Self {
            tries: Some(tries),
            log: Some(log),
            source: Source::Open(Box::new(OpenStream::new(started))),
            splitter: EventSplitter::after(last_event),
            reservation,
            plan,
            deadline,
            waiting_since: None,
            timer: Box::pin(sleep_until(first_check.into())),
        }
    }

    /// Gives out the next whole events.
    ///
    /// What has come is given out before the time is looked at, so that neither a caller that reads
    /// late nor a process that was held up takes a stream for silent or overdue.
    pub(crate) fn poll_events(&mut self, cx: &mut Context<'_>) -> Polled {
        loop {
            let step = match self.poll_source(cx) {
                Poll::Ready(step) => {
                    self.waiting_since = None;
                    step
                }
                Poll::Pending => {
                    self.waiting_since.get_or_insert_with(Instant::now);
                    ready!(self.timer.as_mut().poll(cx));
                    self.check_time()
                }
            };
            match step {
                Step::Again => {}
                Step::Events(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                Step::Ended => return Poll::Ready(None),
                Step::Broken => return Poll::Ready(Some(Err(BrokenStream))),
            }
        }
    }

    /// Takes what the source has.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        match &mut self.source {
            Source::Ended => Poll::Ready(Step::Ended),
            Source::Resuming(resuming) => {
                let (tries, log, started) = ready!(resuming.as_mut().poll(cx));
                self.tries = Some(tries);
                self.log = Some(log);
                Poll::Ready(self.resumed(started))
            }
            Source::Open(open) => {
                let frame = ready!(Pin::new(&mut open.body).poll_frame(cx));
                Poll::Ready(self.take_frame(frame))
            }
        }
    }

    /// Takes in a frame or the end of the source.
    fn take_frame(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Step {
        let events = match frame {
            Some(Ok(frame)) => self.take_in(frame),
            Some(Err(error)) => Err(error.to_string()),
            None if self.splitter.has_partial() => Err("it ended within an event".to_owned()),
            None => return self.finish(),
        };
        match events {
            Ok(events) if events.is_empty() => Step::Again,
            Ok(events) => Step::Events(events),
            Err(detail) if self.resume(&detail) => Step::Again,
            Err(detail) => self.broken(Reason::StreamBroken, &detail),
        }
    }

    /// Takes in bytes and returns the whole events.
    fn take_in(&mut self, frame: Frame<Bytes>) -> Result<Bytes, String> {
        let Ok(bytes) = frame.into_data() else {
            return Ok(Bytes::new());
        };
        let events = match self.splitter.push(&bytes) {
            Ok(events) => events,
            Err(error) => return Err(error.to_string()),
        };
        if events.is_empty() {
            return Ok(events);
        }
        self.settle();
        if let Source::Open(open) = &mut self.source {
            open.flight.answer_begun();
        }
        if let Some(log) = &mut self.log {
            log.set_first();
        }
        Ok(events)
    }

    /// Counts the prompt and the events given out so far as spent; no more than that is delivered.
    fn settle(&mut self) {
        let (Some(reservation), Some(tokens)) = (&mut self.reservation, self.plan.tokens) else {
            return;
        };
        if self.plan.tokens_per_event == 0 {
            reservation.set_all_spent();
            return;
        }
        let events = self.splitter.events();
        let output = events.saturating_mul(self.plan.tokens_per_event);
        let output = output.min(tokens.output_max);
        reservation.set_spent(tokens.prompt.saturating_add(output));
        if let Some(log) = &mut self.log {
            log.set_spent(reservation.spent());
        }
    }

    /// Acts on a timer that ended.
    fn check_time(&mut self) -> Step {
        let now = Instant::now();
        if now >= self.deadline {
            return self.broken(Reason::Timeout, "the time for the request was up");
        }
        let since = self.waiting_since.unwrap_or(now);
        let ended = self.timer.deadline().into_std();
        // A timer that is seen late tells that the process was held up, and not how long the server
        // has been silent.
        let held_up = now.saturating_duration_since(ended) > HELD_UP_MIN;
        let since = if held_up { now } else { since };
        self.waiting_since = Some(since);
        let has_choice = self.tries.as_ref().is_some_and(Tries::has_choice);
        let mut next = since + SILENCE_MAX;
        if now >= next {
            if has_choice && matches!(self.source, Source::Open(_)) {
                self.resume("it was silent for too long");
            }
            next = now + SILENCE_MAX;
        }
        self.timer.as_mut().reset(next.min(self.deadline).into());
        Step::Again
    }

    /// Starts to go on at another backend server; tells whether that is possible.
    fn resume(&mut self, detail: &str) -> bool {
        if !self.plan.resumable || !self.tries.as_ref().is_some_and(Tries::may_repeat) {
            return false;
        }
        let (Some(tries), Some(mut log)) = (self.tries.take(), self.log.take()) else {
            return false;
        };
        if let Source::Open(open) = &self.source {
            tries.failed(open.flight.backend(), detail, &mut log);
        }
        log.add_resume();
        self.splitter.drop_partial();
        let last_event = self.splitter.last_id();
        // The connection closes first, so that two servers never work on the request at once.
        self.source = Source::Ended;
        self.source = Source::Resuming(Box::pin(resume(tries, log, last_event)));
        true
    }

    fn resumed(&mut self, started: Option<StartedAnswer>) -> Step {
        let Some(started) = started else {
            return self.broken(Reason::StreamBroken, "no backend server resumed it");
        };
        self.source = Source::Open(Box::new(OpenStream::new(started)));
        Step::Again
    }

    /// Ends a stream that came whole.
    fn finish(&mut self) -> Step {
        self.reservation = None;
        if let Some(log) = &mut self.log {
            log.end(Reason::Delivered, 200);
        }
        if let Source::Open(open) = std::mem::replace(&mut self.source, Source::Ended) {
            let OpenStream {
                upstream,
                flight,
                idle_timeout_ms,
                ..
            } = *open;
            flight.backend().pool.put(upstream, idle_timeout_ms);
        }
        Step::Ended
    }

    /// Breaks the stream off, so that it does not look complete.
    fn broken(&mut self, reason: Reason, detail: &str) -> Step {
        self.source = Source::Ended;
        self.reservation = None;
        if let Some(log) = &mut self.log {
            log.set_detail(detail);
            log.end(reason, 200);
        }
        Step::Broken
    }
}

/// Sends the request to another backend server, to go on after `last_event`.
async fn resume(
    mut tries: Tries,
    mut log: RequestLog,
    last_event: Option<u64>,
) -> (Tries, RequestLog, Option<StartedAnswer>) {
    loop {
        let Some((backend, prefill_tokens)) = tries.choose(&mut log) else {
            return (tries, log, None);
        };
        let target = Try {
            backend: Arc::clone(&backend),
            prefill_tokens,
            last_event,
            give_up: tries.give_up(),
        };
        match attempt(&tries.gateway, &tries.outgoing, target).await {
            Attempt::StartedAnswer(started) if started.is_stream() => {
                tries.count_sent();
                return (tries, log, Some(*started));
            }
            Attempt::Unreached(detail) => tries.failed(&backend, &detail, &mut log),
            Attempt::StartedAnswer(_) | Attempt::Lost(_) => {
                tries.failed(&backend, "it did not go on with the stream", &mut log);
                tries.count_sent();
            }
            Attempt::NotRun(_) => tries.count_sent(),
        }
        if !tries.may_repeat() {
            return (tries, log, None);
        }
    }
}

impl OpenStream {
    fn new(started: StartedAnswer) -> Self {
        Self {
            body: started.body,
            upstream: started.upstream,
            flight: started.flight,
            idle_timeout_ms: started.facts.idle_timeout_ms,
        }
    }
}

impl Drop for StreamAnswer {
    fn drop(&mut self) {
        if let Some(log) = &mut self.log {
            log.set_events(self.splitter.events());
        }
    }
}

impl fmt::Debug for StreamAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamAnswer")
            .field("splitter", &self.splitter)
            .field("plan", &self.plan)
            .finish_non_exhaustive()
    }
}
