//! Processor time and memory of a process, from `/proc`.

use std::{fs, io};

/// The clock ticks per second (`USER_HZ`) in which `/proc` gives processor time.
const TICKS_PER_S: u64 = 100;

/// Processor time and memory of a process at one point in time.
#[derive(Debug, Clone, Copy)]
pub struct ProcStat {
    /// User and system time since the process started.
    pub cpu_ms: u64,
    /// Resident memory.
    pub resident_kb: u64,
    /// Peak resident memory.
    pub peak_kb: u64,
}

impl ProcStat {
    /// Reads the values of the process `id`.
    ///
    /// # Errors
    ///
    /// Fails when the files in `/proc` can't be read, such as when there is no such process.
    pub fn read(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        // The process name in parentheses may hold spaces, so fields are counted after it; user and
        // system time are fields 14 and 15.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let mut ticks = 0;
        for field in fields.split_whitespace().skip(11).take(2) {
            ticks += field.parse::<u64>().unwrap_or_default();
        }
        Ok(Self {
            cpu_ms: ticks * 1_000 / TICKS_PER_S,
            resident_kb: status_kb(&status, "VmRSS:"),
            peak_kb: status_kb(&status, "VmHWM:"),
        })
    }
}

fn status_kb(status: &str, key: &str) -> u64 {
    for line in status.lines() {
        let Some(rest) = line.strip_prefix(key) else {
            continue;
        };
        let number = rest.trim().trim_end_matches(" kB");
        return number.parse().unwrap_or_default();
    }
    0
}
