//! The router and sidecar processes: settings, store access, logs, start and shutdown.

mod follow_topic;
mod former_configurations;
mod gateway;
mod grace_period;
mod grace_request;
mod json_log;
mod peer_messages;
mod phase;
mod read_times;
mod relay;
mod reports;
mod route_durations;
mod router_directory;
mod settings;
mod shutdown;
mod sidecar;
mod state_dump;
mod store;
mod store_generation;
mod store_origins;
mod store_transport;
mod tasks;
mod topic_reads;
mod watch;
mod watch_backends;
mod watch_quarantine;
mod watch_routers;

pub use gateway::Gateway;
pub use grace_request::GraceRequest;
pub use json_log::{LogGuard, start_json_logging};
pub(crate) use json_log::{log_event, log_request};
pub use phase::Phase;
pub(crate) use read_times::ReadTimes;
pub use route_durations::{RouteDurations, UsualDuration};
pub use router_directory::{BudgetKeeper, PeerRouter, RouterDirectory, RouterHost};
pub use settings::{GatewaySettings, ListenSettings, SidecarSettings};
pub use sidecar::run_relay;
pub use store::{
    AppendCall, AppendId, AppendOutcome, NewestCall, ReadCall, Store, StorePage, StoreRecord, Topic,
};
pub use store_generation::{GenerationChange, GenerationTracker, StoreGeneration};
pub use store_transport::StoreTransport;
pub use topic_reads::{KnownSpan, TopicRead, TopicReads};
pub use watch::Decoders;
