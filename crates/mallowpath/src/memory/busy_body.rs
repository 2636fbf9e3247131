//! The body of an answer that keeps its connection from being closed for another one.

use super::connection_limiter::BusyConnection;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// The body of an answer, and the mark of its connection until the body is sent.
#[derive(Debug)]
pub struct BusyBody<B> {
    body: B,
    _busy: BusyConnection,
}

impl<B> BusyBody<B> {
    pub(crate) fn new(body: B, busy: BusyConnection) -> Self {
        Self { body, _busy: busy }
    }
}

impl<B: Body + Unpin> Body for BusyBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
