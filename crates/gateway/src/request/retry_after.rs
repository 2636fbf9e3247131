//! The pause that a backend server asks for in the `Retry-After` header of a rejection.

use http::{HeaderMap, HeaderValue, header};
use std::time::Duration;

/// The pause for a value that can't be parsed.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// The maximum pause; a longer one is taken for an error of the backend server.
const PAUSE_MAX: Duration = Duration::from_mins(10);

/// Returns the pause that the headers of a rejection ask for, or `None` if they ask for none.
///
/// The value is a number of seconds, with or without a fraction. Logs a value that can't be parsed
/// or exceeds [`PAUSE_MAX`].
pub(super) fn requested_pause(headers: &HeaderMap, backend: &str) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?;
    let Some(pause) = parse_seconds(value) else {
        log::warn!(
            target: "backend",
            "can't parse Retry-After {value:?} of {backend}, pausing for {UNREADABLE_PAUSE:?}",
        );
        return Some(UNREADABLE_PAUSE);
    };
    if pause > PAUSE_MAX {
        log::warn!(
            target: "backend",
            "Retry-After {value:?} of {backend} is too long, pausing for {PAUSE_MAX:?}",
        );
    }
    Some(pause.min(PAUSE_MAX))
}

fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
