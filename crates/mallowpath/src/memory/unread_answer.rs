//! What has arrived of an answer and was not passed on to its caller yet.
//!
//! The connection to a backend server's host carries the answers of many callers, so it is read on while one
//! of them reads nothing.

use super::{buffer_budget::Buffer, buffer_table::Growth};
use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Bytes of an answer that are part of the memory of its caller's connection.
const FREE_BYTES: usize = 8 << 10;

/// The buffer of an answer changes by this much at a time.
const STEP_BYTES: usize = 16 << 10;

/// The parts of an answer that wait for its caller.
///
/// If there is no memory for them, answers that nobody reads make room, or the connection of this one's caller
/// is closed.
pub struct UnreadAnswer {
    buffer: Buffer,
    sizes: Mutex<Sizes>,
}

/// Numbers of bytes.
#[derive(Debug, Default)]
struct Sizes {
    /// What waits for the caller.
    waiting: usize,
    /// What the buffer accounts for.
    held: usize,
    /// What the buffer was last asked to account for.
    asked: usize,
}

/// The memory of one part of an answer, which is released on drop.
#[derive(Debug)]
pub struct UnreadPart {
    answer: Arc<UnreadAnswer>,
    bytes: usize,
}

impl UnreadAnswer {
    /// Creates an answer of which nothing has arrived; `buffer` accounts for it.
    pub fn new(buffer: Buffer) -> Arc<Self> {
        buffer.set_unread();
        Arc::new(Self {
            buffer,
            sizes: Mutex::default(),
        })
    }

    /// Accounts for a part that occupies `bytes`.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> UnreadPart {
        let mut sizes = self.lock();
        sizes.waiting += bytes;
        let wanted = sizes.wanted();
        if wanted > sizes.asked {
            sizes.asked = wanted;
            let more_bytes = wanted - sizes.held;
            match self.buffer.try_grow(more_bytes) {
                Growth::Granted => sizes.held = wanted,
                Growth::AfterEviction(_) => {
                    // The part has arrived, so it can't wait for the room.
                    self.buffer.grow_ahead(more_bytes);
                    sizes.held = wanted;
                }
                Growth::Refused => self.buffer.give_up(more_bytes),
            }
        }
        UnreadPart {
            answer: Arc::clone(self),
            bytes,
        }
    }

    fn release(&self, bytes: usize) {
        let mut sizes = self.lock();
        sizes.waiting -= bytes;
        if sizes.asked == 0 {
            return;
        }
        let wanted = sizes.wanted();
        sizes.asked = sizes.asked.min(wanted);
        if wanted < sizes.held {
            sizes.held = wanted;
            self.buffer.shrink(wanted);
        }
        self.buffer.record_progress(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Sizes> {
        self.sizes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sizes {
    /// Returns the bytes that the buffer should account for.
    fn wanted(&self) -> usize {
        let more_bytes = self.waiting.saturating_sub(FREE_BYTES);
        more_bytes.next_multiple_of(STEP_BYTES)
    }
}

impl Drop for UnreadPart {
    fn drop(&mut self) {
        self.answer.release(self.bytes);
    }
}

impl fmt::Debug for UnreadAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UnreadAnswer").finish_non_exhaustive()
    }
}
