//! Simulated processes, each with its own Tokio runtime so that it can be killed on its own.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// A simulated process of the fleet: a Tokio runtime with its threads and tasks.
#[derive(Debug)]
pub(crate) struct SimulatedProcess {
    runtime: Option<Runtime>,
}

impl SimulatedProcess {
    /// Creates a process that runs no task yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't be built.
    pub(crate) fn new() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Runs a future in the process and returns its output.
    ///
    /// Tasks that the future spawns stay in the process after it returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the process was killed or the future panicked.
    pub(crate) async fn spawn_and_wait<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> io::Result<T> {
        let Some(runtime) = &self.runtime else {
            return Err(io::Error::other(
                "can't run the task: the process was killed",
            ));
        };
        runtime.spawn(future).await.map_err(io::Error::other)
    }

    /// Aborts all tasks at their current await point and closes their sockets, as a crash does.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for SimulatedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
