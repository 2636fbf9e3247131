//! Forwards callers' requests to backend servers within prepaid budgets.
//!
//! A [`Gateway`] runs on each entry host. It takes any HTTP request, finds its route and workspace
//! in the [`Catalogue`], sets tokens of the workspace's budget aside, chooses a backend server and
//! passes the request on unchanged. Names on the wire are not known here: a [`HeadCodec`] and
//! [`Decoders`] translate them.
//!
//! # Where to look
//!
//! * a request: admission, tries, streams that go on elsewhere
//! * a connection: callers' connections and those kept to backend servers
//! * a version: the [`Catalogue`] with its routes and workspaces
//! * placement: the [`Fleet`] of backend servers, the choice among them, the [`RetryAllowance`]
//! * budgets: the [`Ledger`] of what all routers hold, the [`plan`] of draws, the [`LocalBudgets`]
//! * the process: the [`Store`] and the [`StoreTransport`], start and graceful end
//!
//! # A budget
//!
//! What a router holds is an [`Account`] in the store. It may spend what it holds without asking
//! anyone, so no budget is overspent whoever is cut off.
//!
//! ```
//! use mallowpath_gateway::{Account, Holding, Ledger, PlanSettings, plan};
//!
//! let ledger = Ledger::default();
//! let base = Account { epoch: 1, ..Account::default() };
//! let holding = Holding {
//!     workspace: "port".parse()?,
//!     prepaid: 1_000,
//!     granted: 0,
//!     spent: 0,
//!     reserved: 0,
//!     tokens_per_s: 10.0,
//!     wanted: 0,
//! };
//! let next = plan(&ledger, &base, &[holding], &PlanSettings::default()).expect("a draw is due");
//! assert!(next.lines.values().all(|line| line.granted > 0 && line.granted <= 1_000));
//! # Ok::<(), mallowpath::ParseIdError>(())
//! ```

mod budget;
mod connection;
mod placement;
mod process;
mod request;
mod version;

pub use budget::{
    Account, DrawTask, Holding, Ledger, LedgerView, Line, LocalBudgets, PlanSettings, Reservation,
    Shortage, Waiting, plan,
};
pub use placement::{
    Backend, BackendEntry, Candidate, ChoiceSettings, Demand, Fleet, InFlight, Overload, PrefixMap,
    RequestTimes, RetryAllowance, RetryAllowanceSettings, WaitSettings, Waits, choose,
};
pub use process::{
    AppendCall, AppendMark, Appended, Decoders, Gateway, GatewaySettings, ListenSettings, LogLines,
    NewestCall, Phase, ReadCall, SidecarSettings, Store, StorePage, StoreRecord, StoreTransport,
    Topic, run_relay, start_log_lines,
};
pub use request::{
    AnswerKind, BackendAnswer, BackendMarks, CallerRequest, EventError, EventSplitter, HeadCodec,
    PromptPart, TokenCount, strip_connection_headers,
};
pub use version::{CallerLimits, Catalogue, Route, RouteKind, RouteTarget, ServiceRule, Workspace};
