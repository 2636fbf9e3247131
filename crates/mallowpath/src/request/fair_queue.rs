//! Start-time fair queueing between workspaces.
//!
//! Each workspace with queued requests gets a share of the service in proportion to its weight,
//! counted in reserved tokens. A priority orders only the requests of its own workspace, so that no
//! workspace overtakes others by marking all its requests as urgent.

use crate::WorkspaceId;
use std::collections::BTreeMap;

/// The share of a workspace in a service.
#[derive(Debug, Clone, Copy)]
pub struct WorkspaceShare {
    /// Its weight relative to other workspaces.
    pub weight: f64,
    /// The maximum number of requests that it runs at once.
    pub max_running: u32,
}

/// A queued request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: u64,
    pub(crate) tokens: u64,
    pub(crate) deadline_ms: u64,
}

/// The queued requests of all workspaces for one service.
#[derive(Debug)]
pub(crate) struct FairQueue {
    flows: BTreeMap<WorkspaceId, Flow>,
    virtual_time: f64,
    queued: usize,
}

/// The running and queued requests of one workspace.
#[derive(Debug)]
struct Flow {
    share: WorkspaceShare,
    /// Queued requests by priority and arrival number.
    queue: BTreeMap<(u8, u64), QueuedRequest>,
    running: u32,
    /// The finish tag: the virtual time at which the service charged so far ends.
    finish_tag: f64,
    arrivals: u64,
}

impl FairQueue {
    pub(crate) fn new() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            queued: 0,
        }
    }

    pub(crate) fn set_share(&mut self, workspace: &WorkspaceId, share: WorkspaceShare) {
        self.flow(workspace).share = share;
    }

    /// Returns the number of queued requests of all workspaces.
    pub(crate) fn len(&self) -> usize {
        self.queued
    }

    /// Returns the number of queued requests of `workspace`.
    pub(crate) fn len_of(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, |flow| flow.queue.len())
    }

    /// Returns the queued tokens of `workspace` ahead of a new request of `priority`.
    pub(crate) fn tokens_ahead(&self, workspace: &WorkspaceId, priority: u8) -> u64 {
        let mut tokens = 0;
        if let Some(flow) = self.flows.get(workspace) {
            for queued in flow.queue.range(..=(priority, u64::MAX)) {
                tokens += queued.1.tokens;
            }
        }
        tokens
    }

    /// Returns the share of `workspace` in a service that runs at most `limit` requests.
    ///
    /// It is divided among `workspace` and all others with queued requests, and is at most what
    /// `max_running` permits.
    pub(crate) fn share_of(&mut self, workspace: &WorkspaceId, limit: f64) -> f64 {
        let own = self.flow(workspace).share;
        let mut total = own.weight;
        for (other, flow) in &self.flows {
            if other != workspace && !flow.queue.is_empty() {
                total += flow.share.weight;
            }
        }
        (own.weight / total).min(f64::from(own.max_running) / limit)
    }

    /// Returns whether `workspace` may run one more request.
    pub(crate) fn may_run(&self, workspace: &WorkspaceId) -> bool {
        self.flows.get(workspace).is_none_or(Flow::may_run)
    }

    pub(crate) fn push(&mut self, workspace: &WorkspaceId, priority: u8, request: QueuedRequest) {
        let flow = self.flow(workspace);
        flow.arrivals += 1;
        let arrival = flow.arrivals;
        flow.queue.insert((priority, arrival), request);
        self.queued += 1;
    }

    /// Removes the next request of the workspace that is furthest behind its share.
    pub(crate) fn pop(&mut self) -> Option<(WorkspaceId, QueuedRequest)> {
        let mut next: Option<(&WorkspaceId, f64)> = None;
        for (workspace, flow) in &self.flows {
            if flow.queue.is_empty() || !flow.may_run() {
                continue;
            }
            let start = flow.finish_tag.max(self.virtual_time);
            if next.is_none_or(|(_, earliest)| start < earliest) {
                next = Some((workspace, start));
            }
        }
        let workspace = next?.0.clone();
        let (_, request) = self.flows.get_mut(&workspace)?.queue.pop_first()?;
        self.queued -= 1;
        self.start(&workspace, request.tokens);
        Some((workspace, request))
    }

    /// Charges `workspace` for a request that starts to run.
    pub(crate) fn start(&mut self, workspace: &WorkspaceId, tokens: u64) {
        let start = self.flow(workspace).finish_tag.max(self.virtual_time);
        self.virtual_time = start;
        let flow = self.flow(workspace);
        flow.finish_tag = start + tokens as f64 / flow.share.weight;
        flow.running += 1;
    }

    /// Ends a request of `workspace` and refunds its unused tokens.
    pub(crate) fn end(&mut self, workspace: &WorkspaceId, unused_tokens: u64) {
        let flow = self.flow(workspace);
        flow.running = flow.running.saturating_sub(1);
        flow.finish_tag -= unused_tokens as f64 / flow.share.weight;
    }

    /// Removes the queued requests that match `predicate` and returns their tickets.
    pub(crate) fn remove(&mut self, predicate: impl Fn(&QueuedRequest) -> bool) -> Vec<u64> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            flow.queue.retain(|_, request| {
                let matches = predicate(request);
                if matches {
                    removed.push(request.ticket);
                }
                !matches
            });
        }
        self.queued -= removed.len();
        removed
    }

    fn flow(&mut self, workspace: &WorkspaceId) -> &mut Flow {
        self.flows.entry(workspace.clone()).or_insert_with(|| Flow {
            share: WorkspaceShare::default(),
            queue: BTreeMap::new(),
            running: 0,
            finish_tag: 0.0,
            arrivals: 0,
        })
    }
}

impl Flow {
    fn may_run(&self) -> bool {
        self.running < self.share.max_running
    }
}

impl Default for WorkspaceShare {
    fn default() -> Self {
        Self {
            weight: 1.0,
            max_running: u32::MAX,
        }
    }
}
