//! The cost of one request, under the request's identifier, by which copies are deduplicated.

use crate::{
    BudgetId, GrantId, Incarnation, RecordId, RequestId, SliceId, SlicePart, Tokens, WorkspaceId,
};

/// How a billed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum BillOutcome {
    /// The caller's answer was complete.
    Complete = 0,
    /// The answer reached the output limit of the reservation and was truncated there.
    Capped = 1,
    /// A fault interrupted the answer; the tokens produced before it are billed.
    Cut = 2,
    /// The caller disconnected; the tokens produced until then are billed.
    Cancelled = 3,
}

/// The cost of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bill {
    /// The request; at most one bill counts for each identifier.
    pub request: RequestId,
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The tokens spent of each slice; their sum is the amount of the bill.
    pub parts: Vec<SlicePart>,
    /// The tokens of the prompt, as the backend server counted them.
    pub prompt_tokens: Tokens,
    /// The tokens of the answer, as the backend server counted them.
    pub completion_tokens: Tokens,
    /// How the request ended.
    pub outcome: BillOutcome,
}

/// A record of a bill stream: the bills of one append; a second copy has no effect.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BillBatch {
    /// The incarnation of the router that appends the batch.
    #[prost(fixed64, tag = "1")]
    pub author: u64,
    /// The sequence number of the batch among those of its author, starting at 1.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Each of the author's own requests with a lower sequence number has its bill in the log or
    /// will never have one.
    #[prost(uint64, tag = "3")]
    pub logged_below: u64,
    /// Bills of the author's own requests, and bills that it adopted from other routers.
    #[prost(message, repeated, tag = "4")]
    pub bills: Vec<BillRecord>,
}

/// The wire format of a [`Bill`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct BillRecord {
    /// The request.
    #[prost(message, required, tag = "1")]
    pub request: RecordId,
    /// The name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The name of the budget.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// The tokens spent of each slice.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<PartRecord>,
    /// The tokens of the prompt.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// The tokens of the answer.
    #[prost(uint64, tag = "6")]
    pub completion_tokens: u64,
    /// How the request ended.
    #[prost(enumeration = "BillOutcome", tag = "7")]
    pub outcome: i32,
}

/// The wire format of a [`SlicePart`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartRecord {
    /// The slice.
    #[prost(message, required, tag = "1")]
    pub slice: RecordId,
    /// The grant that the slice is part of.
    #[prost(message, required, tag = "2")]
    pub grant: RecordId,
    /// The tokens spent of the slice.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Allocates a cost to reserved parts, in their order; cost beyond the reservation is dropped.
pub fn allocate_cost(reserved: &[SlicePart], cost: Tokens) -> Vec<SlicePart> {
    let mut remaining = cost;
    let mut allocated = Vec::new();
    for part in reserved {
        let tokens = part.tokens.min(remaining);
        if tokens == Tokens::ZERO {
            continue;
        }
        remaining = remaining.saturating_sub(tokens);
        allocated.push(SlicePart { tokens, ..*part });
    }
    allocated
}

/// Returns the total tokens of the parts.
pub fn sum_parts(parts: &[SlicePart]) -> Tokens {
    let mut sum = Tokens::ZERO;
    for part in parts {
        sum = sum.saturating_add(part.tokens);
    }
    sum
}

impl Bill {
    /// Reduces the parts, which hold the reserved tokens, to the cost of the request.
    #[must_use]
    pub fn charged(self) -> Self {
        let cost = self.prompt_tokens.saturating_add(self.completion_tokens);
        let parts = allocate_cost(&self.parts, cost);
        Self { parts, ..self }
    }

    /// Returns the tokens billed.
    pub fn amount(&self) -> Tokens {
        sum_parts(&self.parts)
    }

    /// Encodes the bill as a record.
    pub fn to_record(&self) -> BillRecord {
        let mut parts = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            parts.push(PartRecord {
                slice: part.slice.into(),
                grant: part.grant.into(),
                tokens: part.tokens.0,
            });
        }
        BillRecord {
            request: self.request.into(),
            workspace: self.workspace.to_string(),
            budget: self.budget.to_string(),
            parts,
            prompt_tokens: self.prompt_tokens.0,
            completion_tokens: self.completion_tokens.0,
            outcome: self.outcome.into(),
        }
    }

    /// Decodes a bill, or returns `None` if a name or the outcome in the record is invalid.
    pub fn from_record(record: &BillRecord) -> Option<Self> {
        let mut parts = Vec::with_capacity(record.parts.len());
        for part in &record.parts {
            let incarnation = Incarnation(part.slice.incarnation);
            parts.push(SlicePart {
                slice: SliceId {
                    incarnation,
                    sequence: part.slice.sequence,
                },
                grant: GrantId::from(part.grant),
                tokens: Tokens(part.tokens),
            });
        }
        let incarnation = Incarnation(record.request.incarnation);
        Some(Self {
            request: RequestId {
                incarnation,
                sequence: record.request.sequence,
            },
            workspace: record.workspace.parse().ok()?,
            budget: record.budget.parse().ok()?,
            parts,
            prompt_tokens: Tokens(record.prompt_tokens),
            completion_tokens: Tokens(record.completion_tokens),
            outcome: BillOutcome::try_from(record.outcome).ok()?,
        })
    }
}
