//! The tokens that the workspaces or kinds of requests of one service ask for and get.

use mallowpath::{RateMeter, Tokens};
use std::collections::BTreeMap;

/// The tokens that were asked for and admitted lately, by workspace or by kind of request.
#[derive(Debug)]
pub(super) struct TokenShares<K> {
    window_ms: u64,
    meters: BTreeMap<K, Meters>,
}

/// The recent tokens of one workspace or kind of request.
#[derive(Debug)]
struct Meters {
    requests: RateMeter,
    asked: RateMeter,
    admitted: RateMeter,
}

/// What a workspace or kind of request asked for and got in a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TokenShare {
    pub(super) requests: u64,
    pub(super) asked_tokens: u64,
    pub(super) admitted_tokens: u64,
}

impl<K: Clone + Ord> TokenShares<K> {
    /// Returns shares over windows of `window_ms`.
    pub(super) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            meters: BTreeMap::new(),
        }
    }

    /// Counts a request that asks for tokens.
    pub(super) fn record_asked(&mut self, key: &K, tokens: u64, now_ms: u64) {
        if !self.meters.contains_key(key) {
            let meter = RateMeter::new(self.window_ms, now_ms);
            let meters = Meters {
                requests: meter.clone(),
                asked: meter.clone(),
                admitted: meter,
            };
            self.meters.insert(key.clone(), meters);
        }
        if let Some(meters) = self.meters.get_mut(key) {
            meters.requests.add(Tokens(1), now_ms);
            meters.asked.add(Tokens(tokens), now_ms);
        }
    }

    /// Counts the tokens of an admitted request.
    pub(super) fn record_admitted(&mut self, key: &K, tokens: u64, now_ms: u64) {
        if let Some(meters) = self.meters.get_mut(key) {
            meters.admitted.add(Tokens(tokens), now_ms);
        }
    }

    /// Returns what `key` asked for and got.
    pub(super) fn share(&mut self, key: &K, now_ms: u64) -> TokenShare {
        let meters = self.meters.get_mut(key);
        meters.map_or_else(TokenShare::default, |meters| meters.share(now_ms))
    }

    /// Returns what each one asked for and got, and forgets those that ask for nothing.
    pub(super) fn all(&mut self, now_ms: u64) -> Vec<TokenShare> {
        let mut shares = Vec::with_capacity(self.meters.len());
        self.meters.retain(|_, meters| {
            let share = meters.share(now_ms);
            if share.asked_tokens > 0 {
                shares.push(share);
            }
            share.asked_tokens > 0
        });
        shares
    }
}

impl Meters {
    fn share(&mut self, now_ms: u64) -> TokenShare {
        TokenShare {
            requests: self.requests.expected(now_ms).0,
            asked_tokens: self.asked.expected(now_ms).0,
            admitted_tokens: self.admitted.expected(now_ms).0,
        }
    }
}

/// Returns the most that each one gets if `served_tokens` are divided fairly, so that nobody gets
/// more than it asked for and what it leaves is divided among the others; `None` if all get what they
/// asked for.
pub fn fair_level(asked_tokens: &mut [u64], served_tokens: u64) -> Option<u64> {
    asked_tokens.sort_unstable();
    let mut left_tokens = served_tokens;
    for (index, &asked) in asked_tokens.iter().enumerate() {
        let others = u64::try_from(asked_tokens.len() - index).unwrap_or(u64::MAX);
        let level = left_tokens / others;
        if asked > level {
            return Some(level);
        }
        left_tokens -= asked;
    }
    None
}
