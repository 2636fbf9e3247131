//! Reserves tokens at the routers that keep the budgets.

use super::{
    reservation::Reservation,
    reserve::{DRAW_WAIT_MAX, ReserveError, TokenRequest, TokenWait},
};
use crate::{
    process::{PeerRouter, RouterDirectory},
    request::millis,
};
use mallowpath::{
    Backoff, Call, Dialer, Endpoint, FrameBody, Heartbeat, Hello, LinkSettings, ReserveAnswerKind,
    ReserveReply, ReserveTokens, Responder, SettleTokens,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time after the end of a request at which its reservation expires at the latest.
const EXPIRY_MARGIN: Duration = Duration::from_secs(3);

/// Delays between attempts to reach a router again.
const PROBE_BACKOFF: Backoff = Backoff {
    min_ms: 100,
    max_ms: 3_000,
};

/// Interval between heartbeats of the connections between routers.
///
/// Calls have timeouts of their own, so heartbeats only close connections that nobody uses.
const HEARTBEAT_INTERVAL_MS: u64 = 5_000;

/// Time without a message after which a connection between routers is closed.
const SILENT_AFTER_MS: u64 = 17_000;

/// How long a router waits for another one before it avoids it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperSettings {
    /// Time for the first answer of a router; later ones may wait for a draw.
    pub first_answer_timeout_ms: u64,
    /// Time to open a connection to a router.
    pub connect_timeout_ms: u64,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            first_answer_timeout_ms: 150,
            connect_timeout_ms: 250,
        }
    }
}

impl KeeperSettings {
    pub(super) fn first_answer_timeout(self) -> Duration {
        Duration::from_millis(self.first_answer_timeout_ms)
    }

    /// Returns the time for the answer after a draw.
    fn draw_answer_timeout(self) -> Duration {
        DRAW_WAIT_MAX + self.first_answer_timeout()
    }
}

/// Reserves tokens at other routers.
#[derive(Debug)]
pub struct KeeperClient {
    directory: Arc<RouterDirectory>,
    pub(super) dialer: Arc<Dialer>,
    pub(super) settings: KeeperSettings,
    /// Distinguishes the reservations of this incarnation from those of earlier ones.
    incarnation: u64,
    last_number: AtomicU64,
}

/// The answer of a router that was asked to reserve tokens.
#[derive(Debug)]
pub(crate) enum KeeperAnswer {
    /// The tokens are reserved, perhaps after a wait.
    Reserved(Reservation, Option<TokenWait>),
    /// The tokens can't be reserved.
    Failed(ReserveError, Option<TokenWait>),
    /// The router did not answer or can't decide; another one may.
    Unavailable,
}

impl KeeperAnswer {
    /// Returns the answer of this router itself.
    pub(crate) fn new(result: Result<Reservation, ReserveError>, wait: Option<TokenWait>) -> Self {
        match result {
            Ok(reservation) => Self::Reserved(reservation, wait),
            Err(error) => Self::Failed(error, wait),
        }
    }
}

/// Returns the endpoint of a router's connections to others.
pub(crate) fn endpoint(
    hello: Hello,
    settings: KeeperSettings,
    on_call: impl Fn(FrameBody, Responder) + Send + Sync + 'static,
) -> Endpoint {
    Endpoint {
        hello,
        settings: LinkSettings {
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            silent_after_ms: SILENT_AFTER_MS,
            connect_timeout_ms: settings.connect_timeout_ms,
        },
        heartbeat: Arc::new(|_| Heartbeat::default()),
        on_heartbeat: Arc::new(|_, _| {}),
        on_call: Arc::new(on_call),
    }
}

impl KeeperClient {
    /// Returns a client that introduces itself with `hello`.
    pub(crate) fn new(
        directory: Arc<RouterDirectory>,
        hello: Hello,
        settings: KeeperSettings,
    ) -> Arc<Self> {
        let incarnation = hello.incarnation;
        let ignore_call = |body, _| {
            log::debug!(target: "router", "ignoring a call on an outgoing connection: {body:?}");
        };
        Arc::new(Self {
            directory,
            dialer: Dialer::new(endpoint(hello, settings, ignore_call)),
            settings,
            incarnation,
            last_number: AtomicU64::new(0),
        })
    }

    /// Reserves tokens at `keeper` for a request that ends within `request_time`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        keeper: &PeerRouter,
        request: TokenRequest<'_>,
        request_time: Duration,
    ) -> KeeperAnswer {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let expires_after = request_time + EXPIRY_MARGIN;
        // Settled with no tokens spent if the call fails or is dropped, as its answer may be lost.
        let claim = request.claim;
        let reservation = self.reservation(keeper.address, number, claim.tokens);
        let message = ReserveTokens {
            workspace: request.workspace.to_string(),
            tokens: claim.tokens,
            expires_after_ms: millis(expires_after),
            priority: Some(u32::from(claim.priority)),
            takes_up_stream: claim.takes_up_stream,
            wait_max_ms: claim.wait_max_ms,
            ..self.probe_message(number)
        };
        let Some(reply) = self.call(keeper.address, message).await else {
            self.mark_unreachable(keeper);
            return KeeperAnswer::Unavailable;
        };
        let wait = token_wait(&reply);
        let error = match reply.kind() {
            ReserveAnswerKind::Granted => return KeeperAnswer::Reserved(reservation, wait),
            ReserveAnswerKind::Spent => ReserveError::Spent,
            ReserveAnswerKind::Short => ReserveError::Short {
                retry_after_ms: reply.retry_after_ms,
                held_tokens: reply.held_tokens,
            },
            ReserveAnswerKind::NoLedger => ReserveError::NoStore {
                held_tokens: reply.held_tokens,
            },
            ReserveAnswerKind::Unavailable | ReserveAnswerKind::Pending => {
                self.mark_unreachable(keeper);
                return KeeperAnswer::Unavailable;
            }
        };
        reservation.forget();
        KeeperAnswer::Failed(error, wait)
    }

    /// Returns a reservation that is settled at the router at `address`.
    fn reservation(self: &Arc<Self>, address: SocketAddr, number: u64, tokens: u64) -> Reservation {
        let client = Arc::clone(self);
        Reservation::new(tokens, move |spent_tokens| {
            let message = SettleTokens {
                router: client.incarnation,
                number,
                spent_tokens,
            };
            tokio::spawn(async move { client.settle(address, message).await });
        })
    }

    /// Settles a reservation; if that fails, it counts as spent when it expires.
    async fn settle(&self, address: SocketAddr, message: SettleTokens) {
        match self.dialer.link(address).await {
            Ok(link) => link.send_oneway(FrameBody::SettleTokens(message)).await,
            Err(error) => log::debug!(
                target: "router",
                "can't settle a reservation, which will count as spent: {error}",
            ),
        }
    }

    /// Makes no use of a router until it answers again.
    fn mark_unreachable(self: &Arc<Self>, keeper: &PeerRouter) {
        if self.directory.set_reachable(&keeper.name, false) {
            log::info!(target: "router", "{} does not answer, avoiding it", keeper.name);
            tokio::spawn(Arc::clone(self).probe(keeper.clone()));
        }
    }

    /// Asks a router until it answers that it keeps budgets.
    async fn probe(self: Arc<Self>, keeper: PeerRouter) {
        let mut failures = 0;
        loop {
            let delay_ms = PROBE_BACKOFF.delay_ms(failures, rand::random());
            failures += 1;
            sleep(Duration::from_millis(delay_ms)).await;
            let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
            match self.call(keeper.address, self.probe_message(number)).await {
                Some(reply) if reply.kind() == ReserveAnswerKind::Granted => break,
                Some(_) => {}
                // The connection may be silent while new ones work.
                None => self.close_link(keeper.address),
            }
        }
        self.directory.set_reachable(&keeper.name, true);
        log::info!(target: "router", "{} answers again", keeper.name);
    }

    fn close_link(&self, address: SocketAddr) {
        if let Some(link) = self.dialer.open_link(address) {
            link.close();
        }
    }

    /// Sends a message that expects no answer to all reachable routers.
    pub(crate) fn broadcast(self: &Arc<Self>, body: &FrameBody) {
        for router in self.directory.reachable_peers() {
            tokio::spawn(Arc::clone(self).send_to(router, body.clone()));
        }
    }

    /// Sends a message that expects no answer to a router.
    pub(crate) async fn send_to(self: Arc<Self>, router: PeerRouter, body: FrameBody) {
        match self.dialer.link(router.address).await {
            Ok(link) => link.send_oneway(body).await,
            Err(error) => log::debug!(
                target: "router",
                "can't send a message to {}: {error}",
                router.name,
            ),
        }
    }

    /// Returns a message that reserves nothing.
    fn probe_message(&self, number: u64) -> ReserveTokens {
        ReserveTokens {
            router: self.incarnation,
            number,
            ..ReserveTokens::default()
        }
    }

    /// Sends a message and returns the last answer; `None` if there is none in time.
    async fn call(&self, address: SocketAddr, message: ReserveTokens) -> Option<ReserveReply> {
        let first_timeout = self.settings.first_answer_timeout();
        let first = timeout(first_timeout, self.open_call(address, message)).await;
        let (mut reply, mut call) = first.ok()??;
        if reply.kind() == ReserveAnswerKind::Pending {
            let last = timeout(self.settings.draw_answer_timeout(), next_reply(&mut call)).await;
            reply = last.ok()??;
        }
        call.finish();
        Some(reply)
    }

    /// Sends a message and returns the first answer with the call.
    async fn open_call(
        &self,
        address: SocketAddr,
        message: ReserveTokens,
    ) -> Option<(ReserveReply, Call)> {
        let call = match self.dialer.link(address).await {
            Ok(link) => link.open_call(FrameBody::ReserveTokens(message)).await,
            Err(error) => Err(error),
        };
        let mut call = match call {
            Ok(call) => call,
            Err(error) => {
                log::debug!(target: "router", "can't ask for tokens: {error}");
                return None;
            }
        };
        let reply = next_reply(&mut call).await?;
        Some((reply, call))
    }
}

/// Returns how a request waited, if it did.
fn token_wait(reply: &ReserveReply) -> Option<TokenWait> {
    let wait = TokenWait {
        requests_ahead: reply.requests_ahead,
        tokens_ahead: reply.tokens_ahead,
        expected_ms: reply.expected_wait_ms,
        waited_ms: reply.waited_ms,
    };
    (wait != TokenWait::default()).then_some(wait)
}

/// Waits for the next answer of a call; `None` if the connection closes or the answer is invalid.
async fn next_reply(call: &mut Call) -> Option<ReserveReply> {
    match call.next().await {
        Some(FrameBody::ReserveReply(reply)) => Some(reply),
        Some(other) => {
            log::warn!(
                target: "router",
                "unexpected answer of {} to a reservation: {other:?}",
                call.link().remote(),
            );
            None
        }
        None => None,
    }
}
