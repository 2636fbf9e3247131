//! The origins that are to be written to the store.

use super::{
    origin_record::OriginRecord,
    origin_table::{StreamKey, StreamOrigin},
};
use std::collections::BTreeMap;

/// The maximum number of streams of one second that are written.
const STREAMS_PER_S_MAX: usize = 4_096;

/// The number of seconds for which origins are kept while the store takes none.
const UNWRITTEN_SECONDS_MAX: usize = 16;

/// Collects the streams of each second until the store has them.
#[derive(Debug, Default)]
pub struct UnwrittenOrigins {
    /// The first second whose record may be written; earlier ones are complete.
    first_s: u64,
    seconds: BTreeMap<u64, Second>,
}

#[derive(Debug, Default)]
struct Second {
    record: OriginRecord,
    /// The number of streams that the store has.
    written: usize,
}

impl UnwrittenOrigins {
    /// Leaves alone the records up to the second `last_s`, which an earlier process may have written.
    pub fn begin_after(&mut self, last_s: u64) {
        self.first_s = self.first_s.max(last_s + 1);
        let mut early = Vec::new();
        while let Some(entry) = self.seconds.first_entry() {
            if *entry.key() >= self.first_s {
                break;
            }
            early.push(entry.remove().record);
        }
        for record in early {
            for (origin, streams) in record.streams {
                for key in streams {
                    self.push(key, origin.clone(), self.first_s);
                }
            }
        }
    }

    /// Adds a stream, unless there are too many of the same second.
    pub fn push(&mut self, key: StreamKey, origin: StreamOrigin, now_s: u64) {
        let began_at_s = now_s.max(self.first_s);
        let second = self.seconds.entry(began_at_s).or_default();
        second.record.began_at_s = began_at_s;
        if second.record.len() < STREAMS_PER_S_MAX {
            second.record.streams.entry(origin).or_default().push(key);
        }
        while self.seconds.len() > UNWRITTEN_SECONDS_MAX {
            self.seconds.pop_first();
        }
    }

    /// Returns the records with streams that the store does not have, the oldest first, and forgets
    /// the seconds that are over and written.
    pub fn unwritten(&mut self, now_s: u64) -> Vec<OriginRecord> {
        while let Some(entry) = self.seconds.first_entry() {
            let began_at_s = *entry.key();
            if began_at_s >= now_s || entry.get().is_unwritten() {
                break;
            }
            entry.remove();
            self.first_s = began_at_s + 1;
        }
        let mut records = Vec::new();
        for second in self.seconds.values() {
            if second.is_unwritten() {
                records.push(second.record.clone());
            }
        }
        records
    }

    /// Records that the store has a record of [`Self::unwritten`].
    pub fn set_written(&mut self, record: &OriginRecord) {
        if let Some(second) = self.seconds.get_mut(&record.began_at_s) {
            second.written = second.written.max(record.len());
        }
    }
}

impl Second {
    fn is_unwritten(&self) -> bool {
        self.written < self.record.len()
    }
}
