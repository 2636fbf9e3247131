//! Measures the load of the host, reports it and takes the router out of the balancer's rotation.

use super::{
    link_meter::LinkMeter,
    link_rate::LinkRate,
    processor_share::ProcessorShare,
    processor_window::ProcessorWindow,
    rotation::{Rotation, RotationChange},
    zone_load::{LoadReport, UNREPORTED_SHARE, ZoneLoad, ZoneRouter},
};
use mallowpath::floor_to_u64;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{runtime::Handle, time::sleep};

/// Interval between measurements.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The load of the host, and what follows from it.
#[derive(Debug)]
pub(crate) struct HostLoad {
    router: Arc<str>,
    /// `None` if the settings state no rate; the link is not measured then.
    link: Option<Link>,
    /// `None` if the settings state no share; the processor is not measured then.
    processor: Option<ProcessorShare>,
    started_at: Instant,
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
}

#[derive(Debug)]
struct Link {
    rate: LinkRate,
    meter: Arc<LinkMeter>,
}

#[derive(Debug, Default)]
struct State {
    rotation: Rotation,
    zone: ZoneLoad,
    processor: ProcessorWindow,
}

/// The used shares of what the host carries; 0 of what is not limited.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostShares {
    /// Of the link's rate, towards this host.
    pub(crate) received: f64,
    /// Of the link's rate, from this host.
    pub(crate) sent: f64,
    /// Of the process's share of the processor.
    pub(crate) processor: f64,
}

impl HostShares {
    fn link(self) -> f64 {
        self.received.max(self.sent)
    }

    fn largest(self) -> f64 {
        self.link().max(self.processor)
    }
}

impl HostLoad {
    /// Returns the load of a host whose link has the rate `link_rate` and which gives the process the
    /// share `processor`.
    pub(crate) fn new(
        router: Arc<str>,
        link_rate: Option<LinkRate>,
        processor: Option<ProcessorShare>,
    ) -> Self {
        Self {
            router,
            link: link_rate.map(|rate| Link {
                rate,
                meter: Arc::default(),
            }),
            processor,
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Returns what counts the bytes of connections; `None` if nobody asks for them.
    pub(crate) fn link_meter(&self) -> Option<Arc<LinkMeter>> {
        let link = self.link.as_ref()?;
        Some(Arc::clone(&link.meter))
    }

    /// Returns whether the router is out of the rotation because its host is full.
    pub(crate) fn is_out_of_rotation(&self) -> bool {
        self.lock().rotation.is_out()
    }

    /// Records the load of another router of the availability zone.
    pub(crate) fn record_report(&self, router: Arc<str>, report: LoadReport) {
        let now_ms = self.now_ms();
        self.lock().zone.record(router, report, now_ms);
    }

    /// Returns the used shares of what the host carries.
    pub(crate) fn shares(&self) -> HostShares {
        let (mut received, mut sent) = (0.0, 0.0);
        if let Some(link) = &self.link {
            let (bytes, time_ms) = link.meter.bytes();
            received = link.rate.used_share(bytes.received, time_ms);
            sent = link.rate.used_share(bytes.sent, time_ms);
        }
        HostShares {
            received,
            sent,
            processor: self.lock().processor.used_share(),
        }
    }

    /// Keeps the rotation up to date. Returns at once if the host limits nothing; never otherwise.
    ///
    /// `zone_routers` returns the other routers of the availability zone, `is_ready` whether this one
    /// takes new connections, and `report` sends a report to the others.
    pub(crate) async fn run(
        &self,
        zone_routers: impl Fn() -> Vec<ZoneRouter>,
        is_ready: impl Fn() -> bool,
        report: impl Fn(LoadReport),
    ) {
        if self.link.is_none() && self.processor.is_none() {
            return;
        }
        let mut checked_at = Instant::now();
        let mut busy = self.busy_time();
        let mut reported_at = Instant::now();
        loop {
            sleep(CHECK_INTERVAL).await;
            let busy_before = std::mem::replace(&mut busy, self.busy_time());
            let busy_ms = busy.saturating_sub(busy_before).as_secs_f64() * 1e3;
            let interval_ms = millis(checked_at.elapsed());
            checked_at = Instant::now();
            if self.record_interval(busy_ms, interval_ms) {
                continue;
            }
            let shares = self.shares();
            let change = self.update(shares, &zone_routers());
            log_change(change, shares);
            let own = self.report(shares, !is_ready());
            let is_due = reported_at.elapsed() >= REPORT_INTERVAL;
            let is_loaded = own.is_out || shares.largest() >= UNREPORTED_SHARE;
            if change.is_some() || is_due && is_loaded {
                reported_at = Instant::now();
                report(own);
            }
        }
    }

    /// Returns how long the threads of the runtime were busy since its start; nothing if the processor
    /// is not limited.
    fn busy_time(&self) -> Duration {
        let mut busy = Duration::ZERO;
        if self.processor.is_none() {
            return busy;
        }
        let runtime = Handle::current().metrics();
        for worker in 0..runtime.num_workers() {
            busy += runtime.worker_total_busy_duration(worker);
        }
        busy / u32::try_from(runtime.num_workers().max(1)).unwrap_or(u32::MAX)
    }

    /// Records an interval between two measurements; returns whether the process recovers from a stall.
    fn record_interval(&self, busy_ms: f64, interval_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.processor.record(busy_ms, interval_ms, now_ms);
        state.processor.recovers(now_ms)
    }

    /// Returns what to report of the load.
    fn report(&self, shares: HostShares, is_out: bool) -> LoadReport {
        let rate = self.link.as_ref().map_or(0, |link| link.rate.bits_per_s());
        let used_millicores = self.processor.map(|processor| {
            let millicores = processor.millicores() as f64;
            floor_to_u64(millicores * shares.processor)
        });
        LoadReport {
            is_out,
            used_bits_per_s: floor_to_u64(rate as f64 * shares.link()),
            used_millicores,
        }
    }

    fn update(&self, shares: HostShares, others: &[ZoneRouter]) -> Option<RotationChange> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let may_be_out = if state.rotation.is_out() {
            state.zone.may_stay_out(&self.router, others, now_ms)
        } else {
            let own = self.report(shares, false);
            state.zone.may_leave(own, others, now_ms)
        };
        state.rotation.update(shares.largest(), may_be_out, now_ms)
    }

    fn now_ms(&self) -> u64 {
        millis(self.started_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn log_change(change: Option<RotationChange>, shares: HostShares) {
    let HostShares {
        received,
        sent,
        processor,
    } = shares;
    match change {
        Some(RotationChange::Left) => {
            let resource = if shares.link() >= processor {
                "link"
            } else {
                "processor"
            };
            metrics::counter!("gateway_rotation_left_total", "resource" => resource).increment(1);
            log::warn!(
                target: "host",
                "the {resource} is full ({received:.2} of the link's rate received, {sent:.2} sent, \
                 {processor:.2} of the share of the processor used); leaving the load balancer's \
                 rotation",
            );
        }
        Some(RotationChange::Returned) => log::info!(
            target: "host",
            "back in the load balancer's rotation ({received:.2} of the link's rate received, \
             {sent:.2} sent, {processor:.2} of the share of the processor used)",
        ),
        None => {}
    }
}
