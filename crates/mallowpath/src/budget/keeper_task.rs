//! The task of a keeper, which connects its state machine to the ledger stream.

use crate::{
    budget::keeper::Keeper,
    budget::keeper_settings::KeeperSettings,
    budget::ledger::Ledger,
    budget::ledger_records::{LedgerBatch, LedgerEntry},
    budget::slice::{SliceAnswer, SliceReply, SliceRequest, SliceReturn},
    error::Result,
    id::{BudgetId, Incarnation, Offset, Tokens, Version},
    peer::link::now_ms,
    stream::checkpoint_schedule::CheckpointSchedule,
    stream::follower::{Follower, sleep_backoff},
    stream::ledger_recovery::load_ledger,
    stream::log_client::{LogClient, LogRecord},
};
use prost::Message;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{MissedTickBehavior, interval, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

/// The interval of the state machine's ticks, and of the polls while the keeper closes.
const TICK_MS: u64 = 50;
/// The most polls for the grants of a closing keeper to be returned.
const MAX_CLOSE_POLLS: u32 = 40;
/// The longest time that a request waits at the keeper for a draw.
const WAIT_FOR_DRAW_MS: u64 = 400;

/// A keeper of one shard in this process.
#[derive(Debug)]
pub(crate) struct KeeperTask {
    shard: u32,
    stream: Arc<str>,
    incarnation: Incarnation,
    log: LogClient,
    keeper: Mutex<Keeper>,
    /// Notified when a batch was replayed.
    replayed: Notify,
    /// Notified when there may be a batch to append.
    work: Notify,
}

/// Returns the name of the ledger stream of a shard.
pub fn ledger_stream(shard: u32) -> String {
    format!("ledger-{shard:02}")
}

/// Returns the incarnation of the keeper that a router incarnation runs for a shard.
///
/// It is derived from both: a router incarnation starts at most one keeper of a shard.
pub(crate) fn keeper_incarnation(router: Incarnation, shard: u32) -> Incarnation {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&router.0.to_le_bytes());
    bytes[8..].copy_from_slice(&shard.to_le_bytes());
    Incarnation(xxh3_64(&bytes))
}

impl KeeperTask {
    /// Replays the shard's ledger and starts the keeper.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read, or retains neither the beginning of the stream nor
    /// a checkpoint.
    pub(crate) async fn start(
        router: Incarnation,
        shard: u32,
        log: LogClient,
        settings: KeeperSettings,
    ) -> Result<Arc<Self>> {
        let stream = ledger_stream(shard);
        let (ledger, follower) = load_ledger(&log, &stream).await?;
        let incarnation = keeper_incarnation(router, shard);
        let task = Arc::new(Self {
            shard,
            stream: Arc::from(stream),
            incarnation,
            log,
            keeper: Mutex::new(Keeper::new(incarnation, ledger, settings)),
            replayed: Notify::new(),
            work: Notify::new(),
        });
        tokio::spawn(Arc::clone(&task).follow(follower));
        tokio::spawn(Arc::clone(&task).append_batches());
        Ok(task)
    }

    /// Returns the keeper's shard.
    pub(crate) fn shard(&self) -> u32 {
        self.shard
    }

    /// Returns the keeper's incarnation.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Answers a slice request, waiting up to `WAIT_FOR_DRAW_MS` for a draw.
    pub(crate) async fn answer_request(
        &self,
        request: &SliceRequest,
        limit: Option<(Version, Tokens)>,
    ) -> SliceReply {
        if let Some((version, tokens)) = limit {
            self.set_limit(&request.budget, version, tokens);
        }
        let wait_until = Instant::now() + Duration::from_millis(WAIT_FOR_DRAW_MS);
        loop {
            let replayed = self.replayed.notified();
            let reply = self.keeper().try_answer(request, now_ms());
            self.work.notify_one();
            let may_change = matches!(
                reply.answer,
                SliceAnswer::Short { .. } | SliceAnswer::UnknownBudget
            );
            if !may_change {
                return reply;
            }
            let left = wait_until.saturating_duration_since(Instant::now());
            if timeout(left, replayed).await.is_err() {
                return self.keeper().answer_final(request, now_ms());
            }
        }
    }

    /// Accepts a returned slice; returns whether the router can forget the slice.
    pub(crate) fn return_slice(&self, returned: &SliceReturn) -> bool {
        let taken = self.keeper().return_slice(returned);
        self.work.notify_one();
        taken
    }

    /// Queues a limit from the configuration unless the ledger has the same amount.
    pub(crate) fn set_limit(&self, budget: &BudgetId, version: Version, tokens: Tokens) {
        let mut keeper = self.keeper();
        let known = keeper.ledger().balance(budget);
        if known.is_some_and(|balance| balance.limit == tokens) {
            return;
        }
        keeper.set_limit(budget, version, tokens);
        drop(keeper);
        self.work.notify_one();
    }

    /// Returns every grant without open slices, and polls up to `MAX_CLOSE_POLLS` times for the
    /// records to be read back.
    pub(crate) async fn close(&self) {
        self.keeper().close();
        for _ in 0..MAX_CLOSE_POLLS {
            self.work.notify_one();
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
            if self.keeper().is_settled() {
                return;
            }
        }
        log::warn!(
            "keeper of {} timed out before all of its grants were returned; ending it",
            self.stream
        );
    }

    /// Runs a closure on the state machine, for callers such as reclaims and state dumps.
    pub(crate) fn with_keeper<T>(&self, action: impl FnOnce(&mut Keeper) -> T) -> T {
        let result = action(&mut self.keeper());
        self.work.notify_one();
        result
    }

    async fn follow(self: Arc<Self>, mut follower: Follower) {
        let mut schedule = CheckpointSchedule::default();
        let mut failures = 0;
        loop {
            let step = follower
                .poll(|record| self.replay(&record, &mut schedule))
                .await;
            match step {
                Ok(()) => {
                    failures = 0;
                    self.write_checkpoint(&mut schedule, follower.first());
                }
                Err(error) => {
                    log::warn!(
                        "keeper of {} failed to follow its stream; retrying after a delay: {error}",
                        self.stream
                    );
                    failures += 1;
                    sleep_backoff(failures).await;
                }
            }
        }
    }

    fn write_checkpoint(&self, schedule: &mut CheckpointSchedule, first: Offset) {
        let mut keeper = self.keeper();
        let next = keeper.ledger().next();
        if !schedule.is_due(first, next, rand::random(), now_ms()) {
            return;
        }
        let checkpoint = keeper.ledger().checkpoint();
        keeper.queue_record(checkpoint.into());
        schedule.record_checkpoint(next);
        drop(keeper);
        self.work.notify_one();
    }

    fn replay(&self, record: &LogRecord, schedule: &mut CheckpointSchedule) {
        let batch = LedgerBatch::decode(record.data.clone()).unwrap_or_default();
        let mut keeper = self.keeper();
        if let Err(error) = keeper.replay(record.offset, &batch, now_ms()) {
            log::error!(
                "keeper of {} failed to apply a batch, leaving its ledger unchanged: {error}",
                self.stream
            );
            return;
        }
        drop(keeper);
        for record in &batch.records {
            if let Some(LedgerEntry::Checkpoint(checkpoint)) = &record.entry {
                schedule.record_checkpoint(Offset(checkpoint.next_offset));
            }
        }
        self.replayed.notify_waiters();
        self.work.notify_one();
    }

    async fn append_batches(self: Arc<Self>) {
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.keeper().tick(now_ms()),
                () = self.work.notified() => {}
            }
            let batch = self.keeper().next_batch(now_ms());
            let Some(batch) = batch else { continue };
            // A failed append needs no handling here: the keeper returns the batch again until it
            // is read back.
            if let Err(error) = self
                .log
                .append(&self.stream, batch.encode_to_vec().into())
                .await
            {
                log::warn!(
                    "keeper of {} failed to append a batch; retrying: {error}",
                    self.stream
                );
            }
        }
    }

    fn keeper(&self) -> MutexGuard<'_, Keeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the sums of a ledger for the state dump.
pub(crate) fn describe_ledger(ledger: &Ledger) -> serde_json::Value {
    let mut budgets = serde_json::Map::new();
    for (budget, balance) in ledger.balances() {
        let entry = serde_json::json!({
            "limit": balance.limit,
            "top_ups": balance.top_ups,
            "spent": balance.spent,
            "granted": balance.open,
            "left": balance.available(),
        });
        budgets.insert(budget.to_string(), entry);
    }
    serde_json::json!({"next": ledger.next(), "budgets": budgets})
}
