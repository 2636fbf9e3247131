//! Encoding of identifiers in records and messages.

use crate::id::{GrantId, Incarnation, RequestId, SliceId};

/// An identifier in a record or message, unique by the process that created it and a number.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RecordId {
    /// The incarnation of the process that created the identifier.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the identifier among those that the process created.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// Implements the conversions between an identifier type and [`RecordId`].
macro_rules! impl_record_id {
    ($id:ident) => {
        impl From<$id> for RecordId {
            fn from(id: $id) -> Self {
                Self {
                    incarnation: id.incarnation.0,
                    sequence: id.sequence,
                }
            }
        }

        impl From<RecordId> for $id {
            fn from(id: RecordId) -> Self {
                Self {
                    incarnation: Incarnation(id.incarnation),
                    sequence: id.sequence,
                }
            }
        }
    };
}

impl_record_id!(RequestId);
impl_record_id!(GrantId);
impl_record_id!(SliceId);
