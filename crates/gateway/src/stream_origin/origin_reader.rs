//! Reads the origins of streams from the store.

use crate::process::{GenerationChange, GenerationTracker, Store, StorePage, Topic};
use mallowpath::{Category, Error, Offset, Result};
use std::time::{Duration, Instant};

/// Time after the last read from which all records are read again, as fewer are kept than were appended
/// since.
const READ_ON_MAX_AGE: Duration = Duration::from_secs(10);

/// Reads the records of all routers, and later those that have changed.
#[derive(Debug, Default)]
pub(super) struct OriginReader {
    /// The offset from which to continue; `None` if all records are to be read.
    next: Option<Offset>,
    /// When the last successful read began.
    read_at: Option<Instant>,
    /// When the last failed read began.
    failed_at: Option<Instant>,
    generations: GenerationTracker,
}

impl OriginReader {
    /// Returns when the last successful read began.
    pub(super) fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns when the last failed read began.
    pub(super) fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Reads all records at first, then those after the last read.
    pub(super) async fn read(&mut self, store: &Store) -> Result<StorePage> {
        let began_at = Instant::now();
        let result = self.read_from(store, began_at).await;
        if result.is_err() {
            self.failed_at = Some(began_at);
        }
        result
    }

    async fn read_from(&mut self, store: &Store, began_at: Instant) -> Result<StorePage> {
        let is_recent = self
            .read_at
            .is_some_and(|read_at| read_at.elapsed() < READ_ON_MAX_AGE);
        let page = match self.next.take().filter(|_| is_recent) {
            Some(offset) => self.read_on(store, offset).await?,
            None => None,
        };
        let page = match page {
            Some(page) => page,
            None => self.read_all(store).await?,
        };
        self.next = Some(page.next);
        self.read_at = Some(began_at);
        Ok(page)
    }

    /// Reads the records from `offset` to the end; `None` if they were dropped, or if the store was restored.
    async fn read_on(&mut self, store: &Store, mut offset: Offset) -> Result<Option<StorePage>> {
        let mut records = Vec::new();
        loop {
            let page = match (store.read)(Topic::StreamOrigins, offset, 0).await {
                Ok(page) => page,
                Err(error) if error.category() == Category::Gone => return Ok(None),
                Err(error) => return Err(error),
            };
            let is_same = self.generations.observe(page.generation) == GenerationChange::Same;
            let has_advanced = page.next > offset || page.reaches_end;
            if !is_same || !has_advanced {
                return Ok(None);
            }
            offset = page.next;
            records.extend(page.records);
            if page.reaches_end {
                return Ok(Some(StorePage { records, ..page }));
            }
        }
    }

    async fn read_all(&mut self, store: &Store) -> Result<StorePage> {
        let page = (store.newest)(Topic::StreamOrigins).await?;
        if self.generations.observe(page.generation) == GenerationChange::Outdated {
            return Err(Error::new(
                Category::Refused,
                "read the origins of streams",
                "the store",
                "the answer is older than the last restore of the store",
            ));
        }
        Ok(page)
    }
}
