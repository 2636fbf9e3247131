//! A router's holding of one budget: who gets its tokens, who waits for them and for how long.

use super::{
    retry_schedule::RetrySchedule,
    return_forecast::{Forecast, ReturnForecast, RunId},
    token_queue::{Ahead, Ticket, TokenClaim, TokenQueue},
};
use std::{collections::HashMap, time::Instant};

/// The half-life of a request's weight in the measured demand.
const DEMAND_HALF_LIFE_S: f64 = 3.0;

/// A router's holding of one budget, in tokens.
#[derive(Debug)]
pub struct LocalBudget {
    pub(super) granted: u64,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    /// Tokens of the largest request that could not reserve them since the last draw.
    pub(super) largest_shortage: u64,
    /// Undrawn tokens that are left for requests that take up streams.
    pub(super) kept_tokens: u64,
    /// The requests that wait for tokens.
    pub(super) queue: TokenQueue,
    /// Requests that have waited and whose tokens are reserved, until they notice it.
    served: HashMap<Ticket, u64>,
    forecast: ReturnForecast,
    retries: RetrySchedule,
    /// Tokens of all requests, with weights that halve every [`DEMAND_HALF_LIFE_S`].
    pub(super) demand: f64,
    /// When `demand` was last decayed.
    decayed_at: Instant,
    /// The draw task is notified when the holding lasts for less than this at the current demand.
    pub(super) refill_below_s: f64,
}

/// What a waiting request has to wait for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// The requests that go before it.
    pub ahead: Ahead,
    /// Tokens that the router holds and that are neither spent nor reserved.
    pub available: u64,
    /// Tokens that must be returned or drawn before the request can be served.
    pub missing: u64,
}

impl LocalBudget {
    /// Returns a holding without tokens.
    pub fn new(now: Instant) -> Self {
        Self {
            granted: 0,
            spent: 0,
            reserved: 0,
            largest_shortage: 0,
            kept_tokens: 0,
            queue: TokenQueue::default(),
            served: HashMap::new(),
            forecast: ReturnForecast::default(),
            retries: RetrySchedule::default(),
            demand: 0.0,
            decayed_at: now,
            refill_below_s: 0.0,
        }
    }

    /// Returns the tokens that should be drawn for requests that lack them.
    pub fn shortage_tokens(&self) -> u64 {
        self.largest_shortage.max(self.queue.tokens())
    }

    /// Returns the tokens that are neither spent nor reserved.
    pub fn available(&self) -> u64 {
        self.granted.saturating_sub(self.spent + self.reserved)
    }

    /// Returns the tokens that running and served requests have reserved.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Returns the number of waiting requests.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Raises the tokens granted to the router in total, and returns whether waiting requests got some.
    pub fn raise_grant(&mut self, granted: u64, now: Instant) -> bool {
        self.granted = self.granted.max(granted);
        self.largest_shortage = 0;
        self.serve_waiting(now)
    }

    /// Returns whether tokens should be drawn in advance.
    pub fn is_low(&self) -> bool {
        (self.available() as f64) < self.tokens_per_s() * self.refill_below_s
    }

    /// Reserves tokens for a new request, unless those that go before it need them.
    pub fn reserve(&mut self, claim: TokenClaim, now: Instant) -> Option<RunId> {
        let ahead = self.queue.ahead_of_new(claim, now);
        if self.available() < claim.tokens.saturating_add(ahead.tokens) {
            self.largest_shortage = self.largest_shortage.max(claim.tokens);
            return None;
        }
        self.reserved += claim.tokens;
        self.queue.count_reserved(claim.tokens, now);
        Some(self.forecast.start(claim.tokens, now))
    }

    /// Adds a request to those that wait.
    pub fn wait(&mut self, claim: TokenClaim, now: Instant) -> Ticket {
        self.queue.push(claim, now)
    }

    /// Makes a request wait for tokens that others return; returns whether that pushed the last one out
    /// of a full queue.
    pub fn hold(&mut self, ticket: Ticket, now: Instant) -> bool {
        self.queue.hold(ticket, now)
    }

    /// Returns whether a request waits.
    pub fn is_queued(&self, ticket: Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Returns what a waiting request has to wait for.
    pub fn standing(&self, ticket: Ticket, claim: TokenClaim, now: Instant) -> Standing {
        let ahead = self.queue.ahead_of(ticket, now);
        let available = self.available();
        let needed = claim.tokens.saturating_add(ahead.tokens);
        Standing {
            ahead,
            available,
            missing: needed.saturating_sub(available),
        }
    }

    /// Forecasts when requests in progress will have returned `tokens`.
    pub fn forecast(&self, tokens: u64, now: Instant) -> Forecast {
        self.forecast.forecast(tokens, now)
    }

    /// Returns the delay after which the caller of a refused request should come back that lacks
    /// `missing` tokens, and counts the caller as expected.
    pub fn retry_after_ms(&mut self, claim: TokenClaim, missing: u64, now: Instant) -> u64 {
        self.retries
            .retry_after_ms(claim, missing, &self.forecast, now)
    }

    /// Reserves tokens for the waiting requests whose turn it is, and returns whether there are any.
    pub fn serve_waiting(&mut self, now: Instant) -> bool {
        if self.queue.is_empty() {
            return false;
        }
        let covered = self.queue.pop_covered(self.available(), now);
        let is_served = !covered.is_empty();
        for (ticket, tokens) in covered {
            self.reserved += tokens;
            self.served.insert(ticket, tokens);
        }
        is_served
    }

    /// Hands a request that has waited its reserved tokens.
    pub fn take_served(&mut self, ticket: Ticket, tokens: u64, now: Instant) -> Option<RunId> {
        if self.served.remove(&ticket).is_none() {
            self.largest_shortage = self.largest_shortage.max(tokens);
            return None;
        }
        Some(self.forecast.start(tokens, now))
    }

    /// Ends the wait of a request and releases tokens that it has not noticed.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        if let Some(tokens) = self.served.remove(&ticket) {
            self.reserved -= tokens;
        }
    }

    /// Ends a reservation and counts its spent tokens.
    pub fn settle(&mut self, run: RunId, reserved: u64, spent: u64, now: Instant) {
        self.reserved -= reserved;
        self.spent += spent;
        self.forecast.end(run, spent, now);
    }

    /// Returns the demand, in tokens per second.
    ///
    /// At a constant rate, `demand` converges to the rate times the half-life divided by ln 2.
    pub fn tokens_per_s(&self) -> f64 {
        self.demand * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }

    /// Decays the demand up to `now`.
    pub fn decay(&mut self, now: Instant) {
        let age_s = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        self.demand *= (-age_s / DEMAND_HALF_LIFE_S).exp2();
        self.decayed_at = now;
    }
}
