//! How far the shutdown of a process has come.

/// The phases of a process, from normal operation through its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The process accepts connections and requests.
    Serving,
    /// The process reports that it is not ready but accepts requests until the load balancer has
    /// noticed.
    Leaving,
    /// The process accepts no connections and closes idle ones.
    Closing,
}
