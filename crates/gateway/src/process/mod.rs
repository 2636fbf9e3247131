//! The router and sidecar processes: settings, store access, logs, start and shutdown.

mod follow;
mod gateway;
mod log_lines;
mod read_time;
mod relay;
mod settings;
mod store;
mod store_transport;
mod watch;

pub use gateway::{Gateway, Phase};
pub use log_lines::{LogGuard, start_log_lines};
pub(crate) use log_lines::{log_event, log_request};
pub(crate) use read_time::ReadTime;
pub use settings::{GatewaySettings, ListenSettings, SidecarSettings};
pub use store::{
    AppendCall, AppendMark, Appended, NewestCall, ReadCall, Store, StorePage, StoreRecord, Topic,
};
pub use store_transport::StoreTransport;
pub use watch::{Decoders, run_relay};
