//! The order in which requests that wait for tokens of one budget get them.
//!
//! Streams that are taken up again go first, then the more urgent requests. Among equally urgent ones,
//! those of the size goes first of which the fewest tokens were reserved lately, so that neither large
//! requests starve small ones nor small ones large ones.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The maximum number of requests that wait for tokens of one budget to be released.
pub const QUEUE_LENGTH_MAX: usize = 64;

/// The half-life of reserved tokens in the fair order.
const USAGE_HALF_LIFE_S: f64 = 3.0;

/// What a request wants of a budget, and how urgent it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenClaim {
    /// The maximum number of tokens that the request can cost.
    pub tokens: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request goes on with a stream of which its caller has a part.
    pub takes_up_stream: bool,
    /// How long the request waits at most until other requests release tokens, in milliseconds.
    pub wait_max_ms: u64,
}

/// Identifies a waiting request of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What goes before a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ahead {
    /// The number of requests.
    pub requests: usize,
    /// The tokens that they need.
    pub tokens: u64,
    /// Those of them that are needed by requests that are held, for which tokens are collected.
    pub held_tokens: u64,
}

/// The requests that wait for tokens of one budget.
#[derive(Debug, Default)]
pub struct TokenQueue {
    /// In the order of their arrival.
    waiters: Vec<Waiter>,
    last_ticket: u64,
    /// The tokens reserved lately, by size class.
    usage: BTreeMap<u32, f64>,
    /// When `usage` was last decayed.
    decayed_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Waiter {
    ticket: Ticket,
    claim: TokenClaim,
    since: Instant,
    /// Whether the request waits for tokens that others release, not for a draw.
    is_held: bool,
}

/// The place of a waiting request; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    begins_stream: bool,
    priority: u8,
    /// The tokens of the request's size class that were reserved lately or go before it.
    class_tokens: u64,
    ticket: Ticket,
}

impl From<u64> for TokenClaim {
    /// Returns the claim of a request of which only the size is known: the least urgent one.
    fn from(tokens: u64) -> Self {
        Self {
            tokens,
            priority: u8::MAX,
            takes_up_stream: false,
            wait_max_ms: 0,
        }
    }
}

impl TokenQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the tokens that the waiting requests need.
    pub fn tokens(&self) -> u64 {
        self.waiters.iter().map(|waiter| waiter.claim.tokens).sum()
    }

    /// Returns the tokens that those requests need that take up streams.
    pub fn take_up_tokens(&self) -> u64 {
        let claims = self.waiters.iter().map(|waiter| waiter.claim);
        let take_ups = claims.filter(|claim| claim.takes_up_stream);
        take_ups.map(|claim| claim.tokens).sum()
    }

    /// Returns whether a request waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiters.iter().any(|waiter| waiter.ticket == ticket)
    }

    /// Adds a request.
    pub fn push(&mut self, claim: TokenClaim, now: Instant) -> Ticket {
        let waiter = self.next_waiter(claim, now);
        self.last_ticket += 1;
        self.waiters.push(waiter);
        waiter.ticket
    }

    /// Removes a request that leaves the queue and returns whether it waited.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let length = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        self.waiters.len() < length
    }

    /// Makes a request wait until others release tokens.
    ///
    /// If more than [`QUEUE_LENGTH_MAX`] do, the last of them is removed, and `true` is returned.
    pub fn hold(&mut self, ticket: Ticket, now: Instant) -> bool {
        let mut held_count = 0;
        for waiter in &mut self.waiters {
            waiter.is_held |= waiter.ticket == ticket;
            held_count += usize::from(waiter.is_held);
        }
        if held_count <= QUEUE_LENGTH_MAX {
            return false;
        }
        let order = self.order(None, now);
        let last = order.iter().rev().find(|(_, waiter)| waiter.is_held);
        let Some(ticket) = last.map(|(_, waiter)| waiter.ticket) else {
            return false;
        };
        self.remove(ticket)
    }

    /// Removes the requests that `available` tokens cover together, in their order.
    ///
    /// A request that is held is not overtaken: the tokens are collected for it. One that waits for a
    /// draw is, as the draw covers it.
    pub fn pop_covered(&mut self, available: u64, now: Instant) -> Vec<(Ticket, u64)> {
        let mut covered = Vec::new();
        let mut left = available;
        for (_, waiter) in self.order(None, now) {
            let Some(rest) = left.checked_sub(waiter.claim.tokens) else {
                if waiter.is_held {
                    break;
                }
                continue;
            };
            left = rest;
            covered.push((waiter.ticket, waiter.claim.tokens));
        }
        for &(ticket, tokens) in &covered {
            self.remove(ticket);
            self.count_reserved(tokens, now);
        }
        covered
    }

    /// Returns what goes before a waiting request.
    pub fn ahead_of(&self, ticket: Ticket, now: Instant) -> Ahead {
        self.ahead(None, ticket, now)
    }

    /// Returns what would go before a new request.
    pub fn ahead_of_new(&self, claim: TokenClaim, now: Instant) -> Ahead {
        if self.is_empty() {
            return Ahead::default();
        }
        let waiter = self.next_waiter(claim, now);
        self.ahead(Some(waiter), waiter.ticket, now)
    }

    /// Counts the tokens that a request reserved against later requests of its size.
    pub fn count_reserved(&mut self, tokens: u64, now: Instant) {
        let since = self.decayed_at.replace(now).unwrap_or(now);
        let age_s = now.saturating_duration_since(since).as_secs_f64();
        let factor = (-age_s / USAGE_HALF_LIFE_S).exp2();
        for usage in self.usage.values_mut() {
            *usage *= factor;
        }
        *self.usage.entry(size_class(tokens)).or_default() += tokens as f64;
    }

    fn next_waiter(&self, claim: TokenClaim, now: Instant) -> Waiter {
        Waiter {
            ticket: Ticket(self.last_ticket + 1),
            claim,
            since: now,
            is_held: false,
        }
    }

    fn ahead(&self, new: Option<Waiter>, ticket: Ticket, now: Instant) -> Ahead {
        let mut ahead = Ahead::default();
        for (place, waiter) in self.order(new, now) {
            if place.ticket == ticket {
                break;
            }
            ahead.requests += 1;
            ahead.tokens = ahead.tokens.saturating_add(waiter.claim.tokens);
            if waiter.is_held {
                ahead.held_tokens = ahead.held_tokens.saturating_add(waiter.claim.tokens);
            }
        }
        ahead
    }

    /// Returns the waiting requests, and perhaps a new one, in the order in which they get tokens.
    fn order(&self, new: Option<Waiter>, now: Instant) -> Vec<(Place, Waiter)> {
        let mut class_tokens = BTreeMap::new();
        let mut order = Vec::with_capacity(self.waiters.len() + 1);
        for waiter in self.waiters.iter().copied().chain(new) {
            let begins_stream = !waiter.claim.takes_up_stream;
            let priority = waiter.aged_priority(now);
            let class = size_class(waiter.claim.tokens);
            let usage = self.usage.get(&class).copied().unwrap_or_default();
            let tokens = class_tokens
                .entry((begins_stream, priority, class))
                .or_insert_with(|| mallowpath::floor_to_u64(usage));
            let place = Place {
                begins_stream,
                priority,
                class_tokens: *tokens,
                ticket: waiter.ticket,
            };
            *tokens = tokens.saturating_add(waiter.claim.tokens);
            order.push((place, waiter));
        }
        order.sort_unstable_by_key(|&(place, _)| place);
        order
    }
}

impl Waiter {
    /// Returns the priority, one more urgent after half of the longest wait.
    fn aged_priority(&self, now: Instant) -> u8 {
        let wait_max = Duration::from_millis(self.claim.wait_max_ms);
        let is_old = now.saturating_duration_since(self.since) >= wait_max / 2;
        if wait_max.is_zero() || !is_old {
            return self.claim.priority;
        }
        self.claim.priority.saturating_sub(1)
    }
}

/// Returns the class of requests that need about as many tokens, within a factor of 2.
pub(super) fn size_class(tokens: u64) -> u32 {
    u64::BITS - tokens.leading_zeros()
}
