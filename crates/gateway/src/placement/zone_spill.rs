//! Decides which share of a service's requests may leave the availability zone of the router.
//!
//! Traffic between zones is slower and costs money, yet the servers of a zone are sometimes too few.
//! Each router compares the expected waits of its own zone with those of the other zones plus the
//! cost of crossing, and moves a share of its requests by a proportional-integral controller. As it
//! is a share, the sum over all routers of a zone does not depend on their number.

/// The settings of [`ZoneSpill`].
#[derive(Debug, Clone)]
pub struct ZoneSpillSettings {
    /// What crossing costs, as time: its delay and the price that the operators set on it.
    pub crossing_cost_ms: f64,
    /// The interval between changes of the share; that of the reports between routers.
    pub update_interval_ms: u64,
    /// The share grows when leaving saves more time than this.
    pub grow_above_ms: f64,
    /// The share shrinks when leaving saves less time than this.
    pub shrink_below_ms: f64,
    /// The part of the share that follows the relative difference of the waits at once.
    pub proportional_gain: f64,
    /// How much the share changes each interval by a relative difference of 1.
    pub integral_gain: f64,
    /// How much the share grows or shrinks in an interval at most.
    pub step_max: f64,
    /// How much the lasting part of the share shrinks in an interval at least.
    pub shrink_step_min: f64,
    /// How much the share changes in an interval without known waits.
    pub drift_step: f64,
    /// The share while the waits of other zones are unknown, which finds them.
    pub exploring_share: f64,
    /// The highest share while the own zone has servers.
    pub share_max: f64,
}

/// What a router knows of the servers of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZoneWaits {
    /// The mean expected wait for a first token in the own zone.
    pub own_ms: Option<f64>,
    /// The mean expected wait for a first token in the other zones.
    pub others_ms: Option<f64>,
    /// The number of usable servers in the own zone.
    pub own_servers: usize,
    /// The number of usable servers in the other zones.
    pub other_servers: usize,
}

/// The share of a service's requests that may leave the zone of the router.
#[derive(Debug)]
pub struct ZoneSpill {
    settings: ZoneSpillSettings,
    share: f64,
    /// The part of the share that lasts when the waits are alike; the integral of the controller.
    lasting_share: f64,
    /// The relative difference of the waits at the last update.
    difference: f64,
    /// Whether the own zone had no servers at the last update.
    was_empty: bool,
    updated_at_ms: Option<u64>,
}

impl Default for ZoneSpillSettings {
    fn default() -> Self {
        Self {
            crossing_cost_ms: 30.0,
            update_interval_ms: 2_000,
            grow_above_ms: 30.0,
            shrink_below_ms: 10.0,
            proportional_gain: 0.1,
            integral_gain: 0.03,
            step_max: 0.1,
            shrink_step_min: 0.005,
            drift_step: 0.01,
            exploring_share: 0.02,
            share_max: 1.0,
        }
    }
}

/// Returns the wait to expect from one that other routers report and one that this router has seen.
///
/// The longer one counts, so a report of short waits attracts requests only until the first of them
/// have been answered late.
pub fn expected_wait_ms(reported_ms: Option<f64>, seen_ms: Option<f64>) -> Option<f64> {
    match (known(reported_ms), known(seen_ms)) {
        (Some(reported_ms), Some(seen_ms)) => Some(reported_ms.max(seen_ms)),
        (reported_ms, seen_ms) => reported_ms.or(seen_ms),
    }
}

impl ZoneSpill {
    /// Returns a share of 0.
    pub fn new(settings: ZoneSpillSettings) -> Self {
        Self {
            settings,
            share: 0.0,
            lasting_share: 0.0,
            difference: 0.0,
            was_empty: false,
            updated_at_ms: None,
        }
    }

    /// Returns the share of requests that may go to any zone, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a request may go to any zone, by a uniformly distributed random number.
    pub fn may_leave(&self, random: u64) -> bool {
        /// The bits of the number that an `f64` represents exactly.
        const RANDOM_BITS: u32 = 53;

        let random = random >> (u64::BITS - RANDOM_BITS);
        (random as f64) < self.share * (1_u64 << RANDOM_BITS) as f64
    }

    /// Updates the share by the waits.
    ///
    /// A zone without servers counts at once; otherwise the share changes once an interval at most.
    pub fn update(&mut self, waits: &ZoneWaits, now_ms: u64) {
        if self.update_by_servers(waits) || !self.begins_interval(now_ms) {
            return;
        }
        self.updated_at_ms = Some(now_ms);
        match (known(waits.own_ms), known(waits.others_ms)) {
            (Some(own_ms), Some(others_ms)) => self.update_by_waits(own_ms, others_ms),
            (_, None) => self.drift_to(as_share(self.settings.exploring_share)),
            (None, Some(_)) => self.drift_to(0.0),
        }
    }

    /// Sets the share if a zone has no servers or has some again, and returns whether it did.
    fn update_by_servers(&mut self, waits: &ZoneWaits) -> bool {
        let was_empty = self.was_empty;
        self.was_empty = waits.own_servers == 0 && waits.other_servers > 0;
        if waits.other_servers == 0 {
            self.set(0.0);
        } else if waits.own_servers == 0 {
            self.set(1.0);
        } else if was_empty {
            // Its servers get the part of the zone's requests that they are of all servers.
            let servers = waits.own_servers as f64 + waits.other_servers as f64;
            self.set(waits.other_servers as f64 / servers);
        } else {
            return false;
        }
        true
    }

    fn set(&mut self, share: f64) {
        self.share = share;
        self.lasting_share = share;
        self.difference = 0.0;
    }

    fn begins_interval(&mut self, now_ms: u64) -> bool {
        if self
            .updated_at_ms
            .is_some_and(|updated_at_ms| now_ms < updated_at_ms)
        {
            // The clock was set back: the interval begins again.
            self.updated_at_ms = Some(now_ms);
            return false;
        }
        self.is_due(now_ms)
    }

    /// Returns whether an update would change the share by the waits.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.updated_at_ms.is_none_or(|updated_at_ms| {
            now_ms < updated_at_ms || now_ms - updated_at_ms >= self.settings.update_interval_ms
        })
    }

    fn update_by_waits(&mut self, own_ms: f64, others_ms: f64) {
        /// A difference falls if it is below this part of the last one.
        const FALLING_BELOW: f64 = 0.9;

        let difference = self.relative_difference(own_ms, others_ms);
        let mut change = difference * self.settings.integral_gain;
        if difference < 0.0 {
            change = change.min(-self.settings.shrink_step_min);
        } else if difference < self.difference * FALLING_BELOW {
            // The share suffices already; what it has grown to takes time to show.
            change = 0.0;
        }
        self.difference = difference;
        let target = self.lasting_share + change + difference * self.settings.proportional_gain;
        let step_max = as_share(self.settings.step_max);
        let step = (target - self.share).clamp(-step_max, step_max);
        let share_max = as_share(self.settings.share_max);
        self.lasting_share = as_share(self.lasting_share + change).min(share_max);
        self.share = as_share(self.share + step).min(share_max);
    }

    /// Returns by how much leaving pays (above 0) or does not (below 0), relative to the mean wait.
    fn relative_difference(&self, own_ms: f64, others_ms: f64) -> f64 {
        /// The lowest mean, as differences between short waits matter little.
        const MEAN_MIN_MS: f64 = 100.0;

        let saved_ms = own_ms - others_ms - self.settings.crossing_cost_ms;
        let mean_ms = f64::midpoint(own_ms, others_ms).max(MEAN_MIN_MS);
        if saved_ms > self.settings.grow_above_ms {
            (saved_ms - self.settings.grow_above_ms) / mean_ms
        } else if saved_ms < self.settings.shrink_below_ms {
            (saved_ms - self.settings.shrink_below_ms) / mean_ms
        } else {
            0.0
        }
    }

    fn drift_to(&mut self, share: f64) {
        let drift_step = as_share(self.settings.drift_step);
        let step = (share - self.share).clamp(-drift_step, drift_step);
        self.set(as_share(self.share + step));
    }
}

/// Returns a wait within a plausible range, or `None` if it is not a number.
fn known(wait_ms: Option<f64>) -> Option<f64> {
    /// The longest wait that makes a difference.
    const WAIT_MAX_MS: f64 = 60_000.0;

    let wait_ms = wait_ms.filter(|wait_ms| !wait_ms.is_nan())?;
    Some(wait_ms.clamp(0.0, WAIT_MAX_MS))
}

/// Returns the nearest share from 0 to 1, or 0 for what is not a number.
fn as_share(value: f64) -> f64 {
    if value.is_nan() {
        0.0
    } else {
        value.clamp(0.0, 1.0)
    }
}
