//! Holds the first events of a stream until the store has its origin.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

/// The events of a stream that wait for a future.
#[derive(Default)]
pub(crate) struct HeldEvents {
    /// `None` once it has completed.
    hold: Option<BoxFuture<'static, ()>>,
    events: Option<Bytes>,
}

impl HeldEvents {
    /// Holds the first events until `hold` completes.
    pub(super) fn new(hold: Option<BoxFuture<'static, ()>>) -> Self {
        Self { hold, events: None }
    }

    /// Adds events after the ones before were returned.
    pub(super) fn push(&mut self, events: Bytes) {
        self.events = Some(events);
    }

    /// Returns the events that are held once they need not be any longer; `None` if there are none.
    pub(super) fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.events.is_none() {
            return Poll::Ready(None);
        }
        if let Some(hold) = &mut self.hold {
            ready!(Pin::new(hold).poll(cx));
            self.hold = None;
        }
        Poll::Ready(self.events.take())
    }
}
