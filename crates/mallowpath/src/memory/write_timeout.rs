//! A connection that fails if its peer reads nothing for too long.

use super::connection_limiter::{BusyConnection, ConnectionSlot};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A connection whose writes fail once none of their bytes were accepted for a time.
#[derive(Debug)]
pub struct WriteTimeout<S> {
    stream: S,
    time_max: Duration,
    slot: Arc<ConnectionSlot>,
    /// `None` while no write waits.
    waiting: Option<WaitingWrite>,
}

/// A write that waits for the peer to read.
#[derive(Debug)]
struct WaitingWrite {
    expiry: Pin<Box<Sleep>>,
    /// Keeps the connection from being closed for another one.
    _busy: BusyConnection,
}

impl<S> WriteTimeout<S> {
    /// Limits the time for which writes to `stream`, which has the place `slot`, wait.
    pub fn new(stream: S, time_max: Duration, slot: &Arc<ConnectionSlot>) -> Self {
        Self {
            stream,
            time_max,
            slot: Arc::clone(slot),
            waiting: None,
        }
    }

    /// Returns the result of a write, or an error if writes have waited for too long.
    fn check<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.waiting = None;
            return written;
        }
        let waiting = self.waiting.get_or_insert_with(|| WaitingWrite {
            expiry: Box::pin(sleep(self.time_max)),
            _busy: self.slot.busy(),
        });
        match waiting.expiry.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.check(flushed, cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
