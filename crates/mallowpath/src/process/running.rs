//! Counts the work in progress, so that a graceful shutdown can wait for it.

use std::sync::Arc;
use tokio::sync::watch;

/// A counter of work in progress.
#[derive(Debug)]
pub(crate) struct Running {
    count: Arc<watch::Sender<usize>>,
}

/// A guard that counts one piece of work until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    count: Arc<watch::Sender<usize>>,
}

impl Running {
    /// Counts one piece of work until the returned guard is dropped.
    pub(crate) fn enter(&self) -> RunningGuard {
        self.count.send_modify(|count| *count += 1);
        RunningGuard {
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

impl Default for Running {
    fn default() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
