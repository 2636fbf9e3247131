//! The result of applying a record of a log stream during replay.

/// The result of applying a record; all readers of the same records get the same result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record is valid and changed the state.
    Valid,
    /// The record violates a rule or repeats an earlier one; the state is unchanged.
    Void,
    /// The record cannot be applied yet, because a record before it, or a record of another stream
    /// that it refers to, has not been read. The state is unchanged.
    NotYetApplicable,
}
