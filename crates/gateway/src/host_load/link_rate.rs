//! The rate of a host's network link.

use mallowpath::round_to_u64;
use std::{fmt, str::FromStr};

/// The rate of a host's network link in each direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRate {
    bits_per_s: u64,
}

/// The text is not a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLinkRateError;

impl LinkRate {
    /// Returns the rate in bits per second.
    pub fn bits_per_s(self) -> u64 {
        self.bits_per_s
    }

    /// Returns the share of the rate that `bytes` within `time_ms` need.
    pub fn used_share(self, bytes: u64, time_ms: u64) -> f64 {
        bytes as f64 * 8_000.0 / (self.bits_per_s as f64 * time_ms.max(1) as f64)
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.bits_per_s as f64 / 1e6)
    }
}

impl FromStr for LinkRate {
    type Err = ParseLinkRateError;

    /// Parses a positive number of megabits per second.
    fn from_str(text: &str) -> Result<Self, ParseLinkRateError> {
        let Ok(mbit_per_s) = text.trim().parse::<f64>() else {
            return Err(ParseLinkRateError);
        };
        let bits_per_s = mbit_per_s * 1e6;
        if !bits_per_s.is_finite() || bits_per_s < 1.0 {
            return Err(ParseLinkRateError);
        }
        Ok(Self {
            bits_per_s: round_to_u64(bits_per_s),
        })
    }
}

impl fmt::Display for ParseLinkRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a positive number of megabits per second")
    }
}

impl std::error::Error for ParseLinkRateError {}
