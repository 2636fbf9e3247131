//! Quarantine of requests and prompt parts that end the backend servers that run them.

mod announced_parts;
mod crash_check;
mod notices;
mod request_parts;
mod shared_quarantine;
mod trial;
mod unconfirmed_crashes;

pub(crate) use crash_check::{check_for_crash, check_registration};
pub(crate) use notices::{handle_crash_notice, handle_parts_cleared};
pub(crate) use request_parts::{request_id, request_parts};
pub(crate) use shared_quarantine::{SharedQuarantine, record_completion, run_evaluation};
pub(crate) use trial::Trial;
