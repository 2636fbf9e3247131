//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};
use std::fmt;

/// Size limit of one event.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Buffers the bytes of an event stream and returns complete events.
///
/// Checks that the event identifiers are consecutive.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    events: u64,
}

/// The error of an event stream that is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// The identifier of an event is missing or is not the successor of the one before.
    OutOfOrder,
    /// An event exceeds the size limit.
    TooLarge,
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
    /// Fails when the identifier of an event does not follow the one before, or when an event is
    /// too large. The events before it in the same call are lost, too.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventError> {
        let whole = if self.partial.is_empty() {
            let Some(end) = last_event_end(bytes) else {
                return self.buffer_partial(bytes);
            };
            self.partial.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.partial.extend_from_slice(bytes);
            let Some(end) = last_event_end(&self.partial) else {
                return self.buffer_partial(&[]);
            };
            self.partial.split_to(end).freeze()
        };
        self.check_ids(&whole)?;
        Ok(whole)
    }

    /// Discards the bytes of an incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn buffer_partial(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.partial.extend_from_slice(bytes);
        if self.partial.len() > EVENT_MAX_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(Bytes::new())
    }

    /// Checks the identifiers of complete events and counts the events.
    fn check_ids(&mut self, events: &[u8]) -> Result<(), EventError> {
        let mut rest = events;
        while let Some(end) = first_event_end(rest) {
            let id = event_id(&rest[..end]).ok_or(EventError::OutOfOrder)?;
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err(EventError::OutOfOrder);
            }
            self.last_id = Some(id);
            self.events += 1;
            rest = &rest[end..];
        }
        Ok(())
    }
}

/// Returns the position after the first complete event.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    Some(at + 2)
}

/// Returns the position after the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(at + 2)
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|&byte| byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OutOfOrder => "an event does not follow the one before",
            Self::TooLarge => "an event is too large",
        })
    }
}

impl std::error::Error for EventError {}
