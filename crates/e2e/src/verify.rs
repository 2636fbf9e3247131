//! Comparing a cluster's log and backend servers with what callers saw.

use crate::{
    Cluster, Failure, History, LogContent, Verdicts,
    check::{check_answers, check_bills, check_budget, check_keys, check_runs},
};
use mallowpath::{RequestId, Tokens};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{Instant, sleep};

const POLL_MS: u64 = 20;

impl Cluster {
    /// Returns how often each request started at any backend server.
    ///
    /// # Panics
    ///
    /// Panics when a backend server does not answer.
    pub async fn runs(&self) -> BTreeMap<RequestId, u64> {
        let mut runs = BTreeMap::new();
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
                *runs.entry(request).or_default() += count.unwrap_or_default();
            }
        }
        runs
    }

    /// Waits until the log holds a bill for every whole answer and no bill is on its way.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read; when bills stay away, the content as it is by then
    /// is returned.
    pub async fn settled(&self, history: &History, limit_ms: u64) -> Result<LogContent, Failure> {
        let give_up = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let content = LogContent::read(&self.log_client()).await?;
            let mut missing = 0;
            for operation in history.operations() {
                let Some(request) = operation.request else {
                    continue;
                };
                missing +=
                    usize::from(operation.is_whole() && !content.bills.contains_key(&request));
            }
            if missing == 0 || Instant::now() >= give_up {
                return Ok(content);
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Waits until the log holds a bill for every request that ran, whoever asked for it.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read or a bill stays away.
    pub async fn all_runs_billed(&self, limit_ms: u64) -> Result<LogContent, Failure> {
        let give_up = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let content = LogContent::read(&self.log_client()).await?;
            let mut missing = Vec::new();
            for request in self.runs().await.into_keys() {
                if !content.bills.contains_key(&request) {
                    missing.push(request.to_string());
                }
            }
            if missing.is_empty() {
                return Ok(content);
            }
            if Instant::now() >= give_up {
                return Err(format!("ran and were never billed: {missing:?}").into());
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Waits until every run is billed and compares what callers saw with the log and the backend
    /// servers.
    ///
    /// # Errors
    ///
    /// Fails when a bill stays away for `limit_ms` or a check finds something.
    pub async fn verify(&self, history: &History, limit_ms: u64) -> Result<LogContent, Failure> {
        let content = self.all_runs_billed(limit_ms).await?;
        self.check(history, &content).await.into_result()?;
        Ok(content)
    }

    /// Shuts every router down and checks that the ledger says what the bills say.
    ///
    /// # Errors
    ///
    /// Fails when a router does not end in time, a grant stays out or the sums differ.
    pub async fn verify_exact_after_drain(&mut self, limit_ms: u64) -> Result<(), Failure> {
        self.drain_routers(limit_ms).await?;
        let content = LogContent::read(&self.log_client()).await?;
        let billed = content.billed(&self.budget());
        let balance = content.ledgers.balance(&self.budget()).unwrap_or_default();
        if balance.open != Tokens::ZERO || balance.spent != billed {
            return Err(format!("{billed} billed, but the ledger has {balance:?}").into());
        }
        Ok(())
    }

    /// Compares what callers saw with the log and the backend servers, by all checks.
    ///
    /// # Panics
    ///
    /// Panics when a backend server does not answer.
    pub async fn check(&self, history: &History, content: &LogContent) -> Verdicts {
        let operations = history.operations();
        let mut verdicts = check_answers(&operations);
        verdicts.extend(check_bills(&operations, content));
        let runs = self.runs().await;
        verdicts.extend(check_runs(&operations, &runs));
        verdicts.extend(check_keys(&operations, content, &runs));
        verdicts.extend(check_budget(content, &self.budget()));
        verdicts
    }

    /// Shuts every router down and waits until all have ended.
    ///
    /// # Errors
    ///
    /// Fails when one does not end in time or not with success.
    pub async fn drain_routers(&mut self, limit_ms: u64) -> Result<(), Failure> {
        for router in &self.routers {
            router.process.terminate();
        }
        for router in &mut self.routers {
            let status = router.process.exit(limit_ms).await;
            if !status.is_some_and(|status| status.success()) {
                return Err(format!("{} ended with {status:?}", router.name).into());
            }
        }
        Ok(())
    }
}
