//! Processing of a request: admission, attempts at backend servers and the answer to the caller.

mod admission;
mod answer;
mod answer_owner;
mod attempt;
mod attempts;
mod delivery;
mod destination;
mod events;
mod forward;
mod headers;
mod held_events;
mod message_heads;
mod open_stream;
mod origin;
mod rejection;
mod request_log;
mod resume;
mod retry_after;
mod silence;
mod stream;
mod stream_end;
mod suspicion;

pub(crate) use admission::body_memory_bytes;
pub(crate) use answer::AnswerBody;
pub use answer_owner::AnswerOwner;
pub(crate) use attempt::millis;
pub use events::{EventError, EventSplitter};
pub(crate) use forward::{CallerConnection, forward};
pub use headers::strip_connection_headers;
pub use message_heads::{
    AnswerKind, BackendAnswer, BackendRequestHead, CallerRequest, HeadCodec, PromptPart,
    TokenCount, Urgency,
};
pub(crate) use request_log::StateAges;
pub use silence::SilenceWatch;
pub use stream_end::{StreamEnd, StreamPart};
