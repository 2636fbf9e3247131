//! Times of replayed loads.

/// Returns whole milliseconds of a run, which are small and positive.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a run are small and positive"
)]
pub fn whole_ms(ms: f64) -> u64 {
    ms as u64
}
