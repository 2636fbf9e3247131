//! The origins of streams, which the store keeps for routers that start later.

use super::{
    origin_hold::OriginHold,
    origin_reader::OriginReader,
    origin_record::OriginRecord,
    origin_table::{KnownStream, OriginTable, StreamKey, StreamOrigin},
    unwritten_origins::UnwrittenOrigins,
};
use crate::{
    process::{AppendId, AppendOutcome, Store, StoreRecord, Topic},
    request::millis,
};
use futures_util::future::BoxFuture;
use mallowpath::{BackendVersion, Result, ServiceId, wall_clock_ms};
use std::{
    collections::BTreeSet,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify, watch},
    time::{sleep, timeout, timeout_at},
};

/// Interval between checks of what is to be written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between attempts to read the store at the start.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Age above which a record does not show which versions are in use; includes the difference between the
/// clocks of two hosts.
const RECORD_MAX_AGE_S: u64 = 120;

/// Added to the epoch of a write that a later epoch has fenced, in milliseconds.
const EPOCH_STEP_MS: u64 = 60_000;

/// The number of times that a fenced write is tried, with twice the step each time.
const FENCED_WRITES_MAX: u32 = 8;

/// What a router knows of the origins of streams, and its writes and reads of the store.
///
/// A router that ends is not there when it is needed, and all may end at once, so each writes the
/// origins of its streams to the store. Streams begin all the time and are seldom taken up, so the
/// store is read only then.
pub(crate) struct StreamOrigins {
    router: Arc<str>,
    store: Store,
    started_at: Instant,
    /// Seconds since the Unix epoch at the start; later steps of the clock have no effect.
    started_at_s: u64,
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
    /// Held during a read of the store.
    reader: AsyncMutex<OriginReader>,
    /// Held during a write to the store; holds the epoch of the last one. Each write has a later epoch,
    /// so that the store rejects an earlier one that is delayed.
    writer: AsyncMutex<u64>,
    /// Notified when the event of a stream is held.
    write_needed: Notify,
    /// The number of origins, in the order in which they were recorded, of which the write has ended.
    ended_writes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// The streams that began at this router.
    own: OriginTable,
    /// Those that were read from the store.
    read: OriginTable,
    unwritten: UnwrittenOrigins,
    /// The number of origins that were recorded.
    recorded: u64,
    hold: OriginHold,
    /// When the last successful read of the store began.
    read_as_of: Option<Instant>,
}

/// How often origins are written to the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WritePace {
    /// The minimum interval between two writes.
    pub(crate) interval: Duration,
    /// Whether backend servers of several versions of a service serve or did lately.
    pub(crate) is_mixed: bool,
}

impl fmt::Debug for StreamOrigins {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamOrigins")
            .field("router", &self.router)
            .finish_non_exhaustive()
    }
}

impl StreamOrigins {
    /// Returns an empty set of origins for the router with the account `router`.
    pub(crate) fn new(router: Arc<str>, store: Store) -> Self {
        Self {
            router,
            store,
            started_at: Instant::now(),
            started_at_s: wall_clock_ms() / 1_000,
            state: Mutex::default(),
            reader: AsyncMutex::default(),
            writer: AsyncMutex::default(),
            write_needed: Notify::new(),
            ended_writes: watch::Sender::new(0),
        }
    }

    /// Records the origin of a stream that began at this router; returns its number.
    pub(crate) fn record(&self, key: StreamKey, origin: StreamOrigin) -> u64 {
        let mut state = self.lock();
        let (now_ms, now_s) = (self.now_ms(), self.now_s());
        state.own.insert(key, origin.clone(), now_ms);
        state.unwritten.push(key, origin, now_s);
        state.recorded += 1;
        state.recorded
    }

    /// Returns whether first events are held at present until the store has their streams' origins.
    pub(crate) fn holds_events(&self) -> bool {
        let now_ms = self.now_ms();
        self.lock().hold.hold_ms(now_ms).is_some()
    }

    /// Returns a future that completes when the origin with `number` was written, or could not be, or
    /// when the event can't be held any longer.
    ///
    /// The time for which it is held begins when the future is first polled.
    pub(crate) fn hold(&self, number: u64) -> Option<BoxFuture<'static, ()>> {
        let hold_ms = self.lock().hold.hold_ms(self.now_ms())?;
        self.write_needed.notify_one();
        let mut ended_writes = self.ended_writes.subscribe();
        Some(Box::pin(async move {
            let began_at = Instant::now();
            let written = ended_writes.wait_for(|ended| *ended >= number);
            let held = timeout(Duration::from_millis(hold_ms), written).await;
            let end = if held.is_ok() { "written" } else { "timeout" };
            metrics::histogram!("gateway_first_event_hold_seconds", "end" => end)
                .record(began_at.elapsed().as_secs_f64());
        }))
    }

    /// Returns the versions of a service that were in use lately, as far as the store shows.
    pub(crate) fn versions(&self, service: &ServiceId) -> BTreeSet<BackendVersion> {
        let state = self.lock();
        let versions = state.read.versions(service, self.now_ms());
        versions.into_iter().cloned().collect()
    }

    /// Returns whether several versions of any service were in use lately, as far as the store shows.
    pub(crate) fn has_several_versions(&self) -> bool {
        let now_ms = self.now_ms();
        self.lock().read.has_several_versions(now_ms)
    }

    /// Returns when the last successful read of the store began.
    pub(crate) fn read_as_of(&self) -> Option<Instant> {
        self.lock().read_as_of
    }

    /// Returns the number of streams whose origins are remembered.
    pub(crate) fn len(&self) -> usize {
        let now_ms = self.now_ms();
        let state = self.lock();
        state.own.len(now_ms) + state.read.len(now_ms)
    }

    /// Returns the time since the origin of a stream was recorded or read.
    pub(crate) fn age_ms(&self, stream: &KnownStream) -> u64 {
        self.now_ms().saturating_sub(stream.recorded_at_ms)
    }

    /// Returns a stream whose origin this router knows.
    pub(crate) fn get(&self, key: StreamKey) -> Option<KnownStream> {
        let now_ms = self.now_ms();
        let state = self.lock();
        let own = state.own.get(key, now_ms);
        own.or_else(|| state.read.get(key, now_ms)).cloned()
    }

    /// Reads what other routers have written, unless a read began at `asked_at` or later; returns whether
    /// that succeeded in time.
    pub(crate) async fn read(self: &Arc<Self>, asked_at: Instant, until: Instant) -> bool {
        // The read goes on for later callers if this one can't wait for it.
        let read = tokio::spawn(Arc::clone(self).read_store(asked_at));
        matches!(timeout_at(until.into(), read).await, Ok(Ok(true)))
    }

    /// Writes the origins of streams to the store; never returns.
    ///
    /// Asks `pace()` again and again. `versions_in_use` returns the versions that servers state at
    /// present, which are written with the streams.
    pub(crate) async fn run_writes(
        self: &Arc<Self>,
        pace: impl Fn() -> WritePace,
        versions_in_use: impl Fn() -> Vec<StreamOrigin>,
    ) {
        self.begin_after_predecessor().await;
        let mut written_at = Instant::now();
        loop {
            let needed = timeout(WRITE_CHECK_INTERVAL, self.write_needed.notified()).await;
            let pace = pace();
            let interval_ms = pace.is_mixed.then(|| millis(pace.interval));
            self.lock().hold.set_interval(interval_ms);
            let early = pace.interval.saturating_sub(written_at.elapsed());
            if needed.is_err() && !early.is_zero() {
                continue;
            }
            // Streams that begin meanwhile are written together.
            sleep(early).await;
            written_at = Instant::now();
            self.write(&versions_in_use()).await;
        }
    }

    /// Waits until the records of an earlier process on this host are known, so that this one does not
    /// replace them.
    async fn begin_after_predecessor(self: &Arc<Self>) {
        self.lock().unwritten.begin_after(self.started_at_s);
        loop {
            self.lock().hold.begin_call(self.now_ms());
            let is_read = Arc::clone(self).read_store(Instant::now()).await;
            self.lock().hold.end_call(is_read, self.now_ms());
            if is_read {
                break;
            }
            sleep(FIRST_READ_INTERVAL).await;
        }
    }

    /// Writes the origins that the store does not have, and releases the events that are held for them.
    pub(crate) async fn write(&self, versions_in_use: &[StreamOrigin]) {
        let mut epoch = self.writer.lock().await;
        let (records, recorded) = {
            let mut state = self.lock();
            (state.unwritten.unwritten(self.now_s()), state.recorded)
        };
        for record in records {
            self.lock().hold.begin_call(self.now_ms());
            let outcome = self.append(&record, versions_in_use, &mut epoch).await;
            let is_written = matches!(outcome, Ok(AppendOutcome::Appended { .. }));
            let mut state = self.lock();
            state.hold.end_call(is_written, self.now_ms());
            if is_written {
                state.unwritten.set_written(&record);
                continue;
            }
            drop(state);
            match outcome {
                Ok(outcome) => log::warn!(
                    target: "store",
                    "the origins of streams were rejected: {outcome:?}"
                ),
                Err(error) => {
                    log::debug!(target: "store", "can't write the origins of streams: {error}");
                    break;
                }
            }
        }
        self.ended_writes.send_replace(recorded);
    }

    /// Appends a record; tries again with a later epoch if the clock was set back since an earlier write.
    async fn append(
        &self,
        record: &OriginRecord,
        versions_in_use: &[StreamOrigin],
        epoch: &mut u64,
    ) -> Result<AppendOutcome> {
        let mut record = record.clone();
        for origin in versions_in_use {
            record.streams.entry(origin.clone()).or_default();
        }
        let record = record.encode(&self.router);
        *epoch = wall_clock_ms().max(*epoch + 1);
        let mut outcome = AppendOutcome::Fenced;
        for attempt in 0..FENCED_WRITES_MAX {
            let append_id = AppendId {
                writer: Arc::clone(&self.router),
                epoch: *epoch,
                sequence: 1,
            };
            outcome = (self.store.append)(Topic::StreamOrigins, record.clone(), append_id).await?;
            if outcome != AppendOutcome::Fenced {
                break;
            }
            *epoch += EPOCH_STEP_MS << attempt;
        }
        Ok(outcome)
    }

    /// Reads what other routers have written, unless a read began at `asked_at` or later; returns whether
    /// the read succeeded.
    async fn read_store(self: Arc<Self>, asked_at: Instant) -> bool {
        let mut reader = self.reader.lock().await;
        let read_at = reader.read_at();
        if read_at.is_some_and(|read_at| read_at >= asked_at) {
            return true;
        }
        if reader
            .failed_at()
            .is_some_and(|failed_at| failed_at >= asked_at)
        {
            return false;
        }
        match reader.read(&self.store).await {
            Ok(page) => {
                self.adopt(&page.records, read_at.is_none());
                self.lock().read_as_of = reader.read_at();
                true
            }
            Err(error) => {
                log::debug!(target: "store", "can't read the origins of streams: {error}");
                false
            }
        }
    }

    fn adopt(&self, records: &[StoreRecord], is_first_read: bool) {
        let mut decoded = Vec::with_capacity(records.len());
        for record in records {
            match OriginRecord::decode(record) {
                Ok(origins) => decoded.push((OriginRecord::is_of(record, &self.router), origins)),
                Err(error) => log::warn!(target: "store", "ignoring a record: {error}"),
            }
        }
        let (now_ms, now_s) = (self.now_ms(), self.now_s());
        let mut state = self.lock();
        for (is_own, record) in decoded {
            let is_recent = record.began_at_s.abs_diff(now_s) <= RECORD_MAX_AGE_S;
            // A second of a distant time is that of another writer.
            if is_own && is_first_read && is_recent {
                state.unwritten.begin_after(record.began_at_s);
            }
            for (origin, streams) in record.streams {
                if is_recent {
                    state.read.insert_version(&origin, now_ms);
                }
                for key in streams {
                    state.read.insert(key, origin.clone(), now_ms);
                }
            }
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn now_s(&self) -> u64 {
        self.started_at_s + self.started_at.elapsed().as_secs()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
