//! Processing of requests at a router: admission, attempts and responses.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod body;
pub(crate) mod callers;
pub(crate) mod chat;
pub(crate) mod concurrency;
pub(crate) mod delivery;
pub(crate) mod estimate;
pub(crate) mod fair;
pub(crate) mod front;
pub(crate) mod job;
pub(crate) mod limbo;
pub(crate) mod limit;
pub(crate) mod permit;
pub(crate) mod refusal;
pub(crate) mod reservation;
pub(crate) mod retry;
pub(crate) mod tries;
