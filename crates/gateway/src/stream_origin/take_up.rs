//! Decides on a stream that is taken up at a router that doesn't know its origin.

use super::TAKE_UP_MAX_MS;
use crate::process::KnownSpan;
use std::time::{Duration, Instant};

/// What a router knows as it decides on a stream whose origin it doesn't know.
///
/// The stream began before its caller arrived, and any time may have passed at this router since it last
/// looked. So only reads that began after the arrival show which version may have begun the stream.
#[derive(Debug, Clone, Copy)]
pub struct TakeUpKnowledge {
    /// When the caller arrived.
    pub arrived_at: Instant,
    /// Of which time the registrations of the backend servers are known.
    pub servers: Option<KnownSpan>,
    /// Since when the configuration has been in force, and when it was last read.
    pub configuration: Option<KnownSpan>,
    /// When the last successful read of the origins in the store began.
    pub origins_as_of: Option<Instant>,
    /// Whether the route leads to one service, of which one version is known.
    pub has_one_version: bool,
}

/// What follows for the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeUpDecision {
    /// It goes on at the only version that can have begun it.
    OnlyVersion,
    /// It is refused, as several versions may have begun it.
    SeveralVersions,
    /// The decision needs reads that begin after the caller's arrival.
    Read {
        /// Of the registrations of backend servers and the configuration.
        lists: bool,
        /// Of the origins in the store.
        origins: bool,
    },
}

impl TakeUpKnowledge {
    /// Decides on the stream.
    pub fn decide(&self) -> TakeUpDecision {
        let lists = self.has_one_version && !self.has_current_lists();
        let origins = !self.has_current_origins() && !self.shows_all_versions();
        if lists || origins {
            return TakeUpDecision::Read { lists, origins };
        }
        if self.has_one_version {
            TakeUpDecision::OnlyVersion
        } else {
            TakeUpDecision::SeveralVersions
        }
    }

    fn has_current_lists(&self) -> bool {
        let lists = [self.servers, self.configuration];
        lists
            .iter()
            .all(|list| list.is_some_and(|span| span.is_current(self.arrived_at)))
    }

    fn has_current_origins(&self) -> bool {
        self.origins_as_of
            .is_some_and(|as_of| as_of >= self.arrived_at)
    }

    /// Returns whether every version that can have begun the stream is known without its origin: there is
    /// one, and the router has missed nothing since the earliest moment at which the stream can have begun.
    fn shows_all_versions(&self) -> bool {
        let stream_max = Duration::from_millis(TAKE_UP_MAX_MS);
        let lists = [self.servers, self.configuration];
        self.has_one_version
            && lists
                .iter()
                .all(|list| list.is_some_and(|span| span.since + stream_max <= self.arrived_at))
    }
}
