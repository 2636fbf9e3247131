//! Conversion of times in simulated loads.

/// Returns a time of a simulation in whole milliseconds, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "simulated times are small and positive"
)]
pub fn to_whole_ms(ms: f64) -> u64 {
    ms as u64
}
