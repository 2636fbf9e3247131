//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use std::fmt;

/// Size limit of one event.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Size up to which events are copied out of the buffer in which they were read.
const DETACHED_MAX_BYTES: usize = 4 << 10;

/// Buffers the bytes of an event stream and returns complete events.
///
/// Checks that the event identifiers are consecutive. The identifier of the first event is not
/// checked, as servers may number from any. Comments and blank lines are returned with the event that
/// follows them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scan: EventScan,
    last_id: Option<u64>,
    events: u64,
    error: Option<EventError>,
}

/// The error of an event stream that is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// The bytes are not fields in UTF-8 with one identifier.
    Invalid,
    /// The identifier of an event is not the successor of the one before.
    OutOfOrder,
    /// An event exceeds the size limit.
    TooLarge,
}

/// Finds the ends of events in bytes that grow, without reading them twice.
#[derive(Debug, Default)]
struct EventScan {
    /// The position after the last byte that was read.
    position: usize,
    line_start: usize,
    /// Whether the event has a line that is neither blank nor a comment.
    has_field: bool,
}

impl EventSplitter {
    /// Returns a splitter for a stream that continues after the event `last_id`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events that are complete now; empty if there are none.
    ///
    /// # Errors
    ///
    /// Fails when an event is invalid or too large, or does not follow the one before. If valid events
    /// precede it, they are returned, and [`Self::error`] and the next calls return the error.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let valid = if self.partial.is_empty() {
            let end = self.check_events(bytes);
            self.partial.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            let mut partial = std::mem::take(&mut self.partial);
            partial.extend_from_slice(bytes);
            let end = self.check_events(&partial);
            let valid = partial.split_to(end).freeze();
            self.partial = partial;
            valid
        };
        if self.error.is_none() && self.partial.len() > EVENT_MAX_BYTES {
            self.error = Some(EventError::TooLarge);
        }
        match self.error {
            Some(error) if valid.is_empty() => Err(error),
            _ => Ok(detach(valid)),
        }
    }

    /// Returns the error of the stream, which follows the events that were returned.
    pub fn error(&self) -> Option<EventError> {
        self.error
    }

    /// Discards what follows the events that were returned, before the stream is resumed.
    pub fn drop_partial(&mut self) {
        self.take_rest();
    }

    /// Removes what follows the events that were returned.
    pub fn take_rest(&mut self) -> Bytes {
        self.scan = EventScan::default();
        self.error = None;
        self.partial.split().freeze()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        self.scan.has_field || self.scan.line_start < self.scan.position
    }

    /// Returns the identifier of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that were returned.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Counts the valid events at the start of `bytes` and returns the position after them.
    fn check_events(&mut self, bytes: &[u8]) -> usize {
        let mut start = 0;
        while let Some(end) = self.scan.next_end(bytes) {
            match check_event(&bytes[start..end], self.last_id) {
                Ok(id) => self.last_id = Some(id),
                Err(error) => {
                    self.error = Some(error);
                    break;
                }
            }
            self.events += 1;
            start = end;
        }
        self.scan.remove(start);
        start
    }
}

impl EventScan {
    /// Returns the position after the next event, which a blank line ends.
    fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(length) = bytes[self.position..].iter().position(|&b| b == b'\n') {
            let line = &bytes[self.line_start..self.position + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.position += length + 1;
            self.line_start = self.position;
            if line.is_empty() && self.has_field {
                self.has_field = false;
                return Some(self.position);
            }
            self.has_field |= line.first().is_some_and(|&first| first != b':');
        }
        self.position = bytes.len();
        None
    }

    /// Adapts the positions to the removal of the first `length` bytes.
    fn remove(&mut self, length: usize) {
        self.position -= length;
        self.line_start -= length;
    }
}

/// Returns events without the rest of the buffer in which they were read.
///
/// Otherwise the few events that a caller is slow to read would keep many such buffers.
fn detach(events: Bytes) -> Bytes {
    if events.len() > DETACHED_MAX_BYTES {
        return events;
    }
    Bytes::copy_from_slice(&events)
}

/// Checks a complete event after `last_id` and returns its identifier.
fn check_event(event: &[u8], last_id: Option<u64>) -> Result<u64, EventError> {
    if event.len() > EVENT_MAX_BYTES {
        return Err(EventError::TooLarge);
    }
    let Ok(text) = std::str::from_utf8(event) else {
        return Err(EventError::Invalid);
    };
    if !text.lines().all(is_event_line) {
        return Err(EventError::Invalid);
    }
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    let (Some(id), None) = (ids.next(), ids.next()) else {
        return Err(EventError::Invalid);
    };
    let Ok(id) = id.trim().parse() else {
        return Err(EventError::Invalid);
    };
    if last_id.is_some_and(|last| last.checked_add(1) != Some(id)) {
        return Err(EventError::OutOfOrder);
    }
    Ok(id)
}

/// Returns whether a line is blank, a comment or a field.
fn is_event_line(line: &str) -> bool {
    let Some((name, _)) = line.split_once(':') else {
        return line.is_empty() || line == "data";
    };
    name.bytes().all(|byte| byte.is_ascii_graphic())
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Invalid => "the bytes are not an event",
            Self::OutOfOrder => "an event does not follow the one before",
            Self::TooLarge => "an event is too large",
        })
    }
}

impl std::error::Error for EventError {}
