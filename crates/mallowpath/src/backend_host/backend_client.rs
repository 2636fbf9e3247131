//! HTTP client of a sidecar for its backend server.
//!
//! An answer is passed on in parts as it arrives, without waiting for its end. The tokens of a
//! model engine's stream are counted, and the answer is truncated at the reserved number.

use crate::{
    peer::wire::{AnswerEnd, AnswerHead, Submit},
    quarantine::crash_probe::refuses_connections,
    request::{
        body::is_framed,
        chat::{StreamEvent, Usage},
    },
};
use bytes::Bytes;
use futures_util::TryStreamExt;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, time::Duration};
use tokio::{io::AsyncBufReadExt, time::timeout};
use tokio_util::{io::StreamReader, sync::CancellationToken};

const CONNECT_TIMEOUT_MS: u64 = 1000;
const CANCEL_TIMEOUT_MS: u64 = 1000;

/// Codes of an [`AnswerEnd`] whose answer is not whole.
pub mod end_code {
    /// The backend server did not accept the request, so it did not run.
    pub const REFUSED: &str = "refused";
    /// The backend server failed or the connection to it broke.
    pub const FAILED: &str = "failed";
    /// The sidecar cancelled the request, for example because its caller left.
    pub const STOPPED: &str = "stopped";
    /// The request's time limit passed.
    pub const DEADLINE: &str = "deadline";
}

/// A client of the backend server beside a sidecar.
///
/// Each request has its own connection: answers have no identifier, and on a connection used before, one
/// may be left over from an earlier request.
#[derive(Debug, Clone)]
pub struct BackendClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A part of an answer; the parts are passed on in their order.
#[derive(Debug)]
pub enum AnswerPart {
    /// The status and the content type, which come first.
    Head(AnswerHead),
    /// A piece of the body.
    Data(Bytes),
}

impl BackendClient {
    /// Creates a client of the backend server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        // The client must not retry on its own, as a request need not be idempotent.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    /// Runs a request, passes each part of its answer to `emit` and returns how it ended.
    ///
    /// The number of chunks in the returned [`AnswerEnd`] is 0; the caller counts them and sets it.
    /// A model engine that may still be generating is told to cancel the request.
    pub async fn run(
        &self,
        submit: &Submit,
        request_id: &str,
        cancelled: &CancellationToken,
        emit: impl FnMut(AnswerPart),
    ) -> AnswerEnd {
        let limit = Duration::from_millis(submit.within_ms);
        let mut answer = AnswerReader {
            submit,
            emit,
            events: 0,
            usage: None,
            finished: false,
        };
        let code = tokio::select! {
            code = timeout(limit, self.exchange(request_id, &mut answer)) => match code {
                Ok(code) => code,
                Err(_) => end_code::DEADLINE,
            },
            () = cancelled.cancelled() => end_code::STOPPED,
        };
        let end = answer.end(code);
        if submit.model && (!end.whole || answer.events >= submit.cap_tokens) {
            self.cancel(request_id).await;
        }
        end
    }

    /// Returns whether the backend server has ended: its host refuses connections.
    pub(crate) async fn has_ended(&self) -> bool {
        refuses_connections(self.address).await
    }

    async fn exchange<F: FnMut(AnswerPart)>(
        &self,
        request_id: &str,
        answer: &mut AnswerReader<'_, F>,
    ) -> &'static str {
        let response = match self
            .client
            .request(self.request(answer.submit, request_id))
            .await
        {
            Ok(response) => response,
            Err(error) if error.is_connect() => return end_code::REFUSED,
            Err(error) => {
                log::warn!(
                    "backend server {} gave no answer to {request_id}: {error}",
                    self.address
                );
                return end_code::FAILED;
            }
        };
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE {
            return end_code::REFUSED;
        }
        let content_type = match response.headers().get("content-type").map(|v| v.to_str()) {
            Some(Ok(text)) => text.to_owned(),
            _ => String::new(),
        };
        (answer.emit)(AnswerPart::Head(AnswerHead {
            status: u32::from(status.as_u16()),
            content_type,
        }));
        if answer.submit.model && status.is_success() {
            return answer.read_stream(response.into_body()).await;
        }
        // A server that failed as its answer began closes the connection, too.
        let needs_body = status.is_success() && !is_framed(response.headers(), response.body());
        answer.read_body(response.into_body(), needs_body).await
    }

    fn request(&self, submit: &Submit, request_id: &str) -> Request<Full<Bytes>> {
        let method = Method::from_bytes(submit.method.as_bytes()).unwrap_or(Method::POST);
        Request::builder()
            .method(method)
            .uri(format!("http://{}{}", self.address, submit.path))
            .header("content-type", "application/json")
            .header("x-request-id", request_id)
            .body(Full::new(submit.body.clone()))
            .expect("the router checked the path")
    }

    /// Asks the model engine to stop generating an answer.
    ///
    /// A failure is only logged.
    async fn cancel(&self, request_id: &str) {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("http://{}/v1/requests/{request_id}", self.address))
            .body(Full::new(Bytes::new()))
            .expect("a request identifier is a valid path segment");
        let call = self.client.request(request);
        match timeout(Duration::from_millis(CANCEL_TIMEOUT_MS), call).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!("cancelling {request_id} failed: {error}"),
            Err(_) => log::debug!("cancelling {request_id} got no answer"),
        }
    }
}

/// Reads one answer, counts its events and passes its parts on.
struct AnswerReader<'a, F> {
    submit: &'a Submit,
    emit: F,
    /// The number of events with text that were passed on.
    events: u64,
    usage: Option<Usage>,
    /// Whether an event with a finish reason was passed on.
    finished: bool,
}

impl<F: FnMut(AnswerPart)> AnswerReader<'_, F> {
    /// Reads an event stream and returns an [`end_code`], empty when the answer is whole.
    async fn read_stream(&mut self, body: Incoming) -> &'static str {
        let stream = body.into_data_stream().map_err(std::io::Error::other);
        let mut lines = StreamReader::new(stream).lines();
        loop {
            let line = match lines.next_line().await {
                Ok(Some(line)) => line,
                Ok(None) => return end_code::FAILED,
                Err(error) => {
                    log::warn!(
                        "reading the model engine's event stream failed, ending the run: {error}"
                    );
                    return end_code::FAILED;
                }
            };
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            let data = data.trim_start();
            if data == "[DONE]" {
                // Without a finish reason before it, the end marker does not make the answer whole.
                return if self.finished { "" } else { end_code::FAILED };
            }
            let event: StreamEvent = match serde_json::from_str(data) {
                Ok(event) => event,
                Err(error) => {
                    log::warn!("the model engine sent an invalid event, ending the run: {error}");
                    return end_code::FAILED;
                }
            };
            if self.process_event(&event, data) {
                return "";
            }
        }
    }

    /// Counts one event and passes it on; returns whether the answer was truncated at its cap.
    fn process_event(&mut self, event: &StreamEvent, data: &str) -> bool {
        if event.usage.is_some() {
            self.usage = event.usage;
        }
        let has_text = event.content.as_ref().is_some_and(|text| !text.is_empty());
        if !has_text && event.finish_reason.is_none() {
            return false;
        }
        if has_text && self.events >= self.submit.cap_tokens {
            (self.emit)(AnswerPart::Data(Bytes::from_static(
                TRUNCATED_EVENT.as_bytes(),
            )));
            self.finished = true;
            return true;
        }
        self.events += u64::from(has_text);
        self.finished |= event.finish_reason.is_some();
        (self.emit)(AnswerPart::Data(Bytes::copy_from_slice(data.as_bytes())));
        false
    }

    /// Reads a plain body and returns an [`end_code`], empty when the answer is whole.
    ///
    /// With `needs_body`, an answer without a body is not whole.
    async fn read_body(&mut self, mut body: Incoming, needs_body: bool) -> &'static str {
        let mut is_empty = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    is_empty &= data.is_empty();
                    (self.emit)(AnswerPart::Data(data));
                }
                Err(error) => {
                    log::warn!(
                        "reading the backend server's answer failed, ending the run: {error}"
                    );
                    return end_code::FAILED;
                }
            }
        }
        if needs_body && is_empty {
            log::warn!("the backend server closed the connection in place of a body");
            return end_code::FAILED;
        }
        ""
    }

    /// Returns the end of the run with its tokens to bill; an empty `code` marks a whole answer.
    fn end(&self, code: &str) -> AnswerEnd {
        let refused = code == end_code::REFUSED;
        let (prompt_tokens, completion_tokens) = if refused {
            (0, 0)
        } else {
            self.tokens_to_bill()
        };
        AnswerEnd {
            chunks: 0,
            whole: code.is_empty(),
            ran: !refused,
            prompt_tokens,
            completion_tokens,
            code: code.to_owned(),
            bill: Bytes::new(),
            backend_ended: false,
        }
    }

    /// Returns the prompt and completion tokens to bill, never more than were reserved.
    ///
    /// The engine's own count is bounded by the events that it sent and by the cap, because engines
    /// may report fewer tokens than they sent or more than they were allowed.
    fn tokens_to_bill(&self) -> (u64, u64) {
        let submit = self.submit;
        if !submit.model {
            return (submit.prompt_tokens, submit.cap_tokens);
        }
        let sent = self.events.min(submit.cap_tokens);
        match self.usage {
            Some(usage) => (
                usage.prompt_tokens.min(submit.prompt_tokens),
                usage.completion_tokens.clamp(sent, submit.cap_tokens),
            ),
            None if self.events == 0 => (0, 0),
            None => (submit.prompt_tokens, sent),
        }
    }
}

/// The last event of an answer that was truncated at its cap.
const TRUNCATED_EVENT: &str = r#"{"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}"#;
