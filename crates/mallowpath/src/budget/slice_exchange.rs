//! Location of the keepers of budget shards, and the exchange of slices with them.

use crate::{
    budget::keeper_task::keeper_incarnation,
    budget::ledger::{LEDGER_SHARDS, shard_of},
    budget::slice::SliceReturn,
    budget::wallet::OutgoingRequest,
    id::{BudgetId, Incarnation, SliceId},
    membership::peer_selection::keeper_host,
    peer::link::now_ms,
    peer::wire::{self, FrameBody},
    process::router::Router,
};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::{MissedTickBehavior, interval};

/// The time limit for a keeper's answer to a slice request or return.
const REQUEST_TIMEOUT_MS: u64 = 1000;
/// The longest time between two exchanges of slices.
const TICK_MS: u64 = 50;
/// The longest time between two checks that the keepers on other hosts are reachable.
const LOCATE_INTERVAL_MS: u64 = 2000;

/// The known keepers and their addresses.
#[derive(Debug, Default)]
pub(crate) struct KeeperDirectory {
    /// The current keeper of each shard.
    pub(crate) keeper_of_shard: HashMap<u32, Incarnation>,
    /// The addresses of all current and earlier keepers; `None` for a keeper in this process.
    pub(crate) addresses: HashMap<Incarnation, Option<SocketAddr>>,
    /// The shards for which a keeper was requested.
    pub(crate) wanted_shards: BTreeSet<u32>,
    /// The version of the host list by which the keepers were located.
    pub(crate) hosts_version: u64,
}

impl KeeperDirectory {
    /// Sets the keeper of a shard and returns whether it differs from the previous one.
    fn set_keeper_of_shard(
        &mut self,
        shard: u32,
        router: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let keeper = keeper_incarnation(router, shard);
        self.addresses.insert(keeper, address);
        self.keeper_of_shard.insert(shard, keeper) != Some(keeper)
    }
}

impl Router {
    /// Returns the current keeper of a budget's shard, and marks the shard as wanted.
    fn current_keeper(&self, budget: &BudgetId) -> Option<Incarnation> {
        let shard = shard_of(budget, LEDGER_SHARDS);
        let mut directory = self.budgets.keeper_directory();
        if directory.wanted_shards.insert(shard) {
            self.budgets.locate_requested.notify_one();
        }
        directory.keeper_of_shard.get(&shard).copied()
    }

    /// Determines the keeper of each wanted shard.
    ///
    /// If the host list names no router for a shard, or that router is unreachable, this process
    /// becomes the keeper. Two keepers of one shard hold more unused tokens but can't overspend a
    /// budget.
    async fn locate_keepers(&self) {
        let hosts = self.hosts();
        let wanted_shards = self.budgets.keeper_directory().wanted_shards.clone();
        let mut routers = HashMap::new();
        for shard in wanted_shards {
            let host = keeper_host(&self.settings.host.zone, shard, &hosts);
            let remote = host.filter(|host| host.name != self.settings.host.name);
            let Some(remote) = remote else {
                self.set_keeper(shard, self.incarnation, None);
                continue;
            };
            let cached = routers.get(&remote.address).copied();
            let router = if let Some(router) = cached {
                router
            } else {
                let router = self.router_incarnation_at(remote.address).await;
                routers.insert(remote.address, router);
                router
            };
            match router {
                Some(router) => self.set_keeper(shard, router, Some(remote.address)),
                None => self.set_keeper(shard, self.incarnation, None),
            }
        }
        self.budgets.keeper_directory().hosts_version = hosts.version;
    }

    async fn router_incarnation_at(&self, address: SocketAddr) -> Option<Incarnation> {
        match self.dialer.link(address).await {
            Ok(link) => Some(link.peer_incarnation()),
            Err(error) => {
                log::debug!(
                    "failed to connect to the router at {address}; keeping its budget shards here: {error}"
                );
                None
            }
        }
    }

    fn set_keeper(&self, shard: u32, router: Incarnation, address: Option<SocketAddr>) {
        let changed = self
            .budgets
            .keeper_directory()
            .set_keeper_of_shard(shard, router, address);
        if changed {
            log::info!("router {router} is now the keeper of budget shard {shard} for this zone");
            self.budgets.wallet_changed.notify_one();
        }
    }

    async fn request_slices(&self, outgoing: &OutgoingRequest) -> Option<wire::SliceReply> {
        let address = *self
            .budgets
            .keeper_directory()
            .addresses
            .get(&outgoing.keeper)?;
        let Some(address) = address else {
            return match self.answer_slice_request(&outgoing.request).await {
                Ok(reply) => Some(reply),
                Err(error) => {
                    log::warn!("failed to load the ledger for a slice request; retrying: {error}");
                    None
                }
            };
        };
        let link = self.dialer.link(address).await.ok()?;
        let body = FrameBody::SliceRequest((&outgoing.request).into());
        match link
            .call(body, Duration::from_millis(REQUEST_TIMEOUT_MS))
            .await
        {
            Ok(FrameBody::SliceReply(reply)) => Some(reply),
            Ok(other) => {
                log::warn!(
                    "unexpected answer of {} to a slice request; retrying: {other:?}",
                    link.remote()
                );
                None
            }
            Err(error) => {
                log::info!("slice request to {address} failed; retrying: {error}");
                None
            }
        }
    }

    async fn send_return(&self, returned: &SliceReturn) -> bool {
        let keeper = returned.slice.id.incarnation;
        let Some(address) = self
            .budgets
            .keeper_directory()
            .addresses
            .get(&keeper)
            .copied()
        else {
            return false;
        };
        let Some(address) = address else {
            return self.accept_return(returned).await;
        };
        let Ok(link) = self.dialer.link(address).await else {
            return false;
        };
        let body = FrameBody::SliceReturn(returned.into());
        matches!(
            link.call(body, Duration::from_millis(REQUEST_TIMEOUT_MS))
                .await,
            Ok(FrameBody::Done(_))
        )
    }

    /// Sends the wallet's slice requests and returns that are due, each in its own task.
    pub(crate) fn exchange_slices(self: &Arc<Self>) {
        let requests = if self.members.is_live(self.incarnation) {
            let mut wallet = self.budgets.wallet();
            wallet.due_requests(|budget| self.current_keeper(budget), now_ms())
        } else {
            Vec::new()
        };
        for outgoing in requests {
            let router = Arc::clone(self);
            tokio::spawn(async move {
                let Some(reply) = router.request_slices(&outgoing).await else {
                    return;
                };
                let keeper = Incarnation(reply.keeper);
                router
                    .budgets
                    .wallet()
                    .apply_reply(keeper, &reply.read(), now_ms());
                router.budgets.reservable_changed.notify_waiters();
                router.budgets.wallet_changed.notify_one();
            });
        }
        let returns = self.budgets.wallet().due_returns(now_ms());
        for returned in returns {
            let router = Arc::clone(self);
            tokio::spawn(async move {
                if router.send_return(&returned).await {
                    let id: SliceId = returned.slice.id;
                    router
                        .budgets
                        .wallet()
                        .acknowledge_return(&returned.budget, id);
                }
            });
        }
    }
}

/// Refills the wallet until the process ends.
pub(crate) async fn run_exchange(router: Arc<Router>) {
    tokio::spawn(locate(Arc::clone(&router)));
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = router.budgets.wallet_changed.notified() => {}
        }
        router.exchange_slices();
    }
}

/// Keeps the locations of keepers up to date.
///
/// Keepers are also checked periodically, as the host list may still name a lost one.
async fn locate(router: Arc<Router>) {
    let mut hosts = router.host_updates();
    let mut ticks = interval(Duration::from_millis(LOCATE_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = router.budgets.locate_requested.notified() => {}
            changed = hosts.changed() => if changed.is_err() { return },
        }
        router.locate_keepers().await;
    }
}
