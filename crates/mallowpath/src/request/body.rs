//! Reading of HTTP bodies of limited size, and how their end shows.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header};
use http_body::Body;
use http_body_util::BodyExt;
use std::time::Duration;
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
    /// The body ended early with this error.
    Interrupted(E),
}

/// Reads a complete body of at most `max_bytes`.
///
/// The rest of a larger body is read and discarded in the background, up to a limit: many callers
/// read no response before they have sent everything, and a connection that is closed while data
/// arrives is reset, which loses the response.
///
/// # Errors
///
/// Fails if the body is too large or ends early with an error.
pub async fn read_body<B>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Send,
{
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) => return Err(BodyError::Interrupted(error)),
        };
        if read.len() + data.len() > max_bytes {
            tokio::spawn(timeout(
                Duration::from_millis(DISCARD_MAX_MS),
                discard(body),
            ));
            return Err(BodyError::TooLarge);
        }
        if read.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
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
