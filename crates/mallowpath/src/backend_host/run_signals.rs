//! How the tasks of a run learn of its progress and its end.

use crate::{
    backend_host::run_table::RunTable,
    id::RequestId,
    peer::wire::{AnswerEnd, AnswerHead},
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, OnceLock, PoisonError},
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// The run table and the signals of its runs, under one lock.
#[derive(Debug)]
pub(crate) struct Runs {
    pub(crate) table: RunTable,
    pub(crate) signals: HashMap<RequestId, Arc<RunSignals>>,
}

/// Notifies tasks of the progress of one run, and carries the request to stop it.
#[derive(Debug, Default)]
pub(crate) struct RunSignals {
    /// Notified of the head, of each chunk and of the end.
    pub(crate) progress: Notify,
    /// Cancelled to stop the run.
    pub(crate) stop: CancellationToken,
    /// The status and the content type, once the backend server has sent them.
    pub(crate) head: OnceLock<AnswerHead>,
    /// How the run ended, or `None` while it is in progress.
    end: Mutex<Option<AnswerEnd>>,
}

impl RunSignals {
    /// Returns how the run ended, or `None` while it is in progress.
    pub(crate) fn ended(&self) -> Option<AnswerEnd> {
        self.end
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Records how the run ended.
    pub(crate) fn set_end(&self, end: AnswerEnd) {
        *self.end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
    }

    /// Waits for the end of the run.
    pub(crate) async fn wait_for_end(&self) -> AnswerEnd {
        loop {
            let changed = self.progress.notified();
            if let Some(end) = self.ended() {
                return end;
            }
            changed.await;
        }
    }
}
