//! Where a request may be sent.

use super::{
    message_heads::CallerRequest,
    rejection::Rejection,
    request_log::{OriginLine, Reason, RequestLog, TakeUpReads},
};
use crate::{
    process::Gateway,
    stream_origin::{KnownStream, StreamKey, TakeUpDecision, TakeUpKnowledge},
    version::Route,
};
use mallowpath::{BackendVersion, ServiceId, WorkspaceId};
use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time for which a caller that takes up a stream waits for reads of the store.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Where a request may be sent.
#[derive(Debug)]
pub(super) struct Destination {
    /// The service.
    pub(super) service: ServiceId,
    /// The version of the backend server that began the stream, if the request goes on with one.
    pub(super) version: Option<BackendVersion>,
}

/// Chooses the service of a request for `path` and, if it goes on with a stream, the version of the backend
/// servers that may do so.
///
/// # Errors
///
/// Rejects a request whose route leads nowhere, and one that goes on with a stream if its version is
/// unknown and several may have begun it.
pub(super) async fn choose_destination(
    gateway: &Gateway,
    route: &Route,
    path: &str,
    caller_request: &CallerRequest,
    workspace: Option<&WorkspaceId>,
    deadline: Instant,
    log: &mut RequestLog,
) -> Result<Destination, Rejection> {
    let reject = |reason| {
        let remaining = deadline.saturating_duration_since(Instant::now());
        Rejection::no_capacity(reason, remaining)
    };
    let Some(service) = route.choose_service(rand::random()).cloned() else {
        return Err(reject(Reason::NoBackend));
    };
    if !caller_request.takes_up_stream() {
        return Ok(Destination {
            service,
            version: None,
        });
    }
    let key = caller_request.continued_attempt_id.as_ref();
    let key = key.map(|attempt_id| StreamKey::new(workspace, attempt_id));
    let take_up = TakeUp {
        gateway,
        key,
        host: &caller_request.host,
        path,
        arrived_at: log.started(),
        until: deadline.min(Instant::now() + READ_TIMEOUT),
    };
    let reason = match take_up.search().await {
        TakeUpResult::Found { stream, source } => {
            log.set_origin(OriginLine {
                version: Some(stream.origin.version.clone()),
                age_ms: Some(gateway.stream_origins.age_ms(&stream)),
                ..OriginLine::new(source)
            });
            let route = take_up.route();
            if route.is_some_and(|route| route.leads_to(&stream.origin.service)) {
                return Ok(Destination {
                    service: stream.origin.service,
                    version: Some(stream.origin.version),
                });
            }
            Reason::NoBackend
        }
        TakeUpResult::OneVersion(destination) => {
            log.set_origin(take_up.undecided_line("one_version"));
            return Ok(destination);
        }
        TakeUpResult::Unknown => {
            log.set_origin(take_up.undecided_line("unknown"));
            Reason::VersionUnknown
        }
        TakeUpResult::NoStore => {
            log.set_origin(take_up.undecided_line("no_store"));
            Reason::VersionUnknown
        }
    };
    Err(reject(reason))
}

/// A request that goes on with a stream.
#[derive(Debug)]
struct TakeUp<'a> {
    gateway: &'a Gateway,
    /// `None` if the caller does not name the stream.
    key: Option<StreamKey>,
    host: &'a str,
    path: &'a str,
    arrived_at: Instant,
    /// Until when the caller waits for reads of the store.
    until: Instant,
}

#[derive(Debug)]
enum TakeUpResult {
    /// The origin of the stream is known.
    Found {
        stream: KnownStream,
        source: &'static str,
    },
    /// The origin is unknown, but only one version can have begun the stream.
    OneVersion(Destination),
    /// Several versions may have begun the stream.
    Unknown,
    /// The store can't be read, and what this router knows may be old.
    NoStore,
}

impl TakeUp<'_> {
    /// Searches for the origin of the stream, in the store if need be.
    async fn search(&self) -> TakeUpResult {
        let mut source = "memory";
        let mut is_read = true;
        loop {
            // Taken first, as a read may be applied meanwhile.
            let mut knowledge = self.knowledge();
            let stream = self
                .key
                .and_then(|key| self.gateway.stream_origins.get(key));
            if let Some(stream) = stream {
                return TakeUpResult::Found { stream, source };
            }
            if !is_read {
                return TakeUpResult::NoStore;
            }
            let only = self.only_destination();
            knowledge.has_one_version = only.is_some();
            match (knowledge.decide(), only) {
                (TakeUpDecision::OnlyVersion, Some(only)) => return TakeUpResult::OneVersion(only),
                (TakeUpDecision::Read { lists, origins }, _) => {
                    source = "store";
                    is_read = self.read(lists, origins).await;
                }
                _ => return TakeUpResult::Unknown,
            }
        }
    }

    /// Returns how old what is known is; whether there is one version is yet to be stated.
    fn knowledge(&self) -> TakeUpKnowledge {
        TakeUpKnowledge {
            arrived_at: self.arrived_at,
            servers: self.gateway.backends_reads.span(),
            configuration: self.gateway.configuration_in_force(),
            origins_as_of: self.gateway.stream_origins.read_as_of(),
            has_one_version: false,
        }
    }

    /// Waits for the origins or, if these aren't needed, for the lists, which are read meanwhile.
    async fn read(&self, lists: bool, origins: bool) -> bool {
        let (arrived_at, until) = (self.arrived_at, self.until);
        let [servers, configuration] = [
            &self.gateway.backends_reads,
            &self.gateway.configuration_reads,
        ];
        if lists {
            servers.ask(arrived_at, until);
            configuration.ask(arrived_at, until);
        }
        if origins {
            return self.gateway.stream_origins.read(arrived_at, until).await;
        }
        servers.wait_until_current(arrived_at, until).await
            && configuration.wait_until_current(arrived_at, until).await
    }

    /// Returns the route by the configuration in force, which may be newer than that of the admission.
    fn route(&self) -> Option<Arc<Route>> {
        let configuration = self.gateway.configuration()?;
        configuration.route(self.host, self.path).cloned()
    }

    /// Returns the only service of the route and its only version; services to which the route led lately and
    /// servers that left lately are included.
    fn only_destination(&self) -> Option<Destination> {
        let mut services = BTreeSet::new();
        for route in self.gateway.recent_routes(self.host, self.path) {
            let weights = route.service_weights.iter();
            services.extend(weights.map(|weight| weight.service.clone()));
        }
        let service = services.pop_first().filter(|_| services.is_empty())?;
        let mut versions = self.gateway.service_versions(&service);
        let version = versions.pop_first().filter(|_| versions.is_empty())?;
        Some(Destination { service, version })
    }

    /// Returns the entry for a stream whose origin is not known, with the reads that the decision rests on.
    fn undecided_line(&self, found: &'static str) -> OriginLine {
        let knowledge = self.knowledge();
        let read_ms = |as_of: Option<Instant>| {
            let as_of = as_of?;
            // Rounded up, so that a read that began before the arrival never counts as one that began after it.
            let before = self.arrived_at.saturating_duration_since(as_of).as_micros();
            let before = i64::try_from(before.div_ceil(1_000));
            let after = i64::try_from(as_of.saturating_duration_since(self.arrived_at).as_millis());
            Some(after.unwrap_or(i64::MAX) - before.unwrap_or(i64::MAX))
        };
        let reads = TakeUpReads {
            servers_read_ms: read_ms(knowledge.servers.map(|span| span.as_of)),
            configuration_read_ms: read_ms(knowledge.configuration.map(|span| span.as_of)),
            origins_read_ms: read_ms(knowledge.origins_as_of),
        };
        OriginLine {
            reads: Some(reads),
            ..OriginLine::new(found)
        }
    }
}
