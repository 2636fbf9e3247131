//! The retry budget of a service and the backoff between attempts.

use crate::{rounding::ceil_to_u64, routing::rendezvous::unit_interval};

/// The settings of a [`RetryBudget`].
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Retries earned by each success; retries add at most this share to the load.
    pub ratio: f64,
    /// The maximum balance of the budget, in retries.
    pub burst: u32,
    /// The maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// The maximum backoff after the first attempt; it doubles with each attempt.
    pub backoff_ms: u64,
    /// The upper bound of the backoff after any attempt.
    pub max_backoff_ms: u64,
}

/// What is known about the execution of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It is known not to have run.
    NotRun,
    /// Whether it ran, or how far, is not known.
    Unknown,
    /// It ran and produced a response, which may itself be an error.
    Ran,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// What is known about its execution.
    pub outcome: AttemptOutcome,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The time after which a response is useless.
    pub deadline_ms: u64,
}

/// Why a failed attempt is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenied {
    /// It produced a response.
    Ran,
    /// It may have run, and the request must not run twice.
    MayHaveRun,
    /// The maximum number of attempts is reached.
    MaxAttempts,
    /// The backoff would end after the deadline.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
}

/// A retry budget, which successful requests of a service refill.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            balance: f64::from(settings.burst),
            settings,
        }
    }

    /// Credits the budget for a successful request.
    pub fn record_success(&mut self) {
        let burst = f64::from(self.settings.burst);
        self.balance = (self.balance + self.settings.ratio).min(burst);
    }

    /// Charges the budget for one retry and returns the backoff before it, in milliseconds.
    ///
    /// The backoff has full jitter: the uniform random number `draw` places it between zero and its
    /// maximum.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the request must not be retried; the budget is not charged then.
    pub fn charge_retry(
        &mut self,
        failed: &FailedAttempt,
        now_ms: u64,
        draw: u64,
    ) -> Result<u64, RetryDenied> {
        match failed.outcome {
            AttemptOutcome::Ran => return Err(RetryDenied::Ran),
            AttemptOutcome::Unknown if !failed.repeatable => return Err(RetryDenied::MayHaveRun),
            AttemptOutcome::Unknown | AttemptOutcome::NotRun => {}
        }
        if failed.attempts >= self.settings.max_attempts {
            return Err(RetryDenied::MaxAttempts);
        }
        let backoff_ms = self.backoff_ms(failed.attempts, draw);
        if now_ms + backoff_ms >= failed.deadline_ms {
            return Err(RetryDenied::Deadline);
        }
        if self.balance < 1.0 {
            return Err(RetryDenied::Budget);
        }
        self.balance -= 1.0;
        Ok(backoff_ms)
    }

    fn backoff_ms(&self, attempts: u32, draw: u64) -> u64 {
        let factor = 1_u64
            .checked_shl(attempts.saturating_sub(1))
            .unwrap_or(u64::MAX);
        let max_ms = self.settings.backoff_ms.saturating_mul(factor);
        ceil_to_u64(max_ms.min(self.settings.max_backoff_ms) as f64 * unit_interval(draw))
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 10,
            max_attempts: 3,
            backoff_ms: 50,
            max_backoff_ms: 2_000,
        }
    }
}
