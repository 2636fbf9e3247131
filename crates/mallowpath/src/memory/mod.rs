//! How much of its host's memory and descriptors a process gives to callers and peers.
//!
//! [`HostLimits`](host_limits::HostLimits) divides what the host has among the listeners and the buffers.
//! The tables decide without I/O: the [`BufferTable`](buffer_table::BufferTable) which bytes may be held
//! and which unfinished message makes room, the
//! [`ConnectionTable`](connection_table::ConnectionTable) which connection does. The
//! [`BufferBudget`](buffer_budget::BufferBudget) and the
//! [`ConnectionLimiter`](connection_limiter::ConnectionLimiter) share them among tasks.

pub mod buffer_budget;
pub mod buffer_table;
pub mod busy_body;
pub mod connection_limiter;
pub mod connection_table;
pub mod frame_codec;
pub mod held_answer;
pub mod host_limits;
mod log_interval;
pub mod segments;
pub mod unread_answer;
pub mod write_timeout;
