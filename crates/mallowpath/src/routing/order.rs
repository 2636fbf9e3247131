//! The right to send orders to a backend server, and the sidecar's check of that right.
//!
//! Each order carries a fencing token, derived from the offset of the sender's claim in the
//! `orders` stream. The sidecar rejects an order whose token has been superseded.

use crate::{BackendId, ClaimVerdict, Incarnation, Offset};
use std::collections::BTreeMap;

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
    pub previous_fence: u64,
}

/// The current right to send orders to a backend server, as stored in a checkpoint.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrderRightRecord {
    /// The name of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// The process that may send orders.
    #[prost(fixed64, tag = "2")]
    pub author: u64,
    /// Its fencing token.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// A checkpoint of the `orders` stream: the state after all records before `next_offset`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrdersCheckpoint {
    /// The first offset that the state does not cover.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// The current rights for all backend servers.
    #[prost(message, repeated, tag = "2")]
    pub rights: Vec<OrderRightRecord>,
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
pub struct OrderRight {
    /// The fencing token: one more than the offset of the claim.
    pub fence: u64,
    /// The process that may send orders.
    pub author: Incarnation,
}

/// The replayed state of the `orders` stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Orders {
    next: Offset,
    rights: BTreeMap<BackendId, OrderRight>,
}

impl Orders {
    /// Restores the state from a checkpoint; the next record to apply is at its `next_offset`.
    pub fn from_checkpoint(checkpoint: &OrdersCheckpoint) -> Self {
        let mut orders = Self {
            next: Offset(checkpoint.next_offset),
            ..Self::default()
        };
        for record in &checkpoint.rights {
            let Ok(backend) = record.backend.parse() else {
                continue;
            };
            let author = Incarnation(record.author);
            orders.rights.insert(
                backend,
                OrderRight {
                    fence: record.fence,
                    author,
                },
            );
        }
        orders
    }

    /// Returns a checkpoint of the records applied so far.
    pub fn checkpoint(&self) -> OrdersCheckpoint {
        let mut rights = Vec::with_capacity(self.rights.len());
        for (backend, right) in &self.rights {
            rights.push(OrderRightRecord {
                backend: backend.to_string(),
                author: right.author.0,
                fence: right.fence,
            });
        }
        OrdersCheckpoint {
            next_offset: self.next.0,
            rights,
        }
    }

    /// Applies the record at an offset if it is valid, and returns the verdict.
    pub fn apply(&mut self, offset: Offset, record: &OrdersRecord) -> ClaimVerdict {
        if offset < self.next {
            return ClaimVerdict::Void;
        }
        if offset > self.next {
            return ClaimVerdict::Behind;
        }
        let fence = offset.0 + 1;
        self.next = Offset(fence);
        let Some(OrdersChange::Claim(claim)) = &record.change else {
            return ClaimVerdict::Void;
        };
        let Ok(backend) = claim.backend.parse() else {
            return ClaimVerdict::Void;
        };
        let current = self.rights.get(&backend).map_or(0, |right| right.fence);
        if claim.previous_fence != current {
            return ClaimVerdict::Void;
        }
        let author = Incarnation(claim.author);
        self.rights.insert(backend, OrderRight { fence, author });
        ClaimVerdict::Valid
    }

    /// Returns the current right to send orders to a backend server.
    pub fn right(&self, backend: &BackendId) -> Option<OrderRight> {
        self.rights.get(backend).copied()
    }
}

/// Settings of an [`OrderGate`].
#[derive(Debug, Clone, Copy)]
pub struct OrderSettings {
    /// Whether the backend server itself rejects orders with an older fencing token.
    pub server_checks_fences: bool,
    /// The time without an outcome after which the state of the backend server counts as unknown.
    pub timeout_ms: u64,
}

/// The decision of an [`OrderGate`] about an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is to be forwarded; its outcome is reported with this ticket.
    Send {
        /// Identifies the order within this gate.
        ticket: u64,
    },
    /// The sender's right has been superseded.
    TooOld {
        /// The highest fencing token seen.
        highest_fence: u64,
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
pub struct OrderGate {
    settings: OrderSettings,
    highest_fence: u64,
    last_ticket: u64,
    in_flight: Option<InFlightOrder>,
}

#[derive(Debug, Clone, Copy)]
struct InFlightOrder {
    ticket: u64,
    fence: u64,
    sent_ms: u64,
}

impl OrderGate {
    /// Makes the gate of a sidecar that has just started.
    ///
    /// `highest_fence` is the newest fencing token in the replayed stream. An order that an earlier
    /// sidecar process forwarded may still take effect, so a backend server that does not check
    /// fencing tokens gets no order before [`state_known`](Self::state_known).
    pub fn new(settings: OrderSettings, highest_fence: u64) -> Self {
        let unresolved = InFlightOrder {
            ticket: 0,
            fence: 0,
            sent_ms: 0,
        };
        let in_flight = if settings.server_checks_fences {
            None
        } else {
            Some(unresolved)
        };
        Self {
            settings,
            highest_fence,
            last_ticket: 0,
            in_flight,
        }
    }

    /// Decides whether to forward an order with the fencing token `fence`.
    ///
    /// A higher token supersedes the older ones at once, even if its first order has to wait. A
    /// backend server that checks fencing tokens gets this order while an older one is in flight,
    /// as it then rejects the older one itself.
    pub fn order(&mut self, fence: u64, now_ms: u64) -> OrderAnswer {
        if fence < self.highest_fence {
            return OrderAnswer::TooOld {
                highest_fence: self.highest_fence,
            };
        }
        self.highest_fence = fence;
        if let Some(in_flight) = self.in_flight {
            let superseded = self.settings.server_checks_fences && in_flight.fence < fence;
            if !superseded {
                return self.answer_while_in_flight(in_flight, now_ms);
            }
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.in_flight = Some(InFlightOrder {
            ticket,
            fence,
            sent_ms: now_ms,
        });
        OrderAnswer::Send { ticket }
    }

    /// Records the outcome of an order; returns whether it was the one in flight.
    pub fn outcome(&mut self, ticket: u64) -> bool {
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
    pub fn state_known(&mut self) {
        self.in_flight = None;
    }

    fn answer_while_in_flight(&self, in_flight: InFlightOrder, now_ms: u64) -> OrderAnswer {
        if self.is_overdue(in_flight, now_ms) {
            OrderAnswer::StateUnknown
        } else {
            OrderAnswer::Busy
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
