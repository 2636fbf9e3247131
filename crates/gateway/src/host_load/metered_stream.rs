//! A connection whose bytes are counted.

use super::link_meter::{LinkDirection, LinkMeter};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    /// `None` if nobody asks for the bytes.
    meter: Option<Arc<LinkMeter>>,
}

impl MeteredStream {
    /// Counts the bytes of `stream` in `meter`.
    pub(crate) fn new(stream: TcpStream, meter: Option<Arc<LinkMeter>>) -> Self {
        Self { stream, meter }
    }

    fn count(&self, direction: LinkDirection, bytes: usize) {
        if let Some(meter) = &self.meter {
            meter.record(direction, bytes);
        }
    }

    fn count_sent(&self, written: &io::Result<usize>) {
        if let Ok(bytes) = written {
            self.count(LinkDirection::Sent, *bytes);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - filled;
        self.count(LinkDirection::Received, bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.count_sent(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.count_sent(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
