//! Client of the platform's log service.

use crate::{
    Backoff, Category, Offset, Result,
    stream::http_call::{HttpAnswer, HttpCall, HttpCaller},
};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep_until};

const APPEND_STEP: &str = "append to log";
const READ_STEP: &str = "read log";
const BOUNDS_STEP: &str = "read bounds of log";

/// A client of the log service; clones share its connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    caller: HttpCaller,
    settings: LogClientSettings,
}

/// Settings of a [`LogClient`].
#[derive(Debug, Clone, Copy)]
pub struct LogClientSettings {
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout for an answer, in addition to the `wait_ms` of a read, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Delays between the attempts of [`LogClient::append_until`].
    pub backoff: Backoff,
}

/// Consecutive records of a stream, in the order of their offsets.
#[derive(Debug)]
pub struct LogPage {
    /// The oldest offset that the service keeps.
    pub first: Offset,
    /// The offset that the next appended record gets.
    pub next: Offset,
    /// The records, the first at the requested offset, without gaps.
    pub records: Vec<LogRecord>,
}

/// A record of a stream.
#[derive(Debug)]
pub struct LogRecord {
    /// The position of the record in its stream.
    pub offset: Offset,
    /// The content of the record, as it was appended.
    pub data: Bytes,
}

#[derive(Debug, Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Debug, Deserialize)]
struct Bounds {
    first: Offset,
    next: Offset,
}

#[derive(Debug, Deserialize)]
struct Page {
    first: Offset,
    next: Offset,
    records: Vec<PageRecord>,
}

#[derive(Debug, Deserialize)]
struct PageRecord {
    offset: Offset,
    data: String,
}

impl LogClient {
    /// Creates a client of the log service at `address`, which connects at the first call.
    pub fn new(address: SocketAddr, settings: LogClientSettings) -> Self {
        Self {
            caller: HttpCaller::new(address, settings.connect_timeout_ms),
            settings,
        }
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Refused`] if the record was certainly not appended, and
    /// [`Category::Unknown`] if it may have been appended.
    pub async fn append(&self, stream: &str, record: Bytes) -> Result<Offset> {
        let path = format!("/v1/streams/{stream}/records");
        let answer = self
            .call(APPEND_STEP, Method::POST, path, record, 0)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(self.caller.status_error(APPEND_STEP, &answer));
        }
        // The status reports success, so the record was appended even if the offset can't be
        // parsed.
        match self.caller.parse::<Appended>(APPEND_STEP, &answer) {
            Ok(appended) => Ok(appended.offset),
            Err(e) => Err(e.with_category(Category::Unknown)),
        }
    }

    /// Appends one record, with retries until an answer confirms it or `deadline` passes.
    ///
    /// The stream may contain several copies afterwards, so readers must void all but the first.
    /// Dropping the future cancels the append, which may already have taken effect.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt, with [`Category::Unknown`] if any attempt may have
    /// appended the record.
    pub async fn append_until(
        &self,
        stream: &str,
        record: Bytes,
        deadline: Instant,
    ) -> Result<Offset> {
        let mut maybe_appended = false;
        let mut attempt = 0;
        loop {
            let e = match self.append(stream, record.clone()).await {
                Ok(offset) => return Ok(offset),
                Err(e) => e,
            };
            maybe_appended |= e.category() == Category::Unknown;
            let is_permanent = !matches!(e.category(), Category::Refused | Category::Unknown);
            let backoff_ms = self.settings.backoff.delay_ms(attempt, rand::random());
            let delay_ms = backoff_ms.max(e.retry_after_ms().unwrap_or(0));
            let next_attempt = Instant::now() + Duration::from_millis(delay_ms);
            if is_permanent || next_attempt >= deadline {
                let category = if maybe_appended {
                    Category::Unknown
                } else {
                    e.category()
                };
                return Err(e.with_category(category));
            }
            sleep_until(next_attempt).await;
            attempt += 1;
        }
    }

    /// Reads records from the offset `from` on, with a total size of up to `max_bytes` but at least
    /// one.
    ///
    /// At the end of the stream, waits up to `wait_ms` for a record and returns an empty page if
    /// none was appended.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Gone`] with the bounds of the stream if `from` is no longer kept, and
    /// [`Category::Protocol`] if the answer can't be decoded or skips offsets.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_bytes: u64,
        wait_ms: u64,
    ) -> Result<LogPage> {
        let path = format!(
            "/v1/streams/{stream}/records?from={from}&max_bytes={max_bytes}&wait_ms={wait_ms}"
        );
        let answer = self
            .call(READ_STEP, Method::GET, path, Bytes::new(), wait_ms)
            .await?;
        if answer.status == StatusCode::GONE {
            let bounds: Bounds = self.caller.parse(READ_STEP, &answer)?;
            let e = self
                .caller
                .error(Category::Gone, READ_STEP, "records are no longer kept");
            return Err(e.with_bounds(bounds.first, bounds.next));
        }
        if answer.status != StatusCode::OK {
            return Err(self.caller.status_error(READ_STEP, &answer));
        }
        let page: Page = self.caller.parse(READ_STEP, &answer)?;
        self.decode_page(from, page)
    }

    /// Returns the oldest offset that the service keeps and the offset that the next record gets.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the status is not 200 or the answer can't be parsed.
    pub async fn bounds(&self, stream: &str) -> Result<(Offset, Offset)> {
        let path = format!("/v1/streams/{stream}");
        let answer = self
            .call(BOUNDS_STEP, Method::GET, path, Bytes::new(), 0)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(self.caller.status_error(BOUNDS_STEP, &answer));
        }
        let bounds: Bounds = self.caller.parse(BOUNDS_STEP, &answer)?;
        Ok((bounds.first, bounds.next))
    }

    async fn call(
        &self,
        operation: &'static str,
        method: Method,
        path: String,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<HttpAnswer> {
        let timeout_ms = self.settings.answer_timeout_ms + wait_ms;
        self.caller
            .call(HttpCall {
                operation,
                method,
                path,
                body,
                timeout_ms,
            })
            .await
    }

    fn decode_page(&self, from: Offset, page: Page) -> Result<LogPage> {
        let mut records = Vec::with_capacity(page.records.len());
        let mut expected = from;
        for record in page.records {
            if record.offset != expected {
                let message = format!("offset {} in place of {expected}", record.offset);
                return Err(self.caller.error(Category::Protocol, READ_STEP, &message));
            }
            let data = match STANDARD.decode(&record.data) {
                Ok(data) => Bytes::from(data),
                Err(e) => {
                    let error = self.caller.error(
                        Category::Protocol,
                        READ_STEP,
                        "record data is not valid base64",
                    );
                    return Err(error.with_source(e));
                }
            };
            records.push(LogRecord {
                offset: record.offset,
                data,
            });
            expected = Offset(expected.0 + 1);
        }
        Ok(LogPage {
            first: page.first,
            next: page.next,
            records,
        })
    }
}

impl Default for LogClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            answer_timeout_ms: 3_000,
            backoff: Backoff::default(),
        }
    }
}
