//! The selection of the backend server for a request.

use super::{
    backend::Backend,
    backend_registry::{BackendRegistry, State},
    choice::{Candidate, choose},
    slowness::slowness,
    stated_rate_limit::StatedRateLimit,
};
use crate::request::PromptPart;
use mallowpath::{
    BackendId, BackendVersion, Candidate as RendezvousCandidate, ServiceId, Zone, pick,
};
use std::sync::Arc;

/// The properties of a request that determine the backend server selected for it.
#[derive(Debug, Clone, Copy)]
pub struct BackendQuery<'a> {
    /// The service that has to answer the request.
    pub service: &'a ServiceId,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The parts of the prompt in order; the last one is specific to this request.
    pub prompt: &'a [PromptPart],
    /// The only version of a backend server's software that may answer, if the request goes on with a
    /// stream.
    pub version: Option<&'a BackendVersion>,
    /// A uniformly distributed random number that breaks ties.
    pub random: u64,
}

impl BackendRegistry {
    /// Selects the backend server for a request; returns it and its uncached prompt tokens.
    ///
    /// Backend servers in `tried` are skipped. Returns `None` if there is no other that accepts
    /// requests.
    pub fn choose(
        &self,
        query: &BackendQuery<'_>,
        tried: &[BackendId],
        now_ms: u64,
    ) -> Option<(Arc<Backend>, u64)> {
        let mut state = self.lock();
        state.update_spill(query.service, &self.zone, now_ms);
        let usable = state.usable_backends(query, tried, &self.zone, now_ms);
        let candidates = state.candidates(query, &usable, &self.zone, now_ms);
        let index = choose(&candidates, &state.choice)?;
        let uncached_tokens = candidates[index].uncached_tokens;
        let chosen = Arc::clone(usable[index]);
        state.record_choice(query, &chosen, now_ms);
        Some((chosen, uncached_tokens))
    }
}

impl State {
    /// Returns the backend servers that may get a request of a router in `zone`.
    fn usable_backends(
        &self,
        query: &BackendQuery<'_>,
        tried: &[BackendId],
        zone: &Zone,
        now_ms: u64,
    ) -> Vec<&Arc<Backend>> {
        let Some(group) = self.services.get(query.service) else {
            return Vec::new();
        };
        let mut usable = Vec::with_capacity(group.members.len());
        for backend in &group.members {
            if self.is_usable(backend, tried, now_ms)
                && backend.has_version(query.version)
                && self.bears_request(backend, now_ms)
            {
                usable.push(backend);
            }
        }
        let stays = group
            .spill
            .as_ref()
            .is_some_and(|spill| !spill.may_leave(query.random.rotate_left(32)));
        if stays && tried.is_empty() {
            self.keep_in_zone(query, &mut usable, zone, now_ms);
        }
        usable
    }

    /// Returns the properties of the usable backend servers that determine the choice, in their order.
    fn candidates(
        &self,
        query: &BackendQuery<'_>,
        usable: &[&Arc<Backend>],
        zone: &Zone,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let Some(group) = self.services.get(query.service) else {
            return Vec::new();
        };
        let mut waits = Vec::with_capacity(usable.len());
        for backend in usable {
            waits.push(backend.recent_waits(&self.slowness, now_ms));
        }
        let slowness = slowness(&waits, &self.slowness);
        let rendezvous_choice = rendezvous_choice(query, usable);
        let mut candidates = Vec::with_capacity(usable.len());
        for (index, backend) in usable.iter().enumerate() {
            let is_rendezvous_choice = rendezvous_choice == Some(index);
            candidates.push(Candidate {
                in_flight: backend.in_flight(),
                prefill_tokens: backend.prefill_tokens(),
                slots: backend.entry.slots,
                uncached_tokens: self.uncached_tokens(query, backend, is_rendezvous_choice, now_ms),
                slowness: slowness[index],
                same_zone: backend.entry.zone == *zone,
                weight: group.outliers.weight(&backend.entry.id, now_ms),
                // Spreads the random number so that it differs between candidates.
                tie_breaker: query
                    .random
                    .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                    .rotate_left(u32::try_from(index % 64).unwrap_or(0)),
            });
        }
        candidates
    }

    fn record_choice(&mut self, query: &BackendQuery<'_>, chosen: &Backend, now_ms: u64) {
        chosen.with_rate_limit(StatedRateLimit::record_sent);
        if chosen.is_cold(now_ms) {
            chosen.with_cold_window(|window| window.record_sent(now_ms));
        }
        for part in shared_parts(query.prompt) {
            self.prefixes.insert(part.id, &chosen.entry.id, now_ms);
        }
    }

    /// Returns the estimated number of prompt tokens that `backend` has not cached.
    ///
    /// All shared parts except the last belong to many sessions and are assumed to be cached on
    /// every backend server. The last one, the session's part, is assumed to be cached where this
    /// router has sent it. If it has sent it nowhere, the part is assumed to be cached on the
    /// backend server that rendezvous hashing selects on every router.
    fn uncached_tokens(
        &self,
        query: &BackendQuery<'_>,
        backend: &Backend,
        is_rendezvous_choice: bool,
        now_ms: u64,
    ) -> u64 {
        let shared = shared_parts(query.prompt);
        let Some((session, common)) = shared.split_last() else {
            return query.prompt_tokens;
        };
        let mut cached: u64 = common.iter().map(|part| part.tokens).sum();
        let is_cached = self
            .prefixes
            .is_cached_at(session.id, &backend.entry.id, now_ms);
        if is_cached
            || is_rendezvous_choice && !self.prefixes.is_cached_anywhere(session.id, now_ms)
        {
            cached += session.tokens;
        }
        query.prompt_tokens.saturating_sub(cached)
    }
}

/// Returns the prompt parts that other requests may have in common with this one.
pub(super) fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    prompt.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns the index of the backend server that rendezvous hashing assigns to the session.
///
/// All routers that know the same backend servers get the same result.
pub(super) fn rendezvous_choice(
    query: &BackendQuery<'_>,
    usable: &[&Arc<Backend>],
) -> Option<usize> {
    let session = shared_parts(query.prompt).last()?;
    let mut candidates = Vec::with_capacity(usable.len());
    for backend in usable {
        candidates.push(RendezvousCandidate {
            name: backend.entry.id.as_str(),
            weight: 1.0,
        });
    }
    pick(session.id, &candidates)
}
