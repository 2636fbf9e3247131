//! Admission control, selection of backend servers, and the limit on retries.

mod allowance;
mod backend;
mod choice;
mod fleet;
mod prefix_map;
mod service_waits;
mod waits;

pub use allowance::{RetryAllowance, RetryAllowanceSettings};
pub use backend::{Backend, BackendEntry, InFlight};
pub use choice::{Candidate, ChoiceSettings, choose};
pub use fleet::{Demand, Fleet};
pub use prefix_map::PrefixMap;
pub use waits::{Overload, RequestTimes, WaitSettings, Waits};
