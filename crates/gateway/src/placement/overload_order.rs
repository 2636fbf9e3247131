//! Decides which requests are refused first while a service has more requests than it can serve in
//! time.
//!
//! A request is refused if it is expected to wait for longer than its limit ([`WaitEstimator`]). For
//! some time after such a refusal, the limit is lowered, and so leaves room for the others, of
//!
//! * requests that are less urgent than others of the service: it is never longer than that of more
//!   urgent ones, and shorter unless they get next to nothing already;
//! * requests of a workspace that asks for much more than others do and has got its fair share.
//!
//! Where all requests are equally urgent and one workspace asks, nothing is lowered. Requests are
//! refused only behind others that wait, so no capacity is left unused.

use super::{
    token_shares::{TokenShares, fair_level},
    wait_estimator::{LimitShares, Overload, RequestTimes, WaitEstimator},
};
use crate::version::RequestRank;
use mallowpath::WorkspaceId;

/// Settings of [`OverloadOrder`].
#[derive(Debug, Clone)]
pub struct OverloadOrderSettings {
    /// The limit of the least urgent requests as a share of that of the most urgent ones.
    pub least_urgent_share: f64,
    /// The share of the tokens asked for by requests of one priority up to which their limit is that
    /// of the most urgent ones.
    pub reserved_share: f64,
    /// The limit of a workspace that got its fair share, as a share of that of other workspaces.
    pub excess_share: f64,
    /// How many times the mean of the others a workspace asks for at least to have its limit
    /// lowered.
    pub excess_factor: f64,
    /// The least number of requests in a window that show how much a workspace asks for.
    pub excess_requests: u64,
    /// The length of the windows in which tokens are counted.
    pub window_ms: u64,
    /// How long limits stay lowered after a refusal for a wait that exceeds the usual limit.
    pub overload_memory_ms: u64,
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct LoadRequest<'a> {
    /// The times that determine its limit.
    pub times: RequestTimes,
    /// How urgent it is; `None` if all requests of the service are equally urgent.
    pub rank: Option<RequestRank>,
    /// Its workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// The maximum number of tokens that it can cost; `None` if it states none.
    pub tokens: Option<u64>,
}

/// A refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRefusal {
    /// The wait that is expected.
    pub overload: Overload,
    /// Why its limit was exceeded.
    pub cause: RefusalCause,
}

/// What made the expected wait of a request too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// It exceeds the limit that applies to all requests.
    Wait,
    /// It exceeds the limit for the priority of the request.
    Priority,
    /// It exceeds the limit for a workspace that got its fair share.
    WorkspaceShare,
}

/// Decides in which order the requests of one service are refused at one router.
#[derive(Debug)]
pub struct OverloadOrder {
    settings: OverloadOrderSettings,
    priorities: TokenShares<u8>,
    workspaces: TokenShares<WorkspaceId>,
    /// The time until which limits are lowered.
    overloaded_until_ms: u64,
}

impl OverloadOrder {
    /// Returns a decision for a service without requests.
    pub fn new(settings: OverloadOrderSettings) -> Self {
        Self {
            priorities: TokenShares::new(settings.window_ms),
            workspaces: TokenShares::new(settings.window_ms),
            settings,
            overloaded_until_ms: 0,
        }
    }

    /// Decides whether to admit a request, and counts it.
    ///
    /// Shares are counted in tokens, so a request that states none is decided by its wait alone.
    ///
    /// # Errors
    ///
    /// Fails if the request would wait for longer than its limit.
    pub fn admit(
        &mut self,
        wait_estimator: &WaitEstimator,
        request: &LoadRequest<'_>,
        now_ms: u64,
    ) -> Result<(), LoadRefusal> {
        let Some(tokens) = request.tokens else {
            return refuse_long_wait(wait_estimator, request, now_ms);
        };
        if let Some(rank) = request.rank {
            self.priorities.record_asked(&rank.priority, tokens, now_ms);
        }
        if let Some(workspace) = request.workspace {
            self.workspaces.record_asked(workspace, tokens, now_ms);
        }
        if let Err(refusal) = self.check(wait_estimator, request, now_ms) {
            if refusal.cause == RefusalCause::Wait {
                self.overloaded_until_ms = now_ms + self.settings.overload_memory_ms;
            }
            return Err(refusal);
        }
        if let Some(rank) = request.rank {
            self.priorities
                .record_admitted(&rank.priority, tokens, now_ms);
        }
        if let Some(workspace) = request.workspace {
            self.workspaces.record_admitted(workspace, tokens, now_ms);
        }
        Ok(())
    }

    fn check(
        &mut self,
        wait_estimator: &WaitEstimator,
        request: &LoadRequest<'_>,
        now_ms: u64,
    ) -> Result<(), LoadRefusal> {
        let refuse = |cause| move |overload| LoadRefusal { overload, cause };
        let times = request.times;
        refuse_long_wait(wait_estimator, request, now_ms)?;
        if now_ms >= self.overloaded_until_ms {
            return Ok(());
        }
        let on_time = self.priority_share(request, now_ms);
        let shares = LimitShares { on_time, late: 1.0 };
        wait_estimator
            .admit_within(times, shares, now_ms)
            .map_err(refuse(RefusalCause::Priority))?;
        let Some(workspace) = request.workspace else {
            return Ok(());
        };
        let excess_share = self.settings.excess_share;
        let excess_shares = LimitShares {
            on_time: on_time * excess_share,
            late: excess_share,
        };
        let within_excess = wait_estimator.admit_within(times, excess_shares, now_ms);
        if within_excess.is_err() && self.got_fair_share(workspace, now_ms) {
            return within_excess.map_err(refuse(RefusalCause::WorkspaceShare));
        }
        Ok(())
    }

    /// Returns the share of the usual limit that the priority of a request leaves.
    ///
    /// A more urgent request with a shorter objective is refused at a shorter wait. The limit of
    /// this one is at most as long, as it would be served in place of the more urgent one otherwise.
    fn priority_share(&mut self, request: &LoadRequest<'_>, now_ms: u64) -> f64 {
        let Some(rank) = request.rank else {
            return 1.0;
        };
        let objective_ms = request.times.latency_objective_ms.max(1);
        let urgent_objective_ms = rank.urgent_objective_ms.unwrap_or(objective_ms);
        let objective_share = urgent_objective_ms.min(objective_ms) as f64 / objective_ms as f64;
        if !self.gets_reserved_share(rank.priority, now_ms) {
            return objective_share;
        }
        objective_share * (1.0 - (1.0 - self.settings.least_urgent_share) * rank.position)
    }

    /// Returns whether requests of a priority got the share that is reserved for them.
    fn gets_reserved_share(&mut self, priority: u8, now_ms: u64) -> bool {
        let share = self.priorities.share(&priority, now_ms);
        share.admitted_tokens as f64 >= share.asked_tokens as f64 * self.settings.reserved_share
    }

    /// Returns whether a workspace asks for much more than others do and got its fair share.
    fn got_fair_share(&mut self, workspace: &WorkspaceId, now_ms: u64) -> bool {
        let own = self.workspaces.share(workspace, now_ms);
        if own.requests < self.settings.excess_requests {
            return false;
        }
        let mut asked_tokens = Vec::new();
        let (mut asked_sum_tokens, mut served_tokens) = (0_u64, 0_u64);
        for share in self.workspaces.all(now_ms) {
            asked_tokens.push(share.asked_tokens);
            asked_sum_tokens = asked_sum_tokens.saturating_add(share.asked_tokens);
            served_tokens = served_tokens.saturating_add(share.admitted_tokens);
        }
        let others = asked_tokens.len().saturating_sub(1);
        if others == 0 {
            return false;
        }
        let others_mean_tokens =
            asked_sum_tokens.saturating_sub(own.asked_tokens) as f64 / others as f64;
        if (own.asked_tokens as f64) < others_mean_tokens * self.settings.excess_factor {
            return false;
        }
        fair_level(&mut asked_tokens, served_tokens)
            .is_some_and(|level_tokens| own.admitted_tokens >= level_tokens)
    }
}

/// Refuses a request that exceeds the limit that applies to all requests.
fn refuse_long_wait(
    wait_estimator: &WaitEstimator,
    request: &LoadRequest<'_>,
    now_ms: u64,
) -> Result<(), LoadRefusal> {
    let decision = wait_estimator.admit(request.times, now_ms);
    decision.map_err(|overload| LoadRefusal {
        overload,
        cause: RefusalCause::Wait,
    })
}

impl RefusalCause {
    /// Returns the name of the cause in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Priority => "priority",
            Self::WorkspaceShare => "workspace_share",
        }
    }
}

impl Default for OverloadOrderSettings {
    fn default() -> Self {
        Self {
            least_urgent_share: 0.75,
            reserved_share: 0.25,
            excess_share: 0.75,
            excess_factor: 2.0,
            excess_requests: 8,
            window_ms: 3_000,
            overload_memory_ms: 1_000,
        }
    }
}
