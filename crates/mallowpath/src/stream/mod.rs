//! Clients of the platform's log service and host list, and the replay and checkpoints of streams.

pub(crate) mod backoff;
pub(crate) mod checkpoint;
pub(crate) mod checkpoint_pace;
pub(crate) mod checkpoint_reader;
pub(crate) mod claim_verdict;
pub(crate) mod follow;
pub(crate) mod host_client;
pub(crate) mod http_call;
pub(crate) mod log_client;
pub(crate) mod record_id;
