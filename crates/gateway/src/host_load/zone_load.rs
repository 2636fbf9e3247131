//! What the routers of an availability zone report of the load of their hosts.

use super::{link_rate::LinkRate, processor_share::ProcessorShare};
use std::{collections::BTreeMap, sync::Arc};

/// How long a report counts; reports are a second apart.
const REPORT_TTL_MS: u64 = 3_500;

/// The share of its link and processor that a router without a report is assumed to use; those that use more report
/// it.
pub(super) const UNREPORTED_SHARE: f64 = 0.2;

/// The share of the links and processors of the routers that stay in the rotation that they may use
/// together after another one has left.
const USED_SHARE_MAX: f64 = 0.7;

/// A router of the availability zone.
#[derive(Debug, Clone)]
pub struct ZoneRouter {
    /// Its name.
    pub name: Arc<str>,
    /// The rate of its link; `None` if it limits nothing.
    pub link_rate: Option<LinkRate>,
    /// Its share of the processor; `None` if it limits nothing.
    pub processor: Option<ProcessorShare>,
    /// Whether it has not answered for some time.
    pub is_gone: bool,
}

/// What a router reports of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Whether it takes no new connections.
    pub is_out: bool,
    /// The bits per second on its link, in the direction that has more.
    pub used_bits_per_s: u64,
    /// The used thousandths of a processor core; `None` if it does not measure that.
    pub used_millicores: Option<u64>,
}

/// The load of the other routers of an availability zone, by their reports.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    /// The last report of each router.
    reports: BTreeMap<Arc<str>, ReceivedReport>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: LoadReport,
    received_at_ms: u64,
}

/// What the routers that stay in the rotation carry together of a resource, and what they are to carry.
#[derive(Debug)]
struct Pool {
    capacity: f64,
    used: f64,
}

impl Pool {
    /// Returns a pool that is to carry what the router that leaves uses.
    fn new(used: Option<u64>) -> Self {
        Self {
            capacity: 0.0,
            used: used.unwrap_or_default() as f64,
        }
    }

    /// Adds a router that stays, which limits nothing without a capacity.
    fn add(&mut self, capacity: Option<u64>, used: Option<u64>) {
        let capacity = capacity.map(|capacity| capacity as f64);
        self.capacity += capacity.unwrap_or(f64::INFINITY);
        self.used += match used {
            Some(used) => used as f64,
            None => capacity.unwrap_or_default() * UNREPORTED_SHARE,
        };
    }

    fn has_room(&self) -> bool {
        self.used <= self.capacity * USED_SHARE_MAX
    }
}

impl ReceivedReport {
    fn counts(&self, now_ms: u64) -> bool {
        now_ms < self.received_at_ms + REPORT_TTL_MS
    }
}

impl ZoneLoad {
    /// Records a report of another router.
    pub fn record(&mut self, router: Arc<str>, report: LoadReport, now_ms: u64) {
        self.reports.retain(|_, received| received.counts(now_ms));
        let received = ReceivedReport {
            report,
            received_at_ms: now_ms,
        };
        self.reports.insert(router, received);
    }

    /// Returns whether the router `own` may leave the rotation, with `others` in the zone.
    ///
    /// If fewer than half of the routers were in it, the balancer would use all of them. Besides, those
    /// that stay need room for the load of the one that leaves.
    pub fn may_leave(&self, own: LoadReport, others: &[ZoneRouter], now_ms: u64) -> bool {
        let routers = others.len() + 1;
        let mut staying = 0;
        let mut link = Pool::new(Some(own.used_bits_per_s));
        let mut processor = Pool::new(own.used_millicores);
        for router in others {
            let report = self.report(&router.name, now_ms);
            if is_out(router, report) {
                continue;
            }
            staying += 1;
            link.add(
                router.link_rate.map(LinkRate::bits_per_s),
                report.map(|report| report.used_bits_per_s),
            );
            processor.add(
                router.processor.map(ProcessorShare::millicores),
                report.and_then(|report| report.used_millicores),
            );
        }
        staying * 2 >= routers && link.has_room() && processor.has_room()
    }

    /// Returns whether the router with the name `own`, which is out of the rotation, may stay out.
    ///
    /// If more than half of the routers are out, those with the first names stay out.
    pub fn may_stay_out(&self, own: &str, others: &[ZoneRouter], now_ms: u64) -> bool {
        let out_max = others.len().div_ceil(2);
        let mut out_before = 0;
        for router in others {
            if *router.name < *own && is_out(router, self.report(&router.name, now_ms)) {
                out_before += 1;
            }
        }
        out_before < out_max
    }

    fn report(&self, router: &str, now_ms: u64) -> Option<LoadReport> {
        let received = self.reports.get(router)?;
        received.counts(now_ms).then_some(received.report)
    }
}

fn is_out(router: &ZoneRouter, report: Option<LoadReport>) -> bool {
    router.is_gone || report.is_some_and(|report| report.is_out)
}
