//! Claims epochs and appends the router's account to the ledger.

use super::{draw_task::DrawTask, epoch_claim::EpochClaim, ledger::Account, ledger_view::back_off};
use crate::process::{AppendId, AppendOutcome, StoreRecord, Topic};
use mallowpath::Offset;
use std::sync::Arc;
use tokio::time::sleep;

impl DrawTask {
    /// Claims epochs until this process owns one, unless it is fenced.
    pub(super) async fn claim_epoch(&self) {
        let mut failures = 0;
        loop {
            let restores = self.ledger.restores();
            let Some(claim) = self.choose_claim() else {
                return;
            };
            if let Some(offset) = self.append_claim(claim).await {
                let is_read_back = self.ledger.read_up_to(offset).await;
                let is_current = is_read_back && self.ledger.restores() == restores;
                if is_current && self.confirm_claim(claim) {
                    return;
                }
            }
            back_off(&mut failures).await;
            // The epochs of the other processes must be known before the next claim.
            while let Err(error) = self.ledger.read_new_records().await {
                self.writer().store_failed = true;
                log::warn!(target: "budget", "reading the claims failed, retrying: {error}");
                back_off(&mut failures).await;
            }
        }
    }

    /// Chooses the epoch to claim; `None` if this process owns one or is fenced.
    fn choose_claim(&self) -> Option<EpochClaim> {
        let ledger = self.ledger.lock();
        let ledger = ledger.as_ref()?;
        let mut writer = self.writer();
        if writer.fenced || writer.owner.is_owned() {
            return None;
        }
        let known = ledger.highest_epoch(&self.router);
        Some(writer.owner.choose(known, ledger.generation()))
    }

    /// Appends a claim; returns its offset unless the store rejects it.
    async fn append_claim(&self, claim: EpochClaim) -> Option<Offset> {
        let record = claim.encode(&self.router);
        let outcome = self.append_until_answered(record, claim.epoch, 1).await;
        if let AppendOutcome::Appended { offset, generation } = outcome
            && !self.ledger.is_outdated(generation)
        {
            return Some(offset);
        }
        log::info!(
            target: "budget",
            "the claim of epoch {} of {} was not accepted: {outcome:?}",
            claim.epoch,
            self.router
        );
        None
    }

    /// Compares the claim with the highest one of the router; returns whether the epoch is owned.
    fn confirm_claim(&self, claim: EpochClaim) -> bool {
        let ledger = self.ledger.lock();
        let highest = ledger
            .as_ref()
            .and_then(|ledger| ledger.claim(&self.router));
        let is_owned = self.writer().owner.confirm(highest);
        if !is_owned {
            log::warn!(
                target: "budget",
                "epoch {} of {} belongs to another process, by the claim {highest:?}",
                claim.epoch,
                self.router
            );
        }
        is_owned
    }

    /// Appends the account in the epoch that this process owns; returns it with its offset.
    ///
    /// Returns `None` if the store was restored or a later process of the router has fenced this one.
    pub(super) async fn append(&self, mut account: Account) -> Option<(Account, Offset)> {
        account.sequence = self.writer().owner.next_sequence();
        let record = StoreRecord {
            key: Arc::clone(&self.router),
            value: Some(account.encode()),
        };
        let outcome = self
            .append_until_answered(record, account.epoch, account.sequence)
            .await;
        match outcome {
            AppendOutcome::Appended { offset, generation } => {
                if self.ledger.is_outdated(generation) {
                    // The answer to an attempt before the restore.
                    self.check_for_restore();
                    return None;
                }
                return Some((account, offset));
            }
            AppendOutcome::OutOfSequence => {
                // The store was restored and has lost the last appends of this epoch.
                self.check_for_restore();
                self.writer().owner.disown();
            }
            AppendOutcome::Fenced => {
                log::error!(
                    target: "budget",
                    "append fenced, another process writes the account of {}; \
                     this process draws no more tokens",
                    self.router
                );
                self.writer().fenced = true;
            }
        }
        None
    }

    /// Appends a record, retrying until the store answers.
    ///
    /// All attempts carry the same epoch and sequence number, so the record takes effect once.
    async fn append_until_answered(
        &self,
        record: StoreRecord,
        epoch: u64,
        sequence: u64,
    ) -> AppendOutcome {
        let mut failures = 0;
        loop {
            let append_id = AppendId {
                writer: Arc::clone(&self.router),
                epoch,
                sequence,
            };
            let appended =
                (self.store.append)(Topic::Budgets(self.shard), record.clone(), append_id);
            match appended.await {
                Ok(outcome) => {
                    self.writer().store_failed = false;
                    return outcome;
                }
                Err(error) => {
                    self.writer().store_failed = true;
                    log::warn!(target: "budget", "an append to the ledger failed, retrying: {error}");
                    sleep(self.refill_interval()).await;
                    back_off(&mut failures).await;
                }
            }
        }
    }
}
