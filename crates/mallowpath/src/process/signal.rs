//! Handles the signals that end a process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that end a process; from their creation on, they no longer end it at once.
#[derive(Debug)]
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    /// Handles SIGTERM and SIGINT from now on.
    ///
    /// # Panics
    ///
    /// Panics when a signal handler can't be installed.
    pub fn listen() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).expect("SIGTERM can be handled"),
            interrupt: signal(SignalKind::interrupt()).expect("SIGINT can be handled"),
        }
    }

    /// Waits until the process has drained; SIGTERM and the first SIGINT start the drain.
    ///
    /// A second SIGINT ends the wait at once, with work still in progress.
    pub async fn run_until_drained(mut self, drain: impl Fn(), drained: impl Future<Output = ()>) {
        let mut interrupts = 0;
        tokio::pin!(drained);
        loop {
            tokio::select! {
                () = &mut drained => return,
                _ = self.terminate.recv() => drain(),
                _ = self.interrupt.recv() => {
                    interrupts += 1;
                    if interrupts > 1 {
                        log::warn!("received a second SIGINT, ending with work in progress");
                        return;
                    }
                    drain();
                }
            }
        }
    }
}

/// Waits until the process has drained, as [`TerminationSignals::run_until_drained`] does.
///
/// # Panics
///
/// Panics when a signal handler can't be installed.
pub async fn run_until_drained(drain: impl Fn(), drained: impl Future<Output = ()>) {
    TerminationSignals::listen()
        .run_until_drained(drain, drained)
        .await;
}
