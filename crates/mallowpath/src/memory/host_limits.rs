//! The memory and the descriptors of a process, and their division.

use crate::rounding::round_to_u64;
use std::{fmt, str::FromStr};

/// Memory that a connection of a caller usually occupies: the buffers in which heads are read and answers
/// are written, and the state of its task. One with an unfinished head of 23 KiB takes a third more.
const CALLER_BYTES: u64 = 24 << 10;

/// Memory that any other connection occupies.
const CONNECTION_BYTES: u64 = 16 << 10;

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: u64 = 200;

/// The memory of a host or process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemorySize {
    bytes: u64,
}

/// The text is not a size of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseMemorySizeError;

/// What a process may use of its host.
///
/// A quarter of the memory is left to the process itself: its tables, and its connections to backend servers
/// and the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// The memory, of which the buffers have a quarter and the connections the rest.
    pub memory: MemorySize,
    /// The number of descriptors that may be open.
    pub descriptors_max: u64,
}

impl MemorySize {
    /// Returns a size of `mib` MiB.
    pub const fn from_mib(mib: u64) -> Self {
        Self {
            bytes: mib.saturating_mul(1 << 20),
        }
    }

    /// Returns the size in bytes.
    pub fn bytes(self) -> u64 {
        self.bytes
    }
}

impl HostLimits {
    /// Returns the bytes of bodies, answers and messages that may be held at once.
    pub fn buffer_max_bytes(&self) -> usize {
        to_usize(self.memory.bytes / 4)
    }

    /// Returns the number of connections of callers.
    pub fn callers_max(&self) -> usize {
        self.connections_max(3, CALLER_BYTES, 2)
    }

    /// Returns the number of connections at a listener for other processes of the fleet.
    pub fn peers_max(&self) -> usize {
        self.connections_max(16, CONNECTION_BYTES, 8)
    }

    /// Returns the number of connections at a listener for operators or the load balancer.
    pub fn admin_max(&self) -> usize {
        self.connections_max(64, CONNECTION_BYTES, 32)
    }

    /// Returns the number of connections of `bytes` each in one of `memory_parts` of the memory and one of
    /// `descriptor_parts` of the descriptors.
    fn connections_max(&self, memory_parts: u64, bytes: u64, descriptor_parts: u64) -> usize {
        let sockets = self.descriptors_max.saturating_sub(FILE_DESCRIPTORS);
        let by_memory = self.memory.bytes / memory_parts / bytes;
        to_usize(by_memory.min(sockets / descriptor_parts).max(1))
    }
}

impl Default for HostLimits {
    fn default() -> Self {
        Self {
            memory: MemorySize::from_mib(256),
            descriptors_max: 4_096,
        }
    }
}

impl fmt::Display for MemorySize {
    /// Writes the size in MiB.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.bytes as f64 / f64::from(1 << 20))
    }
}

impl FromStr for MemorySize {
    type Err = ParseMemorySizeError;

    /// Parses a number of MiB, which is 1 or more.
    fn from_str(text: &str) -> Result<Self, ParseMemorySizeError> {
        match text.trim().parse::<f64>() {
            Ok(mib) if mib.is_finite() && mib >= 1.0 => Ok(Self {
                bytes: round_to_u64(mib * f64::from(1 << 20)),
            }),
            _ => Err(ParseMemorySizeError),
        }
    }
}

impl fmt::Display for ParseMemorySizeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a number of MiB, 1 or more")
    }
}

impl std::error::Error for ParseMemorySizeError {}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
