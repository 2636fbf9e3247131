//! Processes of the fleet that can be ended abruptly, each on threads of its own.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// The threads and tasks of one process of the fleet.
#[derive(Debug)]
pub(crate) struct Process {
    runtime: Option<Runtime>,
}

impl Process {
    /// Makes a process in which nothing runs yet.
    ///
    /// # Errors
    ///
    /// Fails when its thread can't be started.
    pub(crate) fn new() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Runs a start function in the process and returns its result.
    ///
    /// # Errors
    ///
    /// Fails when the process was ended or the function panicked.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        start: impl Future<Output = T> + Send + 'static,
    ) -> io::Result<T> {
        let Some(runtime) = &self.runtime else {
            return Err(io::Error::other("the process was ended"));
        };
        runtime.spawn(start).await.map_err(io::Error::other)
    }

    /// Ends all tasks where they are and closes their sockets, as a crash does.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
