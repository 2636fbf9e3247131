//! Whether a backend server takes new requests from this router.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What a backend server has stated about new requests, in its registration and in its answers.
///
/// Times are in milliseconds of the router's own clock.
#[derive(Debug, Default)]
pub struct Availability {
    /// Whether the registration states that the backend server is shutting down.
    is_draining: AtomicBool,
    /// Whether an answer has stated it; it stays so, also while the registration states otherwise.
    is_leaving: AtomicBool,
    /// The end of the pause that the backend server has asked for.
    paused_until_ms: AtomicU64,
}

impl Availability {
    /// Returns the state of a backend server that has been registered.
    pub fn new(is_draining: bool) -> Self {
        Self {
            is_draining: AtomicBool::new(is_draining),
            ..Self::default()
        }
    }

    /// Returns whether the backend server takes new requests at `now_ms`.
    pub fn accepts_requests(&self, now_ms: u64) -> bool {
        !self.is_shutting_down() && self.pause_ms(now_ms) == 0
    }

    /// Returns whether the backend server is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed) || self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the rest of the pause that the backend server has asked for.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.paused_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(now_ms)
    }

    /// Sets whether the registration states that the backend server is shutting down.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Records an answer which states that the backend server is shutting down; returns whether
    /// it is the first one.
    pub fn set_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Records a pause that the backend server has asked for; a pause is never shortened.
    pub fn pause_until(&self, until_ms: u64) {
        self.paused_until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }
}
