//! This process's copy of the ledger.

use super::ledger::{Account, AccountLedger};
use crate::process::{LastRead, Store, StorePage, Topic};
use mallowpath::{Backoff, Category, Offset, Result, WorkspaceId};
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::sleep;

/// Successful reads within which a record that this router appended is expected to be read back.
const READ_BACK_READS_MAX: u32 = 16;

/// How long after a read the ledger may be used to reject requests for lack of tokens.
const FRESH_AGE_MAX_MS: u64 = 400;

/// Delays after failed calls to the store.
const BACKOFF: Backoff = Backoff {
    min_ms: 30,
    max_ms: 400,
};

/// This process's copy of the ledger, read incrementally from the store.
#[derive(Debug)]
pub struct LedgerView {
    store: Store,
    /// `None` before the first read. The locks of the draw task's writer and of the local budgets
    /// may be taken while this one is held, never the other way round.
    ledger: Mutex<Option<AccountLedger>>,
    last_read: LastRead,
}

impl LedgerView {
    pub(super) fn new(store: Store) -> Self {
        Self {
            store,
            ledger: Mutex::default(),
            last_read: LastRead::default(),
        }
    }

    /// Locks and returns the ledger; `None` before the first read.
    pub fn lock(&self) -> MutexGuard<'_, Option<AccountLedger>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the last successful read, in milliseconds; `None` before the first.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        self.last_read.age_ms()
    }

    /// Returns the number of routers with an account; 1 before the first read.
    pub(crate) fn router_count(&self) -> usize {
        self.lock().as_ref().map_or(1, AccountLedger::len)
    }

    /// Returns the tokens of a budget that no router has drawn; `None` unless the ledger is fresh.
    pub(crate) fn undrawn(&self, workspace: &WorkspaceId, prepaid: u64) -> Option<u64> {
        if !self.is_fresh() {
            return None;
        }
        let ledger = self.lock();
        let spent_or_held = ledger.as_ref()?.spent_or_held(workspace);
        Some(prepaid.saturating_sub(spent_or_held))
    }

    /// Returns whether the ledger was read recently enough to reject requests for lack of tokens.
    pub(super) fn is_fresh(&self) -> bool {
        self.age_ms()
            .is_some_and(|age_ms| age_ms < FRESH_AGE_MAX_MS)
    }

    /// Replaces the ledger with the newest account of each router.
    pub(super) async fn reload(&self) -> Result<()> {
        let page = (self.store.newest)(Topic::Budgets).await?;
        let mut ledger = AccountLedger::default();
        apply_page(&mut ledger, page);
        *self.lock() = Some(ledger);
        self.last_read.record_now();
        Ok(())
    }

    /// Reads the records after the last one read, or all accounts if those records were dropped.
    pub(super) async fn read_new_records(&self) -> Result<()> {
        let from = self.end();
        match (self.store.read)(Topic::Budgets, from, 0).await {
            Ok(page) => {
                if let Some(ledger) = self.lock().as_mut() {
                    apply_page(ledger, page);
                }
                self.last_read.record_now();
                Ok(())
            }
            Err(error) if error.category() == Category::Gone => self.reload().await,
            Err(error) => Err(error),
        }
    }

    /// Reads until the ledger includes the record at `offset`, retrying after errors.
    ///
    /// Gives up when more than [`READ_BACK_READS_MAX`] successful reads have not included it.
    pub(super) async fn read_up_to(&self, offset: Offset) {
        let mut failures = 0;
        let mut reads = 0;
        while self.end() <= offset {
            match self.read_new_records().await {
                Ok(()) => {
                    reads += 1;
                    if reads > READ_BACK_READS_MAX {
                        log::error!(
                            target: "budget",
                            "{reads} reads did not return the record at offset {offset}; \
                             continuing with the ledger as read"
                        );
                        return;
                    }
                }
                Err(error) => {
                    log::warn!(
                        target: "budget",
                        "reading the ledger up to offset {offset} failed, retrying: {error}"
                    );
                    back_off(&mut failures).await;
                }
            }
        }
    }

    fn end(&self) -> Offset {
        self.lock().as_ref().map_or(Offset(0), AccountLedger::end)
    }
}

/// Applies the records of a page in their order.
fn apply_page(ledger: &mut AccountLedger, page: StorePage) {
    for record in page.records {
        let Some(value) = record.value else {
            continue;
        };
        match Account::decode(&record.key, value) {
            Ok(account) => ledger.set(record.key, account),
            Err(error) => log::error!(target: "budget", "skipping a ledger record: {error}"),
        }
    }
    ledger.set_end(page.next);
}

/// Waits after a failed call to the store and counts it in `failures`.
pub(super) async fn back_off(failures: &mut u32) {
    let delay_ms = BACKOFF.delay_ms(*failures, rand::random());
    *failures += 1;
    sleep(Duration::from_millis(delay_ms)).await;
}
