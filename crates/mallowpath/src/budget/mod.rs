//! Prepaid token budgets.
//!
//! The ledger streams record how the tokens of each budget are granted. A keeper draws grants from
//! the ledger of a shard and divides them into slices, and the wallet of a router reserves tokens
//! of its slices for requests.

pub(crate) mod budgets;
pub(crate) mod keeper;
pub(crate) mod keeper_account;
pub(crate) mod keeper_settings;
pub(crate) mod keeper_task;
pub(crate) mod ledger;
pub(crate) mod ledger_records;
pub(crate) mod limit_sync;
pub(crate) mod outbox;
pub(crate) mod rate_meter;
pub(crate) mod record_outcome;
pub(crate) mod slice;
pub(crate) mod slice_exchange;
pub(crate) mod slice_wire;
pub(crate) mod top_up;
pub(crate) mod wallet;
pub(crate) mod wallet_account;
