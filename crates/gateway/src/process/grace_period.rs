//! The time between the termination signal and the end of the service.

use super::{grace_request::GraceRequest, route_durations::RouteDurations};
use crate::version::Route;
use std::time::Instant;
use tokio::{sync::watch, time::sleep_until};

/// When the service of a router ends, and which requests end before it does.
#[derive(Debug, Default)]
pub(crate) struct GracePeriod {
    /// When all requests must have been answered; `None` before the termination signal.
    service_end: watch::Sender<Option<Instant>>,
    durations: RouteDurations,
}

impl GracePeriod {
    /// Sets when all requests must have been answered.
    pub(super) fn begin(&self, service_end: Instant) {
        self.service_end.send_replace(Some(service_end));
    }

    /// Returns whether the service has ended.
    pub(crate) fn has_ended(&self) -> bool {
        let service_end = *self.service_end.borrow();
        service_end.is_some_and(|end| Instant::now() >= end)
    }

    /// Returns whether a request of `route` may be sent to a backend server now.
    pub(crate) fn allows(&self, route: &Route, deadline: Instant) -> bool {
        let Some(service_end) = *self.service_end.borrow() else {
            return true;
        };
        let now = Instant::now();
        let request = GraceRequest {
            deadline,
            usual: self.durations.usual(&route.name),
            is_repeatable: route.is_retryable(),
        };
        request.ends_in_time(now, service_end)
    }

    /// Records that a request of `route`, which arrived at `started`, has ended.
    pub(crate) fn record_request(&self, route: &Route, started: Instant) {
        let now = Instant::now();
        let duration = now.saturating_duration_since(started);
        self.durations.record(&route.name, duration, now);
    }

    /// Returns the output of `future`; `None` if it is not ready by `deadline` or the end of the service.
    pub(crate) async fn run_until<F: Future>(
        &self,
        deadline: Instant,
        future: F,
    ) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = sleep_until(deadline.into()) => None,
            () = self.wait_until_ended() => None,
        }
    }

    async fn wait_until_ended(&self) {
        let mut service_end = self.service_end.subscribe();
        let end = match service_end.wait_for(Option::is_some).await {
            Ok(end) => *end,
            // The sender lives as long as `self`.
            Err(_) => None,
        };
        match end {
            Some(end) => sleep_until(end.into()).await,
            None => std::future::pending().await,
        }
    }
}
