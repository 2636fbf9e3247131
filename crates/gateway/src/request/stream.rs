//! Forwards a stream of events to a caller.
//!
//! Only complete events are forwarded. When the stream breaks off and its route allows it, another
//! backend server resumes it after the last forwarded event, within the same answer. A silent stream is
//! first tried there, and goes on at its own backend server until another one has answered.

mod trial;

use super::{
    answer::BrokenStream,
    attempt::StartedAnswer,
    attempts::RequestAttempts,
    events::{EventError, EventSplitter},
    held_events::HeldEvents,
    message_heads::TokenCount,
    open_stream::OpenStream,
    request_log::{Reason, RequestLog},
    resume::{ResumeAttempt, resume},
    silence::SilenceWatch,
    stream_end::{StreamEnd, StreamPart},
};
use crate::budget::Reservation;
use bytes::Bytes;
use http_body::{Body, Frame};
use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use tokio::time::{Sleep, sleep_until};

/// The settings of a stream, from its request, route and service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamSettings {
    /// The declared number of tokens of the generation.
    pub(crate) tokens: Option<TokenCount>,
    /// The number of tokens in one event; 0 if unknown.
    pub(crate) tokens_per_event: u64,
    /// Whether another backend server may resume the stream.
    pub(crate) resumable: bool,
    /// The time without an event after which callers abandon the stream.
    pub(crate) silence_max: Duration,
}

/// The body of an answer that is a stream of events.
pub(crate) struct StreamAnswer {
    /// `None` while a [`ResumeFuture`] owns it.
    attempts: Option<RequestAttempts>,
    /// `None` while a [`ResumeFuture`] owns it.
    log: Option<RequestLog>,
    source: Source,
    splitter: EventSplitter,
    reservation: Option<Reservation>,
    settings: StreamSettings,
    held: HeldEvents,
    deadline: Instant,
    silence: SilenceWatch,
    /// The attempt at another backend server while the source is silent.
    trial: Option<ResumeAttempt>,
    /// Expires at the deadline or at the next check for silence, whichever comes first.
    timer: Pin<Box<Sleep>>,
}

/// Where the events of a stream come from.
enum Source {
    Open(Box<OpenStream>),
    Resuming(ResumeFuture),
    Ended,
}

/// Resumes a stream; returns `None` in place of the answer if no backend server did.
type ResumeFuture =
    Pin<Box<dyn Future<Output = (RequestAttempts, RequestLog, Option<StartedAnswer>)> + Send>>;

type FramePoll = Poll<Option<Result<Frame<Bytes>, BrokenStream>>>;

/// The result of polling the source or handling the timer.
enum Step {
    /// There are no events yet; poll again.
    Again,
    /// Complete events were received.
    Events(Bytes),
    /// The stream is complete.
    Ended,
    /// The stream is broken off before its end.
    Broken,
}

impl StreamAnswer {
    pub(crate) fn new(
        attempts: RequestAttempts,
        started: StartedAnswer,
        log: RequestLog,
        reservation: Option<Reservation>,
        settings: StreamSettings,
        held: HeldEvents,
    ) -> Self {
        let deadline = attempts.outgoing_request.deadline;
        let silence = SilenceWatch::new(settings.silence_max);
        let first_check = deadline.min(silence.trial_at(Instant::now()));
        let last_event_id = attempts.caller_request.last_event_id;
        let part = if attempts.caller_request.takes_up_stream() {
            StreamPart::TakenUp
        } else {
            StreamPart::Whole
        };
        Self {
            attempts: Some(attempts),
            log: Some(log),
            source: Source::Open(Box::new(OpenStream::new(started, part))),
            splitter: EventSplitter::resuming_after(last_event_id),
            reservation,
            settings,
            held,
            deadline,
            silence,
            trial: None,
            timer: Box::pin(sleep_until(first_check.into())),
        }
    }

    /// Returns the next complete events.
    ///
    /// The source is polled before the timer. Otherwise a stream would count as silent or overdue
    /// when the caller reads late or the process was stalled, although data had been received.
    pub(crate) fn poll_events(&mut self, cx: &mut Context<'_>) -> FramePoll {
        loop {
            if let Some(events) = ready!(self.held.poll_events(cx)) {
                return Poll::Ready(Some(Ok(Frame::data(events))));
            }
            let step = match self.poll_source(cx) {
                Poll::Ready(step) => {
                    if !matches!(step, Step::Again) {
                        self.end_silence();
                    }
                    step
                }
                Poll::Pending => {
                    self.silence.record_wait(Instant::now());
                    if self.poll_trial(cx).is_pending() {
                        ready!(self.timer.as_mut().poll(cx));
                        self.handle_timer()
                    } else {
                        Step::Again
                    }
                }
            };
            match step {
                Step::Again => {}
                Step::Events(events) => self.held.push(events),
                Step::Ended => return Poll::Ready(None),
                Step::Broken => return Poll::Ready(Some(Err(BrokenStream))),
            }
        }
    }

    /// Polls the source.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        match &mut self.source {
            Source::Ended => Poll::Ready(Step::Ended),
            Source::Resuming(resuming) => {
                let (attempts, log, started) = ready!(resuming.as_mut().poll(cx));
                self.attempts = Some(attempts);
                self.log = Some(log);
                Poll::Ready(self.finish_resume(started))
            }
            Source::Open(open) => {
                if let Some(error) = self.splitter.error() {
                    return Poll::Ready(self.handle_invalid_event(error));
                }
                let frame = ready!(Pin::new(&mut open.body).poll_frame(cx));
                Poll::Ready(self.handle_frame(frame))
            }
        }
    }

    /// Handles a frame or the end of the source; resumes the stream after an error, if possible.
    fn handle_frame(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Step {
        let events = match frame {
            Some(Ok(frame)) => Ok(self.split_events(frame)),
            Some(Err(error)) => Err(error.to_string()),
            None if self.splitter.has_partial() => {
                Err("the stream ended within an event".to_owned())
            }
            None if !self.is_whole() => Err("the stream ended without an event".to_owned()),
            None => return self.complete(),
        };
        match events {
            Ok(events) if events.is_empty() => Step::Again,
            Ok(events) => Step::Events(events),
            Err(detail) => self.handle_break(&detail),
        }
    }

    /// Resumes a stream whose source failed, or breaks it off.
    fn handle_break(&mut self, detail: &str) -> Step {
        self.suspect_crash();
        if self.try_resume(detail) {
            return Step::Again;
        }
        self.break_off(Reason::StreamBroken, detail)
    }

    /// Handles an invalid event once the events before it were given out.
    fn handle_invalid_event(&mut self, error: EventError) -> Step {
        metrics::counter!("gateway_invalid_events_total").increment(1);
        let events = self.splitter.events();
        let detail = match self.splitter.last_id() {
            Some(last_id) => {
                format!("{error}; {events} events given out, the last id is {last_id}")
            }
            None => format!("{error}; no event given out"),
        };
        self.handle_break(&detail)
    }

    /// Checks whether the backend server ended when it was to answer.
    fn suspect_crash(&mut self) {
        if let (Source::Open(open), Some(attempts)) = (&self.source, &mut self.attempts) {
            attempts.suspect_crash(open.in_flight.backend(), open.progress());
        }
    }

    /// Returns whether the stream is whole, now that the body of its source has ended.
    fn is_whole(&self) -> bool {
        let Source::Open(open) = &self.source else {
            return false;
        };
        let end = StreamEnd {
            part: open.part,
            has_events: open.in_flight.has_begun(),
            is_framed: open.is_framed,
            tokens_given: self.output_given(),
            tokens_max: self.settings.tokens.map(|tokens| tokens.output_max),
        };
        end.is_whole()
    }

    /// Returns the number of output tokens in the events given out; 0 if that of an event is unknown.
    fn output_given(&self) -> u64 {
        let events = self.splitter.events();
        events.saturating_mul(self.settings.tokens_per_event)
    }

    /// Returns the events that are complete with this frame and counts them as spent.
    ///
    /// The next poll of the source handles an invalid event.
    fn split_events(&mut self, frame: Frame<Bytes>) -> Bytes {
        let Ok(bytes) = frame.into_data() else {
            return Bytes::new();
        };
        let events = self.splitter.push(&bytes).unwrap_or_default();
        if events.is_empty() {
            return events;
        }
        self.update_spent();
        if let Source::Open(open) = &mut self.source {
            open.in_flight.record_answer_start();
        }
        if let Some(log) = &mut self.log {
            log.set_first_byte();
        }
        events
    }

    /// Counts the prompt and the events forwarded so far as spent.
    ///
    /// Counts the whole reservation if the number of tokens in an event is unknown.
    fn update_spent(&mut self) {
        let output = self.output_given();
        let (Some(reservation), Some(tokens)) = (&mut self.reservation, self.settings.tokens)
        else {
            return;
        };
        if self.settings.tokens_per_event == 0 {
            reservation.mark_all_spent();
            return;
        }
        let output = output.min(tokens.output_max);
        reservation.set_spent(tokens.prompt.saturating_add(output));
        if let Some(log) = &mut self.log {
            log.set_spent(reservation.spent());
        }
    }

    /// Starts to resume the stream at another backend server; returns whether that is possible.
    fn try_resume(&mut self, detail: &str) -> bool {
        if !self.settings.resumable || (self.trial.is_none() && !self.acquire_retry()) {
            return false;
        }
        let (Some(attempts), Some(mut log)) = (self.attempts.take(), self.log.take()) else {
            return false;
        };
        if let Source::Open(open) = &self.source {
            let progress = open.progress();
            attempts.record_failure(open.in_flight.backend(), detail, progress, &mut log);
        }
        log.add_resume();
        self.splitter.drop_partial();
        let last_event_id = self.splitter.last_id();
        // Closes the connection first, so that no two backend servers run the request at the same
        // time.
        self.source = Source::Ended;
        let trial = self.trial.take();
        let bearable_until = self.silence.bearable_until(Instant::now());
        let resuming = resume(attempts, log, last_event_id, trial, bearable_until);
        self.source = Source::Resuming(Box::pin(resuming));
        true
    }

    /// Returns whether the request may be sent again, and if so, uses one of the service's retries.
    fn acquire_retry(&self) -> bool {
        let attempts = self.attempts.as_ref();
        attempts.is_some_and(RequestAttempts::acquire_retry)
    }

    /// Continues with the answer of another backend server, or breaks off if there is none.
    fn finish_resume(&mut self, started: Option<StartedAnswer>) -> Step {
        let Some(started) = started else {
            return self.break_off(Reason::StreamBroken, "no backend server resumed the stream");
        };
        self.source = Source::Open(Box::new(OpenStream::new(started, StreamPart::Resumed)));
        self.silence.end();
        self.reset_timer(Instant::now());
        Step::Again
    }

    /// Ends a complete stream and returns its connection to the pool.
    ///
    /// Comments after the last event are returned before the end.
    fn complete(&mut self) -> Step {
        self.reservation = None;
        if let Some(log) = &mut self.log {
            log.set_outcome(Reason::Delivered, 200);
        }
        if let (Some(attempts), Some(log)) = (&self.attempts, &self.log) {
            attempts.record_duration(log);
        }
        if let Source::Open(open) = std::mem::replace(&mut self.source, Source::Ended) {
            if let Some(attempts) = &self.attempts {
                attempts.record_completion(attempts.sent_at_ms(&open.in_flight));
            }
            let OpenStream {
                connection,
                in_flight,
                idle_timeout_ms,
                ..
            } = *open;
            in_flight.backend().pool.put(connection, idle_timeout_ms);
        }
        let rest = self.splitter.take_rest();
        if rest.is_empty() {
            return Step::Ended;
        }
        Step::Events(rest)
    }

    /// Logs the failure of the backend server whose stream broke off and is not resumed.
    fn log_broken_source(&mut self, detail: &str) {
        let (Source::Open(open), Some(attempts), Some(log)) =
            (&self.source, &self.attempts, &mut self.log)
        else {
            return;
        };
        log.set_failure(detail);
        log.set_progress(open.progress(), &attempts.caller_request.prompt);
    }

    /// Breaks off the stream, so that the caller does not take it for complete.
    fn break_off(&mut self, reason: Reason, detail: &str) -> Step {
        if reason == Reason::StreamBroken {
            self.log_broken_source(detail);
        }
        self.source = Source::Ended;
        self.reservation = None;
        if let Some(log) = &mut self.log {
            log.set_detail(detail);
            log.set_outcome(reason, 200);
        }
        Step::Broken
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
            .field("plan", &self.settings)
            .finish_non_exhaustive()
    }
}
