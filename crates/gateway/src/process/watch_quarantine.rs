//! Keeps the quarantined prompt parts in the store, for routers that start later.

use super::{
    follow_topic::{TopicUpdate, follow_topic},
    gateway::Gateway,
    store::{AppendId, AppendOutcome, Store, StoreRecord, Topic},
    topic_reads::TopicReads,
};
use bytes::Bytes;
use mallowpath::{PartId, RecordChange, Result, wall_clock_ms};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// How long a read waits for records; these are rare.
const READ_WAIT_MS: u64 = 10_000;

/// The longest random time between comparisons of the records with what is quarantined, so that few
/// routers write the same record.
const WRITE_INTERVAL_MAX_MS: u64 = 1_000;

/// Applies the records of quarantined parts; never returns.
pub(crate) async fn watch_quarantine(gateway: Arc<Gateway>, store: Store) {
    let apply = |update| {
        let now_ms = gateway.now_ms();
        let records = match update {
            TopicUpdate::Snapshot { records, .. } => {
                gateway.quarantine.lock().reset_records();
                records
            }
            TopicUpdate::Records(records) => records,
            TopicUpdate::ReadFailed => return,
        };
        for record in records {
            match decode(&record) {
                Some(change) => {
                    let mut quarantine = gateway.quarantine.lock();
                    quarantine.apply_record(change.part, change.renewals, now_ms);
                }
                None => log::warn!(
                    target: "quarantine",
                    "ignoring the record of {:?}, which is no prompt part",
                    record.key,
                ),
            }
        }
    };
    let reads = TopicReads::new(Duration::ZERO);
    follow_topic(store, Topic::Quarantine, READ_WAIT_MS, &reads, apply).await;
}

/// Writes the records that differ from what is quarantined; never returns.
pub(crate) async fn store_quarantine(gateway: Arc<Gateway>, store: Store) {
    let mut epoch = wall_clock_ms();
    loop {
        let interval_ms = rand::random_range(0..WRITE_INTERVAL_MAX_MS);
        let interval = Duration::from_millis(interval_ms);
        // The record is written at once or after the interval, whichever comes first.
        let _ = timeout(interval, gateway.quarantine.request_convicted.notified()).await;
        let changes = gateway.quarantine.lock().record_changes(gateway.now_ms());
        for change in changes {
            epoch = wall_clock_ms().max(epoch + 1);
            match append(&gateway, &store, change, epoch).await {
                Ok(AppendOutcome::Appended { .. }) => {}
                Ok(outcome) => log::debug!(
                    target: "quarantine",
                    "the record of prompt part {} was rejected, retrying: {outcome:?}",
                    change.part,
                ),
                Err(error) => {
                    log::debug!(target: "quarantine", "can't store a quarantine: {error}");
                    break;
                }
            }
        }
    }
}

async fn append(
    gateway: &Gateway,
    store: &Store,
    change: RecordChange,
    epoch: u64,
) -> Result<AppendOutcome> {
    let record = StoreRecord {
        key: Arc::from(change.part.to_string()),
        value: change
            .renewals
            .map(|renewals| Bytes::from(renewals.to_string())),
    };
    // Each append has an epoch of its own, as none has to follow another one.
    let append_id = AppendId {
        writer: Arc::clone(&gateway.settings.account),
        epoch,
        sequence: 1,
    };
    (store.append)(Topic::Quarantine, record, append_id).await
}

/// Decodes a record: the part is the key, the value is how often its quarantine was renewed.
fn decode(record: &StoreRecord) -> Option<RecordChange> {
    let part: PartId = record.key.parse().ok()?;
    let renewals = match &record.value {
        Some(value) => Some(std::str::from_utf8(value).ok()?.parse().ok()?),
        None => None,
    };
    Some(RecordChange { part, renewals })
}
