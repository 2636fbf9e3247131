//! Selects a backend server by cost, from the state local to this router.
//!
//! The cost estimates the prompt tokens to process before the first output token: the tokens queued
//! at the backend server, the uncached tokens of this request, and a fixed number for each request
//! in flight. The lowest cost is selected, so a request goes to the backend server that has cached
//! its prompt until the queue there costs more than processing the prompt again.

/// The state of a backend server that is eligible for a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The number of this router's requests in flight to the backend server.
    pub in_flight: u64,
    /// Prompt tokens of these requests that have not been processed yet.
    pub prefill_tokens: u64,
    /// The maximum number of requests that the backend server processes concurrently.
    pub slots: u64,
    /// Prompt tokens of the new request that are not in the backend server's cache.
    pub uncached_tokens: u64,
    /// How many times longer the backend server takes for the same work than the mean of its service.
    pub slowness: f64,
    /// Whether the backend server is in the router's availability zone.
    pub same_zone: bool,
    /// The weight from outlier ejection: 0 while ejected, then rising to 1 during slow start.
    pub weight: f64,
    /// A number that differs between candidates and requests and breaks ties of equal cost.
    pub tie_breaker: u64,
}

/// Settings of [`choose`].
#[derive(Debug, Clone)]
pub struct ChoiceSettings {
    /// The cost of an uncached token, relative to a queued one.
    ///
    /// Processing a prompt again that another backend server has cached uses up capacity that all
    /// requests share.
    pub uncached_factor: f64,
    /// The cost of a request in flight, in prompt tokens.
    pub in_flight_cost_tokens: f64,
    /// The cost of a backend server in another availability zone, in prompt tokens.
    pub other_zone_cost_tokens: f64,
    /// The number of routers that share the backend servers; each is assumed to send the same load
    /// as this router.
    pub router_count: usize,
}

/// Returns the index of the candidate with the lowest cost.
///
/// Candidates with weight 0 are selected only if there is no other. Returns `None` if `candidates`
/// is empty.
pub fn choose(candidates: &[Candidate], settings: &ChoiceSettings) -> Option<usize> {
    let others_in_flight = others_in_flight(candidates, settings);
    let mut best: Option<(usize, f64)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = cost(candidate, others_in_flight, settings);
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((index, cost));
        }
    }
    best.map(|(index, _)| index)
}

/// Returns the estimated number of requests of other routers in flight to each candidate.
///
/// Each router is assumed to send the same load as this one. It is spread evenly, as the few
/// requests of one router to one backend server say little about those of the others.
fn others_in_flight(candidates: &[Candidate], settings: &ChoiceSettings) -> f64 {
    let in_flight: u64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
    let mean = in_flight as f64 / candidates.len().max(1) as f64;
    mean * (settings.router_count.max(1) - 1) as f64
}

fn cost(candidate: &Candidate, others_in_flight: f64, settings: &ChoiceSettings) -> f64 {
    /// The cost of an ejected candidate; higher than that of any prompt.
    const EJECTED_COST_TOKENS: f64 = 1e9;
    /// The cost of each request in excess of the slots; also scales the cost of slow start.
    const OVER_SLOTS_COST_TOKENS: f64 = 10_000.0;

    let queued_tokens = candidate.prefill_tokens as f64;
    let in_flight = candidate.in_flight as f64;
    let over_slots = (in_flight + others_in_flight - candidate.slots as f64 + 1.0).max(0.0);
    let work_tokens = queued_tokens
        + candidate.uncached_tokens as f64 * settings.uncached_factor
        + in_flight * settings.in_flight_cost_tokens;
    let mut cost = work_tokens * candidate.slowness + over_slots * OVER_SLOTS_COST_TOKENS;
    if !candidate.same_zone {
        cost += settings.other_zone_cost_tokens;
    }
    if candidate.weight <= 0.0 {
        cost += EJECTED_COST_TOKENS;
    } else {
        cost += (1.0 / candidate.weight - 1.0) * OVER_SLOTS_COST_TOKENS;
    }
    // Less than one token, so it only breaks ties.
    cost + candidate.tie_breaker as f64 / u64::MAX as f64
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            uncached_factor: 2.0,
            in_flight_cost_tokens: 250.0,
            other_zone_cost_tokens: 200.0,
            router_count: 4,
        }
    }
}
