//! Processing of requests at a router: admission, attempts and responses.

pub(crate) mod attempts;
pub(crate) mod body;
pub(crate) mod chat;
pub(crate) mod concurrency;
pub(crate) mod delivery;
pub(crate) mod estimate;
pub(crate) mod fair_queue;
pub(crate) mod http_api;
pub(crate) mod lost_request;
pub(crate) mod permit;
pub(crate) mod refusal;
pub(crate) mod request_run;
pub(crate) mod reservation;
pub(crate) mod response;
pub(crate) mod retry;
pub(crate) mod router_admission;
pub(crate) mod run_outcome;
pub(crate) mod service_admission;
