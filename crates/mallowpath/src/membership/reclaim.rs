//! Reclaim of the unspent tokens of fenced processes, by reports of all processes that could have
//! spent them.
//!
//! No step depends on a clock: while one report is missing, the tokens remain outstanding.

use crate::{
    GrantId, Incarnation, KeeperReport, Ledger, LedgerRecord, SidecarConfirmation, Slice, SliceId,
    Tokens,
};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// An error that lists the processes whose final reports are missing for a proof.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("reclaim from {fenced}: final reports of {} processes are missing", missing.len()))]
pub struct MissingProof {
    /// The fenced incarnation.
    pub fenced: Incarnation,
    /// The sidecars or routers that have not sent their final reports.
    pub missing: BTreeSet<Incarnation>,
}

/// The tokens of a slice that are proven unspent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceProof {
    /// The slice.
    pub slice: Slice,
    /// The tokens that were not spent.
    pub unspent: Tokens,
}

/// Collects the confirmations of sidecars for a fenced router.
#[derive(Debug)]
pub struct RouterReclaim {
    fenced: Incarnation,
    missing: BTreeSet<Incarnation>,
    billed: BTreeMap<(Incarnation, SliceId), Billed>,
}

#[derive(Debug)]
struct Billed {
    grant: GrantId,
    tokens: Tokens,
}

/// Collects the reports of routers on the grants of a fenced keeper.
#[derive(Debug)]
pub struct KeeperReclaim {
    fenced: Incarnation,
    missing: BTreeSet<Incarnation>,
    spent: BTreeMap<GrantId, Tokens>,
}

impl RouterReclaim {
    /// Starts a reclaim; `sidecars` must hold all that joined before the fence record.
    ///
    /// Sidecars that joined later read the fence before they serve and run nothing for the router.
    pub fn new(fenced: Incarnation, sidecars: BTreeSet<Incarnation>) -> Self {
        Self {
            fenced,
            missing: sidecars,
            billed: BTreeMap::new(),
        }
    }

    /// Adds the confirmation of a sidecar; a copy has no effect.
    ///
    /// If two confirmations of one sidecar differ, the larger amount of each slice counts.
    pub fn confirm(&mut self, confirmation: &SidecarConfirmation) {
        if confirmation.fenced != self.fenced {
            return;
        }
        self.missing.remove(&confirmation.sidecar);
        for part in &confirmation.billed {
            let key = (confirmation.sidecar, part.slice);
            let unbilled = Billed {
                grant: part.grant,
                tokens: Tokens::ZERO,
            };
            let billed = self.billed.entry(key).or_insert(unbilled);
            billed.tokens = billed.tokens.max(part.tokens);
        }
    }

    /// Returns the unspent tokens of each of the router's slices.
    ///
    /// # Errors
    ///
    /// Fails while the confirmation of a sidecar is missing.
    pub fn prove(&self, slices: &[Slice]) -> Result<Vec<SliceProof>, MissingProof> {
        self.ensure_complete()?;
        let mut spent = BTreeMap::<SliceId, Tokens>::new();
        for ((_, slice), billed) in &self.billed {
            let sum = spent.entry(*slice).or_default();
            *sum = sum.saturating_add(billed.tokens);
        }
        let mut proofs = Vec::new();
        for slice in slices {
            let spent_tokens = spent.get(&slice.id).copied().unwrap_or_default();
            proofs.push(SliceProof {
                slice: *slice,
                unspent: slice.tokens.saturating_sub(spent_tokens),
            });
        }
        Ok(proofs)
    }

    fn ensure_complete(&self) -> Result<(), MissingProof> {
        ensure_complete(self.fenced, &self.missing)
    }
}

impl KeeperReclaim {
    /// Starts a reclaim; `routers` must hold all that joined before the fence record.
    ///
    /// Routers that joined later read the fence before they take tokens and take no slices of the
    /// keeper.
    pub fn new(fenced: Incarnation, routers: BTreeSet<Incarnation>) -> Self {
        Self {
            fenced,
            missing: routers,
            spent: BTreeMap::new(),
        }
    }

    /// Adds the report of a router; only its first settled report counts.
    pub fn report(&mut self, report: &KeeperReport) {
        let counts = report.keeper == self.fenced && report.settled;
        if !counts || !self.missing.remove(&report.router) {
            return;
        }
        for part in &report.grants {
            self.add(part.grant, part.spent);
        }
    }

    /// Adds what the sidecars billed for a router that is itself fenced, in place of its report.
    ///
    /// # Errors
    ///
    /// Fails while the confirmation of a sidecar is missing.
    pub fn report_fenced_router(&mut self, router: &RouterReclaim) -> Result<(), MissingProof> {
        router.ensure_complete()?;
        if !self.missing.remove(&router.fenced) {
            return Ok(());
        }
        for billed in router.billed.values() {
            if billed.grant.incarnation == self.fenced {
                self.add(billed.grant, billed.tokens);
            }
        }
        Ok(())
    }

    fn add(&mut self, grant: GrantId, spent: Tokens) {
        let sum = self.spent.entry(grant).or_default();
        *sum = sum.saturating_add(spent);
    }

    /// Returns the records that close the open grants of the keeper in the ledger of one shard.
    ///
    /// Records that the keeper appended after its fence may open further grants, so the call can be
    /// repeated.
    ///
    /// # Errors
    ///
    /// Fails while the report of a router is missing.
    pub fn records(&self, ledger: &Ledger) -> Result<Vec<LedgerRecord>, MissingProof> {
        ensure_complete(self.fenced, &self.missing)?;
        let mut records = Vec::new();
        for (grant, _, tokens) in ledger.open_grants(self.fenced) {
            let spent = self.spent.get(&grant).copied().unwrap_or_default();
            records.push(LedgerRecord::reclaim(grant, tokens.saturating_sub(spent)));
        }
        Ok(records)
    }
}

fn ensure_complete(
    fenced: Incarnation,
    missing: &BTreeSet<Incarnation>,
) -> Result<(), MissingProof> {
    if missing.is_empty() {
        return Ok(());
    }
    MissingProofSnafu {
        fenced,
        missing: missing.clone(),
    }
    .fail()
}
