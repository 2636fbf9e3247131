//! Converts floating-point numbers to integers; negative numbers and NaN become 0, and large numbers
//! saturate.

/// Rounds up.
pub fn ceil_to_u64(value: f64) -> u64 {
    saturating_u64(value.ceil())
}

/// Rounds down.
pub fn floor_to_u64(value: f64) -> u64 {
    saturating_u64(value.floor())
}

/// Rounds to the nearest integer.
pub fn round_to_u64(value: f64) -> u64 {
    saturating_u64(value.round())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from floating point saturate, as intended"
)]
fn saturating_u64(value: f64) -> u64 {
    value as u64
}
