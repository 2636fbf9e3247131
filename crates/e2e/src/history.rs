//! What callers saw, in the order in which they knew it.

use crate::{Call, Failure, Operation};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

const RETRY_PAUSE_MS: u64 = 50;

/// A recorder of calls, shared by callers.
#[derive(Debug, Clone)]
pub struct History {
    began: Instant,
    operations: Arc<Mutex<Vec<Operation>>>,
}

impl History {
    /// Makes an empty history.
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            operations: Arc::default(),
        }
    }

    /// Makes a call and records it.
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

    /// Makes a call in a task of its own.
    pub fn spawn(&self, router: SocketAddr, call: Call) -> JoinHandle<Operation> {
        let history = self.clone();
        tokio::spawn(async move { history.call(router, call).await })
    }

    /// Makes a call at one router after the other until one answer is whole or all tries are over.
    pub fn spawn_with_retries(
        &self,
        routers: &[SocketAddr],
        call: Call,
        tries: usize,
    ) -> JoinHandle<Operation> {
        let history = self.clone();
        let routers = routers.to_vec();
        tokio::spawn(async move {
            let mut last = history.call(routers[0], call.clone()).await;
            for attempt in 1..tries {
                if last.is_whole() {
                    break;
                }
                sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                let router = routers[attempt % routers.len()];
                last = history.call(router, call.clone()).await;
            }
            last
        })
    }

    /// Starts callers that call their router again and again until the history is `until_ms` old.
    ///
    /// `make_call` gets the caller, numbered 10 apart from router to router, and the number of the
    /// call.
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
                        if !operation.is_whole() {
                            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                        }
                    }
                }));
            }
        }
        callers
    }

    /// Returns every call that has ended.
    pub fn operations(&self) -> Vec<Operation> {
        self.lock().clone()
    }

    /// Returns how many answers were declared whole.
    pub fn whole_count(&self) -> usize {
        let operations = self.lock();
        operations.iter().filter(|o| o.is_whole()).count()
    }

    /// Returns how many calls were refused with a code.
    pub fn refused_count(&self, wanted: &str) -> usize {
        let operations = self.lock();
        operations.iter().filter(|o| o.has_code(wanted)).count()
    }

    /// Returns the time since the beginning.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Operation>> {
        self.operations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for calls and returns them if every answer is whole.
///
/// # Errors
///
/// Fails with the first call whose answer is not whole.
pub async fn expect_whole(calls: Vec<JoinHandle<Operation>>) -> Result<Vec<Operation>, Failure> {
    let mut operations = Vec::with_capacity(calls.len());
    for call in calls {
        let operation = call.await?;
        if !operation.is_whole() {
            return Err(format!("not whole: {operation:?}").into());
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
