//! The share of a processor core that a host gives to a process.

use mallowpath::round_to_u64;
use std::{fmt, str::FromStr};

/// The share of a processor core that a host gives to a process; more than one core is possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessorShare {
    millicores: u64,
}

/// The text is not a share of a processor core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseProcessorShareError;

impl ProcessorShare {
    /// Returns the share in thousandths of a core.
    pub fn millicores(self) -> u64 {
        self.millicores
    }
}

impl fmt::Display for ProcessorShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.millicores as f64 / 1e3)
    }
}

impl FromStr for ProcessorShare {
    type Err = ParseProcessorShareError;

    /// Parses a number of cores, at least a thousandth of one.
    fn from_str(text: &str) -> Result<Self, ParseProcessorShareError> {
        let Ok(cores) = text.trim().parse::<f64>() else {
            return Err(ParseProcessorShareError);
        };
        let millicores = cores * 1e3;
        if !millicores.is_finite() || millicores < 1.0 {
            return Err(ParseProcessorShareError);
        }
        Ok(Self {
            millicores: round_to_u64(millicores),
        })
    }
}

impl fmt::Display for ParseProcessorShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a positive number of processor cores")
    }
}

impl std::error::Error for ParseProcessorShareError {}
