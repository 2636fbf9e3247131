//! How many tokens of a budget are left for requests that take up streams.

use super::ledger::AccountLedger;
use mallowpath::{WorkspaceId, floor_to_u64};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after the start of a router within which callers come back whose streams broke off before.
const COME_BACK_TIME: Duration = Duration::from_secs(8);

/// Decides how many undrawn tokens of each budget new requests leave to those that take up streams.
///
/// A caller whose stream breaks off needs tokens for its prompt and the rest of the answer, when new
/// requests would have drawn what is left of the budget. As long as the tokens are undrawn, no end
/// of a router loses them.
#[derive(Debug, Default)]
pub struct TakeUpReserve {
    /// When this router started, and the tokens of each budget that routers held by then, if it is not
    /// its first start.
    restart: Option<(Instant, BTreeMap<WorkspaceId, u64>)>,
}

impl TakeUpReserve {
    /// Returns the reserve of a router that starts with the accounts of `ledger`; its own has the key
    /// `router`.
    pub fn new(ledger: &AccountLedger, router: &str, now: Instant) -> Self {
        let restart = ledger.account(router).map(|_| (now, ledger.unspent()));
        Self { restart }
    }

    /// Returns how many tokens of a budget of `prepaid` tokens are left, at most the share `share` of it.
    ///
    /// These are as many as requests in progress may still spend, whose tokens are `reserved`. After a
    /// restart, streams broke off for whose requests routers held tokens.
    pub fn kept_tokens(
        &self,
        workspace: &WorkspaceId,
        prepaid: u64,
        reserved: u64,
        share: f64,
        now: Instant,
    ) -> u64 {
        let broken_off = match &self.restart {
            Some((started_at, unspent))
                if now.saturating_duration_since(*started_at) < COME_BACK_TIME =>
            {
                unspent.get(workspace).copied().unwrap_or(0)
            }
            _ => 0,
        };
        let kept_max = floor_to_u64(prepaid as f64 * share);
        reserved.max(broken_off).min(kept_max)
    }
}
