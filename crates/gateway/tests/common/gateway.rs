//! A gateway with an in-memory store, and a client for its callers' side.

use super::store::FakeStore;
use http::{HeaderMap, header, request, response};
use mallowpath::{Error, HostLimits, Result};
use mallowpath_gateway::{
    AnswerKind, BackendAnswer, BackendEntry, BackendRequestHead, CallerRequest, Configuration,
    Decoders, DrawSettings, Gateway, GatewaySettings, HeadCodec, KeeperSettings, ListenSettings,
    PromptPart, RetryLimiterSettings, Route, RouteKind, ServiceConfig, ServiceWeight, Store,
    StoreTransport, TokenCount, Topic, Workspace,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// The workspace that all tests use.
pub const WORKSPACE: &str = "port";
/// The API key of the workspace.
pub const KEY: &str = "secret";
/// The prepaid tokens of the workspace.
pub const PREPAID: u64 = 10_000;

/// Routers of the tests wait for each other for as long as the tests wait for an answer.
///
/// A test process may stand still for longer than routers wait by default. The connections of a router
/// that has ended close at once.
pub const PATIENT: KeeperSettings = KeeperSettings {
    first_answer_timeout_ms: 20_000,
    connect_timeout_ms: 20_000,
};

/// A gateway with the store that it uses.
pub struct TestGateway {
    pub gateway: Arc<Gateway>,
    pub store: FakeStore,
}

/// An answer as received by a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the connection ended before the answer was complete.
    pub is_truncated: bool,
}

impl TestGateway {
    /// Starts a gateway with the backend servers at `addresses` and waits until it is ready.
    pub async fn start(addresses: &[SocketAddr]) -> Self {
        Self::start_with(addresses, |_| {}).await
    }

    /// Starts a gateway as [`Self::start`] does, with settings modified by `change`.
    pub async fn start_with(
        addresses: &[SocketAddr],
        change: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let store = FakeStore::default();
        store.put(Topic::Configuration, "configuration", Some("1"));
        for (index, address) in addresses.iter().enumerate() {
            let key = format!("b{index}");
            store.put(Topic::Backends, &key, Some(&address.to_string()));
        }
        let test = Self::start_router(&store, change).await;
        test.wait_until(|gateway| gateway.backends.len() == addresses.len())
            .await;
        test
    }

    /// Starts a gateway on `store`, which may have others, and waits until it is ready.
    pub async fn start_router(
        store: &FakeStore,
        change: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let test = Self::start_loading(store, change).await;
        test.wait_until(Gateway::is_ready).await;
        test
    }

    /// Starts a gateway on `store` without waiting until it has read anything.
    pub async fn start_loading(
        store: &FakeStore,
        change: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        Self::start_loading_through(store, store.interface(), change).await
    }

    /// Starts a gateway that calls `store` through `interface`.
    pub async fn start_loading_through(
        store: &FakeStore,
        interface: Store,
        change: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let mut settings = settings();
        change(&mut settings);
        let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
        let transport = Arc::new(StoreTransport::new(closed_port, Vec::new()));
        let gateway = Gateway::start(settings, head_codec(), decoders(), interface, transport)
            .await
            .unwrap();
        Self {
            gateway,
            store: store.clone(),
        }
    }

    /// Waits up to 5 s until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold by then.
    pub async fn wait_until(&self, condition: impl Fn(&Gateway) -> bool) {
        for _ in 0..500 {
            if condition(&self.gateway) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("condition not met within 5 s");
    }

    /// Sends a request on a new connection and reads the complete answer.
    pub async fn call(&self, path: &str, headers: &str) -> Answer {
        let mut stream = self.connect().await;
        send(&mut stream, path, headers).await;
        read_answer(stream).await
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.gateway.callers_address())
            .await
            .unwrap()
    }
}

/// Sends a request with `connection: close`.
pub async fn send(stream: &mut TcpStream, path: &str, headers: &str) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         connection: close\r\ncontent-length: 2\r\n{headers}\r\nhi"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
}

/// Reads an answer until the connection ends.
pub async fn read_answer(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = timeout(Duration::from_secs(20), stream.read_to_end(&mut bytes)).await;
    let read = read.expect("the answer is complete within 20 s");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let (body, is_complete) = if chunked {
        decode_chunks(rest)
    } else {
        (rest.to_owned(), true)
    };
    Answer {
        status: status.unwrap_or(0),
        head: head.to_lowercase(),
        body,
        is_truncated: read.is_err() || !is_complete,
    }
}

fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            return (body, false);
        };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

fn settings() -> GatewaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    GatewaySettings {
        host: "host-1".parse().unwrap(),
        account: Arc::from("host-1"),
        zone: "zone-1".parse().unwrap(),
        link_rate: None,
        processor: None,
        limits: HostLimits::default(),
        zone_crossing_cost_ms: None,
        state_urgency: false,
        listen: ListenSettings {
            callers: any,
            ready: any,
            admin: any,
            relay: any,
            peers: any,
            metrics: None,
        },
        relay_port: 1,
        seed_hosts: Vec::new(),
        draw_settings: DrawSettings {
            floor_share: 0.5,
            ..DrawSettings::default()
        },
        keeper_settings: PATIENT,
        retries: RetryLimiterSettings {
            ratio: 1.0,
            slack: 120.0,
            window_ms: 10_000,
        },
        reregistration_timeout_ms: 1_000,
        drain_notice_ms: 200,
        shutdown_grace_ms: 5_000,
    }
}

/// Returns a codec for header names that only these tests use.
fn head_codec() -> HeadCodec {
    HeadCodec {
        read_request_head,
        write_request_head,
        read_answer_head,
    }
}

fn read_request_head(head: &request::Parts) -> CallerRequest {
    let headers = &head.headers;
    let tokens = text(headers, "x-tokens").and_then(|text| {
        let (prompt, output_max) = text.split_once(' ')?;
        Some(TokenCount {
            prompt: prompt.parse().ok()?,
            output_max: output_max.parse().ok()?,
        })
    });
    CallerRequest {
        attempt_id: text(headers, "x-attempt").map(Arc::from),
        host: Arc::from(text(headers, "host").unwrap_or_default()),
        api_key: text(headers, "x-key").map(Arc::from),
        deadline_ms: text(headers, "x-deadline").and_then(|text| text.parse().ok()),
        tokens,
        prompt: text(headers, "x-prompt").map_or_else(Vec::new, read_prompt),
        last_event_id: text(headers, "x-last").and_then(|text| text.parse().ok()),
        continued_attempt_id: text(headers, "x-continues").map(Arc::from),
    }
}

/// Reads the parts of a prompt, as numbers separated by spaces.
fn read_prompt(text: &str) -> Vec<PromptPart> {
    let mut parts = Vec::new();
    for id in text.split(' ') {
        let id = id.parse().unwrap();
        parts.push(PromptPart { id, tokens: 10 });
    }
    parts
}

fn write_request_head(headers: &mut HeaderMap, request_head: &BackendRequestHead<'_>) {
    headers.remove("x-key");
    headers.insert("x-backend", request_head.backend.as_str().parse().unwrap());
    headers.insert("x-deadline", request_head.deadline_ms.into());
    if let Some(last) = request_head.last_event_id {
        headers.insert("x-last", last.into());
    }
    if let Some(urgency) = request_head.urgency {
        let value = format!("{urgency:?}").to_lowercase();
        headers.insert("x-urgency", value.parse().unwrap());
    }
}

fn read_answer_head(head: &response::Parts) -> BackendAnswer {
    let headers = &head.headers;
    let content_type = text(headers, "content-type").unwrap_or_default();
    BackendAnswer {
        attempt_id: text(headers, "x-attempt").map(Arc::from),
        not_run: headers.contains_key("x-not-run"),
        is_leaving: headers.contains_key("x-leaving"),
        rate_limit_per_s: text(headers, "x-rate").and_then(|text| text.parse().ok()),
        is_signed: headers.contains_key("x-signature"),
        kind: match content_type {
            "text/event-stream" => AnswerKind::Stream,
            _ if headers.contains_key(header::CONTENT_ENCODING) => AnswerKind::Unexpected,
            _ => AnswerKind::Whole,
        },
        idle_timeout_ms: Some(5_000),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn decoders() -> Decoders {
    Decoders {
        configuration_key: "configuration",
        evacuation_prefix: "evacuated/",
        configuration: read_configuration,
        backend: read_entry,
    }
}

/// Returns the configuration whose version is in `value`, perhaps followed by the workspace's prepaid
/// tokens; versions above 1 have one more route, those above 2 one more that is less urgent than the
/// others, and those above 3 lead the route `/resumed/` to the service `t`.
#[expect(
    clippy::unnecessary_wraps,
    reason = "the signature of a decoder is fallible"
)]
fn read_configuration(value: &[u8]) -> Result<Configuration> {
    let text = std::str::from_utf8(value).unwrap();
    let (version, prepaid) = text.split_once(' ').unwrap_or((text, ""));
    let version = version.parse().unwrap();
    let mut configuration = Configuration::new(version);
    let service_config = ServiceConfig {
        tokens_per_event: 3,
        ..ServiceConfig::default()
    };
    configuration
        .services
        .insert("s".parse().unwrap(), service_config);
    configuration.add_route(route("/once/", RouteKind::NonIdempotent, false));
    configuration.add_route(route("/again/", RouteKind::Idempotent, false));
    configuration.add_route(route("/stream/", RouteKind::Streaming, false));
    let resumed_service = if version > 3 { "t" } else { "s" };
    configuration.add_route(Route {
        service_weights: vec![ServiceWeight {
            service: resumed_service.parse().unwrap(),
            weight: 1,
        }],
        ..route("/resumed/", RouteKind::Streaming, true)
    });
    configuration.add_route(Route {
        latency_objective_ms: 0,
        ..route("/no-objective/", RouteKind::Idempotent, false)
    });
    configuration.add_route(Route {
        latency_objective_ms: 0,
        ..route("/once-no-objective/", RouteKind::NonIdempotent, false)
    });
    configuration.add_route(Route {
        timeout_ms: 30_000,
        ..route("/long/", RouteKind::Streaming, true)
    });
    if version > 1 {
        configuration.add_route(route("/new/", RouteKind::Idempotent, false));
    }
    if version > 2 {
        configuration.add_route(Route {
            priority: 1,
            ..route("/background/", RouteKind::Streaming, true)
        });
    }
    let workspace = Workspace {
        id: WORKSPACE.parse().unwrap(),
        prepaid: Some(prepaid.parse().unwrap_or(PREPAID)),
        priority: None,
    };
    configuration.add_workspace(workspace, &[Arc::from(KEY)]);
    Ok(configuration)
}

fn route(path_prefix: &str, kind: RouteKind, resumable: bool) -> Route {
    Route {
        name: Arc::from(path_prefix),
        host: Arc::from("h"),
        path_prefix: Arc::from(path_prefix),
        kind,
        service_weights: vec![ServiceWeight {
            service: "s".parse().unwrap(),
            weight: 1,
        }],
        timeout_ms: 3_000,
        latency_objective_ms: 200,
        silence_max_ms: 2_000,
        priority: 0,
        attempts_max: 2,
        public: false,
        resumable,
    }
}

/// Decodes an address with an optional prefix `leaving `, `of SERVICE ` or `in ZONE ` and an optional suffix
/// ` version VERSION` or ` started MS`; the default service is `s`, the default zone `zone-1`.
fn read_entry(key: &str, value: &[u8]) -> Result<BackendEntry> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let (draining, address) = match text.strip_prefix("leaving ") {
        Some(address) => (true, address),
        None => (false, text),
    };
    let (service, address) = match address
        .strip_prefix("of ")
        .and_then(|rest| rest.split_once(' '))
    {
        Some((service, address)) => (service, address),
        None => ("s", address),
    };
    let (zone, address) = match address
        .strip_prefix("in ")
        .and_then(|rest| rest.split_once(' '))
    {
        Some((zone, address)) => (zone, address),
        None => ("zone-1", address),
    };
    let (address, version) = match address.split_once(" version ") {
        Some((address, version)) => (address, Some(version)),
        None => (address, None),
    };
    let (address, started_at_ms) = match address.split_once(" started ") {
        Some((address, started_at_ms)) => (address, started_at_ms.parse().ok()),
        None => (address, None),
    };
    let Ok(address) = address.parse() else {
        let category = mallowpath::Category::Protocol;
        return Err(Error::new(category, "read", key, "invalid address"));
    };
    Ok(BackendEntry {
        id: key.parse().unwrap(),
        started_at_ms,
        version: version.map(|version| version.parse().unwrap()),
        service: service.parse().unwrap(),
        address,
        zone: zone.parse().unwrap(),
        slots: 4,
        draining,
        cold_remaining_ms: 0,
        runs_model: true,
    })
}
