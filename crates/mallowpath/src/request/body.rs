//! Reading of HTTP bodies of limited size, and how their end shows.

use crate::memory::{
    buffer_budget::Buffer,
    connection_limiter::ConnectionSlot,
    segments::{SegmentedBody, Segments},
};
use bytes::Bytes;
use http::{HeaderMap, header};
use http_body::Body;
use http_body_util::BodyExt;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// The number of bytes of an oversized body that are read and discarded, so that its sender reads
/// the response.
const DISCARD_MAX_BYTES: usize = 64 << 20;

/// The time limit for discarding an oversized body.
const DISCARD_MAX_MS: u64 = 5_000;

/// Why a body could not be read.
#[derive(Debug)]
pub enum BodyError<E> {
    /// The body is larger than allowed.
    TooLarge,
    /// There is no memory for the body, or others needed it more.
    NoMemory,
    /// The body ended early with this error.
    Interrupted(E),
}

/// A body in one piece, and the account of its memory; clones share both.
#[derive(Debug, Clone)]
pub(crate) struct HeldBody {
    bytes: Bytes,
    buffer: Arc<Buffer>,
}

impl HeldBody {
    /// Creates a body whose memory `buffer` accounts for.
    pub(crate) fn new(bytes: Bytes, buffer: Buffer) -> Self {
        Self {
            bytes,
            buffer: Arc::new(buffer),
        }
    }

    /// Returns the content.
    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Opens an empty buffer for the answer, whose caller has `connection`.
    pub(crate) fn open_answer(&self, connection: &ConnectionSlot) -> Buffer {
        self.buffer.open_answer(connection)
    }

    /// Releases the memory that only the reading of the body needed.
    pub(crate) fn compact(self) -> Self {
        self.buffer.shrink(self.bytes.len());
        self
    }

    /// Replaces the content by `bytes`, which are no more than the buffer accounts for.
    pub(crate) fn replace(self, bytes: Bytes) -> Self {
        Self {
            bytes,
            buffer: self.buffer,
        }
        .compact()
    }
}

/// Reads a complete body of at most `max_bytes`, whose memory `buffer` accounts for.
///
/// A body that is announced to be larger is not read at all. The rest of a body that is too large, or for
/// which there is no memory, is read and discarded in the background, up to a limit: many callers
/// read no response before they have sent everything, and a connection that is closed while data
/// arrives is reset, which loses the response.
///
/// # Errors
///
/// Fails if the body is too large, has to make room for others or ends early with an error.
pub async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    buffer: &Buffer,
) -> Result<SegmentedBody, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Send,
{
    let result = tokio::select! {
        biased;
        () = buffer.evicted() => Err(BodyError::NoMemory),
        result = read_segments(&mut body, max_bytes, buffer) => result,
    };
    if matches!(result, Err(BodyError::TooLarge | BodyError::NoMemory)) {
        let time_max = Duration::from_millis(DISCARD_MAX_MS);
        tokio::spawn(timeout(time_max, discard(body)));
    }
    result
}

async fn read_segments<B>(
    body: &mut B,
    max_bytes: usize,
    buffer: &Buffer,
) -> Result<SegmentedBody, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced_bytes = body.size_hint().exact().map(saturating_usize);
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut segments = Segments::new(announced_bytes);
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) => return Err(BodyError::Interrupted(error)),
        };
        if segments.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.record_progress(data.len());
        if segments.is_empty() && body.is_end_stream() {
            return match buffer.grow(data.len()).await {
                Ok(()) => Ok(SegmentedBody::from(data)),
                Err(_) => Err(BodyError::NoMemory),
            };
        }
        if segments.push(data, buffer).await.is_err() {
            return Err(BodyError::NoMemory);
        }
    }
    Ok(segments.finish())
}

/// Returns whether the end of a message's body, of which nothing was read yet, shows in the message itself,
/// and not only in the end of its connection, which a server that fails closes, too.
pub fn is_framed(headers: &HeaderMap, body: &impl Body) -> bool {
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || body.is_end_stream()
}

async fn discard(mut body: impl Body<Data = Bytes> + Unpin) {
    let mut remaining = DISCARD_MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if bytes > remaining {
            return;
        }
        remaining -= bytes;
    }
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
