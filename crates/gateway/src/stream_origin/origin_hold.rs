//! Decides whether the first event of a stream waits until the store has the stream's origin.

/// The maximum time for which an event is held, in milliseconds; a small part of what callers wait for a
/// first event.
const HOLD_MAX_MS: u64 = 80;

/// The duration of a call above which the store counts as slow, in milliseconds.
const CALL_MAX_MS: u64 = 40;

/// How the store has answered lately, and how often origins are written to it.
#[derive(Debug, Default)]
pub struct OriginHold {
    /// The interval between two writes while backend servers of several versions serve; `None` while
    /// any server may go on with a stream.
    interval_ms: Option<u64>,
    /// When the call in progress began.
    called_at_ms: Option<u64>,
    /// Whether the last call succeeded in time.
    is_prompt: bool,
}

impl OriginHold {
    /// Sets the interval between two writes; `None` while streams have one version, so that none is held.
    pub fn set_interval(&mut self, interval_ms: Option<u64>) {
        self.interval_ms = interval_ms;
    }

    /// Records the beginning of a call of the store.
    pub fn begin_call(&mut self, now_ms: u64) {
        self.called_at_ms = Some(now_ms);
    }

    /// Records the end of the call.
    pub fn end_call(&mut self, succeeded: bool, now_ms: u64) {
        let called_at_ms = self.called_at_ms.take();
        let took_ms = called_at_ms.map_or(0, |called_at_ms| now_ms.saturating_sub(called_at_ms));
        self.is_prompt = succeeded && took_ms <= CALL_MAX_MS;
    }

    /// Returns how long the first event of a stream is held at most, in milliseconds; `None` if it isn't
    /// held, as its origin would not be written in time.
    pub fn hold_ms(&self, now_ms: u64) -> Option<u64> {
        let interval_ms = self.interval_ms?;
        let is_overdue = self
            .called_at_ms
            .is_some_and(|called_at_ms| now_ms > called_at_ms.saturating_add(CALL_MAX_MS));
        let is_in_time = self.is_prompt && !is_overdue && interval_ms < HOLD_MAX_MS;
        is_in_time.then_some(HOLD_MAX_MS)
    }
}
