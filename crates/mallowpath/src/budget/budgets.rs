//! The budget state of a router: its wallet, and the keepers that it runs for its zone.

use crate::{
    budget::keeper::Keeper,
    budget::keeper_settings::KeeperSettings,
    budget::keeper_task::{KeeperTask, describe_ledger, keeper_incarnation},
    budget::ledger::{LEDGER_SHARDS, shard_of},
    budget::slice::{SliceAnswer, SliceReply, SliceRequest, SliceReturn},
    budget::slice_exchange::KeeperDirectory,
    budget::wallet::{Wallet, WalletSettings},
    id::{BudgetId, GrantId, Incarnation, Offset, Tokens, Version},
    peer::link::now_ms,
    peer::wire,
    process::router::Router,
    request::refusal::{Code, Refusal},
    request::reservation::{Reservation, ReserveOutcome, SlicePart},
    stream::record_id::RecordId,
};
use serde_json::{Value, json};
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify},
    time::timeout,
};

/// The time between polls while the process drains, and after which a router that isn't live yet
/// requests slices again.
const POLL_INTERVAL_MS: u64 = 50;
/// The time after which a caller of a fenced router may retry.
const FENCED_RETRY_MS: u64 = 1000;
/// The longest time that a request waits for tokens before it is refused.
const WAIT_FOR_TOKENS_MS: u64 = 1500;
/// The most polls for all slices to be returned while the process drains.
const MAX_DRAIN_POLLS: u32 = 40;
/// The time for which heartbeats report a closed grant.
const CLOSED_GRANT_REPORT_MS: u64 = 2000;
/// The most closed grants that one heartbeat reports.
const MAX_HEARTBEAT_GRANTS: usize = 64;

/// The wallet of a router and its keepers by shard.
#[derive(Debug)]
pub(crate) struct Budgets {
    wallet: Mutex<Wallet>,
    /// Notified when a keeper has replied, a request was settled or the wallet was stopped.
    pub(crate) reservable_changed: Notify,
    /// Notified when the wallet may have requests to send.
    pub(crate) wallet_changed: Notify,
    /// Notified when the keeper of a shard is wanted for the first time.
    pub(crate) locate_requested: Notify,
    /// Held while a keeper starts, so that this process starts at most one for each shard.
    keeper_start: AsyncMutex<()>,
    keepers: Mutex<HashMap<u32, Arc<KeeperTask>>>,
    /// Recently closed grants with the times at which they were first reported, so that sidecars
    /// forget their sums.
    recently_closed_grants: Mutex<VecDeque<(u64, GrantId)>>,
    keeper_directory: Mutex<KeeperDirectory>,
}

/// A shortage of tokens that a later refill may end.
#[derive(Debug)]
pub(crate) struct Shortage {
    retry_after_ms: u64,
}

/// Counts a request as waiting for tokens until the guard is dropped.
struct WaitingGuard<'a> {
    budgets: &'a Budgets,
    budget: &'a BudgetId,
    tokens: Tokens,
}

impl<'a> WaitingGuard<'a> {
    fn start(budgets: &'a Budgets, budget: &'a BudgetId, tokens: Tokens) -> Self {
        budgets.wallet().start_waiting(budget, tokens);
        Self {
            budgets,
            budget,
            tokens,
        }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.budgets.wallet().stop_waiting(self.budget, self.tokens);
    }
}

impl Budgets {
    /// Returns an empty wallet without keepers.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            wallet: Mutex::new(Wallet::new(incarnation, WalletSettings::default())),
            reservable_changed: Notify::new(),
            wallet_changed: Notify::new(),
            locate_requested: Notify::new(),
            keeper_start: AsyncMutex::new(()),
            keepers: Mutex::new(HashMap::new()),
            recently_closed_grants: Mutex::new(VecDeque::new()),
            keeper_directory: Mutex::new(KeeperDirectory::default()),
        }
    }

    /// Returns the tokens held of each budget and the ledgers of the keepers, for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let mut held = serde_json::Map::new();
        for (budget, outstanding) in self.wallet().outstanding() {
            let entry = json!({
                "free": outstanding.free,
                "reserved": outstanding.reserved,
                "closing": outstanding.closing,
            });
            held.insert(budget.to_string(), entry);
        }
        let mut keepers = serde_json::Map::new();
        for task in self.keeper_tasks() {
            let described = task.with_keeper(|keeper| describe_ledger(keeper.ledger()));
            keepers.insert(task.shard().to_string(), described);
        }
        let located_by = self.keeper_directory().hosts_version;
        json!({"held": held, "keeper_of_shards": keepers, "located_by_hosts_version": located_by})
    }

    /// Returns the keepers of this process.
    pub(crate) fn keeper_tasks(&self) -> Vec<Arc<KeeperTask>> {
        self.keepers().values().cloned().collect()
    }

    /// Grants no more slices to a fenced router.
    pub(crate) fn fence_router(&self, router: Incarnation) {
        for task in self.keeper_tasks() {
            task.with_keeper(|keeper| keeper.fence_router(router));
        }
    }

    /// Stops accepting slices from the keepers of a fenced router and freezes those already held.
    pub(crate) fn fence_keepers(&self, router: Incarnation) {
        let mut wallet = self.wallet();
        for shard in 0..LEDGER_SHARDS {
            wallet.fence_keeper(keeper_incarnation(router, shard));
        }
    }

    /// Returns the tokens spent of a fenced router's grants, or `None` before the wallet has
    /// applied the fence.
    pub(crate) fn report_keepers(&self, router: Incarnation) -> Option<wire::KeepersReport> {
        let wallet = self.wallet();
        let mut sum = wire::KeepersReport {
            settled: true,
            ..wire::KeepersReport::default()
        };
        for shard in 0..LEDGER_SHARDS {
            let report = wallet.report_keeper(keeper_incarnation(router, shard))?;
            sum.settled &= report.settled;
            for part in report.grants {
                sum.grants.push(wire::GrantTokens {
                    grant: part.grant.into(),
                    tokens: part.spent.0,
                });
            }
        }
        Some(sum)
    }

    /// Forgets fenced keepers whose grants are all closed.
    pub(crate) fn forget_keepers(&self, keepers: &[u64]) {
        let mut wallet = self.wallet();
        for keeper in keepers {
            wallet.forget_keeper(Incarnation(*keeper));
        }
    }

    /// Records the offset up to which the `members` stream was read and applied.
    pub(crate) fn set_members_seen(&self, upto: Offset) {
        for task in self.keeper_tasks() {
            task.with_keeper(|keeper| keeper.set_members_seen(upto));
        }
    }

    /// Stops spending, drawing and granting permanently, as this router was fenced.
    pub(crate) fn stop_permanently(&self) {
        self.wallet().stop_permanently();
        for task in self.keeper_tasks() {
            task.with_keeper(Keeper::stop_permanently);
        }
        self.reservable_changed.notify_waiters();
    }

    /// Returns the recently closed grants, at most as many as one heartbeat reports.
    pub(crate) fn closed_grants(&self) -> Vec<RecordId> {
        let newly_closed = self.wallet().take_closed_grants();
        let mut closed = self
            .recently_closed_grants
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now_ms = now_ms();
        for grant in newly_closed {
            closed.push_back((now_ms, grant));
        }
        while let Some((at_ms, _)) = closed.front()
            && now_ms.saturating_sub(*at_ms) >= CLOSED_GRANT_REPORT_MS
        {
            closed.pop_front();
        }
        let mut reported = Vec::new();
        for (_, grant) in closed.iter().take(MAX_HEARTBEAT_GRANTS) {
            reported.push((*grant).into());
        }
        reported
    }

    fn keepers(&self) -> MutexGuard<'_, HashMap<u32, Arc<KeeperTask>>> {
        self.keepers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wallet(&self) -> MutexGuard<'_, Wallet> {
        self.wallet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn keeper_directory(&self) -> MutexGuard<'_, KeeperDirectory> {
        self.keeper_directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Router {
    /// Reserves tokens of a budget if the wallet holds enough of them.
    ///
    /// Returns a [`Shortage`] when a later refill may cover the request.
    ///
    /// # Errors
    ///
    /// Fails when the budget is exhausted or this router was fenced.
    pub(crate) fn reserve_now(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
    ) -> Result<Result<Reservation, Shortage>, Refusal> {
        let outcome = self.budgets.wallet().reserve(budget, tokens, now_ms());
        self.budgets.wallet_changed.notify_one();
        let retry_after_ms = match outcome {
            ReserveOutcome::Reserved(reservation) => return Ok(Ok(reservation)),
            ReserveOutcome::Exhausted => return Err(budget_exhausted(budget, tokens)),
            ReserveOutcome::Insufficient { retry_after_ms } => retry_after_ms,
            ReserveOutcome::UnknownBudget => WAIT_FOR_TOKENS_MS,
            ReserveOutcome::Stopped => {
                let text = "this router was fenced and is to be replaced";
                return Err(
                    Refusal::not_run(Code::ShuttingDown, text).with_retry_after(FENCED_RETRY_MS)
                );
            }
        };
        Ok(Err(Shortage { retry_after_ms }))
    }

    /// Reserves tokens of a budget, waiting for a refill until the deadline or for at most
    /// [`WAIT_FOR_TOKENS_MS`].
    ///
    /// # Errors
    ///
    /// Fails like [`Router::reserve_now`], and when the wait ends without enough tokens.
    pub(crate) async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Reservation, Refusal> {
        let wait_until = deadline.min(Instant::now() + Duration::from_millis(WAIT_FOR_TOKENS_MS));
        let _waiting = WaitingGuard::start(&self.budgets, budget, tokens);
        loop {
            let changed = self.budgets.reservable_changed.notified();
            let shortage = match self.reserve_now(budget, tokens)? {
                Ok(reservation) => return Ok(reservation),
                Err(shortage) => shortage,
            };
            let left = wait_until.saturating_duration_since(Instant::now());
            if timeout(left, changed).await.is_err() {
                return Err(budget_unavailable(budget, shortage.retry_after_ms));
            }
        }
    }

    /// Frees the tokens that a request did not spend and returns those spent of each slice.
    pub(crate) fn settle(&self, reservation: Reservation, spent: Tokens) -> Vec<SlicePart> {
        let parts = self.budgets.wallet().settle(reservation, spent);
        self.budgets.reservable_changed.notify_waiters();
        parts
    }

    /// Returns the keeper of a shard in this process, starting it if there is none.
    ///
    /// # Errors
    ///
    /// Fails when the shard's ledger can't be loaded.
    pub(crate) async fn local_keeper(&self, shard: u32) -> crate::Result<Arc<KeeperTask>> {
        if let Some(task) = self.budgets.keepers().get(&shard) {
            return Ok(Arc::clone(task));
        }
        let _keeper_start = self.budgets.keeper_start.lock().await;
        if let Some(task) = self.budgets.keepers().get(&shard) {
            return Ok(Arc::clone(task));
        }
        let settings = KeeperSettings::default();
        let task = KeeperTask::start(self.incarnation, shard, self.log.clone(), settings).await?;
        log::info!(
            "started the keeper of budget shard {shard} with incarnation {}",
            task.incarnation()
        );
        // Inserted before the members are read, so that no change of members is missed in between.
        self.budgets.keepers().insert(shard, Arc::clone(&task));
        let read = self.members.next_offset();
        for router in self.members.refused_routers() {
            task.with_keeper(|keeper| keeper.fence_router(router));
        }
        task.with_keeper(|keeper| keeper.set_members_seen(read));
        Ok(task)
    }

    /// Answers a slice request as the keeper of the budget's shard.
    ///
    /// # Errors
    ///
    /// Fails when the shard's ledger can't be loaded.
    pub(crate) async fn answer_slice_request(
        &self,
        request: &SliceRequest,
    ) -> crate::Result<wire::SliceReply> {
        let shard = shard_of(&request.budget, LEDGER_SHARDS);
        let task = self.local_keeper(shard).await?;
        if !self.members.is_live(request.router) {
            // This process may not have read the router's join yet, so the router is to retry.
            let reply = SliceReply {
                number: request.number,
                oldest_open_grant: 0,
                unspent: Tokens(u64::MAX),
                answer: SliceAnswer::Short {
                    retry_after_ms: POLL_INTERVAL_MS,
                },
            };
            return Ok(wire::SliceReply::new(task.incarnation(), &reply));
        }
        let reply = task
            .answer_request(request, self.configured_limit(&request.budget))
            .await;
        Ok(wire::SliceReply::new(task.incarnation(), &reply))
    }

    /// Accepts a returned slice as its keeper; returns whether the router can forget the slice.
    pub(crate) async fn accept_return(&self, returned: &SliceReturn) -> bool {
        let shard = shard_of(&returned.budget, LEDGER_SHARDS);
        match self.local_keeper(shard).await {
            Ok(task) if task.incarnation() == returned.slice.id.incarnation => {
                task.return_slice(returned)
            }
            Ok(_) => false,
            Err(error) => {
                log::warn!(
                    "failed to load budget shard {shard} for a returned slice, which stays at its router: {error}"
                );
                false
            }
        }
    }

    fn configured_limit(&self, budget: &BudgetId) -> Option<(Version, Tokens)> {
        // Read from one snapshot: an old amount under a new version would make the record of the
        // new amount a void duplicate.
        let (version, fleet) = self.configuration.current();
        Some((version, fleet.budgets.get(budget)?.tokens))
    }
}

/// Returns all slices and closes the keepers before the process ends.
pub(crate) async fn return_all(router: &Arc<Router>) {
    router.budgets.wallet().close();
    for _ in 0..MAX_DRAIN_POLLS {
        router.exchange_slices();
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        if router.budgets.wallet().is_empty() {
            break;
        }
    }
    for task in router.budgets.keeper_tasks() {
        task.close().await;
    }
}

#[cold]
fn budget_exhausted(budget: &BudgetId, tokens: Tokens) -> Refusal {
    let text =
        format!("budget {budget} can't cover the {tokens} tokens that this request may cost");
    Refusal::not_run(Code::BudgetExhausted, text)
}

#[cold]
fn budget_unavailable(budget: &BudgetId, retry_after_ms: u64) -> Refusal {
    let text = format!("tokens of budget {budget} can't be had here at the moment");
    Refusal::not_run(Code::BudgetUnavailable, text).with_retry_after(retry_after_ms)
}
