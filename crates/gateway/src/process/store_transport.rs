//! Makes calls of the store, directly or through a relay.
//!
//! The store may reject calls of some hosts, or a network partition may cut some hosts off from it,
//! while other hosts reach it. A direct call that fails is retried through a relay, and one that is
//! slow is hedged by a call through a relay. Every call of the store is idempotent, as it is a read
//! or a numbered append.

use super::relay::RelayClient;
use http::StatusCode;
use log::warn;
use mallowpath::{Category, Error, HttpAnswer, HttpCall, HttpCaller, Result};
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::sleep};

/// How long connecting to the store may take.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// How long relays are tried before a direct call after a direct call has failed.
const DIRECT_COOLDOWN: Duration = Duration::from_millis(1_500);

/// How long a direct call may take, beyond the wait for records, before it is hedged.
const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// The maximum number of relays that one call tries.
const RELAYS_PER_CALL_MAX: usize = 2;

/// A transport for calls of the store.
#[derive(Debug)]
pub struct StoreTransport {
    direct: HttpCaller,
    relays: RelayClient,
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
    /// Notified when the cooldown of direct calls starts, so that calls in progress are hedged at
    /// once.
    cooldown_started: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    cooldown_until: Option<Instant>,
    /// Whether the last direct call succeeded; `None` before the first one.
    is_reachable: Option<bool>,
    relays: Vec<SocketAddr>,
    /// The index of the relay to try first, which is the one that answered last or, after a
    /// failure, the one after it.
    preferred_relay: usize,
}

impl StoreTransport {
    /// Returns a transport to the store at `address`; `seed_relays` are the relays until
    /// [`set_relays`](Self::set_relays) is called.
    pub fn new(address: SocketAddr, seed_relays: Vec<SocketAddr>) -> Self {
        let state = State {
            relays: seed_relays,
            ..State::default()
        };
        Self {
            direct: HttpCaller::new(address, CONNECT_TIMEOUT_MS),
            relays: RelayClient::default(),
            state: Mutex::new(state),
            cooldown_started: watch::Sender::new(()),
        }
    }

    /// Replaces the relays, which are ordered from the nearest to the farthest.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        let mut state = self.lock();
        if state.relays != relays {
            state.relays = relays;
            state.preferred_relay = 0;
        }
    }

    /// Makes a call directly or through relays and returns the first answer.
    ///
    /// `wait_ms` is the part of the call's timeout that the store may wait for records.
    ///
    /// # Errors
    ///
    /// Fails with the error of the last attempt. The category is [`Category::Unknown`] if any
    /// attempt may have an effect.
    pub async fn call(&self, call: HttpCall, wait_ms: u64) -> Result<HttpAnswer> {
        let (is_direct_first, relays) = self.call_order();
        let mut failed = FailedAttempts::default();
        if is_direct_first {
            if relays.is_empty() {
                return self.call_direct(call).await;
            }
            if let Some(answer) = self.call_direct_hedged(&call, wait_ms, &mut failed).await {
                return Ok(answer);
            }
        }
        for (index, relay) in relays {
            if let Some(answer) = failed.check(self.relays.call(relay, call.clone()).await) {
                self.lock().preferred_relay = index;
                return Ok(answer);
            }
            self.lock().preferred_relay = index + 1;
        }
        if !is_direct_first && let Some(answer) = failed.check(self.call_direct(call).await) {
            return Ok(answer);
        }
        failed.into_result()
    }

    /// Makes a direct call, hedged by a call through a relay if the direct one is slow or another
    /// direct call fails in the meantime.
    async fn call_direct_hedged(
        &self,
        call: &HttpCall,
        wait_ms: u64,
        failed: &mut FailedAttempts,
    ) -> Option<HttpAnswer> {
        let mut cooldown_started = self.cooldown_started.subscribe();
        let direct = self.call_direct(call.clone());
        tokio::pin!(direct);
        let hedge_delay = Duration::from_millis(wait_ms) + HEDGE_DELAY;
        tokio::select! {
            result = &mut direct => return failed.check(result),
            _ = cooldown_started.changed() => {}
            () = sleep(hedge_delay) => {}
        }
        failed.outcome_unknown = true;
        let relay = self.call_order().1.first().copied();
        let Some((_, address)) = relay else {
            return failed.check(direct.await);
        };
        // The direct call may merely be slow, so it continues.
        let relayed = self.relays.call(address, call.clone());
        tokio::pin!(relayed);
        tokio::select! {
            result = &mut direct => match failed.check(result) {
                Some(answer) => Some(answer),
                None => failed.check(relayed.await),
            },
            result = &mut relayed => match failed.check(result) {
                Some(answer) => {
                    self.start_cooldown();
                    Some(answer)
                }
                None => failed.check(direct.await),
            },
        }
    }

    /// Makes a direct call without relays, as a relay itself does.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpCaller::call`] does.
    pub async fn call_direct(&self, call: HttpCall) -> Result<HttpAnswer> {
        let result = self.direct.call(call).await;
        let has_succeeded = matches!(&result, Ok(answer) if !is_rejection(answer.status));
        if has_succeeded {
            self.lock().cooldown_until = None;
        } else {
            self.start_cooldown();
        }
        let mut state = self.lock();
        if state.is_reachable != Some(has_succeeded) {
            state.is_reachable = Some(has_succeeded);
            drop(state);
            log_reachability(has_succeeded, &result);
        }
        result
    }

    /// Starts the cooldown of direct calls; those in progress are hedged at once.
    fn start_cooldown(&self) {
        self.lock().cooldown_until = Some(Instant::now() + DIRECT_COOLDOWN);
        self.cooldown_started.send_replace(());
    }

    /// Returns whether to call directly first, and the relays to try with their indices.
    fn call_order(&self) -> (bool, Vec<(usize, SocketAddr)>) {
        let state = self.lock();
        let is_cooling_down = state
            .cooldown_until
            .is_some_and(|until| Instant::now() < until);
        let count = state.relays.len();
        let mut relays = Vec::with_capacity(RELAYS_PER_CALL_MAX);
        for step in 0..count.min(RELAYS_PER_CALL_MAX) {
            let index = (state.preferred_relay + step) % count;
            relays.push((index, state.relays[index]));
        }
        (!is_cooling_down, relays)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The failed attempts of one call.
#[derive(Debug, Default)]
struct FailedAttempts {
    last: Option<Result<HttpAnswer>>,
    /// Whether any attempt may still have an effect.
    outcome_unknown: bool,
}

impl FailedAttempts {
    /// Returns the answer if the attempt succeeded, and records the failure otherwise.
    fn check(&mut self, result: Result<HttpAnswer>) -> Option<HttpAnswer> {
        match result {
            Ok(answer) if !is_rejection(answer.status) => Some(answer),
            result => {
                let is_unknown = |error: &Error| error.category() == Category::Unknown;
                self.outcome_unknown |= result.as_ref().is_err_and(is_unknown);
                self.last = Some(result);
                None
            }
        }
    }

    fn into_result(self) -> Result<HttpAnswer> {
        let no_answer = || {
            Error::new(
                Category::Refused,
                "call",
                "the store",
                "neither the store nor a relay answered",
            )
        };
        match self.last {
            Some(Ok(answer)) if !self.outcome_unknown => Ok(answer),
            Some(Ok(_)) | None if self.outcome_unknown => {
                Err(no_answer().with_category(Category::Unknown))
            }
            Some(Err(error)) if self.outcome_unknown => Err(error.with_category(Category::Unknown)),
            Some(result) => result,
            None => Err(no_answer()),
        }
    }
}

/// Returns whether the store rejected the call without effect, but may accept it from another host.
fn is_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn log_reachability(is_reachable: bool, result: &Result<HttpAnswer>) {
    let cause = match result {
        Ok(answer) => format!("status {}", answer.status.as_u16()),
        Err(error) => error.to_string(),
    };
    if is_reachable {
        log::info!(target: "dependency", "store reached; {cause}");
    } else {
        warn!(target: "dependency", "store not reached: {cause}");
    }
}
