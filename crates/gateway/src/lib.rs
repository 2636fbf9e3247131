//! Forwards callers' requests to backend servers within prepaid token budgets.
//!
//! A [`Gateway`] runs on each host that accepts callers' connections. For each HTTP request, it
//! finds the route and the workspace in the [`Configuration`], reserves tokens of the workspace's
//! budget, chooses a backend server and forwards the request with its body unchanged. This crate
//! defines no names of headers or record fields; a [`HeadCodec`] and [`Decoders`] translate them.
//!
//! # Modules
//!
//! * `request`: admission control, attempts and retries, streams that resume on another backend
//!   server
//! * `connection`: connections of callers and pooled connections to backend servers
//! * `host_load`: what the host carries, and the [`Rotation`] of the load balancer
//! * `version`: the [`Configuration`], one version of the routes, services and workspaces
//! * `placement`: which requests a service takes and which are refused first ([`OverloadOrder`]), the
//!   [`BackendRegistry`], the [`Availability`] of a backend server and the choice
//!   of one, the [`RetryLimiter`], the share of requests that may leave the zone ([`ZoneSpill`])
//! * `quarantine`: the [`PartQuarantine`](mallowpath::PartQuarantine) of requests and prompt parts
//!   that end backend servers, found by what all routers report
//! * `stream_origin`: the [`OriginTable`] of the versions of backend servers that began streams, and
//!   its records in the store
//! * `budget`: the [`AccountLedger`] of the tokens that all routers hold, the [`DrawTask`] of each
//!   [`LedgerShard`], the [`LocalBudgets`], reservations at other routers by the [`KeeperClient`]
//! * `process`: the [`Store`] and the [`StoreTransport`], the [`RouterDirectory`], start and
//!   graceful shutdown
//!
//! # Budgets
//!
//! The store holds an [`Account`] for each router, with the tokens that the router holds of each
//! budget. A router spends the tokens that it holds without coordination, so no budget is overspent
//! during a network partition. Tokens that many routers hold are of little use to each, so one
//! router keeps each budget and the others reserve there; if it does not answer, another one does.
//!
//! ```
//! use mallowpath_gateway::{Account, AccountLedger, DrawSettings, Holding, plan_account};
//!
//! let ledger = AccountLedger::default();
//! let base = Account { epoch: 1, ..Account::default() };
//! let holding = Holding {
//!     workspace: "port".parse()?,
//!     prepaid: 1_000,
//!     granted: 0,
//!     spent: 0,
//!     reserved: 0,
//!     tokens_per_s: 10.0,
//!     shortage_tokens: 0,
//!     take_up_tokens: 0,
//!     kept_tokens: 0,
//!     is_kept: true,
//! };
//! let next = plan_account(&ledger, &base, &[holding], &DrawSettings::default())
//!     .expect("a draw is due");
//! assert!(next.lines.values().all(|line| line.granted > 0 && line.granted <= 1_000));
//! # Ok::<(), mallowpath::ParseIdError>(())
//! ```

mod budget;
mod connection;
mod host_load;
mod placement;
mod process;
mod quarantine;
mod request;
mod stream_origin;
mod version;

pub use budget::{
    Account, AccountLedger, AccountLine, Ahead, BudgetShards, DrawSettings, DrawTask, EpochClaim,
    EpochOwner, Forecast, Holding, InsufficientTokens, KeeperClient, KeeperSettings, LedgerShard,
    LedgerView, LocalBudget, LocalBudgets, QUEUE_LENGTH_MAX, RemoteReservations, Reservation,
    ReservationKey, RetrySchedule, ReturnForecast, RunId, Standing, TakeUpReserve, Ticket,
    TokenClaim, TokenQueue, TokenWaiter, plan_account,
};
pub use host_load::{
    LinkBytes, LinkDirection, LinkMeter, LinkRate, LinkWindow, LoadReport, ParseLinkRateError,
    ParseProcessorShareError, ProcessorShare, ProcessorWindow, Rotation, RotationChange,
    RotationSettings, ZoneLoad, ZoneRouter,
};
pub use placement::{
    Availability, Backend, BackendEntry, BackendQuery, BackendRegistry, Candidate, ChoiceSettings,
    ColdStartWindow, InFlight, LimitShares, LoadRefusal, LoadRequest, Overload, OverloadOrder,
    OverloadOrderSettings, PrefixMap, RateSharers, RecentWaits, RefusalCause, RequestTimes,
    RetryLimiter, RetryLimiterSettings, SlownessSettings, StatedRateLimit, WaitEstimator,
    WaitEstimatorSettings, WaitSums, ZoneSpill, ZoneSpillSettings, ZoneWaits, choose,
    cold_rate_share, expected_wait_ms, fair_level, slowness,
};
pub use process::{
    AppendCall, AppendId, AppendOutcome, BudgetKeeper, Decoders, Gateway, GatewaySettings,
    GenerationChange, GenerationTracker, GraceRequest, KnownSpan, ListenSettings, LogGuard,
    NewestCall, PeerRouter, Phase, ReadCall, RouteDurations, RouterDirectory, RouterHost,
    SidecarSettings, Store, StoreGeneration, StorePage, StoreRecord, StoreTransport, Topic,
    TopicRead, TopicReads, UsualDuration, run_relay, start_json_logging,
};
pub use request::{
    AnswerKind, AnswerOwner, BackendAnswer, BackendRequestHead, CallerRequest, EventError,
    EventSplitter, HeadCodec, PromptPart, SilenceWatch, StreamEnd, StreamPart, TokenCount, Urgency,
    strip_connection_headers,
};
pub use stream_origin::{
    KnownStream, OriginHold, OriginRecord, OriginTable, StreamKey, StreamOrigin, TakeUpDecision,
    TakeUpKnowledge, UnwrittenOrigins,
};
pub use version::{
    CallerLimits, Configuration, RequestRank, Route, RouteKind, ServiceConfig, ServiceWeight,
    Workspace,
};
