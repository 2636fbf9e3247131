//! Decides which bytes of callers and peers a process holds.
//!
//! The load that it answers: many large messages at once, most of which stop short of their end while
//! their connections stay open. All buffers together have one limit. A part of it is left to small
//! messages and to answers, so that large bodies keep nobody with a short request waiting; one caller has
//! at most half, unless it has only one message. When the limit is reached, unfinished messages that have
//! stopped arriving make room, those of the caller who holds most first, and then answers that nobody
//! reads. A message that still arrives is never given up for another, since under a steady overload none
//! would arrive whole.

use std::{cmp::Reverse, collections::HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes up to which a message is small.
const SMALL_MAX_BYTES: usize = 64 << 10;

/// Bytes of a message that have to be received or sent for it to count as progress.
const PROGRESS_BYTES: usize = 16 << 10;

/// Time without progress after which an unfinished message may have to make room, in milliseconds.
const STALLED_AFTER_MS: u64 = 1_000;

/// Time without progress after which an answer may have to make room for its caller reads nothing, in
/// milliseconds.
const UNREAD_AFTER_MS: u64 = 2_000;

/// Time without progress after which an answer may have to make room for a smaller one, in milliseconds.
const PAUSES_AFTER_MS: u64 = 200;

/// Identifies a caller: a workspace, or a host if the workspace is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerId(u64);

impl CallerId {
    /// Returns the identifier of the caller with this name.
    pub fn of(name: &[u8]) -> Self {
        Self(xxh3_64(name))
    }
}

/// Identifies a buffer of a [`BufferTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BufferId(u64);

/// What a buffer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferKind {
    /// A message that has not arrived whole; it has had no effect and may be given up.
    Arriving,
    /// A whole message, which is needed until its answer is complete.
    Whole,
    /// An answer that the backend server sends.
    Answer,
    /// An answer that its caller reads, and that may be given up if the caller does not.
    Unread,
}

/// The decision on a buffer that wants to grow.
#[derive(Debug, PartialEq, Eq)]
pub enum Growth {
    /// The buffer has grown.
    Granted,
    /// These buffers, perhaps none besides earlier ones, have to make room first.
    AfterEviction(Vec<BufferId>),
    /// There is no room, and none is in sight.
    Refused,
}

/// The buffers of a process.
#[derive(Debug)]
pub struct BufferTable {
    max_bytes: usize,
    used_bytes: usize,
    next_id: u64,
    buffers: HashMap<BufferId, HeldBuffer>,
    callers: HashMap<CallerId, CallerUse>,
}

#[derive(Debug)]
struct HeldBuffer {
    caller: CallerId,
    kind: BufferKind,
    bytes: usize,
    /// Bytes that were received or sent since `progress_at_ms`.
    moved_bytes: usize,
    progress_at_ms: u64,
    is_evicted: bool,
}

/// What one caller holds.
#[derive(Debug, Default, Clone, Copy)]
struct CallerUse {
    bytes: usize,
    buffers: usize,
}

impl BufferTable {
    /// Creates a table whose buffers together have at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            next_id: 0,
            buffers: HashMap::new(),
            callers: HashMap::new(),
        }
    }

    /// Returns the bytes that all buffers hold.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the bytes that all buffers may hold.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Adds an empty buffer of a caller.
    pub fn open(&mut self, caller: CallerId, kind: BufferKind, now_ms: u64) -> BufferId {
        self.next_id += 1;
        let id = BufferId(self.next_id);
        self.callers.entry(caller).or_default().buffers += 1;
        let buffer = HeldBuffer {
            caller,
            kind,
            bytes: 0,
            moved_bytes: 0,
            progress_at_ms: now_ms,
            is_evicted: false,
        };
        self.buffers.insert(id, buffer);
        id
    }

    /// Removes a buffer, whose memory is free again.
    pub fn close(&mut self, id: BufferId) {
        let Some(buffer) = self.buffers.remove(&id) else {
            return;
        };
        self.used_bytes -= buffer.bytes;
        if let Some(held) = self.callers.get_mut(&buffer.caller) {
            held.bytes -= buffer.bytes;
            held.buffers -= 1;
            if held.buffers == 0 {
                self.callers.remove(&buffer.caller);
            }
        }
    }

    /// Changes what a buffer holds, which counts as progress; it need not make room any longer.
    pub fn set_kind(&mut self, id: BufferId, kind: BufferKind, now_ms: u64) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.kind = kind;
            buffer.is_evicted = false;
            buffer.moved_bytes = 0;
            buffer.progress_at_ms = now_ms;
        }
    }

    /// Records that `bytes` of a message were received, or `bytes` of an answer sent.
    pub fn record_progress(&mut self, id: BufferId, bytes: usize, now_ms: u64) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        buffer.moved_bytes += bytes;
        if buffer.moved_bytes >= PROGRESS_BYTES {
            buffer.moved_bytes = 0;
            buffer.progress_at_ms = now_ms;
        }
    }

    /// Reduces a buffer to `bytes`.
    pub fn shrink(&mut self, id: BufferId, bytes: usize) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        let freed_bytes = buffer.bytes.saturating_sub(bytes);
        buffer.bytes -= freed_bytes;
        self.used_bytes -= freed_bytes;
        if let Some(held) = self.callers.get_mut(&buffer.caller) {
            held.bytes -= freed_bytes;
        }
    }

    /// Enlarges a buffer by `bytes` if there is room, or chooses the buffers that have to make room.
    pub fn grow(&mut self, id: BufferId, bytes: usize, now_ms: u64) -> Growth {
        let Some(buffer) = self.buffers.get(&id) else {
            return Growth::Refused;
        };
        if buffer.is_evicted {
            return Growth::Refused;
        }
        let caller = buffer.caller;
        let missing_bytes = self.missing_bytes(buffer, bytes);
        if missing_bytes.of_all == 0 && missing_bytes.of_caller == 0 {
            self.add(id, bytes, now_ms);
            return Growth::Granted;
        }
        let mut chosen = Vec::new();
        let has_room = self.evict(
            missing_bytes.of_caller,
            Some(caller),
            id,
            now_ms,
            &mut chosen,
        ) && self.evict(missing_bytes.of_all, None, id, now_ms, &mut chosen);
        if has_room {
            return Growth::AfterEviction(chosen);
        }
        for id in chosen {
            self.set_evicted(id, false);
        }
        let Some(larger) = self.larger_unread(id, bytes, now_ms) else {
            return Growth::Refused;
        };
        self.set_evicted(larger, true);
        Growth::AfterEviction(vec![larger])
    }

    /// Returns the largest answer that pauses and holds more than an answer that grows by `bytes`.
    ///
    /// It makes room before it has stalled, so that the answers of callers who read are not given up for it.
    fn larger_unread(&self, id: BufferId, bytes: usize, now_ms: u64) -> Option<BufferId> {
        let growing = self.buffers.get(&id)?;
        if growing.kind != BufferKind::Unread {
            return None;
        }
        let mut largest = (growing.bytes + bytes, None);
        for (&other, buffer) in &self.buffers {
            let pauses = now_ms.saturating_sub(buffer.progress_at_ms) >= PAUSES_AFTER_MS;
            let yields = buffer.kind == BufferKind::Unread && !buffer.is_evicted && pauses;
            if yields && buffer.bytes > largest.0 {
                largest = (buffer.bytes, Some(other));
            }
        }
        largest.1
    }

    /// Enlarges a buffer by `bytes` before the buffers that were chosen for it have made room.
    ///
    /// All together may exceed the limit by what those hold.
    pub fn grow_ahead(&mut self, id: BufferId, bytes: usize, now_ms: u64) {
        self.add(id, bytes, now_ms);
    }

    fn add(&mut self, id: BufferId, bytes: usize, now_ms: u64) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        if buffer.bytes == 0 {
            // Nothing could have made progress before.
            buffer.progress_at_ms = now_ms;
        }
        buffer.bytes += bytes;
        self.used_bytes += bytes;
        self.callers.entry(buffer.caller).or_default().bytes += bytes;
    }

    /// Returns how much is in the way of a buffer that grows by `bytes`.
    fn missing_bytes(&self, buffer: &HeldBuffer, bytes: usize) -> MissingBytes {
        let held = self
            .callers
            .get(&buffer.caller)
            .copied()
            .unwrap_or_default();
        let is_alone = self.used_bytes == buffer.bytes;
        let is_large = buffer.bytes + bytes > SMALL_MAX_BYTES;
        let limited = is_large && matches!(buffer.kind, BufferKind::Arriving | BufferKind::Whole);
        let all_max_bytes = if limited && !is_alone {
            self.max_bytes / 4 * 3
        } else {
            self.max_bytes
        };
        let caller_max_bytes = if limited && held.buffers > 1 {
            self.max_bytes / 2
        } else {
            self.max_bytes
        };
        MissingBytes {
            of_all: (self.used_bytes + bytes).saturating_sub(all_max_bytes),
            of_caller: (held.bytes + bytes).saturating_sub(caller_max_bytes),
        }
    }

    /// Chooses stalled buffers, of one caller or of all, until `bytes` will be free; returns whether they
    /// suffice.
    ///
    /// Buffers that were chosen before and are not closed yet count as well.
    fn evict(
        &mut self,
        bytes: usize,
        caller: Option<CallerId>,
        for_buffer: BufferId,
        now_ms: u64,
        chosen: &mut Vec<BufferId>,
    ) -> bool {
        if bytes == 0 {
            return true;
        }
        let mut freed_bytes = 0;
        let mut stalled = Vec::new();
        for (&id, buffer) in &self.buffers {
            if id == for_buffer || caller.is_some_and(|caller| caller != buffer.caller) {
                continue;
            }
            if buffer.is_evicted {
                freed_bytes += buffer.bytes;
            } else if let Some(rank) = buffer.stalled_rank(now_ms) {
                let held = self
                    .callers
                    .get(&buffer.caller)
                    .copied()
                    .unwrap_or_default();
                let order = (rank, Reverse(held.bytes), buffer.progress_at_ms, id);
                stalled.push((order, buffer.bytes));
            }
        }
        stalled.sort_unstable();
        for ((.., id), buffer_bytes) in stalled {
            if freed_bytes >= bytes {
                break;
            }
            freed_bytes += buffer_bytes;
            self.set_evicted(id, true);
            chosen.push(id);
        }
        freed_bytes >= bytes
    }

    fn set_evicted(&mut self, id: BufferId, is_evicted: bool) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.is_evicted = is_evicted;
        }
    }
}

/// The bytes by which limits would be exceeded.
struct MissingBytes {
    of_all: usize,
    of_caller: usize,
}

impl HeldBuffer {
    /// Returns in which order a buffer that makes no progress has to make room; `None` if it has not.
    fn stalled_rank(&self, now_ms: u64) -> Option<u8> {
        let (rank, stalled_after_ms) = match self.kind {
            BufferKind::Arriving => (0, STALLED_AFTER_MS),
            BufferKind::Unread => (1, UNREAD_AFTER_MS),
            BufferKind::Whole | BufferKind::Answer => return None,
        };
        let waited_ms = now_ms.saturating_sub(self.progress_at_ms);
        (self.bytes > 0 && waited_ms >= stalled_after_ms).then_some(rank)
    }
}
