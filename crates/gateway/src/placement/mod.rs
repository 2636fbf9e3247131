//! Admission control, selection of backend servers, and the limit on retries.

mod availability;
mod backend;
mod backend_registry;
mod choice;
mod cold_start;
mod overload_order;
mod prefix_map;
mod rate_share;
mod retry_limiter;
mod selection;
mod service_group;
mod service_versions;
mod shared_wait_estimator;
mod slowness;
mod stated_rate_limit;
mod token_shares;
mod unidentified_rejections;
mod wait_estimator;
mod zone_preference;
mod zone_spill;

pub use availability::Availability;
pub use backend::{Backend, BackendEntry, InFlight};
pub use backend_registry::BackendRegistry;
pub use choice::{Candidate, ChoiceSettings, choose};
pub use cold_start::{ColdStartWindow, cold_rate_share};
pub use overload_order::{
    LoadRefusal, LoadRequest, OverloadOrder, OverloadOrderSettings, RefusalCause,
};
pub use prefix_map::PrefixMap;
pub use retry_limiter::{RetryLimiter, RetryLimiterSettings};
pub use selection::BackendQuery;
pub use slowness::{RecentWaits, SlownessSettings, WaitSums, slowness};
pub use stated_rate_limit::{RateSharers, StatedRateLimit};
pub use token_shares::fair_level;
pub use wait_estimator::{
    LimitShares, Overload, RequestTimes, WaitEstimator, WaitEstimatorSettings,
};
pub use zone_spill::{ZoneSpill, ZoneSpillSettings, ZoneWaits, expected_wait_ms};
