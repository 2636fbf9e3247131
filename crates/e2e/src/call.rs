//! Calls of a router by a caller, and their answers.

use crate::BoxError;
use mallowpath::RequestId;
use mallowpath_standins::client;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// A call that takes longer is recorded as [`Answer::BrokenOff`].
const CALL_TIMEOUT_MS: u64 = 20_000;
/// The bearer key of the workspace that every cluster has.
pub(crate) const BEARER_KEY: &str = "demo-key";
/// The model that the engines of every cluster serve.
pub(crate) const MODEL: &str = "small";

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion, answered as server-sent events.
    Streamed,
    /// A chat completion, answered as one JSON object.
    Unstreamed,
    /// A call of the plain service of this name.
    Plain(&'static str),
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Call {
    /// The kind of the call.
    pub kind: CallKind,
    /// The prompt, or the request body for a plain service.
    pub prompt: String,
    /// The `max_tokens` of the request.
    pub max_tokens: u64,
    /// The number of output tokens after which the engine stops by itself.
    pub natural_tokens: u64,
    /// The idempotency key, if the call has one.
    pub key: Option<String>,
}

/// The result of a call, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The router marked the answer as complete.
    Complete {
        /// The text of the answer.
        text: String,
        /// The billed tokens that the answer states.
        billed_tokens: u64,
    },
    /// The router answered with an error.
    Error {
        /// Whether the request ran, from the error: `not_run`, `ran` or `unknown`.
        outcome: String,
        /// The error code.
        code: String,
    },
    /// The connection broke off, the call timed out, or the answer was malformed.
    BrokenOff,
}

/// A call with its times and its result.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The call.
    pub call: Call,
    /// When the call was sent, in milliseconds since the start of the history.
    pub started_ms: u64,
    /// When the call returned, in milliseconds since the start of the history.
    pub ended_ms: u64,
    /// The request identifier, if the answer named one.
    pub request: Option<RequestId>,
    /// The result.
    pub answer: Answer,
}

impl Call {
    /// Sends the call to a router and reads its answer.
    pub(crate) async fn send(&self, router: SocketAddr) -> (Option<RequestId>, Answer) {
        let authorization = format!("Bearer {BEARER_KEY}");
        let mut headers = vec![("authorization", authorization.as_str())];
        if let Some(key) = &self.key {
            headers.push(("idempotency-key", key));
        }
        let path = match self.kind {
            CallKind::Streamed | CallKind::Unstreamed => "POST /v1/chat/completions".to_owned(),
            CallKind::Plain(service) => format!("POST /services/{service}/rooms"),
        };
        let body = self.body();
        let call = client::send_and_read(router, &path, &headers, &body);
        let Ok(Ok(answer)) = timeout(Duration::from_millis(CALL_TIMEOUT_MS), call).await else {
            return (None, Answer::BrokenOff);
        };
        let request = header(&answer, "x-request-id").and_then(|id| id.parse().ok());
        (request, self.parse(&answer))
    }

    /// Sends the call and closes the connection once the response head has arrived.
    ///
    /// # Errors
    ///
    /// Fails when the router sends no response head.
    pub async fn send_and_leave(&self, router: SocketAddr) -> Result<(), BoxError> {
        let authorization = format!("Bearer {BEARER_KEY}");
        let headers = [("authorization", authorization.as_str())];
        let path = "POST /v1/chat/completions";
        client::send(router, path, &headers, &self.body()).await?;
        Ok(())
    }

    fn body(&self) -> String {
        if let CallKind::Plain(_) = self.kind {
            return self.prompt.clone();
        }
        json!({
            "model": MODEL,
            "stream": self.kind == CallKind::Streamed,
            "max_tokens": self.max_tokens,
            "standin_tokens": self.natural_tokens,
            "messages": [{ "role": "user", "content": self.prompt }],
        })
        .to_string()
    }

    fn parse(&self, answer: &client::Response) -> Answer {
        if !answer.is_complete {
            return Answer::BrokenOff;
        }
        if answer.status != 200 {
            return parse_error(&answer.json());
        }
        match self.kind {
            CallKind::Streamed => parse_events(&answer.text),
            CallKind::Unstreamed => parse_object(&answer.json()),
            CallKind::Plain(_) => {
                let billed = header(answer, "x-mallowpath-billed-tokens");
                match billed.and_then(|tokens| tokens.parse().ok()) {
                    Some(billed_tokens) => Answer::Complete {
                        text: answer.text.clone(),
                        billed_tokens,
                    },
                    None => Answer::BrokenOff,
                }
            }
        }
    }
}

impl Operation {
    /// Returns whether the router marked the answer as complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.answer, Answer::Complete { .. })
    }

    /// Returns whether the router answered with the error code `expected`.
    pub fn has_code(&self, expected: &str) -> bool {
        matches!(&self.answer, Answer::Error { code, .. } if code == expected)
    }

    /// Returns whether the router answered with an error whose outcome is `expected`.
    pub fn has_outcome(&self, expected: &str) -> bool {
        matches!(&self.answer, Answer::Error { outcome, .. } if outcome == expected)
    }
}

fn header<'a>(answer: &'a client::Response, name: &str) -> Option<&'a str> {
    answer.headers.get(name)?.to_str().ok()
}

fn parse_error(body: &Value) -> Answer {
    let error = &body["error"];
    let (Some(outcome), Some(code)) = (error["outcome"].as_str(), error["code"].as_str()) else {
        return Answer::BrokenOff;
    };
    Answer::Error {
        outcome: outcome.to_owned(),
        code: code.to_owned(),
    }
}

/// Reads an answer from server-sent events; it is complete only if it ends with `[DONE]`.
fn parse_events(events: &str) -> Answer {
    let mut text = String::new();
    let mut billed_tokens = None;
    for line in events.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return match billed_tokens {
                Some(billed_tokens) => Answer::Complete {
                    text,
                    billed_tokens,
                },
                None => Answer::BrokenOff,
            };
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() {
            return parse_error(&event);
        }
        let content = &event["choices"][0]["delta"]["content"];
        text.push_str(content.as_str().unwrap_or_default());
        billed_tokens = event["mallowpath"]["billed_tokens"].as_u64();
    }
    Answer::BrokenOff
}

fn parse_object(body: &Value) -> Answer {
    let content = body["choices"][0]["message"]["content"].as_str();
    let billed = body["mallowpath"]["billed_tokens"].as_u64();
    match (content, billed) {
        (Some(text), Some(billed_tokens)) => Answer::Complete {
            text: text.to_owned(),
            billed_tokens,
        },
        _ => Answer::BrokenOff,
    }
}

impl Default for Call {
    fn default() -> Self {
        Self {
            kind: CallKind::Streamed,
            prompt: "Which rooms are free at noon?".to_owned(),
            max_tokens: 40,
            natural_tokens: 20,
            key: None,
        }
    }
}
