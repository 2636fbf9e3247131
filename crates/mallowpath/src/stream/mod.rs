//! Clients of the platform's log service and host list, and the replay and checkpoints of streams.

pub(crate) mod apply_outcome;
pub(crate) mod backoff;
pub(crate) mod checkpoint_schedule;
pub(crate) mod follower;
pub(crate) mod host_client;
pub(crate) mod http_call;
pub(crate) mod ledger_checkpoint;
pub(crate) mod ledger_recovery;
pub(crate) mod log_client;
pub(crate) mod record_id;
