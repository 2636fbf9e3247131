//! What the host of this process can carry, and how much of it is used.

mod link_meter;
mod link_rate;
mod load_task;
mod metered_stream;
mod processor_share;
mod processor_window;
mod rotation;
mod zone_load;

pub use link_meter::{LinkBytes, LinkDirection, LinkMeter, LinkWindow};
pub use link_rate::{LinkRate, ParseLinkRateError};
pub(crate) use load_task::HostLoad;
pub(crate) use metered_stream::MeteredStream;
pub use processor_share::{ParseProcessorShareError, ProcessorShare};
pub use processor_window::ProcessorWindow;
pub use rotation::{Rotation, RotationChange, RotationSettings};
pub use zone_load::{LoadReport, ZoneLoad, ZoneRouter};
