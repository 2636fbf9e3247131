//! Bytes in segments, so that a message occupies what has arrived of it and little more.
//!
//! A buffer that grows by copying occupies up to three times its content, and a slice of a connection's
//! read buffer keeps all of that buffer.

use super::buffer_budget::{Buffer, MemoryShort};
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// The largest segment.
const SEGMENT_MAX_BYTES: usize = 16 << 10;

/// The smallest segment of a message of unknown length.
const SEGMENT_MIN_BYTES: usize = 4 << 10;

/// A message that arrives.
#[derive(Debug)]
pub struct Segments {
    /// The length that was announced, if any.
    announced_bytes: Option<usize>,
    full: Vec<Bytes>,
    /// The last segment, which is filled up to `last_max_bytes`.
    last: BytesMut,
    last_max_bytes: usize,
    bytes: usize,
}

/// A whole message; clones share its bytes.
#[derive(Debug, Clone, Default)]
pub struct SegmentedBody {
    segments: Arc<[Bytes]>,
    /// The number of segments that were sent as frames.
    sent: usize,
    /// The bytes of the other segments.
    remaining_bytes: usize,
}

impl Segments {
    /// Starts a message of `announced_bytes`.
    pub fn new(announced_bytes: Option<usize>) -> Self {
        Self {
            announced_bytes,
            full: Vec::new(),
            last: BytesMut::new(),
            last_max_bytes: 0,
            bytes: 0,
        }
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns whether the last segment is full.
    pub fn needs_segment(&self) -> bool {
        self.last.len() == self.last_max_bytes
    }

    /// Adds an empty segment of which `next_bytes` are needed at once, and returns its size.
    ///
    /// Its memory is allocated as it is filled for the first time.
    pub fn add_segment(&mut self, next_bytes: usize) -> usize {
        self.push_last();
        let announced = self
            .announced_bytes
            .map(|bytes| bytes.saturating_sub(self.bytes));
        let wanted_bytes = announced.unwrap_or(self.bytes.max(SEGMENT_MIN_BYTES));
        self.last_max_bytes = wanted_bytes.max(next_bytes).clamp(1, SEGMENT_MAX_BYTES);
        self.last_max_bytes
    }

    /// Moves the start of `data` to the last segment, as much as there is room for.
    pub fn fill(&mut self, data: &mut Bytes) {
        if self.last.is_empty() {
            self.last.reserve(self.last_max_bytes);
        }
        let room_bytes = self.last_max_bytes - self.last.len();
        let moved = data.split_to(room_bytes.min(data.len()));
        self.last.extend_from_slice(&moved);
        self.bytes += moved.len();
    }

    /// Appends bytes, for whose memory `buffer` accounts.
    ///
    /// # Errors
    ///
    /// Fails when there is no memory for all of them.
    pub async fn push(&mut self, mut data: Bytes, buffer: &Buffer) -> Result<(), MemoryShort> {
        while !data.is_empty() {
            if self.needs_segment() {
                buffer.grow(self.add_segment(data.len())).await?;
            }
            self.fill(&mut data);
        }
        Ok(())
    }

    /// Appends bytes, for whose memory `buffer` accounts, once there is room.
    pub async fn push_when_released(&mut self, mut data: Bytes, buffer: &Buffer) {
        while !data.is_empty() {
            if self.needs_segment() {
                buffer
                    .grow_when_released(self.add_segment(data.len()))
                    .await;
            }
            self.fill(&mut data);
        }
    }

    /// Returns the message.
    pub fn finish(mut self) -> SegmentedBody {
        self.push_last();
        SegmentedBody {
            segments: Arc::from(self.full),
            sent: 0,
            remaining_bytes: self.bytes,
        }
    }

    fn push_last(&mut self) {
        if !self.last.is_empty() {
            self.full.push(self.last.split().freeze());
        }
        self.last = BytesMut::new();
        self.last_max_bytes = 0;
    }
}

impl SegmentedBody {
    /// Returns the number of bytes that were not sent yet.
    pub fn len(&self) -> usize {
        self.remaining_bytes
    }

    /// Returns whether everything was sent.
    pub fn is_empty(&self) -> bool {
        self.remaining_bytes == 0
    }

    /// Returns the segments.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the bytes in one piece, which copies them if there are several segments.
    pub fn into_bytes(self) -> Bytes {
        if let [whole] = &*self.segments {
            return whole.clone();
        }
        let mut bytes = BytesMut::with_capacity(self.remaining_bytes);
        for segment in &*self.segments {
            bytes.extend_from_slice(segment);
        }
        bytes.freeze()
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(bytes: Bytes) -> Self {
        if bytes.is_empty() {
            return Self::default();
        }
        Self {
            sent: 0,
            remaining_bytes: bytes.len(),
            segments: Arc::from([bytes]),
        }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        let Some(segment) = body.segments.get(body.sent).cloned() else {
            return Poll::Ready(None);
        };
        body.sent += 1;
        body.remaining_bytes -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.remaining_bytes).unwrap_or(u64::MAX))
    }
}
