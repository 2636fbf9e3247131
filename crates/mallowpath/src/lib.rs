//! Router fleet for prepaid token budgets.

mod id;
mod key;
mod key_claim;
mod key_message;
mod key_replica;
mod key_table;
mod load_queue;
mod members;
mod order;
mod run;
mod run_marks;
mod verdict;

pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use key::{
    Claim, ClaimEvidence, ClaimsCheckpoint, KeyEntry, KeyHash, KeyLog, KeyPeer, KeyRecord,
    KeyShards, KeysChange, KeysRecord, key_shard, recover_keys,
};
pub use key_message::{KeyAck, KeyCopy, KeyCopyHeld, KeyDrop, KeyUpdate};
pub use key_replica::{CommitAnswer, KeyReplica, KeySettings};
pub use load_queue::{LoadOrder, LoadQueue, LoadSettings};
pub use members::{
    Fence, FenceDone, FenceTarget, FencedAt, Join, JoinedAt, KeyEpoch, Leave, Members,
    MembersChange, MembersCheckpoint, MembersRecord, confirmed_hash,
};
pub use order::{
    OrderAnswer, OrderClaim, OrderGate, OrderRight, OrderRightRecord, OrderSettings, Orders,
    OrdersChange, OrdersCheckpoint, OrdersRecord,
};
pub use run::{AttachAnswer, RunEnd, RunKey, RunSettings, RunTable, Submit, SubmitAnswer};
pub use verdict::Verdict;
