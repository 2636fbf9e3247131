//! How much of its share of the processor this process uses.

/// The number of intervals of which the median is taken.
const INTERVALS: usize = 9;

/// The used share from which the processor counts as busy.
const BUSY_ABOVE: f64 = 0.8;

/// Time between two measurements above which the process counts as stalled, in milliseconds.
const STALL_THRESHOLD_MS: u64 = 250;

/// The shortest time after a stall in which nothing is decided, in milliseconds.
const STALL_RECOVERY_MS: u64 = 500;

/// Time after a recovery in which a long interval is not taken for another freeze, in milliseconds.
const REPEATED_WITHIN_MS: u64 = 2_000;

/// The used shares of the last few intervals.
///
/// The runtime is busy whenever it has something to do, also while the host gives it no time. On a host
/// that gives a process a share of a core this is the used part of the share. Its median is not moved
/// by a single long interval, such as a freeze of the process.
#[derive(Debug, Default)]
pub struct ProcessorWindow {
    used_shares: [f64; INTERVALS],
    next: usize,
    /// When the last recovery from a stall ends or has ended.
    recovers_until_ms: Option<u64>,
}

impl ProcessorWindow {
    /// Records an interval between two measurements that ends at `now_ms`, and how much of it the
    /// runtime was busy.
    ///
    /// A process that had little to do before a long interval was frozen; afterwards it has to do what
    /// arrived meanwhile, for about as long, and neither counts. One that was busy before, or measures
    /// late again and again, is late because of its load.
    pub fn record(&mut self, busy_ms: f64, interval_ms: u64, now_ms: u64) {
        if self.recovers(now_ms) {
            return;
        }
        let used_share = (busy_ms / interval_ms.max(1) as f64).clamp(0.0, 1.0);
        if interval_ms > STALL_THRESHOLD_MS && !self.is_late_by_load(used_share, now_ms) {
            self.recovers_until_ms = Some(now_ms + interval_ms.max(STALL_RECOVERY_MS));
            return;
        }
        self.used_shares[self.next] = used_share;
        self.next = (self.next + 1) % INTERVALS;
    }

    fn is_late_by_load(&self, used_share: f64, now_ms: u64) -> bool {
        let is_repeated = self
            .recovers_until_ms
            .is_some_and(|until_ms| now_ms < until_ms + REPEATED_WITHIN_MS);
        is_repeated && used_share >= BUSY_ABOVE || self.used_share() >= BUSY_ABOVE
    }

    /// Returns the used share; the median of the last intervals.
    pub fn used_share(&self) -> f64 {
        let mut used_shares = self.used_shares;
        used_shares.sort_by(f64::total_cmp);
        used_shares[INTERVALS / 2]
    }

    /// Returns whether the process recovers from a stall at `now_ms`, so that nothing can be told from
    /// what it has to do.
    pub fn recovers(&self, now_ms: u64) -> bool {
        self.recovers_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }
}
