//! A record of calls in the order in which they returned.

use crate::{BoxError, Call, Operation};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

const RETRY_DELAY_MS: u64 = 50;

/// A record of calls; clones share it, so that several callers can append to it.
#[derive(Debug, Clone)]
pub struct History {
    started_at: Instant,
    operations: Arc<Mutex<Vec<Operation>>>,
}

impl History {
    /// Creates an empty history, whose time starts now.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            operations: Arc::default(),
        }
    }

    /// Sends a call and records it with its result.
    pub async fn call(&self, router: SocketAddr, call: Call) -> Operation {
        let started_ms = self.now_ms();
        let (request, answer) = call.send(router).await;
        let operation = Operation {
            call,
            started_ms,
            ended_ms: self.now_ms(),
            request,
            answer,
        };
        self.lock().push(operation.clone());
        operation
    }

    /// Sends and records a call in a new task.
    pub fn spawn(&self, router: SocketAddr, call: Call) -> JoinHandle<Operation> {
        let history = self.clone();
        tokio::spawn(async move { history.call(router, call).await })
    }

    /// Sends a call to `routers` in turn, in a new task, until an answer is complete or
    /// `max_attempts` attempts were made.
    pub fn spawn_with_retries(
        &self,
        routers: &[SocketAddr],
        call: Call,
        max_attempts: usize,
    ) -> JoinHandle<Operation> {
        let history = self.clone();
        let routers = routers.to_vec();
        tokio::spawn(async move {
            let mut last = history.call(routers[0], call.clone()).await;
            for attempt in 1..max_attempts {
                if last.is_complete() {
                    break;
                }
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                let router = routers[attempt % routers.len()];
                last = history.call(router, call.clone()).await;
            }
            last
        })
    }

    /// Starts callers that each send calls to one router until the history is `until_ms` old.
    ///
    /// `make_call` gets the number of the caller and the number of its call. The callers of the
    /// first router are numbered from 0, those of the second from 10, and so on.
    pub fn spawn_callers(
        &self,
        routers: &[SocketAddr],
        callers_per_router: u64,
        until_ms: u64,
        make_call: fn(u64, u64) -> Call,
    ) -> Vec<JoinHandle<()>> {
        let mut callers = Vec::new();
        for (first, router) in (0..).step_by(10).zip(routers) {
            for caller in first..first + callers_per_router {
                let history = self.clone();
                let router = *router;
                callers.push(tokio::spawn(async move {
                    for number in 0.. {
                        if history.now_ms() >= until_ms {
                            return;
                        }
                        let operation = history.call(router, make_call(caller, number)).await;
                        if !operation.is_complete() {
                            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                        }
                    }
                }));
            }
        }
        callers
    }

    /// Returns every call that has returned.
    pub fn operations(&self) -> Vec<Operation> {
        self.lock().clone()
    }

    /// Returns the number of complete answers.
    pub fn complete_count(&self) -> usize {
        let operations = self.lock();
        operations.iter().filter(|o| o.is_complete()).count()
    }

    /// Returns the number of calls that were answered with the error code `code`.
    pub fn refused_count(&self, code: &str) -> usize {
        let operations = self.lock();
        operations.iter().filter(|o| o.has_code(code)).count()
    }

    /// Returns the milliseconds since the history was created.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Operation>> {
        self.operations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for calls and returns them if every answer is complete.
///
/// # Errors
///
/// Fails with the first call whose answer is not complete.
pub async fn expect_complete(
    calls: Vec<JoinHandle<Operation>>,
) -> Result<Vec<Operation>, BoxError> {
    let mut operations = Vec::with_capacity(calls.len());
    for call in calls {
        let operation = call.await?;
        if !operation.is_complete() {
            return Err(format!("no complete answer: {operation:?}").into());
        }
        operations.push(operation);
    }
    Ok(operations)
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}
