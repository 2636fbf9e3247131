//! The shards of the ledger.

use mallowpath::{WorkspaceId, rendezvous_key};

/// The number of shards; all processes of the fleet, over time, must use the same.
const SHARDS: u8 = 8;

/// A part of the ledger with a topic of its own, which holds the budgets of some workspaces.
///
/// The store appends to one topic at a time, and a router reads all accounts of a shard in which it
/// draws, so more shards let more routers draw at once and read less.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerShard(u8);

impl LedgerShard {
    /// Returns all shards.
    pub fn all() -> Vec<Self> {
        (0..SHARDS).map(Self).collect()
    }

    /// Returns the shard of a workspace's budget.
    pub fn of(workspace: &WorkspaceId) -> Self {
        let shard = rendezvous_key(workspace.as_str()) % u64::from(SHARDS);
        Self(u8::try_from(shard).unwrap_or_default())
    }

    /// Returns the position among all shards.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
