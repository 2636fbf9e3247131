//! Decides whether a stream whose body has ended is whole.
//!
//! A body that ends without an error doesn't show by itself that the generation has ended: a server
//! that is asked to go on with a stream may send nothing because it has failed.

/// What a backend server was asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamPart {
    /// A whole stream.
    #[default]
    Whole,
    /// The rest of a stream, by a caller that may hold all of its events.
    TakenUp,
    /// The rest of a stream that broke off within this answer.
    Resumed,
}

/// What is known of a stream when the body of its backend server ends without an error.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamEnd {
    /// What the backend server was asked for.
    pub part: StreamPart,
    /// Whether it has sent an event.
    pub has_events: bool,
    /// Whether the end of the body shows in the answer itself, and not only in that of the connection.
    pub is_framed: bool,
    /// The number of output tokens in the events of this answer.
    pub tokens_given: u64,
    /// The maximum number of output tokens; `None` if the request does not declare it.
    pub tokens_max: Option<u64>,
}

impl StreamEnd {
    /// Returns whether the caller may take the stream for complete.
    ///
    /// The end of its connection ends an unframed stream that has brought an event. A body without an
    /// event needs a frame, and nothing that the caller lacks.
    pub fn is_whole(&self) -> bool {
        self.has_events || (self.is_framed && !self.lacks_events())
    }

    /// Returns whether the caller lacks events, as far as that can be known.
    fn lacks_events(&self) -> bool {
        match (self.part, self.tokens_max) {
            (StreamPart::TakenUp, _) => false,
            (_, Some(tokens_max)) => self.tokens_given < tokens_max,
            (part, None) => part == StreamPart::Resumed,
        }
    }
}
