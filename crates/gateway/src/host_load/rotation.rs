//! Decides when a router leaves the rotation of the load balancer because its host is full.
//!
//! The balancer assigns callers by a hash, whatever the hosts can carry, so that a few callers may fill
//! the link or the processor of a small host while its neighbours are idle. The used share is that of
//! the one that is used more. A router out of the rotation gets no new
//! connections; the balancer assigns its callers to others.

/// The settings of [`Rotation`].
#[derive(Debug, Clone)]
pub struct RotationSettings {
    /// The used share from which a router leaves the rotation.
    pub leave_above: f64,
    /// How long the used share has to be that high.
    pub full_for_ms: u64,
    /// The used share below which it may come back.
    pub return_below: f64,
    /// How long it stays out at least. Callers that filled the host are likely to be assigned to it
    /// again when it comes back, so each further time is twice as long.
    pub out_min_ms: u64,
    /// How long it stays out at most.
    pub out_max_ms: u64,
    /// How long it has to stay in the rotation until [`Self::out_min_ms`] applies again.
    pub forget_after_ms: u64,
}

/// A change of [`Rotation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RotationChange {
    /// The router has left the rotation.
    Left,
    /// The router is in the rotation again.
    Returned,
}

/// Whether a router is in the rotation of the load balancer, as far as its load decides.
#[derive(Debug, Default)]
pub struct Rotation {
    settings: RotationSettings,
    /// Since when the host has been full.
    full_since_ms: Option<u64>,
    /// Since when the router is out.
    out_since_ms: Option<u64>,
    /// When it came back last, unless too many routers were out.
    returned_at_ms: Option<u64>,
    /// How long it stays out at least, this time or the last one.
    out_ms: u64,
}

impl Default for RotationSettings {
    fn default() -> Self {
        Self {
            leave_above: 0.8,
            full_for_ms: 300,
            return_below: 0.5,
            out_min_ms: 30_000,
            out_max_ms: 120_000,
            forget_after_ms: 120_000,
        }
    }
}

impl Rotation {
    /// Returns a rotation that the router is in.
    pub fn new(settings: RotationSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether the router is out of the rotation.
    pub fn is_out(&self) -> bool {
        self.out_since_ms.is_some()
    }

    /// Updates the rotation by the used share of the host.
    ///
    /// `may_be_out` states whether the other routers of the availability zone can do without this one.
    pub fn update(
        &mut self,
        used_share: f64,
        may_be_out: bool,
        now_ms: u64,
    ) -> Option<RotationChange> {
        match self.out_since_ms {
            None => self.update_in(used_share, may_be_out, now_ms),
            Some(out_since_ms) => {
                let out_for_ms = now_ms.saturating_sub(out_since_ms);
                self.update_out(used_share, may_be_out, out_for_ms, now_ms)
            }
        }
    }

    fn update_in(
        &mut self,
        used_share: f64,
        may_be_out: bool,
        now_ms: u64,
    ) -> Option<RotationChange> {
        if used_share < self.settings.leave_above {
            self.full_since_ms = None;
            return None;
        }
        let full_since_ms = *self.full_since_ms.get_or_insert(now_ms);
        if !may_be_out || now_ms < full_since_ms + self.settings.full_for_ms {
            return None;
        }
        self.leave(now_ms);
        Some(RotationChange::Left)
    }

    fn update_out(
        &mut self,
        used_share: f64,
        may_be_out: bool,
        out_for_ms: u64,
        now_ms: u64,
    ) -> Option<RotationChange> {
        let may_return = used_share < self.settings.return_below && out_for_ms >= self.out_ms;
        let has_to_return = out_for_ms >= self.settings.out_max_ms;
        if may_be_out && !may_return && !has_to_return {
            return None;
        }
        self.out_since_ms = None;
        self.full_since_ms = None;
        if may_be_out {
            self.returned_at_ms = Some(now_ms);
        }
        Some(RotationChange::Returned)
    }

    fn leave(&mut self, now_ms: u64) {
        let RotationSettings {
            out_min_ms,
            out_max_ms,
            forget_after_ms,
            ..
        } = self.settings;
        let is_recent = self
            .returned_at_ms
            .is_some_and(|returned_at_ms| now_ms < returned_at_ms + forget_after_ms);
        self.out_ms = if is_recent {
            (self.out_ms * 2).clamp(out_min_ms, out_max_ms)
        } else {
            out_min_ms
        };
        self.out_since_ms = Some(now_ms);
    }
}
