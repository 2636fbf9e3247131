//! Bodies of answers to callers, and error responses that the gateway generates.

use super::{request_log::Reason, stream::StreamAnswer};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use mallowpath::HeldAnswer;
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A complete body.
    Whole(HeldAnswer),
    /// A stream of events.
    Stream(Box<StreamAnswer>),
}

/// The error of a stream that is broken off before its end.
///
/// It makes hyper close the connection, so that the caller does not take the stream for complete.
#[derive(Debug)]
pub(crate) struct BrokenStream;

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match self.get_mut() {
            Self::Whole(whole) => Pin::new(whole)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll_events(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Returns an error response of the gateway with `reason` in its JSON body.
///
/// `retry_after_ms` becomes the `Retry-After` header, in seconds with three decimals.
pub(crate) fn error_response(
    status: StatusCode,
    reason: Reason,
    retry_after_ms: Option<u64>,
) -> Response<AnswerBody> {
    let text = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(AnswerBody::Whole(HeldAnswer::short(Bytes::from(text))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

impl std::fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off before its end")
    }
}

impl std::error::Error for BrokenStream {}
