//! One call of a caller and what came of it.

use crate::Failure;
use mallowpath::RequestId;
use mallowpath_standins::client;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// A call that takes longer counts as broken off.
const CALL_MS: u64 = 20_000;
/// The bearer key of the workspace in every cluster.
pub(crate) const BEARER_KEY: &str = "demo-key";
/// The model of every cluster.
pub(crate) const MODEL: &str = "small";

/// What is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion as server-sent events.
    Streamed,
    /// A chat completion as one JSON object.
    Unstreamed,
    /// A call of a plain service.
    Plain(&'static str),
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Call {
    /// What is called.
    pub kind: CallKind,
    /// The prompt, or the body for a plain service.
    pub prompt: String,
    /// The output cap.
    pub max_tokens: u64,
    /// Output tokens at which the engine ends by itself.
    pub natural_tokens: u64,
    /// The idempotency key.
    pub key: Option<String>,
}

/// How a call ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer was declared whole.
    Whole {
        /// The text of the answer.
        text: String,
        /// The tokens that the caller was told were billed.
        billed_tokens: u64,
    },
    /// The router said that there is no whole answer.
    Refused {
        /// Whether the request ran: `not_run`, `ran` or `unknown`.
        outcome: String,
        /// The stable code.
        code: String,
    },
    /// The connection broke off or gave nothing.
    BrokenOff,
}

/// A call that was made.
#[derive(Debug, Clone)]
pub struct Operation {
    /// What was called.
    pub call: Call,
    /// When the caller began, since the beginning of the history.
    pub started_ms: u64,
    /// When the caller knew the end.
    pub ended_ms: u64,
    /// The request's identifier, if the caller was told.
    pub request: Option<RequestId>,
    /// How it ended.
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
        let Ok(Ok(answer)) = timeout(Duration::from_millis(CALL_MS), call).await else {
            return (None, Answer::BrokenOff);
        };
        let request = header(&answer, "x-request-id").and_then(|id| id.parse().ok());
        (request, self.read(&answer))
    }

    /// Sends the call and leaves before the answer ends, once its head is there.
    ///
    /// # Errors
    ///
    /// Fails when the router gives no answer.
    pub async fn send_and_leave(&self, router: SocketAddr) -> Result<(), Failure> {
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

    fn read(&self, answer: &client::Response) -> Answer {
        if !answer.is_complete {
            return Answer::BrokenOff;
        }
        if answer.status != 200 {
            return read_refusal(&answer.json());
        }
        match self.kind {
            CallKind::Streamed => read_events(&answer.text),
            CallKind::Unstreamed => read_object(&answer.json()),
            CallKind::Plain(_) => {
                let billed = header(answer, "x-mallowpath-billed-tokens");
                match billed.and_then(|tokens| tokens.parse().ok()) {
                    Some(billed_tokens) => Answer::Whole {
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
    /// Returns whether the answer was declared whole.
    pub fn is_whole(&self) -> bool {
        matches!(self.answer, Answer::Whole { .. })
    }

    /// Returns whether the request was refused with this code.
    pub fn has_code(&self, expected: &str) -> bool {
        matches!(&self.answer, Answer::Refused { code, .. } if code == expected)
    }

    /// Returns whether the caller was told this outcome.
    pub fn has_outcome(&self, expected: &str) -> bool {
        matches!(&self.answer, Answer::Refused { outcome, .. } if outcome == expected)
    }
}

fn header<'a>(answer: &'a client::Response, name: &str) -> Option<&'a str> {
    answer.headers.get(name)?.to_str().ok()
}

fn read_refusal(body: &Value) -> Answer {
    let error = &body["error"];
    let (Some(outcome), Some(code)) = (error["outcome"].as_str(), error["code"].as_str()) else {
        return Answer::BrokenOff;
    };
    Answer::Refused {
        outcome: outcome.to_owned(),
        code: code.to_owned(),
    }
}

/// Reads server-sent events; only `[DONE]` makes an answer whole.
fn read_events(events: &str) -> Answer {
    let mut text = String::new();
    let mut billed_tokens = None;
    for line in events.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return match billed_tokens {
                Some(billed_tokens) => Answer::Whole {
                    text,
                    billed_tokens,
                },
                None => Answer::BrokenOff,
            };
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() {
            return read_refusal(&event);
        }
        let content = &event["choices"][0]["delta"]["content"];
        text.push_str(content.as_str().unwrap_or_default());
        billed_tokens = event["mallowpath"]["billed_tokens"].as_u64();
    }
    Answer::BrokenOff
}

fn read_object(body: &Value) -> Answer {
    let content = body["choices"][0]["message"]["content"].as_str();
    let billed = body["mallowpath"]["billed_tokens"].as_u64();
    match (content, billed) {
        (Some(text), Some(billed_tokens)) => Answer::Whole {
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
