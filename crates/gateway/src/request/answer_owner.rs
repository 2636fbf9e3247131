//! Which request an answer belongs to.
//!
//! A faulty backend server may send an answer once more, at any time and without an identifier. An
//! answer on a connection that carried an earlier request may then be a copy of an earlier answer.

use super::message_heads::BackendAnswer;
use http::StatusCode;

/// The request to which an answer belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The request that was sent last on the connection.
    ThisRequest,
    /// Another request, or none.
    AnotherRequest,
    /// Perhaps the request that was sent last, perhaps an earlier one.
    Unknown,
}

impl AnswerOwner {
    /// Returns the owner of an answer to a request with `attempt_id`.
    ///
    /// `is_first` is whether the request is the first one on its connection. Only a rejection may lack
    /// the identifier of a request that has one.
    pub fn of(
        answer: &BackendAnswer,
        status: StatusCode,
        attempt_id: Option<&str>,
        is_first: bool,
    ) -> Self {
        match (answer.attempt_id.as_deref(), attempt_id) {
            (Some(answered), Some(sent)) if answered == sent => Self::ThisRequest,
            (Some(_), _) => Self::AnotherRequest,
            (None, Some(_)) if !is_rejection(answer, status) => Self::AnotherRequest,
            (None, _) if is_first => Self::ThisRequest,
            (None, _) => Self::Unknown,
        }
    }
}

/// Returns whether an answer states that the request to which it belongs has not run.
pub(super) fn is_rejection(answer: &BackendAnswer, status: StatusCode) -> bool {
    answer.not_run || status == StatusCode::MISDIRECTED_REQUEST
}
