//! Estimates how slow a backend server is compared with the others of its service.
//!
//! Backend servers of one service differ in speed, and some are slow for a while. A router sees too few
//! answers of each to tell soon, so routers report to each other how long answers took to begin and how
//! much work that was.

/// The settings of [`RecentWaits`] and [`slowness`].
#[derive(Debug, Clone)]
pub struct SlownessSettings {
    /// The time in which the weight of an answer falls to a half, in milliseconds.
    pub half_life_ms: f64,
    /// The work of a request besides its prompt, in prompt tokens.
    pub request_work_tokens: f64,
    /// The work that a backend server is assumed to have done at the mean speed, in prompt tokens.
    ///
    /// A few answers say little, as they may have waited for others.
    pub assumed_work_tokens: f64,
    /// The slowness up to which a backend server counts as no slower than the others.
    pub tolerance: f64,
    /// The largest slowness.
    pub max: f64,
}

/// The waits for answers that have begun, and the work before them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WaitSums {
    /// The time from sending the requests until their answers began, in milliseconds.
    pub wait_ms: f64,
    /// The prompt tokens that had to be processed before.
    pub work_tokens: f64,
    /// The number of requests.
    pub requests: f64,
}

/// The waits for the recent answers of a backend server.
#[derive(Debug, Default)]
pub struct RecentWaits {
    sums: WaitSums,
    decayed_at_ms: u64,
}

impl Default for SlownessSettings {
    fn default() -> Self {
        Self {
            half_life_ms: 20_000.0,
            request_work_tokens: 2_000.0,
            assumed_work_tokens: 1_000_000.0,
            tolerance: 1.3,
            max: 4.0,
        }
    }
}

impl WaitSums {
    /// Adds other sums.
    pub fn add(&mut self, other: Self) {
        self.wait_ms += other.wait_ms;
        self.work_tokens += other.work_tokens;
        self.requests += other.requests;
    }

    /// Returns the mean wait of the requests; `None` if there are none.
    pub fn mean_wait_ms(&self) -> Option<f64> {
        (self.requests > 0.0).then(|| self.wait_ms / self.requests)
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            wait_ms: self.wait_ms * factor,
            work_tokens: self.work_tokens * factor,
            requests: self.requests * factor,
        }
    }
}

impl RecentWaits {
    /// Adds the waits of answers that have begun since the last call; ignores sums that make no sense.
    pub fn add(&mut self, waits: WaitSums, settings: &SlownessSettings, now_ms: u64) {
        self.sums = self.sums(settings, now_ms);
        self.decayed_at_ms = self.decayed_at_ms.max(now_ms);
        let is_valid = waits.wait_ms.is_finite()
            && waits.work_tokens.is_finite()
            && waits.requests.is_finite();
        if is_valid {
            self.sums.add(waits);
        }
    }

    /// Returns the waits, in which older answers have less weight.
    pub fn sums(&self, settings: &SlownessSettings, now_ms: u64) -> WaitSums {
        let age_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        self.sums.scaled((-age_ms / settings.half_life_ms).exp2())
    }
}

/// Returns how many times longer each backend server takes for the same work than the mean of all, 1 at
/// least.
pub fn slowness(servers: &[WaitSums], settings: &SlownessSettings) -> Vec<f64> {
    let mut service = WaitSums::default();
    for server in servers {
        service.add(*server);
    }
    let mean_ms_per_token = service.wait_ms / service.work_tokens;
    let mut slowness = Vec::with_capacity(servers.len());
    for server in servers {
        let wait_ms = server.wait_ms + settings.assumed_work_tokens * mean_ms_per_token;
        let work_tokens = server.work_tokens + settings.assumed_work_tokens;
        let ratio = wait_ms / work_tokens / mean_ms_per_token;
        // Without any waits the ratio is not a number, which is not above the tolerance either.
        slowness.push(if ratio > settings.tolerance {
            ratio.min(settings.max)
        } else {
            1.0
        });
    }
    slowness
}
