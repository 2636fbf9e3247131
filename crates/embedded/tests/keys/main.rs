//! Requests with idempotency keys: one run and one bill for each key, or a refusal.

mod fleet;
mod healthy;
mod history;
mod outage;
mod takeover;
