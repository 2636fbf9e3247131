//! The grants, slices and answers of a keeper for one budget.

use crate::{
    BudgetId, GrantId, Incarnation, KeeperSettings, Offset, SliceId, Tokens,
    budget::rate_meter::RateMeter,
    budget::slice::{Slice, SliceAnswer, SliceRequest},
};
use std::collections::BTreeMap;

/// The state of a keeper for one budget.
#[derive(Debug)]
pub(crate) struct KeeperAccount {
    /// The grants by sequence number.
    pub(crate) grants: BTreeMap<u64, HeldGrant>,
    /// The sequence number of the draw that wasn't read back yet.
    pub(crate) draw: Option<u64>,
    /// The last answer to each router.
    pub(crate) stored_answers: BTreeMap<Incarnation, StoredAnswer>,
    pub(crate) rate: RateMeter,
    pub(crate) last_used_ms: u64,
}

/// A grant of this keeper.
#[derive(Debug)]
pub(crate) struct HeldGrant {
    /// The tokens that are in no open slice.
    pub(crate) free: Tokens,
    /// The open slices by sequence number.
    pub(crate) open_slices: BTreeMap<u64, OpenSlice>,
    /// Whether the record that returns the grant was queued.
    pub(crate) closing: bool,
}

/// A slice that a router holds.
#[derive(Debug)]
pub(crate) struct OpenSlice {
    pub(crate) router: Incarnation,
    pub(crate) tokens: Tokens,
    /// The offset up to which the keeper had read `members`; members that left before it can't have
    /// spent tokens of the slice.
    pub(crate) members_seen: Offset,
}

/// The answer to the latest request of a router.
#[derive(Debug)]
pub(crate) struct StoredAnswer {
    pub(crate) number: u64,
    pub(crate) answer: SliceAnswer,
}

pub(crate) fn account_mut<'a>(
    accounts: &'a mut BTreeMap<BudgetId, KeeperAccount>,
    settings: &KeeperSettings,
    budget: &BudgetId,
    now_ms: u64,
) -> &'a mut KeeperAccount {
    accounts
        .entry(budget.clone())
        .or_insert_with(|| KeeperAccount {
            grants: BTreeMap::new(),
            draw: None,
            stored_answers: BTreeMap::new(),
            rate: RateMeter::new(settings.horizon_ms, now_ms),
            last_used_ms: now_ms,
        })
}

impl KeeperAccount {
    pub(crate) fn free(&self) -> Tokens {
        let mut free = Tokens::ZERO;
        for grant in self.grants.values() {
            free = free.saturating_add(grant.free);
        }
        free
    }

    /// Opens slices of `tokens` in total for the requesting router, from the oldest grants, so that
    /// these close first.
    pub(crate) fn allocate_slices(
        &mut self,
        request: &SliceRequest,
        tokens: Tokens,
        incarnation: Incarnation,
        members_seen: Offset,
        last_slice: &mut u64,
    ) -> Vec<Slice> {
        let mut slices = Vec::new();
        let mut rest = tokens;
        for (sequence, grant) in &mut self.grants {
            let part = grant.free.min(rest);
            if part == Tokens::ZERO {
                continue;
            }
            rest = rest.saturating_sub(part);
            grant.free = grant.free.saturating_sub(part);
            *last_slice += 1;
            grant.open_slices.insert(
                *last_slice,
                OpenSlice {
                    router: request.router,
                    tokens: part,
                    members_seen,
                },
            );
            let id = SliceId {
                incarnation,
                sequence: *last_slice,
            };
            let grant = GrantId {
                incarnation,
                sequence: *sequence,
            };
            slices.push(Slice {
                id,
                grant,
                tokens: part,
            });
        }
        slices
    }
}
