//! The request queue and the batch of the simulated engine.

use crate::{
    prefix_cache::{BLOCK_BYTES, EventOptions, PrefixCache},
    simulated_engine::Settings,
};
use serde::Serialize;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::watch;

/// The size of a prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// The parameters of a generation request.
#[derive(Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) priority: u32,
    pub(crate) prompt_bytes: usize,
    pub(crate) prefixes: Vec<u64>,
    pub(crate) text_seed: u64,
    pub(crate) tokens: u64,
    pub(crate) finish: Finish,
    pub(crate) adapter: Option<String>,
}

/// Why generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Finish {
    Stop,
    Length,
    Cancelled,
}

/// The progress of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) produced: u64,
    pub(crate) finish: Option<Finish>,
}

/// A submitted request and its progress.
#[derive(Debug)]
pub(crate) struct SubmittedRequest {
    pub(crate) request: GenerationRequest,
    pub(crate) progress: watch::Sender<Progress>,
}

/// Statistics of the requests with one id: the number of runs and the results of the latest.
#[derive(Debug, Default, Clone, Serialize)]
pub(crate) struct RunStats {
    pub(crate) runs: u64,
    prompt_tokens: u64,
    completion_tokens: u64,
    prefix_hit_tokens: u64,
    finish: Option<Finish>,
}

/// A snapshot of the engine's load.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    waiting: usize,
    kv_used_tokens: u64,
    kv_total_tokens: u64,
    at_ms: u64,
}

/// The queue, the running batch and the caches of the engine.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) runs: HashMap<String, Arc<SubmittedRequest>>,
    pub(crate) cache: PrefixCache,
    pub(crate) stats: BTreeMap<String, RunStats>,
    /// The loaded adapters, each with the value of the use counter at its last use.
    pub(crate) adapters: BTreeMap<String, u64>,
    waiting: BTreeMap<(u32, u64), Arc<SubmittedRequest>>,
    running: Vec<RunningRequest>,
    finished: VecDeque<(f64, Arc<SubmittedRequest>)>,
    use_counter: u64,
    prefill_free_at_ms: f64,
}

/// A request in the batch; it generates tokens from `ready_at_ms` on.
#[derive(Debug)]
struct RunningRequest {
    run: Arc<SubmittedRequest>,
    ready_at_ms: f64,
}

impl Batch {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            runs: HashMap::new(),
            cache: PrefixCache::new(seed),
            stats: BTreeMap::new(),
            adapters: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            finished: VecDeque::new(),
            use_counter: 0,
            prefill_free_at_ms: 0.0,
        }
    }

    /// Adds a request to the queue.
    pub(crate) fn submit(&mut self, request: GenerationRequest) -> Arc<SubmittedRequest> {
        let stats = self.stats.entry(request.id.clone()).or_default();
        stats.runs += 1;
        stats.prompt_tokens = token_count(request.prompt_bytes);
        stats.completion_tokens = 0;
        stats.prefix_hit_tokens = 0;
        stats.finish = None;
        self.use_counter += 1;
        let key = (request.priority, self.use_counter);
        let progress = watch::Sender::new(Progress {
            produced: 0,
            finish: None,
        });
        let run = Arc::new(SubmittedRequest { request, progress });
        self.runs.insert(run.request.id.clone(), Arc::clone(&run));
        self.waiting.insert(key, Arc::clone(&run));
        run
    }

    /// Cancels a request and returns its progress, or `None` for an unknown id.
    ///
    /// A finished request stays as it is.
    pub(crate) fn cancel(&mut self, id: &str, now_ms: f64) -> Option<Progress> {
        let run = Arc::clone(self.runs.get(id)?);
        if !run.is_finished() {
            self.finish(&run, Finish::Cancelled, now_ms);
            self.waiting
                .retain(|_, waiting| !Arc::ptr_eq(waiting, &run));
            self.running
                .retain(|active| !Arc::ptr_eq(&active.run, &run));
        }
        Some(run.progress())
    }

    /// Admits waiting requests and generates one token for each running one.
    ///
    /// Returns the duration of the step in milliseconds, or `None` when no request runs.
    pub(crate) fn step(&mut self, settings: &Settings, now_ms: f64) -> Option<f64> {
        self.remove_expired(settings, now_ms);
        self.admit(settings, now_ms);
        if self.running.is_empty() {
            return None;
        }
        let running = self.running.len() as f64;
        let mut active = std::mem::take(&mut self.running);
        active.retain(|active| {
            active.ready_at_ms > now_ms || !self.decode_token(&active.run, now_ms)
        });
        self.running = active;
        Some(settings.decode_ms + running * settings.decode_per_running_us as f64 / 1000.0)
    }

    /// Loads an adapter, evicting unused ones, and returns the load time in milliseconds.
    pub(crate) fn load_adapter(&mut self, name: &str, settings: &Settings) -> u64 {
        self.use_counter += 1;
        if self
            .adapters
            .insert(name.to_owned(), self.use_counter)
            .is_some()
        {
            return 0;
        }
        while self.adapters.len() > settings.adapter_slots.max(1) {
            let Some(evicted) = self.least_recently_used_adapter(name) else {
                break;
            };
            self.adapters.remove(&evicted);
        }
        settings.adapter_load_ms
    }

    pub(crate) fn load(&self, settings: &Settings, now_ms: u64) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            kv_used_tokens: self.kv_used_tokens(),
            kv_total_tokens: settings.kv_total_tokens,
            at_ms: now_ms,
        }
    }

    fn admit(&mut self, settings: &Settings, now_ms: f64) {
        while self.running.len() < settings.max_running {
            let Some((key, run)) = self.waiting.pop_first() else {
                return;
            };
            let needed_tokens = token_count(run.request.prompt_bytes) + run.request.tokens;
            let is_full = self.kv_used_tokens() + needed_tokens > settings.kv_total_tokens;
            if is_full && !self.running.is_empty() {
                self.waiting.insert(key, run);
                return;
            }
            let ready_at_ms = self.prefill(&run.request, settings, now_ms);
            self.running.push(RunningRequest { run, ready_at_ms });
        }
    }

    /// Adds the prompt to the prefix cache and returns the time at which decoding can begin.
    fn prefill(&mut self, request: &GenerationRequest, settings: &Settings, now_ms: f64) -> f64 {
        let event_options = EventOptions {
            now_ms: floor_ms(now_ms),
            gap_probability: settings.event_gap_probability,
        };
        let cached_blocks =
            self.cache
                .store(&request.prefixes, settings.cache_blocks, event_options);
        let hit_tokens = token_count(cached_blocks * BLOCK_BYTES);
        if let Some(stats) = self.stats.get_mut(&request.id) {
            stats.prefix_hit_tokens = hit_tokens;
        }
        let load_ms = match &request.adapter {
            Some(adapter) => self.load_adapter(adapter, settings),
            None => 0,
        };
        let new_tokens = token_count(request.prompt_bytes) - hit_tokens;
        let cost_ms = new_tokens as f64 * settings.prefill_ms_per_1k_tokens as f64 / 1000.0;
        // Prefills run one at a time.
        self.prefill_free_at_ms = self.prefill_free_at_ms.max(now_ms) + cost_ms;
        self.prefill_free_at_ms + load_ms as f64
    }

    /// Generates one token and returns whether it was the last.
    fn decode_token(&mut self, run: &Arc<SubmittedRequest>, now_ms: f64) -> bool {
        let produced = (run.progress().produced + 1).min(run.request.tokens);
        run.progress
            .send_modify(|progress| progress.produced = produced);
        let is_last = produced == run.request.tokens;
        if is_last {
            self.finish(run, run.request.finish, now_ms);
        }
        is_last
    }

    fn finish(&mut self, run: &Arc<SubmittedRequest>, finish: Finish, now_ms: f64) {
        run.progress
            .send_modify(|progress| progress.finish = Some(finish));
        self.finished.push_back((now_ms, Arc::clone(run)));
        if let Some(stats) = self.stats.get_mut(&run.request.id) {
            stats.completion_tokens = run.progress().produced;
            stats.finish = Some(finish);
        }
    }

    /// Removes requests that finished more than `finished_kept_ms` ago.
    fn remove_expired(&mut self, settings: &Settings, now_ms: f64) {
        while let Some((finished_at_ms, run)) = self.finished.front() {
            if finished_at_ms + settings.finished_kept_ms as f64 > now_ms {
                return;
            }
            let id = &run.request.id;
            // A later run with the same id may have replaced this one.
            if self
                .runs
                .get(id)
                .is_some_and(|latest| Arc::ptr_eq(latest, run))
            {
                self.runs.remove(id);
            }
            self.finished.pop_front();
        }
    }

    fn kv_used_tokens(&self) -> u64 {
        let mut used = 0;
        for active in &self.running {
            used += token_count(active.run.request.prompt_bytes) + active.run.progress().produced;
        }
        used
    }

    /// Returns the least recently used adapter, except `except` and those that running
    /// requests use.
    fn least_recently_used_adapter(&self, except: &str) -> Option<String> {
        let mut oldest: Option<(&String, u64)> = None;
        for (name, used) in &self.adapters {
            let is_used = self
                .running
                .iter()
                .any(|active| active.run.uses_adapter(name));
            if is_used
                || name == except
                || oldest.is_some_and(|(_, oldest_use)| oldest_use <= *used)
            {
                continue;
            }
            oldest = Some((name, *used));
        }
        oldest.map(|(name, _)| name.clone())
    }
}

impl SubmittedRequest {
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    fn is_finished(&self) -> bool {
        self.progress().finish.is_some()
    }

    fn uses_adapter(&self, name: &str) -> bool {
        self.request.adapter.as_deref() == Some(name)
    }
}

/// Returns the number of tokens in a text of `size_bytes`.
pub(crate) fn token_count(size_bytes: usize) -> u64 {
    size_bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns a non-negative time rounded down to milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the time is not negative"
)]
pub(crate) fn floor_ms(time_ms: f64) -> u64 {
    time_ms as u64
}
