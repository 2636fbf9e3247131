//! The buffers of a process, shared by the tasks that fill them.

use super::{
    buffer_table::{BufferId, BufferKind, BufferTable, CallerId, Growth},
    connection_limiter::ConnectionSlot,
    log_interval::LogInterval,
};
use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use tokio::sync::Notify;

/// There is no memory for a message or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShort;

/// The memory of a process for bodies, answers and messages.
#[derive(Debug)]
pub struct BufferBudget {
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
    /// Notified when a buffer shrinks or closes.
    released: Notify,
    started_at: Instant,
}

#[derive(Debug)]
struct State {
    table: BufferTable,
    /// The notifications of buffers that may have to make room.
    evictions: HashMap<BufferId, Arc<Notify>>,
    log_interval: LogInterval,
}

/// A buffer of a [`BufferBudget`], whose memory is released on drop.
pub struct Buffer {
    budget: Arc<BufferBudget>,
    id: BufferId,
    caller: CallerId,
    eviction: Arc<Notify>,
}

impl BufferBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                table: BufferTable::new(max_bytes),
                evictions: HashMap::new(),
                log_interval: LogInterval::default(),
            }),
            released: Notify::new(),
            started_at: Instant::now(),
        })
    }

    /// Returns the bytes that all buffers hold.
    pub fn used_bytes(&self) -> usize {
        self.lock().table.used_bytes()
    }

    /// Returns the bytes that all buffers may hold.
    pub fn max_bytes(&self) -> usize {
        self.lock().table.max_bytes()
    }

    /// Opens an empty buffer of a caller.
    pub fn open(self: &Arc<Self>, caller: CallerId, kind: BufferKind) -> Buffer {
        self.open_with(caller, kind, Arc::default())
    }

    /// Opens an empty buffer; `eviction` is notified when it has to make room.
    fn open_with(
        self: &Arc<Self>,
        caller: CallerId,
        kind: BufferKind,
        eviction: Arc<Notify>,
    ) -> Buffer {
        let now_ms = self.now_ms();
        let id = self.lock().table.open(caller, kind, now_ms);
        let buffer = Buffer {
            budget: Arc::clone(self),
            id,
            caller,
            eviction,
        };
        if kind == BufferKind::Arriving {
            buffer.listen_for_eviction();
        }
        buffer
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Buffer {
    /// Opens an empty buffer for the answer to the message in this one.
    ///
    /// `connection` is closed if its caller reads nothing of the answer while others need the memory.
    #[must_use]
    pub fn open_answer(&self, connection: &ConnectionSlot) -> Self {
        let abort = connection.abort_signal();
        self.budget
            .open_with(self.caller, BufferKind::Answer, abort)
    }

    /// Enlarges the buffer by `bytes`, perhaps after others have made room.
    ///
    /// # Errors
    ///
    /// Fails when there is no room.
    pub async fn grow(&self, bytes: usize) -> Result<(), MemoryShort> {
        loop {
            // Created before the decision, so that memory that is released after it ends the wait.
            let released = self.budget.released.notified();
            match self.try_grow(bytes) {
                Growth::Granted => return Ok(()),
                Growth::AfterEviction(_) => released.await,
                Growth::Refused => {
                    self.record_refusal(bytes);
                    return Err(MemoryShort);
                }
            }
        }
    }

    /// Enlarges the buffer by `bytes` once there is room, however long that takes.
    pub async fn grow_when_released(&self, bytes: usize) {
        loop {
            let released = self.budget.released.notified();
            if self.try_grow(bytes) == Growth::Granted {
                return;
            }
            released.await;
        }
    }

    /// Enlarges the buffer by `bytes` if there is room at once.
    ///
    /// # Errors
    ///
    /// Fails when there is no room yet; others may be making it.
    pub fn grow_now(&self, bytes: usize) -> Result<(), MemoryShort> {
        match self.try_grow(bytes) {
            Growth::Granted => Ok(()),
            Growth::AfterEviction(_) | Growth::Refused => {
                self.record_refusal(bytes);
                Err(MemoryShort)
            }
        }
    }

    /// Reduces the buffer to `bytes`.
    pub fn shrink(&self, bytes: usize) {
        self.budget.lock().table.shrink(self.id, bytes);
        self.budget.released.notify_waiters();
    }

    /// Records that `bytes` of the message were received, or `bytes` of the answer sent.
    pub fn record_progress(&self, bytes: usize) {
        let now_ms = self.budget.now_ms();
        let table = &mut self.budget.lock().table;
        table.record_progress(self.id, bytes, now_ms);
    }

    /// Records that the message has arrived whole, so that it no longer has to make room.
    pub fn set_whole(&self) {
        let now_ms = self.budget.now_ms();
        let mut state = self.budget.lock();
        state.table.set_kind(self.id, BufferKind::Whole, now_ms);
        state.evictions.remove(&self.id);
        drop(state);
        // Others may wait for the room that this one was to make.
        self.budget.released.notify_waiters();
    }

    /// Records that the caller may read the answer, which makes room if the caller does not.
    pub fn set_unread(&self) {
        let now_ms = self.budget.now_ms();
        let mut state = self.budget.lock();
        state.table.set_kind(self.id, BufferKind::Unread, now_ms);
        drop(state);
        self.listen_for_eviction();
    }

    fn listen_for_eviction(&self) {
        let eviction = Arc::clone(&self.eviction);
        self.budget.lock().evictions.insert(self.id, eviction);
    }

    /// Waits until the buffer has to make room for others.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Enlarges the buffer by `bytes` for which others are making room.
    pub(super) fn grow_ahead(&self, bytes: usize) {
        let now_ms = self.budget.now_ms();
        self.budget.lock().table.grow_ahead(self.id, bytes, now_ms);
    }

    /// Has the caller's connection closed, as there is no room for `bytes` more of its answer.
    pub(super) fn give_up(&self, bytes: usize) {
        self.record_refusal(bytes);
        self.eviction.notify_one();
    }

    /// Enlarges the buffer by `bytes` if there is room at once, and else has others make it.
    pub(super) fn try_grow(&self, bytes: usize) -> Growth {
        let now_ms = self.budget.now_ms();
        let mut state = self.budget.lock();
        let growth = state.table.grow(self.id, bytes, now_ms);
        if let Growth::AfterEviction(chosen) = &growth {
            for id in chosen {
                metrics::counter!("memory_evictions_total").increment(1);
                if let Some(eviction) = state.evictions.remove(id) {
                    eviction.notify_one();
                }
            }
        }
        growth
    }

    /// Counts a refusal and logs some of them.
    fn record_refusal(&self, bytes: usize) {
        metrics::counter!("memory_refusals_total").increment(1);
        let now_ms = self.budget.now_ms();
        let mut state = self.budget.lock();
        if !state.log_interval.allows(now_ms) {
            return;
        }
        let (used_bytes, max_bytes) = (state.table.used_bytes(), state.table.max_bytes());
        drop(state);
        log::warn!(
            target: "memory",
            "no room for {bytes} bytes more: buffers hold {used_bytes} of {max_bytes} bytes",
        );
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.table.close(self.id);
        state.evictions.remove(&self.id);
        drop(state);
        self.budget.released.notify_waiters();
    }
}

impl fmt::Debug for Buffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Buffer")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl fmt::Display for MemoryShort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no memory for a message")
    }
}

impl std::error::Error for MemoryShort {}
