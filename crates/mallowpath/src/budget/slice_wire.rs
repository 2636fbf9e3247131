//! Conversions between slice messages and their protobuf form.

use crate::{
    budget::slice::{Slice, SliceAnswer, SliceReply, SliceRequest, SliceReturn},
    id::{GrantId, Incarnation, Tokens},
    peer::wire::{self, SliceAnswerKind, SliceMessage},
};
use std::collections::BTreeSet;

impl From<Slice> for SliceMessage {
    fn from(slice: Slice) -> Self {
        Self {
            id: slice.id.into(),
            grant: slice.grant.into(),
            tokens: slice.tokens.0,
        }
    }
}

impl From<SliceMessage> for Slice {
    fn from(slice: SliceMessage) -> Self {
        Self {
            id: slice.id.into(),
            grant: slice.grant.into(),
            tokens: Tokens(slice.tokens),
        }
    }
}

impl wire::Heartbeat {
    /// Returns the grants that the sender knows to be closed.
    pub(crate) fn closed(&self) -> BTreeSet<GrantId> {
        let mut closed = BTreeSet::new();
        for grant in &self.closed_grants {
            closed.insert((*grant).into());
        }
        closed
    }
}

impl From<&SliceRequest> for wire::SliceRequest {
    fn from(request: &SliceRequest) -> Self {
        Self {
            router: request.router.0,
            number: request.number,
            budget: request.budget.to_string(),
            needed_tokens: request.needed.0,
            expected_tokens: request.expected.0,
            reservation_tokens: request.reservation.0,
        }
    }
}

impl wire::SliceRequest {
    /// Decodes the request; returns `None` when the name of the budget is invalid.
    pub(crate) fn read(&self) -> Option<SliceRequest> {
        Some(SliceRequest {
            router: Incarnation(self.router),
            number: self.number,
            budget: self.budget.parse().ok()?,
            needed: Tokens(self.needed_tokens),
            expected: Tokens(self.expected_tokens),
            reservation: Tokens(self.reservation_tokens),
        })
    }
}

impl wire::SliceReply {
    /// Encodes a keeper's reply.
    pub(crate) fn new(keeper: Incarnation, reply: &SliceReply) -> Self {
        let mut message = Self {
            number: reply.number,
            oldest_open_grant: reply.oldest_open_grant,
            unspent_tokens: reply.unspent.0,
            keeper: keeper.0,
            ..Self::default()
        };
        let kind = match &reply.answer {
            SliceAnswer::Granted(slices) => {
                for slice in slices {
                    message.slices.push((*slice).into());
                }
                SliceAnswerKind::Granted
            }
            SliceAnswer::Short { retry_after_ms } => {
                message.retry_after_ms = *retry_after_ms;
                SliceAnswerKind::Short
            }
            SliceAnswer::Exhausted => SliceAnswerKind::Exhausted,
            SliceAnswer::UnknownBudget => SliceAnswerKind::UnknownBudget,
            SliceAnswer::Stale => SliceAnswerKind::Stale,
        };
        message.set_kind(kind);
        message
    }

    /// Decodes the reply.
    pub(crate) fn read(&self) -> SliceReply {
        let answer = match self.kind() {
            SliceAnswerKind::Granted => {
                SliceAnswer::Granted(self.slices.iter().map(|slice| (*slice).into()).collect())
            }
            SliceAnswerKind::Short => SliceAnswer::Short {
                retry_after_ms: self.retry_after_ms,
            },
            SliceAnswerKind::Exhausted => SliceAnswer::Exhausted,
            SliceAnswerKind::UnknownBudget => SliceAnswer::UnknownBudget,
            SliceAnswerKind::Stale => SliceAnswer::Stale,
        };
        SliceReply {
            number: self.number,
            oldest_open_grant: self.oldest_open_grant,
            unspent: Tokens(self.unspent_tokens),
            answer,
        }
    }
}

impl From<&SliceReturn> for wire::SliceReturn {
    fn from(returned: &SliceReturn) -> Self {
        Self {
            budget: returned.budget.to_string(),
            slice: returned.slice.into(),
            unspent_tokens: returned.unspent.0,
        }
    }
}

impl wire::SliceReturn {
    /// Decodes the returned slice; returns `None` when the name of the budget is invalid.
    pub(crate) fn read(&self) -> Option<SliceReturn> {
        Some(SliceReturn {
            budget: self.budget.parse().ok()?,
            slice: self.slice.into(),
            unspent: Tokens(self.unspent_tokens),
        })
    }
}
