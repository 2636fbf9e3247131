//! Transfer of a key shard to the holders of its next epoch.
//!
//! A claimant of the next epoch freezes its table, copies it to the future witness and then appends
//! the claim to the log. It commits and acknowledges nothing until it has read which claim of the
//! epoch is valid, so the copy holds every committed key.

use crate::{
    Claim, ClaimEvidence, Incarnation, KeyCopy, KeyCopyAck, KeyRecord, KeyReplica,
    keys::key_table::KeyTable,
};

/// The role of a process in a key shard.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Role {
    /// Neither owner nor witness by the newest claim.
    NonHolder,
    Owner,
    Witness,
    /// A non-holder that claims the shard, with evidence unless the shard was never claimed.
    Claimant(Option<ClaimEvidence>),
}

/// An attempt to claim the next epoch, during which the table is frozen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClaimAttempt {
    pub(crate) number: u64,
    /// Whether a claim was returned to the caller and may be in the log.
    pub(crate) authored: bool,
}

impl KeyReplica {
    /// Freezes the table and returns a copy for the future witness, or `None` when this process may
    /// not claim.
    ///
    /// Until [`apply_claim`](Self::apply_claim) gets a valid claim or the attempt is cancelled, an
    /// owner commits nothing and a witness acknowledges nothing.
    pub fn begin_claim(&mut self, now_ms: u64) -> Option<KeyCopy> {
        match self.role {
            Role::NonHolder if self.epoch == 0 => self.role = Role::Claimant(None),
            Role::NonHolder => return None,
            Role::Owner | Role::Witness | Role::Claimant(_) => {}
        }
        Some(self.freeze(now_ms))
    }

    /// Starts a claim by a non-holder, after owner and witness were lost and all sidecars confirmed
    /// the fence of the current epoch.
    ///
    /// `records` are the bindings of the log batches, overridden by the runs that the sidecars have
    /// started. All other keys are answered as unknown for `unknown_ms`, which must cover the time
    /// within which callers may repeat a request. It may be 0 only when every sidecar that can have
    /// run a key of the shard has reported all such runs.
    ///
    /// Returns `None` when this process holds the shard, is claiming it already or has seen no
    /// claim.
    pub fn begin_recovery(
        &mut self,
        evidence: ClaimEvidence,
        records: &[KeyRecord],
        unknown_ms: u64,
        now_ms: u64,
    ) -> Option<KeyCopy> {
        if !matches!(self.role, Role::NonHolder) || self.epoch == 0 {
            return None;
        }
        self.role = Role::Claimant(Some(evidence));
        self.load(records);
        self.unknown_until_ms = now_ms.saturating_add(unknown_ms);
        Some(self.freeze(now_ms))
    }

    /// Returns the claim to append after the future witness has confirmed the copy, or `None` when
    /// the confirmation is not for the current attempt.
    pub fn author_claim(&mut self, ack: &KeyCopyAck) -> Option<Claim> {
        let evidence = match self.role {
            Role::Claimant(evidence) => evidence,
            Role::NonHolder | Role::Owner | Role::Witness => None,
        };
        let attempt = self.attempt.as_mut()?;
        let is_own_copy = ack.from == self.own_peer.incarnation && ack.attempt == attempt.number;
        if !is_own_copy || ack.epoch != self.epoch + 1 {
            return None;
        }
        attempt.authored = true;
        Some(Claim {
            shard: self.shard,
            epoch: ack.epoch,
            owner: Some(self.own_peer.clone()),
            witness: ack.witness.clone(),
            author: self.own_peer.incarnation,
            evidence,
        })
    }

    /// Cancels the current attempt and resumes the current epoch, and returns whether it did.
    ///
    /// An attempt can't be cancelled once [`author_claim`](Self::author_claim) has returned its
    /// claim, which may be in the log.
    pub fn cancel_claim(&mut self) -> bool {
        if self.attempt.is_none_or(|attempt| attempt.authored) {
            return false;
        }
        self.attempt = None;
        if matches!(self.role, Role::Claimant(_)) {
            self.step_down();
        }
        true
    }

    /// Stores a copy, as the possible witness of its epoch, and returns the confirmation.
    ///
    /// Returns `None` for a copy of a past or the current epoch, of this process itself, or of an
    /// earlier attempt than the stored copy.
    pub fn receive_copy(&mut self, copy: KeyCopy) -> Option<KeyCopyAck> {
        let from = Incarnation(copy.from);
        if copy.epoch <= self.epoch || copy.from == self.own_peer.incarnation {
            return None;
        }
        let copy_id = (copy.epoch, from);
        let held = self.copies.get(&copy_id).map_or(0, |held| held.attempt);
        if copy.attempt < held {
            return None;
        }
        let answer = KeyCopyAck {
            shard: self.shard,
            epoch: copy.epoch,
            from: copy.from,
            attempt: copy.attempt,
            witness: Some(self.own_peer.clone()),
        };
        self.copies.insert(copy_id, copy);
        Some(answer)
    }

    /// Assumes the role that a valid claim gives to this process.
    ///
    /// The caller passes the valid claims in log order. A claim of a past or the current epoch is
    /// ignored.
    pub fn apply_claim(&mut self, claim: &Claim, now_ms: u64) {
        if claim.epoch <= self.epoch {
            return;
        }
        let owner = claim.owner_incarnation();
        let own = Incarnation(self.own_peer.incarnation);
        let is_next_epoch = claim.epoch == self.epoch + 1;
        let copy = self.copies.remove(&(claim.epoch, owner));
        self.epoch = claim.epoch;
        self.copies = self
            .copies
            .split_off(&(claim.epoch + 1, Incarnation::default()));
        let attempt = self.attempt.take();
        if owner == own && is_next_epoch && attempt.is_some_and(|attempt| attempt.authored) {
            self.role = Role::Owner;
            self.table.commit_all(now_ms);
            return;
        }
        self.step_down();
        if let (true, Some(copy)) = (claim.witness_incarnation() == own, copy) {
            self.role = Role::Witness;
            self.load(&copy.records);
            self.unknown_until_ms = match copy.unknown_ms {
                0 => 0,
                unknown_ms => now_ms.saturating_add(unknown_ms),
            };
        }
    }

    fn step_down(&mut self) {
        self.role = Role::NonHolder;
        self.table = KeyTable::default();
        self.unknown_until_ms = 0;
    }

    fn freeze(&mut self, now_ms: u64) -> KeyCopy {
        let number = match self.attempt {
            Some(attempt) => attempt.number,
            None => self.last_attempt + 1,
        };
        self.last_attempt = number;
        self.attempt.get_or_insert(ClaimAttempt {
            number,
            authored: false,
        });
        KeyCopy {
            shard: self.shard,
            epoch: self.epoch + 1,
            from: self.own_peer.incarnation,
            attempt: number,
            records: self.table.records(),
            unknown_ms: self.unknown_until_ms.saturating_sub(now_ms),
        }
    }

    fn load(&mut self, records: &[KeyRecord]) {
        for record in records {
            self.table.store(record);
        }
    }
}
