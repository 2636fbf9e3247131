//! Checks of a cluster: its log and backend servers against the callers' results.

use crate::{
    BoxError, Cluster, History, LogContent, Violations,
    check::{check_answers, check_bills, check_budget, check_keys, check_runs},
};
use mallowpath::{RequestId, Tokens};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{Instant, sleep};

const POLL_MS: u64 = 20;

impl Cluster {
    /// Returns how often each request started, summed over all backend servers.
    ///
    /// # Panics
    ///
    /// Panics when a backend server does not answer.
    pub async fn run_counts(&self) -> BTreeMap<RequestId, u64> {
        let mut run_counts = BTreeMap::new();
        for sidecar in &self.sidecars {
            let stats = sidecar.backend.stats().await;
            let Some(counted) = stats["runs"].as_object() else {
                continue;
            };
            for (id, count) in counted {
                let Ok(request) = id.parse::<RequestId>() else {
                    continue;
                };
                let count = count.as_u64().or(count["runs"].as_u64());
                *run_counts.entry(request).or_default() += count.unwrap_or_default();
            }
        }
        run_counts
    }

    /// Waits until the log holds a bill for every complete answer, for at most `limit_ms`.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read. If bills are still missing after `limit_ms`, the
    /// content at that time is returned.
    pub async fn wait_until_billed(
        &self,
        history: &History,
        limit_ms: u64,
    ) -> Result<LogContent, BoxError> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let content = LogContent::read(&self.log_client()).await?;
            let mut missing = 0;
            for operation in history.operations() {
                let Some(request) = operation.request else {
                    continue;
                };
                missing +=
                    usize::from(operation.is_complete() && !content.bills.contains_key(&request));
            }
            if missing == 0 || Instant::now() >= deadline {
                return Ok(content);
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Waits until the log holds a bill for every request that ran, also for those without a recorded
    /// call.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read or a bill is missing after `limit_ms`.
    pub async fn all_runs_billed(&self, limit_ms: u64) -> Result<LogContent, BoxError> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let content = LogContent::read(&self.log_client()).await?;
            let mut missing = Vec::new();
            for request in self.run_counts().await.into_keys() {
                if !content.bills.contains_key(&request) {
                    missing.push(request.to_string());
                }
            }
            if missing.is_empty() {
                return Ok(content);
            }
            if Instant::now() >= deadline {
                return Err(format!(
                    "requests ran and have no bill after {limit_ms} ms: {missing:?}"
                )
                .into());
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Waits until every request that ran is billed, then runs all checks on the callers' results.
    ///
    /// # Errors
    ///
    /// Fails when a bill is missing after `limit_ms` or a check finds a violation.
    pub async fn verify(&self, history: &History, limit_ms: u64) -> Result<LogContent, BoxError> {
        let content = self.all_runs_billed(limit_ms).await?;
        self.check(history, &content).await.into_result()?;
        Ok(content)
    }

    /// Shuts every router down and checks that the budget's balance in the ledger equals its bills.
    ///
    /// # Errors
    ///
    /// Fails when a router does not exit in time, a grant is still open or the sums differ.
    pub async fn verify_exact_after_drain(&mut self, limit_ms: u64) -> Result<(), BoxError> {
        self.drain_routers(limit_ms).await?;
        let content = LogContent::read(&self.log_client()).await?;
        let billed = content.billed(&self.budget());
        let balance = content.ledgers.balance(&self.budget()).unwrap_or_default();
        if balance.open != Tokens::ZERO || balance.spent != billed {
            return Err(format!(
                "{billed} tokens billed, but the balance in the ledger is {balance:?}"
            )
            .into());
        }
        Ok(())
    }

    /// Runs all checks of the callers' results against the log and the backend servers.
    ///
    /// # Panics
    ///
    /// Panics when a backend server does not answer.
    pub async fn check(&self, history: &History, content: &LogContent) -> Violations {
        let operations = history.operations();
        let mut violations = check_answers(&operations);
        violations.extend(check_bills(&operations, content));
        let run_counts = self.run_counts().await;
        violations.extend(check_runs(&operations, &run_counts));
        violations.extend(check_keys(&operations, content, &run_counts));
        violations.extend(check_budget(content, &self.budget()));
        violations
    }

    /// Shuts every router down and waits until all have exited.
    ///
    /// # Errors
    ///
    /// Fails when a router does not exit in time or exits with an error.
    pub async fn drain_routers(&mut self, limit_ms: u64) -> Result<(), BoxError> {
        for router in &self.routers {
            router.process.terminate();
        }
        for router in &mut self.routers {
            let status = router.process.wait_for_exit(limit_ms).await;
            if !status.is_some_and(|status| status.success()) {
                return Err(format!(
                    "{} did not exit successfully within {limit_ms} ms: {status:?}",
                    router.name
                )
                .into());
            }
        }
        Ok(())
    }
}
