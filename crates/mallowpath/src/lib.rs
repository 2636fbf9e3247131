//! Router fleet for prepaid token budgets.

mod backoff;
mod change;
mod error;
mod fleet;
mod fleet_check;
mod fleet_read;
mod http_call;
mod id;
mod ini;
mod issue;
mod log_client;
mod propagate;
mod replay;
mod section;
mod settings;

pub use backoff::Backoff;
pub use change::{
    Change, ChangeId, ConfigCheckpoint, ConfigEntry, ConfigRecord, Delta, JudgedChange,
    SectionNameRecord, SectionRecord, diff,
};
pub use error::{Category, Error, Result};
pub use fleet::{
    Backend, BackendState, Budget, Fleet, FleetRules, KeyHash, Service, ServiceKind, Services,
    WhenUnconfirmed, Workspace,
};
pub use fleet_read::parse_tokens;
pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use ini::{IniDocument, IniSection, IniValue};
pub use issue::{Issue, IssueReport, Place};
pub use log_client::{LogClient, LogClientSettings, LogPage, LogRecord};
pub use propagate::{ConfigHeartbeat, Propagation};
pub use replay::{ConfigLoader, ConfigState, ReplayError, Verdict, VoidReason};
pub use section::{Section, SectionName, Sections, sections_of};
pub use settings::{
    HostSettings, PeerTiming, RouterSettings, RouterTuning, SidecarSettings, SidecarTuning,
};
