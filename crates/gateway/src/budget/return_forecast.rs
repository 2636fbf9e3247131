//! Forecasts when requests in progress will return the tokens that they reserved but don't spend.
//!
//! A forecast decides which requests wait and when callers come back; it gives out no tokens.

use super::token_queue::size_class;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The weight of the newest finished request in the means of its size class.
const NEWEST_WEIGHT: f64 = 0.125;

/// The share of the mean duration after which a request is expected to end that lasts longer than it.
const OVERDUE_SHARE: f64 = 0.25;

/// The multiple of the mean duration after which a request is no longer expected to end.
const LOST_AFTER_FACTOR: f64 = 4.0;

/// When a number of tokens is expected to have been returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forecast {
    /// No request has finished yet, or none is in progress.
    Unknown,
    /// After this delay, in milliseconds.
    AfterMs(u64),
    /// Not by the requests in progress, the last of which is expected to end after this delay.
    Never {
        /// The delay in milliseconds.
        last_end_ms: u64,
    },
}

/// Identifies a request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// The requests in progress of one budget, and how those of their sizes ended before.
#[derive(Debug, Default)]
pub struct ReturnForecast {
    running: BTreeMap<RunId, Run>,
    last_id: u64,
    /// By size class.
    finished: BTreeMap<u32, FinishedRuns>,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    tokens: u64,
    started: Instant,
}

/// Means of the finished requests of one size class.
#[derive(Debug, Clone, Copy)]
struct FinishedRuns {
    duration_s: f64,
    /// The share of the reserved tokens that were not spent.
    unspent_share: f64,
}

impl ReturnForecast {
    /// Adds a request that has reserved tokens.
    pub fn start(&mut self, tokens: u64, now: Instant) -> RunId {
        self.last_id += 1;
        let id = RunId(self.last_id);
        let run = Run {
            tokens,
            started: now,
        };
        self.running.insert(id, run);
        id
    }

    /// Ends a request that has spent `spent` of its tokens.
    pub fn end(&mut self, id: RunId, spent: u64, now: Instant) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        if run.tokens == 0 {
            return;
        }
        let duration_s = run.age(now).as_secs_f64();
        let unspent_share = run.tokens.saturating_sub(spent) as f64 / run.tokens as f64;
        let finished = self
            .finished
            .entry(size_class(run.tokens))
            .or_insert(FinishedRuns {
                duration_s,
                unspent_share,
            });
        finished.duration_s += NEWEST_WEIGHT * (duration_s - finished.duration_s);
        finished.unspent_share += NEWEST_WEIGHT * (unspent_share - finished.unspent_share);
    }

    /// Forecasts when `tokens` will have been returned.
    pub fn forecast(&self, tokens: u64, now: Instant) -> Forecast {
        if tokens == 0 {
            return Forecast::AfterMs(0);
        }
        let returns = self.returns(now);
        let Some(&(last_end_ms, _)) = returns.last() else {
            return Forecast::Unknown;
        };
        let mut missing = tokens as f64;
        for (after_ms, returned) in returns {
            missing -= returned;
            if missing <= 0.0 {
                return Forecast::AfterMs(after_ms);
            }
        }
        Forecast::Never { last_end_ms }
    }

    /// Returns the expected ends of the requests in progress and the tokens that they return, the next
    /// one first.
    fn returns(&self, now: Instant) -> Vec<(u64, f64)> {
        let mut returns = Vec::with_capacity(self.running.len());
        for run in self.running.values() {
            let Some(finished) = self.finished.get(&size_class(run.tokens)) else {
                continue;
            };
            let age_s = run.age(now).as_secs_f64();
            if age_s > finished.duration_s * LOST_AFTER_FACTOR {
                continue;
            }
            let left_s = if age_s < finished.duration_s {
                finished.duration_s - age_s
            } else {
                finished.duration_s * OVERDUE_SHARE
            };
            let after_ms = mallowpath::floor_to_u64((left_s * 1_000.0).round());
            returns.push((after_ms, run.tokens as f64 * finished.unspent_share));
        }
        returns.sort_unstable_by_key(|&(after_ms, _)| after_ms);
        returns
    }
}

impl Run {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
