//! What a router reports about the end of a backend server.

use crate::{id::BackendId, quarantine::part_id::PartId};
use serde::Serialize;

/// How far the answer to a request had come.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, prost::Enumeration,
)]
#[serde(rename_all = "snake_case")]
#[repr(i32)]
pub enum AnswerProgress {
    /// Nothing of the answer was received; the request was perhaps still queued.
    Nothing = 0,
    /// The head was received but no complete event, or not the whole body.
    Head = 1,
    /// At least one complete event was received.
    Events = 2,
}

/// A request whose answer broke off when its backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    /// The request as a whole.
    pub request: PartId,
    /// The parts that other prompts may have in common.
    pub parts: Vec<PartId>,
    /// How far its answer had come.
    pub progress: AnswerProgress,
}

impl SuspectRequest {
    /// Returns the suspect with these parts, of which one is the whole request.
    pub fn new(request: PartId, parts: &[PartId], progress: AnswerProgress) -> Self {
        let mut shared = Vec::with_capacity(parts.len());
        for part in parts {
            if !part.is_request() {
                shared.push(*part);
            }
        }
        Self {
            request,
            parts: shared,
            progress,
        }
    }
}

/// The end of a backend server, as seen by one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The name of the backend server.
    pub backend: BackendId,
    /// The start of the incarnation that ended, by the backend server's clock, in milliseconds since
    /// the Unix epoch; `None` if it isn't known.
    pub started_at_ms: Option<u64>,
    /// The requests that may have caused it.
    pub suspects: Vec<SuspectRequest>,
    /// The time since their answers broke off, in milliseconds.
    pub age_ms: u64,
}
