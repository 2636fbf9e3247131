//! Replay of the `members` stream into memory, and the join of a router.

use crate::{
    error::{Category, Error, Result},
    id::{Incarnation, Offset},
    membership::members::{
        FenceTarget, Join, Members, MembersChange, MembersCheckpoint, MembersRecord,
    },
    peer::link::now_ms,
    stream::apply_outcome::ApplyOutcome,
    stream::checkpoint_schedule::CheckpointSchedule,
    stream::follower::{Follower, sleep_backoff},
    stream::log_client::{LogClient, LogRecord},
};
use prost::Message;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// The name of the stream of joins, leaves and fences.
pub(crate) const MEMBERS_STREAM: &str = "members";

/// The time after which a join that was not replayed is appended again.
const JOIN_RETRY_MS: u64 = 1000;

/// The replayed `members` stream of a router.
#[derive(Debug)]
pub(crate) struct MembersFollower {
    log: LogClient,
    /// `None` until the stream was replayed for the first time.
    members: Mutex<Option<Members>>,
    /// Notified when the state was loaded or a valid record was replayed.
    pub(crate) changed: Notify,
}

/// A change in the stream that a router has to react to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MembersEvent {
    /// A target is fenced.
    Fenced(FenceTarget),
    /// A router left, or a later join on its host replaced it.
    RouterGone(Incarnation),
    /// All events of records below this offset were delivered.
    ReplayedBelow(Offset),
}

/// Replays the stream to its end and returns the state and a follower that continues after it.
///
/// # Errors
///
/// Fails with [`Category::Gone`] if the log retains neither the beginning of the stream nor a
/// checkpoint, and with the error of the log service if the stream can't be read.
pub(crate) async fn load_members(log: &LogClient) -> Result<(Members, Follower)> {
    let (first, _) = log.bounds(MEMBERS_STREAM).await?;
    let mut start = (first == Offset(0)).then(Members::default);
    let mut search = Follower::new(log.clone(), MEMBERS_STREAM, first);
    let searched = search.catch_up(|record| {
        let Some(checkpoint) = decode_checkpoint(&record) else {
            return;
        };
        let known = start.as_ref().map_or(first, Members::next_offset);
        if checkpoint.next_offset >= known.0 && checkpoint.next_offset <= record.offset.0 {
            start = Some(Members::from_checkpoint(&checkpoint));
        }
    });
    searched.await?;
    let Some(mut members) = start else {
        return Err(gone_error(first));
    };
    let mut follower = Follower::new(log.clone(), MEMBERS_STREAM, members.next_offset());
    let replayed = follower.catch_up(|record| {
        members.apply(record.offset, &decode_record(&record));
    });
    replayed.await?;
    Ok((members, follower))
}

fn is_router(members: &Members, incarnation: Incarnation) -> bool {
    let mut routers = members.routers();
    routers.any(|join| join.incarnation == incarnation.0)
}

/// Decodes a record; bytes that can't be decoded give a record without a change.
pub(crate) fn decode_record(record: &LogRecord) -> MembersRecord {
    MembersRecord::decode(record.data.clone()).unwrap_or_default()
}

fn decode_checkpoint(record: &LogRecord) -> Option<MembersCheckpoint> {
    match decode_record(record).change {
        Some(MembersChange::Checkpoint(checkpoint)) => Some(checkpoint),
        _ => None,
    }
}

#[cold]
fn gone_error(first: Offset) -> Error {
    let message = format!(
        "records below {first} are gone and no checkpoint covers them; \
         refusing to start without the fences that they held"
    );
    Error::new(
        Category::Gone,
        "find the state of a stream",
        MEMBERS_STREAM,
        message,
    )
}

impl MembersFollower {
    /// Creates a follower that has not read the stream yet.
    pub(crate) fn new(log: LogClient) -> Self {
        Self {
            log,
            members: Mutex::new(None),
            changed: Notify::new(),
        }
    }

    /// Returns the routers that are fenced or gone.
    pub(crate) fn refused_routers(&self) -> BTreeSet<Incarnation> {
        let refused = self.with(|members| {
            let mut refused: BTreeSet<Incarnation> = members.gone_routers().collect();
            for target in members.fenced() {
                if let FenceTarget::Router(router) = target {
                    refused.insert(Incarnation(router));
                }
            }
            refused
        });
        refused.unwrap_or_default()
    }

    /// Returns whether a process has joined and is not gone in the replayed prefix.
    pub(crate) fn is_live(&self, incarnation: Incarnation) -> bool {
        self.with(|members| members.is_live(incarnation))
            .unwrap_or_default()
    }

    /// Returns the offset below which the stream was replayed.
    pub(crate) fn next_offset(&self) -> Offset {
        self.with(Members::next_offset).unwrap_or_default()
    }

    /// Returns the address of a live router, or an empty string if it is not live.
    pub(crate) fn router_address(&self, router: Incarnation) -> String {
        let address = self.with(|members| {
            let mut routers = members.routers();
            let join = routers.find(|join| join.incarnation == router.0);
            join.map(|join| join.address.clone()).unwrap_or_default()
        });
        address.unwrap_or_default()
    }

    /// Returns the offset of the fence of a router, if it is fenced.
    pub(crate) fn fence_offset(&self, router: Incarnation) -> Option<Offset> {
        self.with(|members| members.fence_offset(FenceTarget::Router(router.0)))?
    }

    /// Returns the sidecars that have to confirm the fence at an offset, with their addresses, or
    /// `None` before the stream was replayed.
    pub(crate) fn must_confirm(&self, fence: Offset) -> Option<BTreeMap<Incarnation, String>> {
        self.with(|members| {
            let due = members.must_confirm(fence);
            let mut addresses = BTreeMap::new();
            for join in members.sidecars() {
                let sidecar = Incarnation(join.incarnation);
                if due.contains(&sidecar) {
                    addresses.insert(sidecar, join.address.clone());
                }
            }
            addresses
        })
    }

    /// Appends the join of this router, repeatedly until it is replayed.
    ///
    /// The router takes no tokens before that.
    pub(crate) async fn join_router(&self, mut join: Join) {
        let own_incarnation = Incarnation(join.incarnation);
        loop {
            let changed = self.changed.notified();
            if self.is_live(own_incarnation) {
                return;
            }
            let previous = self.with(|members| members.latest_on(&join.name));
            if let Some(previous) = previous {
                join.previous = previous.0;
                let record = MembersRecord::from(MembersChange::Join(join.clone()));
                let data = record.encode_to_vec().into();
                if let Err(error) = self.log.append(MEMBERS_STREAM, data).await {
                    log::warn!(
                        "appending the join failed; retrying before any tokens are taken: {error}"
                    );
                }
            }
            // Other records also end the wait; a second copy of the join is void.
            if timeout(Duration::from_millis(JOIN_RETRY_MS), changed)
                .await
                .is_err()
            {
                log::info!("the join was not replayed in time; retrying");
            }
        }
    }

    /// Describes the state for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let described = self.with(|members| {
            json!({
                "next": members.next_offset(),
                "sidecars": members.sidecars().count(),
                "routers": members.routers().count(),
                "fences": members.fenced().count(),
            })
        });
        described.unwrap_or(Value::Null)
    }

    /// Follows the stream until the process ends and passes each event to `handle_event` in order.
    ///
    /// After each load of the state, `handle_event` receives all remembered routers that are gone
    /// and all fences.
    pub(crate) async fn follow(&self, handle_event: impl Fn(MembersEvent)) {
        let mut failures = 0;
        loop {
            match load_members(&self.log).await {
                Ok((members, follower)) => {
                    failures = 0;
                    let fenced: Vec<FenceTarget> = members.fenced().collect();
                    let gone: Vec<Incarnation> = members.gone_routers().collect();
                    *self.members() = Some(members);
                    self.changed.notify_waiters();
                    for router in gone {
                        handle_event(MembersEvent::RouterGone(router));
                    }
                    for target in fenced {
                        handle_event(MembersEvent::Fenced(target));
                    }
                    handle_event(MembersEvent::ReplayedBelow(self.next_offset()));
                    self.follow_from(follower, &handle_event).await;
                }
                Err(error) => {
                    log::warn!("loading the `members` stream failed; retrying: {error}");
                    failures += 1;
                    sleep_backoff(failures).await;
                }
            }
        }
    }

    /// Follows the stream until the log no longer retains records that were not read.
    async fn follow_from(&self, mut follower: Follower, handle_event: &impl Fn(MembersEvent)) {
        let mut schedule = CheckpointSchedule::default();
        let mut failures = 0;
        loop {
            let step = follower.poll(|record| {
                if let Some(checkpoint) = decode_checkpoint(&record) {
                    schedule.record_checkpoint(Offset(checkpoint.next_offset));
                }
                if let Some(event) = self.replay(&record) {
                    handle_event(event);
                }
                handle_event(MembersEvent::ReplayedBelow(Offset(record.offset.0 + 1)));
            });
            match step.await {
                Ok(()) => failures = 0,
                Err(error) if error.category() == Category::Gone => {
                    log::error!("unread `members` records are gone; reloading the state: {error}");
                    return;
                }
                Err(error) => {
                    log::warn!("following the `members` stream failed; retrying: {error}");
                    failures += 1;
                    sleep_backoff(failures).await;
                    continue;
                }
            }
            self.write_checkpoint(&mut schedule, follower.first()).await;
        }
    }

    /// Applies a record and returns the event that results from it, if any.
    fn replay(&self, record: &LogRecord) -> Option<MembersEvent> {
        let decoded = decode_record(record);
        let mut state = self.members();
        let members = state.as_mut()?;
        let departing = match &decoded.change {
            Some(MembersChange::Join(join)) => Some(members.latest_on(&join.name)),
            Some(MembersChange::Leave(leave)) => Some(Incarnation(leave.incarnation)),
            _ => None,
        };
        let gone = departing.filter(|incarnation| is_router(members, *incarnation));
        let outcome = members.apply(record.offset, &decoded);
        drop(state);
        if outcome != ApplyOutcome::Valid {
            return None;
        }
        self.changed.notify_waiters();
        match &decoded.change {
            Some(MembersChange::Fence(fence)) => fence.target.map(MembersEvent::Fenced),
            _ => gone.map(MembersEvent::RouterGone),
        }
    }

    async fn write_checkpoint(&self, schedule: &mut CheckpointSchedule, first: Offset) {
        let Some(checkpoint) = self.with(Members::checkpoint) else {
            return;
        };
        let next = Offset(checkpoint.next_offset);
        if !schedule.is_due(first, next, rand::random(), now_ms()) {
            return;
        }
        let record = MembersRecord::from(MembersChange::Checkpoint(checkpoint));
        match self
            .log
            .append(MEMBERS_STREAM, record.encode_to_vec().into())
            .await
        {
            Ok(_) => schedule.record_checkpoint(next),
            Err(error) => log::warn!(
                "appending a `members` checkpoint failed; retrying after the next read: {error}"
            ),
        }
    }

    /// Calls a function with the state, or returns `None` before the stream was replayed.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&Members) -> T) -> Option<T> {
        self.members().as_ref().map(read)
    }

    fn members(&self) -> MutexGuard<'_, Option<Members>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
