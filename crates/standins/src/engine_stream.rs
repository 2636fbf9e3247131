//! Renders a completion as a JSON object or as a stream of server-sent events.

use crate::{
    engine_batch::{Finish, Progress, SubmittedRequest, token_count},
    engine_text::token_text,
};
use axum::{
    body::Body,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use futures_util::stream;
use serde_json::{Value, json};
use std::{convert::Infallible, sync::Arc};
use tokio::sync::watch;

/// A reader of the tokens of one request, starting at any token.
#[derive(Debug)]
pub(crate) struct CompletionStream {
    run: Arc<SubmittedRequest>,
    progress: watch::Receiver<Progress>,
    next_token: u64,
    miscount_tokens: i64,
    is_done: bool,
}

impl CompletionStream {
    pub(crate) fn new(run: Arc<SubmittedRequest>, from_token: u64, miscount_tokens: i64) -> Self {
        let progress = run.progress.subscribe();
        Self {
            run,
            progress,
            next_token: from_token,
            miscount_tokens,
            is_done: false,
        }
    }

    /// Returns a streaming response, one event for each token and a final one with the usage.
    pub(crate) fn into_response(self) -> Response {
        let id = self.run.request.id.clone();
        let events = stream::unfold(self, |mut stream| async move {
            let events = stream.events().await?;
            Some((Ok::<_, Infallible>(events), stream))
        });
        let headers = [
            ("content-type", "text/event-stream"),
            ("x-request-id", id.as_str()),
        ];
        (headers, Body::from_stream(events)).into_response()
    }

    pub(crate) async fn wait_finished(&mut self) {
        // The run owns the sender, so the wait cannot fail.
        drop(
            self.progress
                .wait_for(|progress| progress.finish.is_some())
                .await,
        );
    }

    /// Waits for new tokens or the end of generation and returns them as server-sent events.
    ///
    /// Returns `None` after the final event.
    async fn events(&mut self) -> Option<Bytes> {
        if self.is_done {
            return None;
        }
        let next_token = self.next_token;
        let has_progress =
            |progress: &Progress| progress.produced > next_token || progress.finish.is_some();
        let progress = *self.progress.wait_for(has_progress).await.ok()?;
        let mut text = String::new();
        while self.next_token < progress.produced {
            self.push_token(&mut text);
        }
        if let Some(finish) = progress.finish {
            self.push_end(&mut text, finish);
        }
        Some(Bytes::from(text))
    }

    fn push_token(&mut self, text: &mut String) {
        let token = token_text(self.run.request.text_seed, self.next_token);
        let choice = json!({ "index": 0, "delta": { "content": token }, "finish_reason": null });
        push_event(
            text,
            &json!({
                "id": self.run.request.id,
                "object": "chat.completion.chunk",
                "model": self.run.request.model,
                "token": self.next_token,
                "choices": [choice],
            }),
        );
        self.next_token += 1;
    }

    fn push_end(&mut self, text: &mut String, finish: Finish) {
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": finish });
        push_event(
            text,
            &json!({
                "id": self.run.request.id,
                "object": "chat.completion.chunk",
                "model": self.run.request.model,
                "choices": [choice],
                "usage": self.usage(),
            }),
        );
        text.push_str("data: [DONE]\n\n");
        self.is_done = true;
    }

    /// Returns the tokens generated so far as one `chat.completion` object.
    pub(crate) fn to_completion_json(&self) -> Value {
        let progress = self.run.progress();
        let mut text = String::new();
        for index in 0..progress.produced {
            text.push_str(&token_text(self.run.request.text_seed, index));
        }
        let message = json!({ "role": "assistant", "content": text });
        json!({
            "id": self.run.request.id,
            "object": "chat.completion",
            "model": self.run.request.model,
            "choices": [{ "index": 0, "message": message, "finish_reason": progress.finish }],
            "usage": self.usage(),
        })
    }

    fn usage(&self) -> Value {
        let prompt_tokens = token_count(self.run.request.prompt_bytes);
        let produced = self.run.progress().produced;
        let completion_tokens = produced.saturating_add_signed(self.miscount_tokens);
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        })
    }
}

fn push_event(text: &mut String, event: &Value) {
    text.push_str("data: ");
    text.push_str(&event.to_string());
    text.push_str("\n\n");
}
