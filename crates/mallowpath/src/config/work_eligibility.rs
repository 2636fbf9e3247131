//! Decides whether a sidecar accepts new work, from the known state of its backend server.
//!
//! Both the configuration and the host list can mark a backend server as leaving. A source is
//! *confirmed at* a time if the sidecar's copy of it was up to date at that time. The time recorded
//! is that at which the query was sent, so that a delayed answer makes a source look older, never
//! newer.

use crate::{
    config::propagation::ConfigHeartbeat,
    id::{ParseIdError, Version, expected},
    stream::host_client::HostState,
};
use std::{
    fmt::{self, Display},
    str::FromStr,
    sync::Arc,
};

/// Which sources have to be confirmed for a sidecar to accept new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationPolicy {
    /// The configuration or the host list, within the time limit.
    Any,
    /// The configuration and the host list, within the time limit.
    All,
    /// The configuration or the host list, at any time in the past; the last known state applies.
    Once,
}

/// Why a sidecar accepts no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoWorkReason {
    /// The configuration marks the backend server as leaving or excluded.
    Configuration,
    /// The host list marks the host as leaving, or no longer contains it.
    HostList,
    /// The confirmation that the policy requires is missing or too old.
    Unconfirmed,
}

/// The state of a backend server as known to its sidecar.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkEligibility {
    version: Version,
    backend_state: Arc<str>,
    config_confirmed_at_ms: Option<u64>,
    host: Option<HostState>,
    hosts_confirmed_at_ms: Option<u64>,
}

impl WorkEligibility {
    /// Records a router's heartbeat answer; returns whether the state changed.
    ///
    /// An answer for an older version is ignored, so the state never reverts.
    pub fn record_router_answer(
        &mut self,
        version: Version,
        state: &str,
        answer: ConfigHeartbeat,
        asked_at_ms: u64,
    ) -> bool {
        if version < self.version {
            return false;
        }
        if let Some(age_ms) = answer.confirmed_age_ms {
            let confirmed_at_ms = asked_at_ms.checked_sub(age_ms);
            self.config_confirmed_at_ms = self.config_confirmed_at_ms.max(confirmed_at_ms);
        }
        if version == self.version && *self.backend_state == *state {
            return false;
        }
        self.version = version;
        self.backend_state = Arc::from(state);
        true
    }

    /// Records the entry of this host in the host list; returns whether the state changed.
    ///
    /// A host that was never listed may still appear, so its absence changes nothing. A host that
    /// was listed before and is now absent counts as leaving.
    pub fn record_host_list(&mut self, state: Option<HostState>, asked_at_ms: u64) -> bool {
        let before = self.host;
        match state {
            Some(state) => self.host = Some(state),
            None if self.host.is_some() => self.host = Some(HostState::Leaving),
            None => return false,
        }
        self.hosts_confirmed_at_ms = self.hosts_confirmed_at_ms.max(Some(asked_at_ms));
        self.host != before
    }

    /// Returns why new work is refused, or `None` if it is accepted.
    pub fn refusal(
        &self,
        policy: ConfirmationPolicy,
        unconfirmed_after_ms: u64,
        now_ms: u64,
    ) -> Option<NoWorkReason> {
        if &*self.backend_state == "leaving" || &*self.backend_state == "excluded" {
            return Some(NoWorkReason::Configuration);
        }
        if self.host == Some(HostState::Leaving) {
            return Some(NoWorkReason::HostList);
        }
        let is_fresh = |confirmed_at_ms: Option<u64>| {
            confirmed_at_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= unconfirmed_after_ms)
        };
        let config_is_fresh = is_fresh(self.config_confirmed_at_ms);
        let hosts_are_fresh = is_fresh(self.hosts_confirmed_at_ms);
        let confirmed = match policy {
            ConfirmationPolicy::Any => config_is_fresh || hosts_are_fresh,
            ConfirmationPolicy::All => config_is_fresh && hosts_are_fresh,
            ConfirmationPolicy::Once => !self.is_never_confirmed(),
        };
        (!confirmed).then_some(NoWorkReason::Unconfirmed)
    }

    /// Returns whether neither source was ever confirmed.
    pub fn is_never_confirmed(&self) -> bool {
        self.config_confirmed_at_ms.is_none() && self.hosts_confirmed_at_ms.is_none()
    }

    /// Returns the newest configuration version that a router has reported.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the backend server's state in that version; empty before the first answer.
    pub fn backend_state(&self) -> &str {
        &self.backend_state
    }

    /// Returns the last known state of the host in the host list, if it was ever listed.
    pub fn host(&self) -> Option<HostState> {
        self.host
    }

    /// Returns the time since the configuration was last confirmed, if it ever was.
    pub fn config_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.config_confirmed_at_ms?))
    }

    /// Returns the time since the host list was last confirmed, if it ever was.
    pub fn hosts_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.hosts_confirmed_at_ms?))
    }
}

impl Display for ConfirmationPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Any => "any",
            Self::All => "all",
            Self::Once => "once",
        })
    }
}

impl FromStr for ConfirmationPolicy {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "any" => Ok(Self::Any),
            "all" => Ok(Self::All),
            "once" => Ok(Self::Once),
            _ => expected("any, all or once"),
        }
    }
}

impl Display for NoWorkReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::HostList => "host_list",
            Self::Unconfirmed => "unconfirmed",
        })
    }
}
