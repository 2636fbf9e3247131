//! Weighted rendezvous hashing, and the choice of the sidecars that a router connects to.
//!
//! Each candidate gets a score from a hash of the key and its name, and the one with the highest
//! score owns the key. Adding or removing a candidate moves only the keys that it gains or loses,
//! and the processes need not agree on a hash ring.

use crate::{HostId, Region, Zone};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A candidate for the ownership of keys.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The candidate's unique name.
    pub name: &'a str,
    /// Its share of the keys relative to the others; at zero or less it owns none.
    pub weight: f64,
}

/// A host with its availability zone and region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLocation {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
}

/// The settings of [`subset`].
#[derive(Debug, Clone)]
pub struct SubsetSettings {
    /// The most sidecars of one service that a router connects to.
    pub size: usize,
    /// How many of them are reserved for other zones, so that some remain if its own zone fails.
    pub other_zones_min: usize,
}

/// Hashes `text` to a key for [`pick`] and [`pick_n`].
pub fn rendezvous_key(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns the index of the candidate that owns `key`, or `None` if none has a weight above 0.
///
/// # Examples
///
/// ```
/// use mallowpath::{Candidate, pick, rendezvous_key};
///
/// let hosts = ["a", "b", "c"].map(|name| Candidate { name, weight: 1.0 });
/// let owner = pick(rendezvous_key("budget-7"), &hosts);
/// assert_eq!(owner, pick(rendezvous_key("budget-7"), &hosts));
/// ```
pub fn pick(key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let mut best = None;
    let mut best_score = 0.0;
    for (index, candidate) in candidates.iter().enumerate() {
        let score = score(key, candidate);
        if score > best_score {
            best = Some(index);
            best_score = score;
        }
    }
    best
}

/// Returns the indices of the `n` candidates with the highest scores for `key`, best first.
pub fn pick_n(key: u64, candidates: &[Candidate<'_>], n: usize) -> Vec<usize> {
    let mut scored = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        let score = score(key, candidate);
        if score > 0.0 {
            scored.push((score, index));
        }
    }
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.truncate(n);
    let mut picked = Vec::with_capacity(scored.len());
    for (_, index) in scored {
        picked.push(index);
    }
    picked
}

/// Returns the indices of the sidecars of one service that a router connects to, nearest first.
///
/// Sidecars of the router's zone come first, then those of other zones of its region. Other
/// regions are used only if the region has no sidecar. Each router ranks the sidecars by its own
/// key, so the number of routers per sidecar follows a binomial distribution.
pub fn subset(
    router: &HostLocation,
    sidecars: &[HostLocation],
    settings: &SubsetSettings,
) -> Vec<usize> {
    let mut own_zone = Vec::new();
    let mut other_zones = Vec::new();
    let mut other_regions = Vec::new();
    for (index, sidecar) in sidecars.iter().enumerate() {
        if sidecar.region != router.region {
            other_regions.push(index);
        } else if sidecar.zone == router.zone {
            own_zone.push(index);
        } else {
            other_zones.push(index);
        }
    }
    if own_zone.is_empty() && other_zones.is_empty() {
        return highest_ranked(router, sidecars, &other_regions, settings.size);
    }
    let reserved = settings
        .other_zones_min
        .min(other_zones.len())
        .min(settings.size);
    let mut chosen = highest_ranked(router, sidecars, &own_zone, settings.size - reserved);
    let remaining = settings.size - chosen.len();
    chosen.extend(highest_ranked(router, sidecars, &other_zones, remaining));
    chosen
}

/// Returns the `n` of `members`, indices of `sidecars`, that rank highest for the router.
fn highest_ranked(
    router: &HostLocation,
    sidecars: &[HostLocation],
    members: &[usize],
    n: usize,
) -> Vec<usize> {
    let mut candidates = Vec::with_capacity(members.len());
    for &member in members {
        candidates.push(Candidate {
            name: sidecars[member].host.as_str(),
            weight: 1.0,
        });
    }
    let mut picked = pick_n(rendezvous_key(router.host.as_str()), &candidates, n);
    for index in &mut picked {
        *index = members[*index];
    }
    picked
}

/// Returns `-weight / ln(u)`, where `u` is uniform in (0, 1).
///
/// The probability of the highest score is then proportional to the weight.
fn score(key: u64, candidate: &Candidate<'_>) -> f64 {
    if candidate.weight <= 0.0 {
        return 0.0;
    }
    let hash = xxh3_64_with_seed(candidate.name.as_bytes(), key);
    -candidate.weight / unit_interval(hash).ln()
}

/// Maps a hash to a number strictly between 0 and 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    const SCALE: f64 = (1_u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) / SCALE
}

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            size: 40,
            other_zones_min: 8,
        }
    }
}
