//! The records of the store that hold the origins of streams.

use super::origin_table::{StreamKey, StreamOrigin};
use crate::process::StoreRecord;
use bytes::Bytes;
use mallowpath::{Category, Error, Result};
use prost::Message;
use std::{collections::BTreeMap, sync::Arc};

/// The number of seconds of which the store keeps the streams that began.
///
/// Callers take up a stream within its route's timeout, which is shorter.
const SECONDS_KEPT: u64 = 32;

const STEP: &str = "decode the origins of streams";

/// The streams that began at one router within one second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginRecord {
    /// The second, since the Unix epoch by the router's clock.
    pub began_at_s: u64,
    /// The streams by their origin; an origin without streams is a version in use.
    pub streams: BTreeMap<StreamOrigin, Vec<StreamKey>>,
}

#[derive(Clone, PartialEq, Message)]
struct RecordMessage {
    #[prost(uint64, tag = "1")]
    began_at_s: u64,
    #[prost(message, repeated, tag = "2")]
    origins: Vec<OriginMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct OriginMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    /// Identify the streams.
    #[prost(fixed64, repeated, tag = "3")]
    streams: Vec<u64>,
}

impl OriginRecord {
    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.values().map(Vec::len).sum()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a record is one of `router`.
    pub fn is_of(record: &StoreRecord, router: &str) -> bool {
        let second = record.key.strip_prefix(router);
        second.is_some_and(|second| second.starts_with('/'))
    }

    /// Encodes the record of a router.
    ///
    /// It replaces the one of half a minute earlier, so that the store keeps only those of that time.
    pub fn encode(&self, router: &str) -> StoreRecord {
        let mut origins = Vec::with_capacity(self.streams.len());
        for (origin, streams) in &self.streams {
            origins.push(OriginMessage {
                service: origin.service.to_string(),
                version: origin.version.to_string(),
                streams: streams.iter().map(|stream| stream.0).collect(),
            });
        }
        let message = RecordMessage {
            began_at_s: self.began_at_s,
            origins,
        };
        StoreRecord {
            key: Arc::from(format!("{router}/{}", self.began_at_s % SECONDS_KEPT)),
            value: Some(Bytes::from(message.encode_to_vec())),
        }
    }

    /// Decodes the record of a router; one that was removed has no streams.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Protocol`] if the value is malformed.
    pub fn decode(record: &StoreRecord) -> Result<Self> {
        let malformed = |reason| Error::new(Category::Protocol, STEP, &record.key, reason);
        let Some(value) = &record.value else {
            return Ok(Self::default());
        };
        let message = match RecordMessage::decode(value.clone()) {
            Ok(message) => message,
            Err(error) => return Err(malformed("not a record").with_source(error)),
        };
        let mut streams = BTreeMap::new();
        for origin in message.origins {
            let (Ok(service), Ok(version)) = (origin.service.parse(), origin.version.parse())
            else {
                return Err(malformed("the service or the version is invalid"));
            };
            let keys = origin.streams.into_iter().map(StreamKey).collect();
            streams.insert(StreamOrigin { service, version }, keys);
        }
        Ok(Self {
            began_at_s: message.began_at_s,
            streams,
        })
    }
}
