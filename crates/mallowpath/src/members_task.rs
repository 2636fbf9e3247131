//! Following the `members` stream: its state in routers, and the join of a sidecar.

use crate::{
    checkpoint_pace::CheckpointPace,
    claim_verdict::ClaimVerdict,
    error::{Category, Error, Result},
    follow::{Follower, back_off},
    id::{Incarnation, Offset},
    link::now_ms,
    log_client::{LogClient, LogRecord},
    members::{FenceTarget, Members, MembersChange, MembersCheckpoint, MembersRecord},
};
use prost::Message;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

/// The name of the stream of joins, leaves and fences.
pub(crate) const MEMBERS_STREAM: &str = "members";

/// The replayed `members` stream of a router.
#[derive(Debug)]
pub(crate) struct MembersTask {
    log: LogClient,
    /// Nothing until the stream was read for the first time.
    members: Mutex<Option<Members>>,
    /// Told when a record was replayed.
    pub(crate) changed: Notify,
}

/// What a router has to act on after replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MembersEvent {
    /// A fence stands in the stream.
    Fenced(FenceTarget),
    /// A sidecar is gone, and with it what it knew of spent slices.
    SidecarGone,
}

/// Replays the stream to its end and returns the state with a follower behind it.
///
/// # Errors
///
/// Fails with [`Category::Gone`] when the stream holds neither its beginning nor a checkpoint, else
/// as the log service does.
pub(crate) async fn load_members(log: &LogClient) -> Result<(Members, Follower)> {
    let (first, _) = log.bounds(MEMBERS_STREAM).await?;
    let mut start = (first == Offset(0)).then(Members::default);
    let mut search = Follower::new(log.clone(), MEMBERS_STREAM, first);
    let searched = search.catch_up(|record| {
        let Some(checkpoint) = checkpoint_in(&record) else {
            return;
        };
        let known = start.as_ref().map_or(first, Members::next_offset);
        if checkpoint.next_offset >= known.0 && checkpoint.next_offset <= record.offset.0 {
            start = Some(Members::from_checkpoint(&checkpoint));
        }
    });
    searched.await?;
    let Some(mut members) = start else {
        return Err(no_start(first));
    };
    let mut follower = Follower::new(log.clone(), MEMBERS_STREAM, members.next_offset());
    let replayed = follower.catch_up(|record| {
        members.apply(record.offset, &read(&record));
    });
    replayed.await?;
    Ok((members, follower))
}

/// Decodes a record; bytes of another kind are a record that says nothing.
pub(crate) fn read(record: &LogRecord) -> MembersRecord {
    MembersRecord::decode(record.data.clone()).unwrap_or_default()
}

fn checkpoint_in(record: &LogRecord) -> Option<MembersCheckpoint> {
    match read(record).change {
        Some(MembersChange::Checkpoint(checkpoint)) => Some(checkpoint),
        _ => None,
    }
}

#[cold]
fn no_start(first: Offset) -> Error {
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

impl MembersTask {
    /// Makes a task that has read nothing yet.
    pub(crate) fn new(log: LogClient) -> Self {
        Self {
            log,
            members: Mutex::new(None),
            changed: Notify::new(),
        }
    }

    /// Returns every fence of the replayed prefix.
    pub(crate) fn fenced(&self) -> Vec<FenceTarget> {
        self.with(|members| members.fenced().collect())
            .unwrap_or_default()
    }

    /// Returns the offset of the fence of a router.
    pub(crate) fn fence_offset(&self, router: Incarnation) -> Option<Offset> {
        self.with(|members| members.fence_offset(FenceTarget::Router(router.0)))?
    }

    /// Returns the sidecars that have to confirm the fence at an offset, with their addresses.
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

    /// Describes the state for a dump.
    pub(crate) fn dump(&self) -> Value {
        let described = self.with(|members| {
            json!({
                "next": members.next_offset(),
                "sidecars": members.sidecars().count(),
                "fences": members.fenced().count(),
            })
        });
        described.unwrap_or(Value::Null)
    }

    /// Follows the stream for the life of the process; `act` is told of each event in order.
    ///
    /// After a start from the log, `act` hears of all fences, and that sidecars may be gone.
    pub(crate) async fn follow(&self, act: impl Fn(MembersEvent)) {
        let mut failures = 0;
        loop {
            match load_members(&self.log).await {
                Ok((members, follower)) => {
                    failures = 0;
                    let fenced: Vec<FenceTarget> = members.fenced().collect();
                    *self.members() = Some(members);
                    self.changed.notify_waiters();
                    act(MembersEvent::SidecarGone);
                    for target in fenced {
                        act(MembersEvent::Fenced(target));
                    }
                    self.follow_from(follower, &act).await;
                }
                Err(error) => {
                    log::warn!("{error}");
                    failures += 1;
                    back_off(failures).await;
                }
            }
        }
    }

    /// Follows until records that were not read are no longer kept.
    async fn follow_from(&self, mut follower: Follower, act: &impl Fn(MembersEvent)) {
        let mut pace = CheckpointPace::default();
        let mut failures = 0;
        loop {
            let step = follower.step(|record| {
                if let Some(checkpoint) = checkpoint_in(&record) {
                    pace.covered(Offset(checkpoint.next_offset));
                }
                for event in self.replay(&record) {
                    act(event);
                }
            });
            match step.await {
                Ok(()) => failures = 0,
                Err(error) if error.category() == Category::Gone => {
                    log::error!("{error}");
                    return;
                }
                Err(error) => {
                    log::warn!("{error}");
                    failures += 1;
                    back_off(failures).await;
                    continue;
                }
            }
            self.write_checkpoint(&mut pace, follower.first()).await;
        }
    }

    fn replay(&self, record: &LogRecord) -> Vec<MembersEvent> {
        let mut events = Vec::new();
        let decoded = read(record);
        {
            let mut state = self.members();
            let Some(members) = state.as_mut() else {
                return events;
            };
            let gone = match &decoded.change {
                Some(MembersChange::Join(join)) => members.is_live(members.latest_on(&join.name)),
                Some(MembersChange::Leave(_)) => true,
                _ => false,
            };
            if members.apply(record.offset, &decoded) != ClaimVerdict::Valid {
                return events;
            }
            if gone {
                events.push(MembersEvent::SidecarGone);
            }
        }
        if let Some(MembersChange::Fence(fence)) = &decoded.change {
            events.extend(fence.target.map(MembersEvent::Fenced));
        }
        self.changed.notify_waiters();
        events
    }

    async fn write_checkpoint(&self, pace: &mut CheckpointPace, first: Offset) {
        let Some(checkpoint) = self.with(Members::checkpoint) else {
            return;
        };
        let next = Offset(checkpoint.next_offset);
        if !pace.is_due(first, next, rand::random(), now_ms()) {
            return;
        }
        let record = MembersRecord::from(MembersChange::Checkpoint(checkpoint));
        match self
            .log
            .append(MEMBERS_STREAM, record.encode_to_vec().into())
            .await
        {
            Ok(_) => pace.covered(next),
            Err(error) => log::warn!("{error}"),
        }
    }

    fn with<T>(&self, read: impl FnOnce(&Members) -> T) -> Option<T> {
        self.members().as_ref().map(read)
    }

    fn members(&self) -> MutexGuard<'_, Option<Members>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
