//! Messages between routers about what they have learned of backend servers.

use crate::quarantine::crash_report::AnswerProgress;

/// Reports that a backend server has ended, with the requests that may have caused it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashNotice {
    /// The name of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Requests of the sender whose answers broke off.
    #[prost(message, repeated, tag = "2")]
    pub suspects: Vec<SuspectNotice>,
    /// Time since their answers broke off, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The start of the incarnation that ended; see [`CrashReport`](crate::CrashReport).
    #[prost(uint64, optional, tag = "4")]
    pub started_at_ms: Option<u64>,
}

/// A request whose answer broke off when its backend server ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectNotice {
    /// Identifies the whole request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The parts of the prompt that other prompts may have in common.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// How far its answer had come.
    #[prost(enumeration = "AnswerProgress", tag = "3")]
    pub progress: i32,
}

/// Reports that requests with these prompt parts were answered completely.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartsCleared {
    /// The parts.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
    /// Time since the requests were sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub sent_ago_ms: u64,
}

/// Reports the limit on requests that a backend server states, when it begins or ends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RateLimitNotice {
    /// The incarnation of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// The requests per second of all routers together; absent if there is no limit any more.
    #[prost(double, optional, tag = "2")]
    pub rate_per_s: Option<f64>,
}

/// Reports how long answers of backend servers have taken to begin since the last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BackendWaitReport {
    /// The backend servers that have answered.
    #[prost(message, repeated, tag = "1")]
    pub waits: Vec<BackendWait>,
}

/// The waits for answers of one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BackendWait {
    /// The incarnation of the backend server.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// The time from sending the requests until their answers began, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// The prompt tokens that had to be processed before.
    #[prost(uint64, tag = "3")]
    pub work_tokens: u64,
    /// The number of requests.
    #[prost(uint64, tag = "4")]
    pub requests: u64,
}
