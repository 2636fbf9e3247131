//! Estimates how long requests of a service wait for their answers to begin, and rejects those that
//! would wait too long.
//!
//! This handles bursts that exceed the combined capacity of all backend servers of a service. All
//! queues then grow at once, and soon every answer begins too late. Two estimates are computed, and
//! the lower one is used:
//!
//! * By Little's law, the wait is the number of waiting requests divided by the rate at which
//!   answers begin. It reacts at once to the start and the end of a burst, but includes requests at
//!   unresponsive backend servers.
//! * The median wait of the answers that began last. It excludes unresponsive backend servers, but
//!   reacts to a burst only after that wait.

use std::collections::VecDeque;

/// Settings of [`WaitEstimator`].
#[derive(Debug, Clone)]
pub struct WaitEstimatorSettings {
    /// The number of recent answers that an estimate requires and uses.
    pub samples: usize,
    /// The maximum age of these answers.
    pub sample_age_max_ms: u64,
    /// The share of its latency objective that a request may wait behind others; the rest is for
    /// processing its own prompt.
    pub objective_share: f64,
    /// The share of the remaining time that a request may wait if it can no longer meet its latency
    /// objective.
    pub late_share: f64,
}

/// Estimates the waits of one service's requests at one router.
#[derive(Debug)]
pub struct WaitEstimator {
    settings: WaitEstimatorSettings,
    /// The number of requests in flight whose answers have not begun.
    waiting: u64,
    /// The last `samples` answers, in the order in which they began.
    answer_starts: VecDeque<AnswerStart>,
}

/// The time at which an answer began and the wait before it.
#[derive(Debug, Clone, Copy)]
struct AnswerStart {
    at_ms: u64,
    wait_ms: u64,
}

/// The times of a request that determine whether it is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimes {
    /// The latency objective for the beginning of the answer; 0 if there is none.
    pub latency_objective_ms: u64,
    /// The part of the route's timeout that had passed when the request arrived.
    ///
    /// A request that is retried after a rejection arrives with less time left.
    pub elapsed_ms: u64,
    /// The time until the deadline of the request.
    pub remaining_ms: u64,
}

/// The shares of the usual limit on its wait that apply to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShares {
    /// The share for a request that can still meet its latency objective.
    pub on_time: f64,
    /// The share for a request that was probably rejected before.
    pub late: f64,
}

/// The error for a request that would wait too long behind others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload {
    /// The expected wait, without the processing of the request's own prompt.
    pub expected_wait_ms: u64,
}

impl WaitEstimator {
    /// Returns an estimator for a service without requests.
    pub fn new(settings: WaitEstimatorSettings) -> Self {
        Self {
            settings,
            waiting: 0,
            answer_starts: VecDeque::new(),
        }
    }

    /// Counts a request that was sent to a backend server.
    pub fn record_sent(&mut self) {
        self.waiting += 1;
    }

    /// Counts the beginning of an answer.
    pub fn record_answer_start(&mut self, wait_ms: u64, now_ms: u64) {
        self.record_wait_end();
        self.answer_starts.push_back(AnswerStart {
            at_ms: now_ms,
            wait_ms,
        });
        if self.answer_starts.len() > self.settings.samples {
            self.answer_starts.pop_front();
        }
    }

    /// Counts a request as no longer waiting, because its answer has begun or never will.
    pub fn record_wait_end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Decides whether to admit a request.
    ///
    /// A request that has used up more time than its limit allows for waiting was probably rejected
    /// before. It misses its objective anyway, and another rejection would most likely be final, so
    /// it is rejected only if it would also wait most of the time until its deadline.
    ///
    /// # Errors
    ///
    /// Fails if the request would wait too long.
    pub fn admit(&self, times: RequestTimes, now_ms: u64) -> Result<(), Overload> {
        self.admit_within(times, LimitShares::default(), now_ms)
    }

    /// Decides whether to admit a request whose limit is lower than usual.
    ///
    /// # Errors
    ///
    /// Fails if the request would wait too long.
    pub fn admit_within(
        &self,
        times: RequestTimes,
        shares: LimitShares,
        now_ms: u64,
    ) -> Result<(), Overload> {
        if times.latency_objective_ms == 0 {
            return Ok(());
        }
        let expected_wait_ms = self.expected_wait_ms(now_ms);
        let objective_limit_ms = times.latency_objective_ms as f64 * self.settings.objective_share;
        let limit_ms = if times.elapsed_ms as f64 > objective_limit_ms {
            times.remaining_ms as f64 * self.settings.late_share * shares.late
        } else {
            objective_limit_ms * shares.on_time
        };
        if expected_wait_ms as f64 > limit_ms {
            return Err(Overload { expected_wait_ms });
        }
        Ok(())
    }

    /// Returns the expected wait of a request that is sent now; 0 if there are too few recent
    /// answers.
    fn expected_wait_ms(&self, now_ms: u64) -> u64 {
        let Some(oldest) = self.answer_starts.front() else {
            return 0;
        };
        let span_ms = now_ms.saturating_sub(oldest.at_ms);
        if self.answer_starts.len() < self.settings.samples
            || span_ms > self.settings.sample_age_max_ms
        {
            return 0;
        }
        let samples = u64::try_from(self.answer_starts.len()).unwrap_or(u64::MAX);
        let queue_wait_ms = self.waiting.saturating_mul(span_ms) / samples;
        queue_wait_ms.min(self.median_wait_ms())
    }

    fn median_wait_ms(&self) -> u64 {
        let mut waits_ms: Vec<u64> = self
            .answer_starts
            .iter()
            .map(|start| start.wait_ms)
            .collect();
        let middle = waits_ms.len() / 2;
        *waits_ms.select_nth_unstable(middle).1
    }
}

impl Default for LimitShares {
    fn default() -> Self {
        Self {
            on_time: 1.0,
            late: 1.0,
        }
    }
}

impl Default for WaitEstimatorSettings {
    fn default() -> Self {
        Self {
            samples: 12,
            sample_age_max_ms: 1_000,
            objective_share: 0.6,
            late_share: 0.5,
        }
    }
}
