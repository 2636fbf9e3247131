//! The monotonic clock of this process.

use std::{sync::OnceLock, time::Instant};

/// Returns the milliseconds since the first call in this process; never goes back.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
