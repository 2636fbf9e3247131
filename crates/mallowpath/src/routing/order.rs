//! The right to send orders to a backend server, and the sidecar's check of that right.
//!
//! Each order carries a fencing token, derived from the offset of the sender's claim in the
//! `orders` stream. The sidecar rejects an order whose token has been superseded.

use crate::{ApplyOutcome, BackendId, Incarnation, Offset};
use std::collections::BTreeMap;

/// The default of [`OrderSettings::timeout_ms`].
const DEFAULT_TIMEOUT_MS: u64 = 60 * 1000;

/// A claim of the right to send orders to a backend server.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrderClaim {
    /// The name of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// The process that claims the right.
    #[prost(fixed64, tag = "2")]
    pub author: u64,
    /// The fencing token that the claim supersedes, 0 for none.
    ///
    /// Of two concurrent claims, the first in the stream is valid.
    #[prost(uint64, tag = "3")]
    pub previous_fencing_token: u64,
}

/// The current right to send orders to a backend server, as stored in a checkpoint.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrderGrantRecord {
    /// The name of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// The process that may send orders.
    #[prost(fixed64, tag = "2")]
    pub author: u64,
    /// Its fencing token.
    #[prost(uint64, tag = "3")]
    pub fencing_token: u64,
}

/// A checkpoint of the `orders` stream: the state after all records before `next_offset`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrdersCheckpoint {
    /// The first offset that the state does not cover.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// The current rights for all backend servers.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<OrderGrantRecord>,
}

/// A record of the `orders` stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrdersRecord {
    /// The content of the record.
    #[prost(oneof = "OrdersChange", tags = "1, 2")]
    pub change: Option<OrdersChange>,
}

/// The content of a record of the `orders` stream.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum OrdersChange {
    /// A process claims a right.
    #[prost(message, tag = "1")]
    Claim(OrderClaim),
    /// A checkpoint of the rights.
    #[prost(message, tag = "2")]
    Checkpoint(OrdersCheckpoint),
}

/// The right to send orders to a backend server, from its newest valid claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGrant {
    /// The fencing token: one more than the offset of the claim.
    pub fencing_token: u64,
    /// The process that may send orders.
    pub author: Incarnation,
}

/// The replayed state of the `orders` stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderRights {
    next: Offset,
    grants: BTreeMap<BackendId, OrderGrant>,
}

impl OrderRights {
    /// Restores the state from a checkpoint; the next record to apply is at its `next_offset`.
    pub fn from_checkpoint(checkpoint: &OrdersCheckpoint) -> Self {
        let mut orders = Self {
            next: Offset(checkpoint.next_offset),
            ..Self::default()
        };
        for record in &checkpoint.grants {
            let Ok(backend) = record.backend.parse() else {
                continue;
            };
            let author = Incarnation(record.author);
            orders.grants.insert(
                backend,
                OrderGrant {
                    fencing_token: record.fencing_token,
                    author,
                },
            );
        }
        orders
    }

    /// Returns a checkpoint of the records applied so far.
    pub fn checkpoint(&self) -> OrdersCheckpoint {
        let mut grants = Vec::with_capacity(self.grants.len());
        for (backend, grant) in &self.grants {
            grants.push(OrderGrantRecord {
                backend: backend.to_string(),
                author: grant.author.0,
                fencing_token: grant.fencing_token,
            });
        }
        OrdersCheckpoint {
            next_offset: self.next.0,
            grants,
        }
    }

    /// Applies the record at an offset if it is valid, and returns the outcome.
    pub fn apply(&mut self, offset: Offset, record: &OrdersRecord) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Void;
        }
        if offset > self.next {
            return ApplyOutcome::NotYetApplicable;
        }
        let fencing_token = offset.0 + 1;
        self.next = Offset(fencing_token);
        let Some(OrdersChange::Claim(claim)) = &record.change else {
            return ApplyOutcome::Void;
        };
        let Ok(backend) = claim.backend.parse() else {
            return ApplyOutcome::Void;
        };
        let current = self
            .grants
            .get(&backend)
            .map_or(0, |grant| grant.fencing_token);
        if claim.previous_fencing_token != current {
            return ApplyOutcome::Void;
        }
        let author = Incarnation(claim.author);
        self.grants.insert(
            backend,
            OrderGrant {
                fencing_token,
                author,
            },
        );
        ApplyOutcome::Valid
    }

    /// Returns the current right to send orders to a backend server.
    pub fn grant(&self, backend: &BackendId) -> Option<OrderGrant> {
        self.grants.get(backend).copied()
    }
}

/// Settings of an [`OrderFence`].
#[derive(Debug, Clone, Copy)]
pub struct OrderSettings {
    /// Whether the backend server itself rejects orders with an older fencing token.
    pub server_checks_fences: bool,
    /// The time without an outcome after which the state of the backend server counts as unknown.
    pub timeout_ms: u64,
}

/// The decision of an [`OrderFence`] about an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderDecision {
    /// The order is to be forwarded; its outcome is reported with this ticket.
    Send {
        /// Identifies the order within this fence.
        ticket: u64,
    },
    /// The sender's right has been superseded.
    TooOld {
        /// The highest fencing token seen.
        highest_fencing_token: u64,
    },
    /// Another order is in flight; its outcome has to be known first.
    Busy,
    /// The order in flight has timed out, so the state of the backend server is not known.
    StateUnknown,
}

/// The check that every order to a backend server passes in its sidecar.
///
/// It rejects orders with a superseded fencing token and forwards one order at a time.
#[derive(Debug)]
pub struct OrderFence {
    settings: OrderSettings,
    highest_fencing_token: u64,
    last_ticket: u64,
    in_flight: Option<InFlightOrder>,
}

#[derive(Debug, Clone, Copy)]
struct InFlightOrder {
    ticket: u64,
    fencing_token: u64,
    sent_ms: u64,
}

impl OrderFence {
    /// Makes the fence of a sidecar that has just started.
    ///
    /// `highest_fencing_token` is the newest fencing token in the replayed stream. An order that
    /// an earlier sidecar process forwarded may still take effect, so a backend server that does
    /// not check fencing tokens gets no order before
    /// [`mark_state_known`](Self::mark_state_known).
    pub fn new(settings: OrderSettings, highest_fencing_token: u64) -> Self {
        let unresolved = InFlightOrder {
            ticket: 0,
            fencing_token: 0,
            sent_ms: 0,
        };
        let in_flight = if settings.server_checks_fences {
            None
        } else {
            Some(unresolved)
        };
        Self {
            settings,
            highest_fencing_token,
            last_ticket: 0,
            in_flight,
        }
    }

    /// Decides whether to forward an order with the given fencing token.
    ///
    /// A higher token supersedes the older ones at once, even if its first order has to wait. A
    /// backend server that checks fencing tokens gets this order while an older one is in flight,
    /// as it then rejects the older one itself.
    pub fn admit(&mut self, fencing_token: u64, now_ms: u64) -> OrderDecision {
        if fencing_token < self.highest_fencing_token {
            return OrderDecision::TooOld {
                highest_fencing_token: self.highest_fencing_token,
            };
        }
        self.highest_fencing_token = fencing_token;
        if let Some(in_flight) = self.in_flight {
            let superseded =
                self.settings.server_checks_fences && in_flight.fencing_token < fencing_token;
            if !superseded {
                return self.decide_while_in_flight(in_flight, now_ms);
            }
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.in_flight = Some(InFlightOrder {
            ticket,
            fencing_token,
            sent_ms: now_ms,
        });
        OrderDecision::Send { ticket }
    }

    /// Records the outcome of an order; returns whether it was the one in flight.
    pub fn record_outcome(&mut self, ticket: u64) -> bool {
        let current = self
            .in_flight
            .is_some_and(|in_flight| in_flight.ticket == ticket);
        if current {
            self.in_flight = None;
        }
        current
    }

    /// Returns whether the state of the backend server is unknown.
    pub fn is_state_unknown(&self, now_ms: u64) -> bool {
        self.in_flight
            .is_some_and(|in_flight| self.is_overdue(in_flight, now_ms))
    }

    /// Records that the backend server runs no order, as its restart or its state has shown.
    pub fn mark_state_known(&mut self) {
        self.in_flight = None;
    }

    fn decide_while_in_flight(&self, in_flight: InFlightOrder, now_ms: u64) -> OrderDecision {
        if self.is_overdue(in_flight, now_ms) {
            OrderDecision::StateUnknown
        } else {
            OrderDecision::Busy
        }
    }

    /// Returns whether an order has timed out.
    ///
    /// The order of an earlier sidecar process, which has ticket 0, counts as timed out at once.
    fn is_overdue(&self, in_flight: InFlightOrder, now_ms: u64) -> bool {
        in_flight.ticket == 0
            || in_flight.sent_ms.saturating_add(self.settings.timeout_ms) <= now_ms
    }
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            server_checks_fences: false,
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }
}

impl From<OrdersChange> for OrdersRecord {
    fn from(change: OrdersChange) -> Self {
        Self {
            change: Some(change),
        }
    }
}
