//! Quarantine of prompt parts that end the backend servers that answer them.

mod announced_parts;
mod crash_check;
mod crash_evidence;
mod notices;
mod part_id;
mod part_quarantine;
mod recent_parts;
mod shared_quarantine;

pub(crate) use announced_parts::AnnouncedParts;
pub(crate) use crash_check::{BrokenAnswer, CrashChecks, check_for_crash};
pub use crash_evidence::{CrashEvidence, CrashReport, SuspectRequest};
pub(crate) use notices::{handle_crash_notice, handle_parts_cleared};
pub use part_id::PartId;
pub(crate) use part_id::shared_part_ids;
pub use part_quarantine::{PartCheck, PartQuarantine, RecordChange};
pub(crate) use shared_quarantine::{SharedQuarantine, record_completion, run_evaluation};
