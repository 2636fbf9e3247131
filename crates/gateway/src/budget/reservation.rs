//! Tokens reserved for one request.

use std::fmt;

/// Called with the spent tokens when a reservation ends.
type Settle = Box<dyn FnOnce(u64) + Send + Sync>;

/// Tokens reserved for one request; when dropped, the tokens not spent become available again.
pub struct Reservation {
    tokens: u64,
    /// Tokens that count as spent when the reservation is dropped.
    spent: u64,
    /// `None` once the reservation has ended.
    settle: Option<Settle>,
}

impl Reservation {
    /// Returns a reservation of `tokens`; `settle` is called with the spent ones when it is dropped.
    pub(super) fn new(tokens: u64, settle: impl FnOnce(u64) + Send + Sync + 'static) -> Self {
        Self {
            tokens,
            spent: 0,
            settle: Some(Box::new(settle)),
        }
    }

    /// Sets the request's cost so far, at most the reserved tokens; it is spent on drop.
    pub fn set_spent(&mut self, tokens: u64) {
        self.spent = tokens.min(self.tokens);
    }

    /// Returns the tokens that count as spent when the reservation is dropped.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Counts all reserved tokens as spent on drop, for a request whose cost can't be known.
    pub fn mark_all_spent(&mut self) {
        self.spent = self.tokens;
    }

    /// Ends the reservation without settling it, as nothing was reserved.
    pub(super) fn forget(mut self) {
        self.settle = None;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(settle) = self.settle.take() {
            settle(self.spent);
        }
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation")
            .field("tokens", &self.tokens)
            .field("spent", &self.spent)
            .finish_non_exhaustive()
    }
}
