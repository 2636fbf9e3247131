//! How long requests of a service wait until their answers begin, and which are still worth taking.
//!
//! This answers bursts beyond what all backend servers of a service can do together: their queues
//! grow alike, and soon every answer begins too late. Two estimates have to agree on such a queue:
//!
//! * By Little's law a new request waits for as many as wait now, divided by the rate at which
//!   answers begin. This shows a burst at once and ends with it, but requests at servers that have
//!   fallen silent count as well.
//! * The median wait of the answers that began last. Silent servers have none, but it shows a burst
//!   only after that wait.

use std::collections::VecDeque;

/// The settings of [`Waits`].
#[derive(Debug, Clone)]
pub struct WaitSettings {
    /// How many answers have to have begun lately for an estimate.
    pub samples: usize,
    /// How long ago they may have begun.
    pub sample_age_max_ms: u64,
    /// The part of its objective that a request may wait behind others; the rest is for its own
    /// prompt.
    pub objective_share: f64,
    /// The part of the time left that a request may wait when it can't meet its objective any more.
    pub late_share: f64,
}

/// The waits of one service's requests at one router.
#[derive(Debug)]
pub struct Waits {
    settings: WaitSettings,
    /// Requests that were sent and whose answers have not begun.
    waiting: u64,
    /// The answers that began last, in order.
    begun: VecDeque<Begun>,
}

/// The beginning of an answer.
#[derive(Debug, Clone, Copy)]
struct Begun {
    at_ms: u64,
    wait_ms: u64,
}

/// The times of a request that decide whether it is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimes {
    /// Within what time its answer should begin; 0 where that does not matter.
    pub objective_ms: u64,
    /// How much of the time for it was over when it came; that of one refused before is shorter.
    pub elapsed_ms: u64,
    /// How long its caller still waits.
    pub left_ms: u64,
}

/// A request would wait too long behind others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overload {
    /// The wait that is expected, without the request's own work.
    pub expected_ms: u64,
}

impl Waits {
    /// Makes the waits of a service without requests.
    pub fn new(settings: WaitSettings) -> Self {
        Self {
            settings,
            waiting: 0,
            begun: VecDeque::new(),
        }
    }

    /// Counts a request that was sent to a backend server.
    pub fn sent(&mut self) {
        self.waiting += 1;
    }

    /// Counts the beginning of an answer that was waited for.
    pub fn begun(&mut self, wait_ms: u64, now_ms: u64) {
        self.ended();
        self.begun.push_back(Begun {
            at_ms: now_ms,
            wait_ms,
        });
        if self.begun.len() > self.settings.samples {
            self.begun.pop_front();
        }
    }

    /// Counts the end of a request whose answer has not begun.
    pub fn ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Decides whether a request is worth taking.
    ///
    /// One that was refused before, as its time shows, is taken unless it would hardly be served at
    /// all: it is late anyway, and a second refusal would be its end.
    ///
    /// # Errors
    ///
    /// Fails when it would wait too long.
    pub fn admit(&self, times: RequestTimes, now_ms: u64) -> Result<(), Overload> {
        if times.objective_ms == 0 {
            return Ok(());
        }
        let expected_ms = self.expected_ms(now_ms);
        let on_time_ms = times.objective_ms as f64 * self.settings.objective_share;
        let limit_ms = if times.elapsed_ms as f64 > on_time_ms {
            times.left_ms as f64 * self.settings.late_share
        } else {
            on_time_ms
        };
        if expected_ms as f64 > limit_ms {
            return Err(Overload { expected_ms });
        }
        Ok(())
    }

    /// Returns how long a request that is sent now will wait; 0 while too little is known.
    fn expected_ms(&self, now_ms: u64) -> u64 {
        let Some(oldest) = self.begun.front() else {
            return 0;
        };
        let span_ms = now_ms.saturating_sub(oldest.at_ms);
        if self.begun.len() < self.settings.samples || span_ms > self.settings.sample_age_max_ms {
            return 0;
        }
        let samples = u64::try_from(self.begun.len()).unwrap_or(u64::MAX);
        let by_queue_ms = self.waiting.saturating_mul(span_ms) / samples;
        by_queue_ms.min(self.median_ms())
    }

    fn median_ms(&self) -> u64 {
        let mut waits_ms: Vec<u64> = self.begun.iter().map(|begun| begun.wait_ms).collect();
        let middle = waits_ms.len() / 2;
        *waits_ms.select_nth_unstable(middle).1
    }
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            samples: 12,
            sample_age_max_ms: 1_000,
            objective_share: 0.6,
            late_share: 0.5,
        }
    }
}
