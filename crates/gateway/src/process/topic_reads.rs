//! What a reader of a topic knows, and as of when.

use std::time::{Duration, Instant};
use tokio::{sync::watch, time::timeout_at};

/// The time of which a reader knows everything that was written to a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownSpan {
    /// Since when no record was missed.
    pub since: Instant,
    /// When the last successful read began; its answer may have waited while the process stood still.
    pub as_of: Instant,
}

impl KnownSpan {
    /// Returns whether everything is known that was written before `moment`.
    pub fn is_current(self, moment: Instant) -> bool {
        self.as_of >= moment
    }
}

/// A successful read of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicRead {
    /// When the read began.
    pub began_at: Instant,
    /// Whether records from before the read were missed.
    pub has_gap: bool,
    /// Whether the store was restored from an older copy since the last read.
    pub is_restored: bool,
    /// Whether the read included the newest record of the topic.
    pub reaches_end: bool,
}

/// The successful reads of a topic, and the callers that wait for one.
#[derive(Debug)]
pub struct TopicReads {
    known: watch::Sender<Option<Known>>,
    asked: watch::Sender<Option<Ask>>,
    /// How long writers may take to write again what a restored store has lost.
    rewrite_time: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    span: KnownSpan,
    /// Reads that begin earlier may lack what a restored store has lost.
    complete_from: Instant,
}

/// What the callers wait for.
#[derive(Debug, Clone, Copy)]
struct Ask {
    /// A read that begins at this time or later.
    as_of: Instant,
    /// Until when any of them waits.
    until: Instant,
}

impl TopicReads {
    /// Returns the state before the first read; writers may take `rewrite_time` to write again what a
    /// restored store has lost.
    pub fn new(rewrite_time: Duration) -> Self {
        Self {
            known: watch::Sender::new(None),
            asked: watch::Sender::new(None),
            rewrite_time,
        }
    }

    /// Records a read after its records were applied, and releases the callers that wait for it.
    ///
    /// Returns whether everything is known that was written before the read.
    pub fn record(&self, read: TopicRead) -> bool {
        let known = *self.known.borrow();
        let began_at = read.began_at;
        let complete_from = if read.is_restored {
            Instant::now() + self.rewrite_time
        } else {
            known.map_or(began_at, |known| known.complete_from)
        };
        let is_complete = read.reaches_end && began_at >= complete_from;
        let span = match known {
            Some(Known { span, .. }) => KnownSpan {
                since: if read.has_gap { began_at } else { span.since },
                as_of: if is_complete { began_at } else { span.as_of },
            },
            None => KnownSpan {
                since: began_at,
                as_of: began_at,
            },
        };
        self.known.send_replace(Some(Known {
            span,
            complete_from,
        }));
        is_complete
    }

    /// Returns what is known; `None` before the first read.
    pub fn span(&self) -> Option<KnownSpan> {
        let known = *self.known.borrow();
        known.map(|known| known.span)
    }

    /// Returns the time since the last read began in milliseconds, or `None` before the first one.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let elapsed = self.span()?.as_of.elapsed();
        Some(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Asks the reader for a read that begins at `as_of` or later, on behalf of a caller that waits
    /// until `until`.
    pub fn ask(&self, as_of: Instant, until: Instant) {
        self.asked.send_modify(|ask| {
            let earlier = ask.unwrap_or(Ask { as_of, until });
            *ask = Some(Ask {
                as_of: as_of.max(earlier.as_of),
                until: until.max(earlier.until),
            });
        });
    }

    /// Waits until everything is known that was written before `moment`, `until` at the longest; returns
    /// whether it is.
    pub async fn wait_until_current(&self, moment: Instant, until: Instant) -> bool {
        let mut known = self.known.subscribe();
        let is_current = |known: &Option<Known>| {
            known
                .as_ref()
                .is_some_and(|known| known.span.is_current(moment))
        };
        if is_current(&known.borrow()) {
            return true;
        }
        self.ask(moment, until);
        let waited = timeout_at(until.into(), known.wait_for(is_current)).await;
        waited.is_ok_and(|known| known.is_ok())
    }

    /// Waits until a caller waits for a later read than the last one.
    pub async fn asked(&self) {
        let mut asked = self.asked.subscribe();
        let is_waiting = |ask: &Option<Ask>| {
            ask.is_some_and(|ask| {
                let span = self.span();
                ask.until > Instant::now() && span.is_none_or(|span| !span.is_current(ask.as_of))
            })
        };
        // The sender lives as long as this, so this ends with an ask only.
        let _ = asked.wait_for(is_waiting).await;
    }
}
