//! Handles the signals that end a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process has drained; SIGTERM and the first SIGINT start the drain.
///
/// A second SIGINT ends the wait at once, with work still in progress.
///
/// # Panics
///
/// Panics when a signal handler can't be installed.
pub async fn run_until_drained(drain: impl Fn(), drained: impl Future<Output = ()>) {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    let mut interrupts = 0;
    tokio::pin!(drained);
    loop {
        tokio::select! {
            () = &mut drained => return,
            _ = terminate.recv() => drain(),
            _ = interrupt.recv() => {
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
