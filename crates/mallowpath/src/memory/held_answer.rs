//! The body of an answer whose memory is accounted for until it is sent.

use super::{buffer_budget::Buffer, segments::SegmentedBody};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

/// A whole body that is sent to a caller.
#[derive(Debug)]
pub struct HeldAnswer {
    body: SegmentedBody,
    /// `None` for a short body of this process.
    buffer: Option<Buffer>,
}

impl HeldAnswer {
    /// Creates a body whose memory `buffer` accounts for.
    pub fn new(body: SegmentedBody, buffer: Buffer) -> Self {
        buffer.set_unread();
        Self {
            body,
            buffer: Some(buffer),
        }
    }

    /// Creates a short body that nobody accounts for.
    pub fn short(bytes: Bytes) -> Self {
        Self {
            body: SegmentedBody::from(bytes),
            buffer: None,
        }
    }
}

impl Body for HeldAnswer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let held_bytes = self.body.len();
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Some(buffer) = &self.buffer {
            buffer.record_progress(held_bytes - self.body.len());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
