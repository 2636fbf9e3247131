//! The billing tasks of a router: replicate a bill before its answer completes, then append it to
//! the log.

use crate::{
    billing::bill::{Bill, BillBatch},
    billing::kept_bills::KeptBills,
    billing::pending_bills::{BillSettings, BillState, PendingBills},
    id::{Incarnation, RequestId},
    membership::peer_selection::witness_addresses,
    peer::link::{Link, now_ms},
    peer::wire::{BillsLogged, FrameBody, Heartbeat, KeepBills},
    process::router::Router,
    process::settings::RouterTuning,
    request::request_run::Attempt,
};
use prost::Message;
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{MissedTickBehavior, interval, timeout},
};

/// The number of bill streams; a router's incarnation selects its stream.
pub const BILL_STREAMS: u64 = 16;
/// Interval of the checks for bills to append.
const FLUSH_INTERVAL_MS: u64 = 50;
/// Timeout for one witness to confirm that it keeps a bill.
const WITNESS_TIMEOUT_MS: u64 = 500;
/// The maximum time that an answer waits for its bill to become safe.
const SAFE_TIMEOUT_MS: u64 = 5000;
/// The maximum time that a draining router waits until its bills are in the log.
const DRAIN_TIMEOUT_MS: u64 = 10_000;

/// The bills of this router's own requests, and the bills that it keeps for other routers.
#[derive(Debug)]
pub(crate) struct RouterBilling {
    router: Incarnation,
    stream: Arc<str>,
    pending: Mutex<PendingBills>,
    kept: Mutex<KeptBills>,
    /// Notified when a bill became safe or was logged.
    changed: Notify,
    /// Notified when a batch has to be appended without waiting for the next tick.
    flush_requested: Notify,
    /// The connections over which adopted bills came; their peers are notified once the bills are
    /// logged.
    adopted_from: Mutex<HashMap<RequestId, Arc<Link>>>,
}

/// Returns the name of the bill stream of a router.
pub fn bill_stream(router: Incarnation) -> String {
    bill_stream_name(router.0 % BILL_STREAMS)
}

/// Returns the name of the bill stream with a number.
pub(crate) fn bill_stream_name(number: u64) -> String {
    format!("bills-{number:02}")
}

impl RouterBilling {
    /// Creates the state of a router without any bills.
    pub(crate) fn new(router: Incarnation, tuning: &RouterTuning) -> Self {
        let settings = BillSettings {
            interval_ms: tuning.bill_batch_ms,
            ..BillSettings::default()
        };
        Self {
            router,
            stream: Arc::from(bill_stream(router)),
            pending: Mutex::new(PendingBills::new(router, settings)),
            kept: Mutex::new(KeptBills::default()),
            changed: Notify::new(),
            flush_requested: Notify::new(),
            adopted_from: Mutex::new(HashMap::new()),
        }
    }

    /// Opens a request and returns its identifier.
    pub(crate) fn open(&self) -> RequestId {
        self.pending().open()
    }

    /// Closes a request without a bill, which must neither have run nor be able to run later.
    pub(crate) fn abandon(&self, request: RequestId) {
        self.pending().abandon(request);
    }

    /// Records the bill of an own request whose caller does not wait for the bill to become safe.
    pub(crate) fn record(&self, bill: Bill) {
        self.pending().finish(bill, false);
    }

    /// Returns the sequence number below which every own request has ended and has its bill, if
    /// any, in the log.
    pub(crate) fn logged_below(&self) -> u64 {
        self.pending().watermark().logged_below
    }

    /// Describes the bills for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let counts = self.pending().counts();
        json!({
            "stream": self.stream,
            "requests_without_bill": counts.reserved,
            "in_one_zone": counts.held_in_one_zone,
            "in_two_zones": counts.safe,
            "logged_below": self.logged_below(),
            "kept_for_others": self.kept().count(),
        })
    }

    /// Keeps the bills of a batch as a witness of another router, or adopts them if that router is
    /// lost.
    ///
    /// Returns false at the first bill that can't be decoded; those before it are kept.
    pub(crate) fn keep_for_peer(&self, keep: &KeepBills, link: &Arc<Link>) -> bool {
        let Ok(batch) = BillBatch::decode(keep.batch.clone()) else {
            return false;
        };
        for record in &batch.bills {
            let Some(bill) = Bill::from_record(record) else {
                return false;
            };
            if keep.adopt {
                self.adopted_from().insert(bill.request, Arc::clone(link));
                self.pending().adopt(bill);
            } else {
                self.kept().keep(bill);
            }
        }
        true
    }

    /// Discards the kept bills of another router that its heartbeat reports as logged.
    pub(crate) fn handle_heartbeat(&self, peer: Incarnation, heartbeat: &Heartbeat) {
        self.kept().logged_below(crate::BillWatermark {
            router: peer,
            logged_below: heartbeat.bills_logged_below,
        });
    }

    /// Returns the sequence numbers of another router's requests whose bills were logged on its
    /// behalf, at most as many as one heartbeat carries.
    pub(crate) fn billed_elsewhere(&self, peer: Incarnation) -> Vec<u64> {
        self.kept().billed_elsewhere(peer)
    }

    /// Closes own requests whose bills other routers logged because they considered this one lost.
    pub(crate) fn closed_elsewhere(&self, sequences: &[u64]) {
        for sequence in sequences {
            self.pending().logged_elsewhere(RequestId {
                incarnation: self.router,
                sequence: *sequence,
            });
        }
        if !sequences.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Adopts the bills kept for a lost router, so that this router appends them to the log.
    pub(crate) fn adopt_kept_bills(&self, router: Incarnation) {
        let bills = self.kept().bills_to_hand_over(router);
        if bills.is_empty() {
            return;
        }
        log::warn!(
            "router {router} is lost, logging {} bills for it",
            bills.len()
        );
        for bill in bills {
            self.pending().adopt(bill);
        }
    }

    fn pending(&self) -> MutexGuard<'_, PendingBills> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn kept(&self) -> MutexGuard<'_, KeptBills> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn adopted_from(&self) -> MutexGuard<'_, HashMap<RequestId, Arc<Link>>> {
        self.adopted_from
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_safe(&self, request: RequestId) -> bool {
        // `PendingBills` has no entry for another router's request once its bill is in the log.
        let state = self.pending().state(request);
        !matches!(state, Some(BillState::Reserved | BillState::HeldInOneZone))
    }

    /// Waits until a bill is safe; returns false after `SAFE_TIMEOUT_MS`.
    async fn wait_until_safe(&self, request: RequestId) -> bool {
        let deadline = Instant::now() + Duration::from_millis(SAFE_TIMEOUT_MS);
        loop {
            let changed = self.changed.notified();
            if self.is_safe(request) {
                return true;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if timeout(left, changed).await.is_err() {
                return false;
            }
        }
    }
}

impl Router {
    /// Records a bill and waits until it is safe: in the log, or held in two availability zones.
    ///
    /// The sidecar already holds the bill, so no witness is asked if the sidecar is in another zone
    /// than this router. This router also appends the bill of a request that another router
    /// submitted, in case that router is lost; a second copy in the log has no effect.
    ///
    /// Returns false if the bill is not safe in time.
    pub(crate) async fn replicate_bill(self: &Arc<Self>, bill: Bill, attempt: &Attempt) -> bool {
        let request = bill.request;
        let record = bill.to_record();
        let safe = *attempt.sidecar_zone != *self.settings.host.zone.as_str();
        if request.incarnation == self.incarnation {
            self.bills.pending().finish(bill, safe);
        } else {
            let sidecar = Arc::clone(attempt.call.link());
            self.bills.adopted_from().insert(request, sidecar);
            self.bills.pending().adopt(bill);
        }
        if safe {
            self.bills.pending().mark_safe(request);
            return true;
        }
        let batch = BillBatch {
            bills: vec![record],
            ..BillBatch::default()
        };
        let keep = KeepBills {
            batch: batch.encode_to_vec().into(),
            adopt: false,
        };
        let router = Arc::clone(self);
        tokio::spawn(async move { router.replicate_to_witness(request, keep).await });
        self.bills.wait_until_safe(request).await
    }

    /// Asks routers in other availability zones to keep a bill, one after the other, until one
    /// does; if none does, requests an immediate append to the log.
    async fn replicate_to_witness(self: Arc<Self>, request: RequestId, keep: KeepBills) {
        for address in witness_addresses(&self.settings.host, &self.hosts()) {
            let Some(link) = self.dialer.open_link(address) else {
                continue;
            };
            let reply = link.call(
                FrameBody::KeepBills(keep.clone()),
                Duration::from_millis(WITNESS_TIMEOUT_MS),
            );
            if let Ok(FrameBody::Done(_)) = reply.await {
                self.bills.pending().mark_safe(request);
                self.bills.changed.notify_waiters();
                return;
            }
        }
        self.bills.pending().make_batch_due();
        self.bills.flush_requested.notify_one();
    }

    async fn append_bills(&self) {
        let batch = self.bills.pending().batch(now_ms());
        let Some(batch) = batch else { return };
        let sequence = batch.sequence;
        match self
            .log
            .append(&self.bills.stream, batch.encode_to_vec().into())
            .await
        {
            Ok(_) => {
                let adopted = self.bills.pending().appended(sequence);
                self.bills.changed.notify_waiters();
                self.notify_logged(adopted).await;
            }
            Err(error) => log::warn!("appending bills failed; the batch is retried: {error}"),
        }
    }

    /// Notifies the processes that handed bills over that the bills are in the log.
    async fn notify_logged(&self, requests: Vec<RequestId>) {
        for request in requests {
            let link = self.bills.adopted_from().remove(&request);
            let Some(link) = link else {
                self.bills.kept().logged(request);
                continue;
            };
            link.send_oneway(FrameBody::BillsLogged(BillsLogged {
                requests: vec![request.into()],
            }))
            .await;
        }
    }
}

/// Appends bills to the log until the process ends.
pub(crate) async fn flush(router: Arc<Router>) {
    let mut flush_interval = interval(Duration::from_millis(FLUSH_INTERVAL_MS));
    flush_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = flush_interval.tick() => {}
            () = router.bills.flush_requested.notified() => {}
        }
        router.append_bills().await;
    }
}

/// Waits until every bill is in the log, for at most `DRAIN_TIMEOUT_MS`.
///
/// Bills that are not in the log by then remain with the sidecars that hold them, which hand them
/// over to other routers.
pub(crate) async fn wait_until_logged(router: &Arc<Router>) {
    let deadline = Instant::now() + Duration::from_millis(DRAIN_TIMEOUT_MS);
    loop {
        let counts = router.bills.pending().counts();
        if counts.held_in_one_zone + counts.safe == 0 {
            return;
        }
        if Instant::now() >= deadline {
            log::warn!(
                "ending with {} bills that are not in the log; sidecars hold them",
                counts.held_in_one_zone + counts.safe
            );
            return;
        }
        router.bills.pending().make_batch_due();
        router.bills.flush_requested.notify_one();
        tokio::time::sleep(Duration::from_millis(FLUSH_INTERVAL_MS)).await;
    }
}
