//! Idempotency keys at work: one run and one bill for each, or a clear refusal.

mod fleet;
mod healthy;
mod takeover;
