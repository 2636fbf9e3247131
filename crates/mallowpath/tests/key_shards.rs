//! Key shards: replay of claims, and at most one run per key under lost, duplicated, delayed and
//! reordered messages, pauses, crashes, competing claims and log outages.

use mallowpath::{
    ApplyOutcome, AttachAnswer, Claim, ClaimEvidence, CommitAnswer, Fence, FenceDone, FenceTarget,
    Incarnation, KeyAck, KeyClaims, KeyCopy, KeyCopyAck, KeyEntry, KeyEpoch, KeyHash, KeyLog,
    KeyRecord, KeyRemoval, KeyReplica, KeySettings, KeyUpdate, KeysChange, KeysRecord, Members,
    MembersChange, Offset, ProcessAddress, RequestId, RunKey, RunSettings, RunTable, Submit,
    SubmitAnswer, WorkspaceId, confirmed_hash, key_shard, recover_keys,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, any, proptest},
    test_runner::RngSeed,
};
use std::{collections::BTreeSet, sync::Arc};
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
    specifications::Specification,
};

const ROUTER: Incarnation = Incarnation(1000);
const PROCESSES: usize = 4;
const SIDECARS: u64 = 3;
const KEYS: u8 = 2;
const MAX_REQUESTS: usize = 10;
/// A request whose number is a multiple of this releases the key of a run that never starts instead
/// of rebinding it.
const RELEASE_INTERVAL: usize = 3;

fn peer(incarnation: u64) -> ProcessAddress {
    ProcessAddress {
        incarnation,
        address: String::from("127.0.0.1:1"),
    }
}

fn replica(incarnation: u64) -> KeyReplica {
    KeyReplica::new(0, peer(incarnation), KeySettings::default())
}

fn entry(sequence: u64, sidecar: u64) -> KeyEntry {
    KeyEntry {
        request_id: RequestId {
            incarnation: ROUTER,
            sequence,
        },
        body_hash: 7,
        sidecar: Incarnation(sidecar),
        sidecar_address: Arc::from("127.0.0.1:2"),
    }
}

fn key_epoch(epoch: u64) -> KeyEpoch {
    KeyEpoch { shard: 0, epoch }
}

fn existing(entry: KeyEntry) -> CommitAnswer {
    CommitAnswer::Existing {
        entry,
        finished: false,
    }
}

fn claim(epoch: u64, owner: u64, witness: u64) -> Claim {
    Claim {
        epoch,
        owner: Some(peer(owner)),
        witness: Some(peer(witness)),
        author: owner,
        ..Claim::default()
    }
}

fn record(claim: Claim) -> KeysRecord {
    KeysChange::Claim(claim).into()
}

/// Fences an epoch in a members stream that no sidecar has joined, and returns the evidence.
fn fence_keys(members: &mut Members, key_epoch: KeyEpoch) -> ClaimEvidence {
    let target = Some(FenceTarget::Keys(key_epoch));
    let confirmed_hash = confirmed_hash(&BTreeSet::new());
    let fence = MembersChange::Fence(Fence { target, author: 3 });
    let done = MembersChange::FenceDone(FenceDone {
        target,
        confirmed_hash,
    });
    for change in [fence, done] {
        members.apply(members.next_offset(), &change.into());
    }
    let done_offset = members.fence_done_offset(FenceTarget::Keys(key_epoch));
    ClaimEvidence {
        done_offset: done_offset.expect("the fence was confirmed").0,
    }
}

/// A compare-and-set operation on a key's binding: from one of `from` to `to`.
#[derive(Debug, Clone)]
struct Bind {
    from: Vec<Option<u64>>,
    to: Option<u64>,
    answered: bool,
}

/// The specification of a key's binding as a compare-and-set register.
struct KeyRegister;

impl Specification for KeyRegister {
    type State = Option<u64>;
    type Operation = Bind;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &Bind, state: &Self::State) -> (bool, Self::State) {
        if op.from.contains(state) {
            return (true, op.to);
        }
        // An operation without an answer may also have had no effect.
        (!op.answered, *state)
    }
}

/// The sender and the receiver of a message, as indices of the model's processes.
#[derive(Debug, Clone, Copy)]
struct Route {
    from: usize,
    to: usize,
}

#[derive(Debug, Clone)]
enum Message {
    Update(Route, KeyUpdate),
    Ack(usize, KeyAck),
    Release(usize, u8, KeyEntry),
    Removal(usize, KeyRemoval),
    Copy(Route, KeyCopy),
    CopyAck(usize, KeyCopyAck),
    Append(Claim),
    Submit(u8, KeyEntry, u64),
}

/// A router's request with a key, and its operation on the binding.
struct Request {
    key: u8,
    entry: KeyEntry,
    bind: Bind,
}

struct Model {
    processes: Vec<KeyReplica>,
    /// The index in `log` of the next claim that each process reads.
    next_claim: Vec<usize>,
    log: Vec<Claim>,
    log_outage: bool,
    /// Messages in transit, delivered in any order.
    network: Vec<Message>,
    sidecars: Vec<RunTable>,
    members: Members,
    /// The logged batches of keys.
    batches: Vec<KeyLog>,
    requests: Vec<Request>,
    /// Calls and responses of the requests, by key and number, in the order in which they happened.
    history: Vec<(u8, usize, Action<usize>)>,
    /// Releases of keys, which never get an answer.
    releases: Vec<(u8, Bind)>,
    /// The runs that sidecars started, by key.
    started_runs: Vec<(u8, RequestId)>,
    crashes: u64,
    /// Whether an operator may claim for lost holders, after which linearizability is not checked.
    allow_forced_claims: bool,
}

impl Model {
    fn new(allow_forced_claims: bool) -> Self {
        let mut sidecars = Vec::new();
        for sidecar in 0..SIDECARS {
            let settings = RunSettings {
                max_running: 2,
                ..RunSettings::default()
            };
            sidecars.push(RunTable::new(Incarnation(sidecar), settings, []));
        }
        let mut processes: Vec<KeyReplica> = (1..=PROCESSES as u64).map(replica).collect();
        let [owner, witness, ..] = processes.as_mut_slice() else {
            panic!("the model has two processes at least");
        };
        let first = install_claim(owner, witness);
        Self {
            processes,
            next_claim: vec![1, 1, 0, 0],
            log: vec![first],
            log_outage: false,
            network: Vec::new(),
            sidecars,
            members: Members::default(),
            batches: Vec::new(),
            requests: Vec::new(),
            history: Vec::new(),
            releases: Vec::new(),
            started_runs: Vec::new(),
            crashes: 0,
            allow_forced_claims,
        }
    }

    /// Performs the step that `kind` selects; `a` and `b` choose processes, requests and messages.
    fn step(&mut self, kind: u8, a: u8, b: u8) {
        let process = usize::from(a) % PROCESSES;
        match kind % 32 {
            0..=2 if self.requests.len() < MAX_REQUESTS => self.new_request(process, b),
            0..=5 => self.resend_request(process, b),
            6..=7 => self.begin_claim(process, usize::from(b) % PROCESSES),
            8 => drop(self.processes[process].cancel_claim()),
            9..=13 => self.read_log(process),
            14 => {
                for update in self.processes[process].pending() {
                    self.send_update(process, &update);
                }
            }
            15 if a < 40 => self.log_outage = !self.log_outage,
            16 if a < 40 => self.crash(process),
            17 => drop(self.take_message(a)),
            18 => self
                .batches
                .extend(self.processes[process].take_log_batch(2)),
            19 if self.allow_forced_claims && a < 80 => {
                self.begin_forced_claim(process, usize::from(b) % PROCESSES, a < 40);
            }
            20..=21 => {
                let index = usize::from(a) % self.network.len().max(1);
                self.network.extend(self.network.get(index).cloned());
            }
            _ => {
                if let Some(message) = self.take_message(a) {
                    self.deliver(message);
                }
            }
        }
    }

    /// Removes a message from the network, which loses it unless the caller delivers it.
    fn take_message(&mut self, a: u8) -> Option<Message> {
        let length = self.network.len();
        if length == 0 {
            None
        } else {
            Some(self.network.swap_remove(usize::from(a) % length))
        }
    }

    /// Replaces a process by a new incarnation without any state.
    fn crash(&mut self, process: usize) {
        self.crashes += 1;
        self.processes[process] = replica(100 + self.crashes);
        self.next_claim[process] = 0;
    }

    fn read_log(&mut self, process: usize) {
        if self.log_outage {
            return;
        }
        if let Some(claim) = self.log.get(self.next_claim[process]) {
            self.processes[process].apply_claim(claim, 0);
            self.next_claim[process] += 1;
        }
    }

    fn begin_claim(&mut self, process: usize, witness: usize) {
        if let Some(copy) = self.processes[process].begin_claim(0) {
            self.network.push(Message::Copy(
                Route {
                    from: process,
                    to: witness,
                },
                copy,
            ));
        }
    }

    /// Fences the current epoch at all sidecars and starts a claim by a non-holder, as an operator
    /// does after both holders are lost.
    ///
    /// With `complete`, the sidecars also report the runs that they have started.
    fn begin_forced_claim(&mut self, process: usize, witness: usize, complete: bool) {
        let Some(current) = self.log.last().filter(|_| !self.log_outage) else {
            return;
        };
        let key_epoch = key_epoch(current.epoch);
        let evidence = fence_keys(&mut self.members, key_epoch);
        let mut records = recover_keys(&self.batches);
        for (index, sidecar) in self.sidecars.iter_mut().enumerate() {
            sidecar.fence(FenceTarget::Keys(key_epoch));
            for (id, key) in sidecar.keyed_runs() {
                let entry = entry(id.sequence, index as u64);
                records.push(KeyRecord::new(key.hash, &entry, false, 0));
            }
        }
        // Without the sidecars' reports, keys that are not in the log are answered as unknown.
        let unknown_ms = if complete { 0 } else { u64::MAX };
        if !complete {
            records = recover_keys(&self.batches);
        }
        let claimant = &mut self.processes[process];
        if claimant.epoch() == current.epoch
            && let Some(copy) = claimant.begin_recovery(evidence, &records, unknown_ms, 0)
        {
            self.network.push(Message::Copy(
                Route {
                    from: process,
                    to: witness,
                },
                copy,
            ));
        }
    }

    fn send_update(&mut self, from: usize, update: &KeyUpdate) {
        for to in 0..PROCESSES {
            if to != from {
                self.network
                    .push(Message::Update(Route { from, to }, update.clone()));
            }
        }
    }

    fn new_request(&mut self, process: usize, b: u8) {
        let number = self.requests.len();
        let key = b % KEYS;
        let entry = entry(number as u64, u64::from(b / KEYS) % SIDECARS);
        let bind = Bind {
            from: Vec::new(),
            to: Some(number as u64),
            answered: false,
        };
        self.requests.push(Request { key, entry, bind });
        self.history.push((key, number, Action::Call(number)));
        self.commit(process, number);
    }

    /// Sends a request again, to any process.
    fn resend_request(&mut self, process: usize, b: u8) {
        if !self.requests.is_empty() {
            self.commit(process, usize::from(b) % self.requests.len());
        }
    }

    fn commit(&mut self, process: usize, number: usize) {
        let Request { key, entry, .. } = &self.requests[number];
        let (key, entry) = (*key, entry.clone());
        let answer = self.processes[process].commit(KeyHash([key; 16]), entry.clone(), 0);
        match answer {
            CommitAnswer::Existing { entry: held, .. } if held != entry => {
                self.rebind(process, number, &held);
            }
            answer => self.handle_answer(process, number, None, answer),
        }
    }

    /// Attaches to the run of another request, and takes the key over if that run never starts.
    fn rebind(&mut self, process: usize, number: usize, held: &KeyEntry) {
        let sidecar = usize::try_from(held.sidecar.0).unwrap_or_default();
        if self.sidecars[sidecar].attach(held.request_id, 0) != AttachAnswer::NeverRuns {
            return;
        }
        let Request { key, entry, bind } = &self.requests[number];
        let from = Some(held.request_id.sequence);
        let displaced = bind.from.iter().any(|earlier| *earlier != from);
        if displaced || number.is_multiple_of(RELEASE_INTERVAL) {
            // The key may have been bound to this request and rebound since, so the request's
            // identifier is not bound again.
            self.network
                .push(Message::Release(process, *key, held.clone()));
            return;
        }
        let (key, entry) = (KeyHash([*key; 16]), entry.clone());
        let answer = self.processes[process].rebind(key, held, entry, 0);
        self.handle_answer(process, number, from, answer);
    }

    /// Releases the key of a request that never starts.
    fn release(&mut self, process: usize, key: u8, held: &KeyEntry) {
        let Some(removal) = self.processes[process].release(KeyHash([key; 16]), held) else {
            return;
        };
        // The release has no effect if a process that keeps the binding takes over, so it counts as
        // an operation without an answer.
        let bind = Bind {
            from: vec![Some(held.request_id.sequence)],
            to: None,
            answered: false,
        };
        self.releases.push((key, bind));
        for to in 0..PROCESSES {
            self.network.push(Message::Removal(to, removal.clone()));
        }
    }

    fn handle_answer(
        &mut self,
        process: usize,
        number: usize,
        from: Option<u64>,
        answer: CommitAnswer,
    ) {
        match answer {
            CommitAnswer::New(update) => {
                self.requests[number].bind.from.push(from);
                self.send_update(process, &update);
            }
            CommitAnswer::Existing { entry, .. } if entry == self.requests[number].entry => {
                self.handle_committed(process, number);
            }
            _ => {}
        }
    }

    /// Submits a request after its router has learned that the key is committed to it.
    fn handle_committed(&mut self, process: usize, number: usize) {
        let epoch = self.processes[process].epoch();
        let request = &mut self.requests[number];
        self.network
            .push(Message::Submit(request.key, request.entry.clone(), epoch));
        if !request.bind.answered {
            request.bind.answered = true;
            self.history
                .push((request.key, number, Action::Response(number)));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Update(Route { from, to }, update) => {
                let ack = self.processes[to].receive_update(&update);
                self.network.extend(ack.map(|ack| Message::Ack(from, ack)));
            }
            Message::Ack(to, ack) => {
                if let Some((_, entry)) = self.processes[to].acknowledge(&ack) {
                    let number = usize::try_from(entry.request_id.sequence).unwrap_or_default();
                    self.handle_committed(to, number);
                }
            }
            Message::Release(to, key, held) => self.release(to, key, &held),
            Message::Removal(to, removal) => self.processes[to].receive_removal(&removal),
            Message::Copy(Route { from, to }, copy) => {
                let held = self.processes[to].receive_copy(copy);
                self.network
                    .extend(held.map(|held| Message::CopyAck(from, held)));
            }
            Message::CopyAck(to, held) => {
                let claim = self.processes[to].author_claim(&held);
                self.network.extend(claim.map(Message::Append));
            }
            Message::Append(claim) if self.log_outage => self.network.push(Message::Append(claim)),
            Message::Append(claim) => self.append(claim),
            Message::Submit(key, entry, epoch) => self.submit(key, &entry, epoch),
        }
    }

    /// Appends a claim to the log if the replay finds it valid.
    fn append(&mut self, claim: Claim) {
        let mut claims = KeyClaims::default();
        for (offset, earlier) in (0..).zip(&self.log) {
            claims.apply(Offset(offset), &record(earlier.clone()), &self.members);
        }
        let next = claims.next_offset();
        if claims.apply(next, &record(claim.clone()), &self.members) == ApplyOutcome::Valid {
            self.log.push(claim);
        }
    }

    fn submit(&mut self, key: u8, entry: &KeyEntry, epoch: u64) {
        let committed_in = key_epoch(epoch);
        let sidecar = usize::try_from(entry.sidecar.0).unwrap_or_default();
        let answer = self.sidecars[sidecar].submit(&Submit {
            id: entry.request_id,
            sidecar: entry.sidecar,
            lowest_open: 0,
            key: Some(RunKey {
                hash: KeyHash([key; 16]),
                body_hash: 7,
                committed_in,
            }),
            tombstone_on_refusal: true,
            has_memory: true,
        });
        if answer == SubmitAnswer::Start {
            self.started_runs.push((key, entry.request_id));
        }
    }

    /// Checks that each key ran at most once and that its bindings are linearizable.
    fn check(&self) {
        for key in 0..KEYS {
            let started_runs = self.started_runs.iter().filter(|start| start.0 == key);
            assert!(
                started_runs.count() <= 1,
                "key {key} ran more than once: {:?}",
                self.started_runs
            );
            if self.allow_forced_claims {
                // A binding that was committed but not started may be lost with both holders.
                continue;
            }
            let mut actions = Vec::new();
            let mut open = Vec::new();
            for (number, (of_key, bind)) in self.releases.iter().enumerate() {
                if *of_key == key {
                    open.push((MAX_REQUESTS + number, bind.clone()));
                }
            }
            for (of_key, number, action) in &self.history {
                if *of_key != key {
                    continue;
                }
                let bind = self.requests[*number].bind.clone();
                match action {
                    Action::Call(_) if !bind.answered => open.push((*number, bind)),
                    Action::Call(_) => actions.push((*number, Action::Call(bind))),
                    Action::Response(_) => actions.push((*number, Action::Response(bind))),
                }
            }
            // A request without an answer may take effect at any time, so its call is placed first
            // and its response last.
            for (number, bind) in open {
                actions.insert(0, (number, Action::Call(bind.clone())));
                actions.push((number, Action::Response(bind)));
            }
            if !actions.is_empty() {
                let history = History::from_actions(actions);
                let valid = WGLChecker::<KeyRegister>::is_linearizable(history);
                assert!(valid, "the history of key {key} is not linearizable");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_runs_at_most_once(
        allow_forced_claims in any::<bool>(),
        steps in vec(any::<(u8, u8, u8)>(), 100..500),
    ) {
        let mut model = Model::new(allow_forced_claims);
        for (kind, a, b) in steps {
            model.step(kind, a, b);
        }
        model.check();
    }

    #[test]
    fn every_reader_gets_the_same_claims(
        claims in vec((0..4u64, 1..5u64, 1..5u64), 1..30),
        cut in 0..30usize,
    ) {
        let mut records = Vec::new();
        for (epoch, owner, witness) in claims {
            records.push(record(claim(epoch, owner, witness)));
        }
        let mut whole = KeyClaims::default();
        let mut resumed = KeyClaims::default();
        for (offset, record) in records.iter().enumerate() {
            if offset == cut {
                resumed = KeyClaims::from_checkpoint(&resumed.checkpoint());
            }
            let offset = Offset(offset as u64);
            let before = whole.claim(0).cloned();
            let verdict = whole.apply(offset, record, &Members::default());
            assert_eq!(verdict, resumed.apply(offset, record, &Members::default()));
            assert_eq!(whole.apply(offset, record, &Members::default()), ApplyOutcome::Void);
            assert_eq!(verdict == ApplyOutcome::Valid, before.as_ref() != whole.claim(0));
        }
        assert_eq!(whole, resumed);
    }
}

/// Makes `owner` and `witness` the holders of the next epoch of a new or existing shard.
fn install_claim(owner: &mut KeyReplica, witness: &mut KeyReplica) -> Claim {
    let copy = owner.begin_claim(0).expect("the process may claim");
    let held = witness.receive_copy(copy).expect("the copy is new");
    let claim = owner.author_claim(&held).expect("the copy is held");
    owner.apply_claim(&claim, 0);
    witness.apply_claim(&claim, 0);
    claim
}

/// Commits a new key at the owner and the witness.
fn commit_key(owner: &mut KeyReplica, witness: &mut KeyReplica, key: KeyHash, entry: KeyEntry) {
    let CommitAnswer::New(update) = owner.commit(key, entry, 0) else {
        panic!("the key is new");
    };
    let ack = witness
        .receive_update(&update)
        .expect("the witness is not frozen");
    assert!(owner.acknowledge(&ack).is_some());
}

#[test]
fn a_takeover_keeps_the_keys_and_stops_the_old_owner() {
    let (mut a, mut b, mut c) = (replica(1), replica(2), replica(3));
    install_claim(&mut a, &mut b);
    let key = KeyHash([1; 16]);
    commit_key(&mut a, &mut b, key, entry(1, 0));
    let CommitAnswer::New(late) = a.commit(KeyHash([2; 16]), entry(2, 0), 0) else {
        panic!("the key is new");
    };
    install_claim(&mut b, &mut c);
    assert!(b.receive_update(&late).is_none());
    assert!(
        c.receive_update(&late).is_none(),
        "the update is of an older epoch"
    );
    assert_eq!(b.commit(key, entry(3, 0), 0), existing(entry(1, 0)));
    let other_body = KeyEntry {
        body_hash: 8,
        ..entry(4, 0)
    };
    assert_eq!(b.commit(key, other_body, 0), CommitAnswer::Mismatch);
    assert_eq!(c.commit(key, entry(5, 0), 0), CommitAnswer::NotOwner);
}

#[test]
fn a_claim_needs_the_confirmation_of_the_newest_copy() {
    let (mut a, mut b, mut c) = (replica(1), replica(2), replica(3));
    install_claim(&mut a, &mut b);
    let copy = b.begin_claim(0).expect("a witness may claim");
    let held = c.receive_copy(copy.clone()).expect("the copy is new");
    assert!(b.cancel_claim());
    commit_key(&mut a, &mut b, KeyHash([1; 16]), entry(1, 0));
    let newer = b.begin_claim(0).expect("a witness may claim");
    assert_eq!(b.author_claim(&held), None);
    let held = c.receive_copy(newer).expect("the copy is new");
    assert_eq!(c.receive_copy(copy), None);
    assert!(b.author_claim(&held).is_some());
    assert!(!b.cancel_claim(), "the claim may be in the log");
}

#[test]
fn duplicated_and_reordered_messages_change_nothing() {
    let (mut a, mut b, mut c) = (replica(1), replica(2), replica(3));
    install_claim(&mut a, &mut b);
    let key = KeyHash([1; 16]);
    let CommitAnswer::New(first) = a.commit(key, entry(1, 0), 0) else {
        panic!("the key is new");
    };
    let first_ack = b.receive_update(&first).expect("the witness is not frozen");
    assert!(a.acknowledge(&first_ack).is_some());
    let CommitAnswer::New(second) = a.rebind(key, &entry(1, 0), entry(2, 0), 0) else {
        panic!("the binding is unchanged");
    };
    assert_eq!(a.acknowledge(&first_ack), None);
    assert!(b.receive_update(&second).is_some());
    assert_eq!(b.receive_update(&first), None);
    assert_eq!(a.release(key, &entry(1, 0)), None);
    install_claim(&mut b, &mut c);
    assert_eq!(b.commit(key, entry(3, 0), 0), existing(entry(2, 0)));
}

#[test]
fn a_released_key_is_free_at_owner_and_witness() {
    let (mut a, mut b) = (replica(1), replica(2));
    install_claim(&mut a, &mut b);
    let key = KeyHash([1; 16]);
    commit_key(&mut a, &mut b, key, entry(1, 0));
    let removal = a
        .release(key, &entry(1, 0))
        .expect("the binding is unchanged");
    b.receive_removal(&removal);
    assert!(a.is_empty() && b.is_empty());
    assert!(matches!(
        a.commit(key, entry(2, 0), 0),
        CommitAnswer::New(_)
    ));
    b.receive_removal(&removal);
}

#[test]
fn a_finished_key_expires_at_owner_and_witness() {
    let (mut a, mut b) = (replica(1), replica(2));
    install_claim(&mut a, &mut b);
    let key = KeyHash([1; 16]);
    commit_key(&mut a, &mut b, key, entry(1, 0));
    let update = a
        .finish(key, entry(1, 0).request_id, 5)
        .expect("the run has not ended");
    assert_eq!(a.pending(), vec![update.clone()]);
    let ack = b
        .receive_update(&update)
        .expect("the witness is not frozen");
    assert!(a.acknowledge(&ack).is_none());
    assert!(a.pending().is_empty());
    let keep_ms = KeySettings::default().keep_ms;
    assert!(a.expire(4 + keep_ms).is_empty());
    let removals = a.expire(5 + keep_ms);
    b.receive_removal(&removals[0]);
    assert!(a.is_empty() && b.is_empty());
}

#[test]
fn a_forced_claim_needs_the_confirmed_fence_and_leaves_other_keys_unknown() {
    let (mut a, mut b, mut c, mut d) = (replica(1), replica(2), replica(3), replica(4));
    let first = install_claim(&mut a, &mut b);
    let key = KeyHash([1; 16]);
    commit_key(&mut a, &mut b, key, entry(1, 0));
    let batch = a.take_log_batch(10).expect("a key was committed");
    c.apply_claim(&first, 0);
    d.apply_claim(&first, 0);

    let mut members = Members::default();
    let evidence = fence_keys(&mut members.clone(), key_epoch(1));
    let copy = c.begin_recovery(evidence, &recover_keys(&[batch]), 100, 0);
    let held = d
        .receive_copy(copy.expect("the process is a non-holder"))
        .expect("the copy is new");
    let forced = c.author_claim(&held).expect("the copy is held");
    let validate = |claim: &Claim, members: &Members| {
        let mut claims = KeyClaims::default();
        claims.apply(Offset(0), &record(first.clone()), members);
        claims.apply(Offset(1), &record(claim.clone()), members)
    };
    assert_eq!(validate(&forced, &members), ApplyOutcome::NotYetApplicable);
    fence_keys(&mut members, key_epoch(2));
    assert_eq!(validate(&forced, &members), ApplyOutcome::Void);
    members = Members::default();
    assert_eq!(fence_keys(&mut members, key_epoch(1)), evidence);
    fence_keys(&mut members, key_epoch(2));
    let bare = Claim {
        evidence: None,
        ..forced.clone()
    };
    assert_eq!(validate(&bare, &members), ApplyOutcome::Void);
    assert_eq!(validate(&forced, &members), ApplyOutcome::Valid);

    c.apply_claim(&forced, 0);
    d.apply_claim(&forced, 0);
    assert_eq!(c.commit(key, entry(2, 0), 99), existing(entry(1, 0)));
    assert_eq!(
        c.rebind(key, &entry(1, 0), entry(2, 0), 99),
        CommitAnswer::Unknown
    );
    let other = KeyHash([2; 16]);
    assert_eq!(c.commit(other, entry(3, 0), 99), CommitAnswer::Unknown);
    assert!(matches!(
        c.commit(other, entry(3, 0), 100),
        CommitAnswer::New(_)
    ));
    install_claim(&mut d, &mut replica(5));
    assert_eq!(d.commit(other, entry(3, 0), 99), CommitAnswer::Unknown);
}

#[test]
fn keys_of_two_workspaces_differ_and_shards_are_in_range() {
    let first: WorkspaceId = "ab".parse().expect("a name");
    let second: WorkspaceId = "a".parse().expect("a name");
    let key = KeyHash::new(&first, "c");
    assert_ne!(key, KeyHash::new(&second, "bc"));
    assert_eq!(key.to_string().parse::<KeyHash>().ok(), Some(key));
    assert!(key_shard(&key, 64) < 64);
}
