//! Answers that broke off at backend servers that accept connections nevertheless.

use crate::placement::BackendEntry;
use mallowpath::SuspectRequest;

/// How long after an answer broke off a registration may show that its backend server had ended:
/// a start, and the time that a registration takes to be read.
const CONFIRMATION_TIME_MS: u64 = 5_000;

/// The maximum number of backend servers that are remembered.
const CRASHES_MAX: usize = 64;

/// A backend server that may have ended, with the requests that may have caused it.
#[derive(Debug, Clone)]
pub(super) struct UnconfirmedCrash {
    /// The incarnation that was to answer the requests.
    pub(super) entry: BackendEntry,
    /// The requests whose answers broke off.
    pub(super) suspects: Vec<SuspectRequest>,
    /// When the first of them did, by the router's clock.
    pub(super) broke_off_at_ms: u64,
}

/// Backend servers that have ended or only closed connections.
///
/// A server that ends refuses connections until it has started again. A router that looks later than
/// that learns of the end from the registration of the next incarnation.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedCrashes {
    /// Oldest first.
    crashes: Vec<UnconfirmedCrash>,
}

impl UnconfirmedCrashes {
    /// Remembers a backend server that may have ended.
    pub(super) fn add(&mut self, crash: UnconfirmedCrash, now_ms: u64) {
        self.remove_expired(now_ms);
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Removes and returns those that have ended, as the registration `entry` shows.
    pub(super) fn confirm(&mut self, entry: &BackendEntry, now_ms: u64) -> Vec<UnconfirmedCrash> {
        self.remove_expired(now_ms);
        let has_ended = |crash: &mut UnconfirmedCrash| entry.replaces(&crash.entry);
        self.crashes.extract_if(.., has_ended).collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.crashes
            .retain(|crash| now_ms < crash.broke_off_at_ms + CONFIRMATION_TIME_MS);
    }
}
