//! The limit on requests that a backend server states in its answers.

/// The limit that a backend server states for the requests of all routers together.
#[derive(Debug, Default)]
pub struct StatedRateLimit {
    stated: Option<Stated>,
}

#[derive(Debug, Clone, Copy)]
struct Stated {
    rate_per_s: f64,
    /// When it was last stated.
    at_ms: u64,
}

impl StatedRateLimit {
    /// Returns the requests per second of all routers; `None` if there is no limit.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.stated.map(|stated| stated.rate_per_s)
    }

    /// Records what an answer states to a request that was sent at `sent_at_ms`; returns whether
    /// that is a change.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was last
    /// stated, as answers may overtake each other.
    pub fn record(&mut self, rate_per_s: Option<f64>, sent_at_ms: u64, now_ms: u64) -> bool {
        let before = self.rate_per_s();
        match (rate_per_s, self.stated) {
            (Some(rate_per_s), _) => {
                self.stated = Some(Stated {
                    rate_per_s,
                    at_ms: now_ms,
                });
            }
            (None, Some(stated)) if sent_at_ms > stated.at_ms => self.stated = None,
            (None, _) => {}
        }
        self.rate_per_s() != before
    }
}
