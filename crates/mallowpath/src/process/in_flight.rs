//! Counts the work in progress, so that a graceful shutdown can wait for it.

use std::sync::Arc;
use tokio::sync::watch;

/// A counter of work in progress.
#[derive(Debug)]
pub(crate) struct InFlightCounter {
    count: Arc<watch::Sender<usize>>,
}

/// A guard that counts one piece of work until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<watch::Sender<usize>>,
}

impl InFlightCounter {
    /// Counts one piece of work until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of pieces of work in progress.
    pub(crate) fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until nothing is in progress.
    pub(crate) async fn idle(&self) {
        let mut counts = self.count.subscribe();
        // Waiting fails only when the sender is dropped, and `self` owns it.
        drop(counts.wait_for(|count| *count == 0).await);
    }
}

impl Default for InFlightCounter {
    fn default() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
