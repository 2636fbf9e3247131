//! Draws tokens from the ledger into the local budgets and returns excess tokens.

use super::{
    draw_plan::{DrawSettings, Holding, plan_account},
    keeper_check::KeeperCheck,
    ledger::{Account, AccountLedger},
    ledger_shard::LedgerShard,
    ledger_view::{LedgerView, back_off},
    local_budgets::LocalBudgets,
    take_up_reserve::TakeUpReserve,
    writer_state::WriterState,
};
use crate::{
    process::{Store, log_event},
    version::Configuration,
};
use mallowpath::{Offset, WorkspaceId};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// The minimum interval between two draws of a router, also while requests wait for tokens.
pub(super) const DRAW_INTERVAL_MIN_MS: u64 = 80;

/// The minimum mean interval between refills across all routers that hold tokens of a shard; an
/// append takes the store 4 ms.
const FLEET_DRAW_INTERVAL_MS: u64 = 8;

/// The number of draw durations for which a full holding lasts, in addition to its horizon.
const HORIZON_DRAWS: f64 = 2.0;

/// Draws tokens from the ledger into the local budgets and returns excess tokens.
#[derive(Debug)]
pub struct DrawTask {
    pub(super) store: Store,
    /// The key of the router's account, also its name as a writer of the store.
    pub(super) router: Arc<str>,
    local_budgets: Arc<LocalBudgets>,
    settings: DrawSettings,
    pub(super) shard: LedgerShard,
    /// Identifies this process in its account.
    incarnation: u64,
    /// Whether the store may have been restored since the ledger was last read.
    restore_suspected: AtomicBool,
    pub(super) ledger: LedgerView,
    /// Returns whether this router keeps the budget of a workspace.
    is_keeper: KeeperCheck,
    /// Set when the ledger was first read.
    take_up_reserve: OnceLock<TakeUpReserve>,
    /// No other lock is taken while this one is held.
    writer: Mutex<WriterState>,
    /// Held for a whole draw, so that no draw applies a grant that a later one has returned.
    draw_lock: tokio::sync::Mutex<()>,
}

/// The log line of an applied draw or return.
#[derive(Debug, Serialize)]
struct DrawLine {
    epoch: u64,
    sequence: u64,
    offset: u64,
    /// For each workspace whose grant changed: the router's tokens spent before, granted and spent,
    /// the prepaid tokens, and the tokens that all routers have spent or hold.
    changed: BTreeMap<WorkspaceId, [u64; 5]>,
}

impl DrawTask {
    /// Creates the task of `router`, which is the key of its account.
    pub fn new(
        store: Store,
        router: Arc<str>,
        local_budgets: Arc<LocalBudgets>,
        settings: DrawSettings,
    ) -> Self {
        let incarnation = rand::random();
        Self {
            ledger: LedgerView::new(store.clone(), LedgerShard::default()),
            shard: LedgerShard::default(),
            store,
            router,
            local_budgets,
            settings,
            incarnation,
            restore_suspected: AtomicBool::new(false),
            is_keeper: KeeperCheck::default(),
            take_up_reserve: OnceLock::new(),
            writer: Mutex::new(WriterState::new(incarnation)),
            draw_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Draws from `shard` in place of the first one.
    #[must_use]
    pub fn with_shard(mut self, shard: LedgerShard) -> Self {
        self.ledger = LedgerView::new(self.store.clone(), shard);
        self.shard = shard;
        self
    }

    /// Holds tokens in advance only of the budgets for which `is_keeper` returns true.
    #[must_use]
    pub fn with_keeper_check(
        mut self,
        is_keeper: impl Fn(&WorkspaceId) -> bool + Send + Sync + 'static,
    ) -> Self {
        self.is_keeper = KeeperCheck::new(is_keeper);
        self
    }

    /// Returns the settings of draws.
    pub(super) fn settings(&self) -> &DrawSettings {
        &self.settings
    }

    /// Returns the tokens that this router holds.
    pub(super) fn local_budgets(&self) -> &Arc<LocalBudgets> {
        &self.local_budgets
    }

    /// Returns whether another process has taken over the router's account.
    pub(super) fn is_fenced(&self) -> bool {
        self.writer().fenced
    }

    /// Returns this process's copy of the ledger.
    pub fn ledger(&self) -> &LedgerView {
        &self.ledger
    }

    /// Returns the newest account of this router.
    pub(super) fn own_account(&self) -> Option<Account> {
        let ledger = self.ledger.lock();
        ledger.as_ref()?.account(&self.router).cloned()
    }

    pub(super) fn writer(&self) -> MutexGuard<'_, WriterState> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the expected time until the next draw completes, or `None` while calls to the store
    /// fail.
    pub fn expected_wait(&self) -> Option<Duration> {
        let writer = self.writer();
        if writer.store_failed {
            return None;
        }
        if let Some(until) = writer.raises_held_until {
            let held = until.saturating_duration_since(Instant::now());
            if !held.is_zero() {
                return Some(held);
            }
        }
        let draw_duration = Duration::from_secs_f64(writer.draw_duration_s);
        let since = writer.draw_started_at.map(|since| since.elapsed());
        // A draw in progress was planned before this request and may not cover it.
        Some(draw_duration.saturating_sub(since.unwrap_or_default()))
    }

    /// Returns the tokens of a budget that are known to be spent: by this process until now, and by
    /// other incarnations and routers as of their newest records.
    pub(crate) fn known_spent(&self, workspace: &WorkspaceId) -> u64 {
        let own = self.local_budgets.spent(workspace);
        let ledger = self.ledger.lock();
        let Some(ledger) = ledger.as_ref() else {
            return own;
        };
        let account = ledger.account(&self.router);
        let account = account.filter(|account| account.incarnation == self.incarnation);
        let own_recorded = account
            .and_then(|account| account.lines.get(workspace))
            .map_or(0, |line| line.spent);
        ledger.known_spent(workspace).saturating_sub(own_recorded) + own
    }

    /// Reads the ledger for the first time; retries until the read succeeds.
    pub async fn load_ledger(&self) {
        let mut failures = 0;
        while let Err(error) = self.ledger.reload().await {
            log::warn!(target: "budget", "reading the ledger failed, retrying: {error}");
            back_off(&mut failures).await;
        }
        let ledger = self.ledger.lock();
        let Some(ledger) = ledger.as_ref() else {
            return;
        };
        let reserve = TakeUpReserve::new(ledger, &self.router, Instant::now());
        let _ = self.take_up_reserve.set(reserve);
    }

    /// Draws and returns tokens once, as the demand on the budgets of `configuration` requires.
    ///
    /// Returns whether the store was called.
    pub async fn draw_once(&self, configuration: &Configuration) -> bool {
        self.draw(configuration, |_| {}, &self.settings).await
    }

    /// Returns the router's holdings of all limited budgets.
    fn holdings(&self, configuration: &Configuration) -> Vec<Holding> {
        let now = Instant::now();
        let refill_below_s = self.horizon_s() * self.settings.refill_below_share;
        let take_up_share = if configuration.has_resumable_streams() {
            self.settings.take_up_share
        } else {
            0.0
        };
        let mut holdings = Vec::new();
        for workspace in configuration.workspaces_of(self.shard) {
            let Some(prepaid) = workspace.prepaid else {
                continue;
            };
            if let Some(reserve) = self.take_up_reserve.get() {
                self.local_budgets
                    .set_kept_tokens(&workspace.id, |reserved| {
                        reserve.kept_tokens(&workspace.id, prepaid, reserved, take_up_share, now)
                    });
            }
            let holding = self
                .local_budgets
                .holding(&workspace.id, prepaid, refill_below_s, now);
            holdings.push(Holding {
                is_kept: self.is_keeper.check(&workspace.id),
                ..holding
            });
        }
        holdings
    }

    /// Returns how long a full holding lasts, in seconds: longer the slower draws are, and the more
    /// routers share the store.
    fn horizon_s(&self) -> f64 {
        let interval_s = self.refill_interval().as_secs_f64();
        let draw_duration_s = self.writer().draw_duration_s;
        self.settings.horizon_s + draw_duration_s * HORIZON_DRAWS + interval_s
    }

    /// Returns the mean interval between two refills of this router, which keeps the appends of all
    /// routers together below the capacity of the store.
    pub(super) fn refill_interval(&self) -> Duration {
        let holder_count = u64::try_from(self.ledger.holder_count()).unwrap_or(u64::MAX);
        Duration::from_millis(
            DRAW_INTERVAL_MIN_MS.max(holder_count.saturating_mul(FLEET_DRAW_INTERVAL_MS)),
        )
    }

    /// Appends the account planned from the holdings, adjusted by `change`, and applies its grants;
    /// measures how long that takes.
    ///
    /// Returns whether the store was called.
    pub(super) async fn draw(
        &self,
        configuration: &Configuration,
        change: impl Fn(&mut Holding),
        settings: &DrawSettings,
    ) -> bool {
        let _draw_guard = self.draw_lock.lock().await;
        let settings = DrawSettings {
            horizon_s: self.horizon_s(),
            ..settings.clone()
        };
        self.read_if_restore_suspected().await;
        let mut holdings = self.holdings(configuration);
        for holding in &mut holdings {
            change(holding);
        }
        let started = Instant::now();
        self.writer().draw_started_at = Some(started);
        let store_called = self.append_next_account(&holdings, &settings).await;
        let took_s = started.elapsed().as_secs_f64();
        let mut writer = self.writer();
        writer.draw_started_at = None;
        if store_called {
            writer.record_draw(took_s);
        }
        store_called
    }

    /// Plans the next account, appends it and applies its grants.
    ///
    /// Returns whether the store was called.
    async fn append_next_account(&self, holdings: &[Holding], settings: &DrawSettings) -> bool {
        let mut account = self.next_account(holdings, settings);
        if account.is_none() {
            if !self.refresh_if_short(holdings).await {
                return false;
            }
            account = self.next_account(holdings, settings);
        }
        if account.is_some() && !self.writer().owner.is_owned() {
            // What an earlier process appended late is known once the epoch is claimed.
            self.claim_epoch().await;
            account = self.next_account(holdings, settings);
        }
        let Some(account) = account else {
            // Waiting requests are rejected now, as there is nothing to draw for them.
            self.local_budgets.wake_waiting();
            return true;
        };
        if !self.writer().owner.is_owned() {
            return true;
        }
        self.local_budgets.apply_decreases(&account);
        if !self.local_budgets.is_covered_by(&account) {
            // A request reserved tokens that were to be returned after the account was planned.
            return false;
        }
        let restores = self.ledger.restores();
        let Some((account, offset)) = self.append(account).await else {
            return true;
        };
        let is_read_back = self.ledger.read_up_to(offset).await;
        let is_current = is_read_back && self.ledger.restores() == restores;
        if is_current && self.apply_grants(&account, offset, holdings) {
            let mut writer = self.writer();
            writer.restores_handled = writer.restores_handled.max(restores);
        }
        true
    }

    /// Reads new ledger records if requests lack tokens and the ledger is not fresh.
    ///
    /// Otherwise a router that appends nothing would not learn of tokens that others returned.
    /// Returns whether a read was attempted.
    async fn refresh_if_short(&self, holdings: &[Holding]) -> bool {
        let is_short = holdings.iter().any(|holding| holding.shortage_tokens > 0);
        if !is_short || self.ledger.is_fresh() {
            return false;
        }
        let read = self.ledger.read_new_records().await;
        self.writer().store_failed = read.is_err();
        if let Err(error) = read {
            log::warn!(
                target: "budget",
                "reading the ledger for returned tokens failed, planning from the current copy: {error}"
            );
        }
        true
    }

    /// Plans the next account; `None` if no grant changes, or if this incarnation is fenced.
    fn next_account(&self, holdings: &[Holding], settings: &DrawSettings) -> Option<Account> {
        let restores = self.ledger.restores();
        let (epoch, is_restored, raises_are_held) = {
            let mut writer = self.writer();
            if writer.fenced {
                return None;
            }
            if writer.restores_seen < restores {
                let raise_hold = Duration::from_millis(self.settings.raise_hold_ms);
                writer.begin_after_restore(restores, raise_hold);
            }
            let is_restored = writer.restores_handled < restores;
            (writer.owner.epoch(), is_restored, writer.raises_are_held())
        };
        let ledger = self.ledger.lock();
        let ledger = ledger.as_ref()?;
        let known = ledger.account(&self.router);
        let is_known = known.is_some();
        // As long as its predecessor's account is the newest one, other routers take the tokens that
        // it held for tokens that may come back.
        let is_predecessor = known.is_some_and(|account| {
            account.incarnation != self.incarnation && account.holds_tokens()
        });
        let base = self.base_account(ledger, epoch);
        let planned = plan_account(ledger, &base, holdings, settings);
        let planned = match planned {
            Some(planned) if raises_are_held => Some(planned.without_raises(&base)),
            planned => planned,
        };
        match planned {
            None if is_predecessor => Some(base),
            // The store may have lost the account, so that it is appended again without a change.
            None if is_restored && is_known => Some(base),
            Some(planned) if raises_are_held && !is_restored && planned.has_grants_of(&base) => {
                None
            }
            planned => planned,
        }
    }

    /// Returns the router's account as of now, from which the next one is planned.
    fn base_account(&self, ledger: &AccountLedger, epoch: u64) -> Account {
        let account = match ledger.account(&self.router) {
            Some(account) if account.incarnation == self.incarnation => account.clone(),
            Some(account) => account.successor(epoch),
            None => Account::default(),
        };
        Account {
            epoch,
            generation: ledger.generation(),
            incarnation: self.incarnation,
            ..account
        }
    }

    /// Reads the ledger if the store may have been restored, which shows whether it was.
    async fn read_if_restore_suspected(&self) {
        if !self.restore_suspected.swap(false, Ordering::Relaxed) {
            return;
        }
        if let Err(error) = self.ledger.read_new_records().await {
            self.restore_suspected.store(true, Ordering::Relaxed);
            log::warn!(target: "budget", "reading the ledger after a restore failed: {error}");
        }
    }

    /// Makes the next draw check whether the ledger was restored from an older copy.
    pub fn check_for_restore(&self) {
        self.restore_suspected.store(true, Ordering::Relaxed);
    }

    /// Applies the grants of an appended account for the budgets that are not exceeded, and logs
    /// it; returns whether the ledger includes the account.
    ///
    /// The offset is no proof of that, as the store may answer with that of another append.
    /// The ledger may include later records of other routers. That is safe: tokens that they drew
    /// count against this grant, and tokens that they returned are no longer spent by them.
    fn apply_grants(&self, account: &Account, offset: Offset, holdings: &[Holding]) -> bool {
        let ledger = self.ledger.lock();
        let Some(ledger) = ledger.as_ref() else {
            return false;
        };
        let known = ledger.account(&self.router);
        if !known.is_some_and(|known| known.is_record_of(account)) {
            log::error!(
                target: "budget",
                "the account appended at offset {offset}, epoch {}, sequence {}, is not the newest \
                 one of {} in the ledger; claiming another epoch",
                account.epoch,
                account.sequence,
                self.router
            );
            self.writer().owner.disown();
            return false;
        }
        let mut changed = BTreeMap::new();
        let mut within_budget = Vec::new();
        for holding in holdings {
            let Some(line) = account.lines.get(&holding.workspace) else {
                continue;
            };
            let spent_or_held = ledger.spent_or_held(&holding.workspace);
            if spent_or_held <= holding.prepaid {
                within_budget.push(&holding.workspace);
            }
            if line.granted != holding.granted {
                let numbers = [
                    line.spent_before,
                    line.granted,
                    line.spent,
                    holding.prepaid,
                    spent_or_held,
                ];
                changed.insert(holding.workspace.clone(), numbers);
            }
        }
        self.local_budgets
            .apply_increases(account, |workspace| within_budget.contains(&workspace));
        let line = DrawLine {
            epoch: account.epoch,
            sequence: account.sequence,
            offset: offset.0,
            changed,
        };
        log_event("budget", &line);
        true
    }
}
