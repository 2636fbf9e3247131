//! Sequential reader of one stream of the log service.

use crate::{
    error::{Category, Error, Result},
    id::Offset,
    stream::log_client::{LogClient, LogPage, LogRecord},
};
use rand::Rng;
use std::{sync::Arc, time::Duration};

/// Maximum size of the records of one read.
const PAGE_BYTES: u64 = 256 << 10;
/// How long a read at the end of the stream waits for a record.
const LONG_POLL_MS: u64 = 2000;
/// Bounds of the delay before a failed read is retried, see [`sleep_backoff`].
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 2000;

/// A reader of one stream that delivers every record once, in the order of the offsets.
#[derive(Debug, Clone)]
pub struct Follower {
    log: LogClient,
    stream: Arc<str>,
    next: Offset,
    first: Offset,
}

impl Follower {
    /// Creates a follower whose first record is at the offset `next`.
    pub fn new(log: LogClient, stream: &str, next: Offset) -> Self {
        Self {
            log,
            stream: Arc::from(stream),
            next,
            first: Offset(0),
        }
    }

    /// Returns the oldest offset that the log service kept at the last read.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Delivers all records up to the present end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Gone`] if the next record is no longer kept, [`Category::Protocol`] if
    /// the answer skips records, and the errors of [`LogClient::read`].
    pub async fn catch_up(&mut self, mut apply: impl FnMut(LogRecord)) -> Result<()> {
        loop {
            let page = self.read_page(0).await?;
            let end = page.next;
            self.deliver(page, &mut apply);
            if self.next >= end {
                return Ok(());
            }
        }
    }

    /// Waits for records and delivers one page of them, which is empty if none arrive in time.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::catch_up`].
    pub async fn poll(&mut self, apply: impl FnMut(LogRecord)) -> Result<()> {
        self.poll_for(LONG_POLL_MS, apply).await?;
        Ok(())
    }

    /// Like [`Self::poll`], but waits up to `wait_ms` and returns the end of the stream at that
    /// time.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::catch_up`].
    pub async fn poll_for(&mut self, wait_ms: u64, apply: impl FnMut(LogRecord)) -> Result<Offset> {
        let page = self.read_page(wait_ms).await?;
        let end = page.next;
        self.deliver(page, apply);
        Ok(end)
    }

    async fn read_page(&self, wait_ms: u64) -> Result<LogPage> {
        let page = self
            .log
            .read(&self.stream, self.next, PAGE_BYTES, wait_ms)
            .await?;
        if let Some(first) = page.records.first()
            && first.offset != self.next
        {
            return Err(self.gap_error(first.offset));
        }
        Ok(page)
    }

    #[cold]
    fn gap_error(&self, found: Offset) -> Error {
        let message = format!(
            "stream {} gave {found} in place of {}",
            self.stream, self.next
        );
        Error::new(
            Category::Protocol,
            "follow a stream",
            "log service",
            message,
        )
    }

    fn deliver(&mut self, page: LogPage, mut apply: impl FnMut(LogRecord)) {
        self.first = page.first;
        for record in page.records {
            self.next = Offset(record.offset.0 + 1);
            apply(record);
        }
    }
}

/// Sleeps for a random exponential delay before a failed read is retried.
///
/// `failures` is the number of consecutive failures.
pub(crate) async fn sleep_backoff(failures: u32) {
    let max_delay_ms = MAX_BACKOFF_MS.min(MIN_BACKOFF_MS << failures.min(8));
    let delay_ms = rand::rng().random_range(MIN_BACKOFF_MS / 2..=max_delay_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
