//! Decides in which epoch a process may append the account of its router.
//!
//! The processes of a router follow each other, and the store may execute an append of one that has
//! ended seconds later. A process therefore claims an epoch with a record that names it, and appends
//! accounts only in an epoch whose claim it has read back as its own. The epochs of all accounts that
//! earlier processes appended or still have in flight are thus in the ledger before a later process
//! reads it, which claims a higher one and so fences them. Claims and accounts have different keys, so
//! a delayed claim hides no account.
//!
//! The upper half of an epoch is the store's generation: a restored store may have lost claims, and
//! those of the processes that it has forgotten must not be claimed again.

use crate::process::{StoreGeneration, StoreRecord};
use bytes::Bytes;
use mallowpath::{Category, Error, Result};
use prost::Message;
use std::sync::Arc;

/// Precedes the name of the router in the key of a claim; no router's name contains a slash.
const KEY_PREFIX: &str = "epoch/";

/// The bits of an epoch below the generation.
const COUNTER_BITS: u32 = 32;

/// The claim of an epoch by a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct EpochClaim {
    /// The epoch.
    pub epoch: u64,
    /// Identifies the process.
    pub incarnation: u64,
}

/// Has the tags of an account's record, so that processes that know no claims read an empty account.
#[derive(Clone, PartialEq, Message)]
struct ClaimRecord {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(fixed64, tag = "5")]
    incarnation: u64,
}

impl EpochClaim {
    /// Returns the router whose claims have the key `key`; `None` if it is not the key of claims.
    pub fn router_of(key: &str) -> Option<&str> {
        key.strip_prefix(KEY_PREFIX)
    }

    /// Encodes the claim as a ledger record of `router`.
    pub fn encode(&self, router: &str) -> StoreRecord {
        let record = ClaimRecord {
            epoch: self.epoch,
            incarnation: self.incarnation,
        };
        StoreRecord {
            key: Arc::from(format!("{KEY_PREFIX}{router}")),
            value: Some(Bytes::from(record.encode_to_vec())),
        }
    }

    /// Decodes the value of a claim of `router`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Protocol`] when the bytes are not a claim.
    pub fn decode(router: &str, value: Bytes) -> Result<Self> {
        match ClaimRecord::decode(value) {
            Ok(record) => Ok(Self {
                epoch: record.epoch,
                incarnation: record.incarnation,
            }),
            Err(error) => Err(Error::new(
                Category::Protocol,
                "decode the claim of an epoch",
                router,
                "the record is not a valid claim",
            )
            .with_source(error)),
        }
    }
}

/// The epoch of a process as a writer of one shard of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EpochOwner {
    claim: EpochClaim,
    /// The sequence number of the last append within the epoch.
    sequence: u64,
    is_owned: bool,
}

impl EpochOwner {
    /// Returns the state of a process that has claimed no epoch.
    pub fn new(incarnation: u64) -> Self {
        Self {
            claim: EpochClaim {
                epoch: 0,
                incarnation,
            },
            sequence: 0,
            is_owned: false,
        }
    }

    /// Returns whether accounts may be appended in the epoch.
    pub fn is_owned(&self) -> bool {
        self.is_owned
    }

    /// Returns the epoch; accounts may be appended in it only if it is owned.
    pub fn epoch(&self) -> u64 {
        self.claim.epoch
    }

    /// Makes the next append claim an epoch first, as the store may have forgotten this one.
    pub fn disown(&mut self) {
        self.is_owned = false;
    }

    /// Chooses the epoch to claim next: higher than `known`, the highest epoch of the router in the
    /// ledger, and than all of this process and of earlier generations.
    ///
    /// The claim has the first sequence number of its epoch.
    pub fn choose(&mut self, known: u64, generation: StoreGeneration) -> EpochClaim {
        let generation = generation.0.min(u64::from(u32::MAX));
        let lowest = generation << COUNTER_BITS;
        self.claim.epoch = lowest.max(known).max(self.claim.epoch) + 1;
        self.sequence = 1;
        self.is_owned = false;
        self.claim
    }

    /// Records the highest claim in the ledger, which was read up to the chosen one; returns whether the
    /// epoch is owned now.
    pub fn confirm(&mut self, highest: Option<EpochClaim>) -> bool {
        self.is_owned = highest == Some(self.claim);
        self.is_owned
    }

    /// Returns the sequence number of the next account.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
