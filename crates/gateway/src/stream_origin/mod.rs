//! Which version of a backend server's software began each stream, for callers that take one up again
//! at any router.

mod origin_hold;
mod origin_reader;
mod origin_record;
mod origin_table;
mod stream_origins;
mod take_up;
mod unwritten_origins;

pub use origin_hold::OriginHold;
pub use origin_record::OriginRecord;
pub use origin_table::{KnownStream, OriginTable, StreamKey, StreamOrigin};
pub(crate) use stream_origins::{StreamOrigins, WritePace};
pub use take_up::{TakeUpDecision, TakeUpKnowledge};
pub use unwritten_origins::UnwrittenOrigins;

/// Time after its beginning within which a caller is assumed to take a stream up again, in milliseconds.
pub(crate) const TAKE_UP_MAX_MS: u64 = 60_000;
