//! This process's copy of the ledger.

use super::{
    epoch_claim::EpochClaim,
    ledger::{Account, AccountLedger},
    ledger_shard::LedgerShard,
};
use crate::process::{
    GenerationChange, GenerationTracker, ReadTimes, Store, StoreGeneration, StorePage, Topic,
};
use bytes::Bytes;
use mallowpath::{Backoff, Category, Error, Offset, Result, WorkspaceId};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
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
    topic: Topic,
    /// `None` before the first read. The locks of the draw task's writer and of the local budgets
    /// may be taken while this one is held, never the other way round.
    ledger: Mutex<Option<AccountLedger>>,
    read_times: ReadTimes,
    /// No other lock is taken while this one is held.
    generations: Mutex<GenerationTracker>,
    /// How often the store was found to be restored.
    restores: AtomicU64,
    /// Whether the end offset belongs to an earlier generation of the store.
    is_end_outdated: AtomicBool,
}

impl LedgerView {
    pub(super) fn new(store: Store, shard: LedgerShard) -> Self {
        Self {
            store,
            topic: Topic::Budgets(shard),
            ledger: Mutex::default(),
            read_times: ReadTimes::default(),
            generations: Mutex::default(),
            restores: AtomicU64::new(0),
            is_end_outdated: AtomicBool::new(false),
        }
    }

    /// Locks and returns the ledger; `None` before the first read.
    pub fn lock(&self) -> MutexGuard<'_, Option<AccountLedger>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the last successful read, in milliseconds; `None` before the first.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        self.read_times.age_ms()
    }

    /// Returns the number of routers that hold tokens; 0 before the first read.
    pub(super) fn holder_count(&self) -> usize {
        self.lock().as_ref().map_or(0, AccountLedger::holder_count)
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

    /// Returns how often the store was found to be restored from an older copy.
    pub(super) fn restores(&self) -> u64 {
        self.restores.load(Ordering::Relaxed)
    }

    /// Reads the newest account of each router; newer ones that are known are kept.
    pub(super) async fn reload(&self) -> Result<()> {
        let page = (self.store.newest)(self.topic).await?;
        self.observe_generation(page.generation)?;
        self.is_end_outdated.store(false, Ordering::Relaxed);
        let mut view = self.lock();
        apply_page(view.get_or_insert_default(), page);
        drop(view);
        self.read_times.record_now();
        Ok(())
    }

    /// Reads the records after the last one read, or all accounts if those records were dropped or
    /// lost.
    pub(super) async fn read_new_records(&self) -> Result<()> {
        if self.is_end_outdated.load(Ordering::Relaxed) {
            return self.reload().await;
        }
        let from = self.end();
        match (self.store.read)(self.topic, from, 0).await {
            Ok(page) => {
                if self.observe_generation(page.generation)? == GenerationChange::Restored {
                    // The offset belongs to another generation than the records of the page.
                    return self.reload().await;
                }
                if let Some(ledger) = self.lock().as_mut() {
                    apply_page(ledger, page);
                }
                self.read_times.record_now();
                Ok(())
            }
            Err(error) if error.category() == Category::Gone => self.reload().await,
            Err(error) => Err(error),
        }
    }

    /// Records the generation of the answer to an append; returns whether the answer is older than a
    /// restore of the store.
    pub(super) fn is_outdated(&self, generation: Option<StoreGeneration>) -> bool {
        self.observe_generation(generation).is_err()
    }

    /// Records the generation of an answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Refused`] if the answer is older than a restore of the store.
    fn observe_generation(&self, generation: Option<StoreGeneration>) -> Result<GenerationChange> {
        let mut generations = self
            .generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let change = generations.observe(generation);
        match change {
            GenerationChange::Same => {}
            GenerationChange::Restored => {
                self.restores.fetch_add(1, Ordering::Relaxed);
                self.is_end_outdated.store(true, Ordering::Relaxed);
                log::warn!(
                    target: "budget",
                    "the ledger was restored from an older copy, generation {}", generations.current()
                );
            }
            GenerationChange::Outdated => {
                return Err(Error::new(
                    Category::Refused,
                    "read the ledger",
                    "the store",
                    "the answer is older than the last restore of the store",
                ));
            }
        }
        let current = generations.current();
        drop(generations);
        self.lock().get_or_insert_default().set_generation(current);
        Ok(change)
    }

    /// Reads until the ledger includes the record at `offset`, retrying after errors; returns
    /// whether it does.
    ///
    /// Gives up when the store was restored meanwhile, or when more than [`READ_BACK_READS_MAX`]
    /// successful reads have not included the record.
    pub(super) async fn read_up_to(&self, offset: Offset) -> bool {
        let restores = self.restores();
        let mut failures = 0;
        let mut reads = 0;
        while self.is_end_outdated.load(Ordering::Relaxed) || self.end() <= offset {
            let read = self.read_new_records().await;
            if self.restores() != restores {
                return false;
            }
            match read {
                Ok(()) => {
                    reads += 1;
                    if reads > READ_BACK_READS_MAX {
                        log::error!(
                            target: "budget",
                            "{reads} reads did not return the record at offset {offset}; \
                             continuing with the ledger as read"
                        );
                        return true;
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
        true
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
        if let Err(error) = apply_record(ledger, record.key, value) {
            log::error!(target: "budget", "skipping a ledger record: {error}");
        }
    }
    ledger.set_end(page.next);
}

fn apply_record(ledger: &mut AccountLedger, key: Arc<str>, value: Bytes) -> Result<()> {
    if let Some(router) = EpochClaim::router_of(&key) {
        ledger.set_claim(Arc::from(router), EpochClaim::decode(router, value)?);
        return Ok(());
    }
    let account = Account::decode(&key, value)?;
    ledger.set(key, account);
    Ok(())
}

/// Waits after a failed call to the store and counts it in `failures`.
pub(super) async fn back_off(failures: &mut u32) {
    let delay_ms = BACKOFF.delay_ms(*failures, rand::random());
    *failures += 1;
    sleep(Duration::from_millis(delay_ms)).await;
}
