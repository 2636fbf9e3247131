//! The platform's store: topics of keyed records, as PROTOCOL.md describes them.

use crate::{
    http::{Request, base64, read_request, write_response},
    record::Record,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Number of the last appends of a producer whose repeats get their first response again.
const REPEATS_KNOWN: usize = 5;

/// Time that a partition takes for an append, as the site file states.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    copy: HashMap<String, Topic>,
    /// Number of restores.
    era: u64,
    is_away: bool,
    /// The producer whose next append with a grant is done late and not answered.
    late_producer: Option<String>,
    late: Option<LateAppend>,
    /// Number of appends, and of the reads of the newest records by topic.
    appends: u64,
    newest_reads: HashMap<String, u64>,
}

#[derive(Default, Clone)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// The newest value of each key with its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default, Clone)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    /// Sequence numbers of the last appends with their offsets.
    known: VecDeque<(u64, u64)>,
}

/// Tokens of a tenant that a router holds.
#[derive(Debug, Clone)]
pub struct Grant {
    pub topic: String,
    pub holder: String,
    pub tenant: String,
}

/// An append that is done late and not answered.
#[derive(Debug, Clone)]
pub struct LateAppend {
    pub topic: String,
    /// The workspaces to which it grants tokens.
    pub granted: Vec<String>,
    pub arrived: Instant,
    query: AppendQuery,
    body: Vec<u8>,
}

#[derive(Debug, Clone)]
struct AppendQuery {
    topic: String,
    producer: Option<String>,
    epoch: u64,
    sequence: u64,
}

/// The result of an append.
enum Appended {
    At { offset: u64, end: u64 },
    Refused(&'static str),
}

impl Store {
    /// Serves the store at `address`.
    pub fn start(address: SocketAddr, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let store = Self {
            shared: Arc::default(),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the newest value of a key, as the operator and the engines do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_away {
            return;
        }
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push(key.to_owned(), value.as_bytes().to_vec());
        self.shared.1.notify_all();
    }

    /// Does the next append of `producer` that grants tokens late, and doesn't answer it.
    pub fn delay_next_grant_of(&self, producer: &str) {
        self.shared.0.lock().unwrap().late_producer = Some(producer.to_owned());
    }

    /// Waits for the append that is done late.
    pub fn wait_for_late(&self, limit: Duration) -> Option<LateAppend> {
        self.wait_for(limit, |state| state.late.clone())
    }

    /// Does the late append, if its condition still holds.
    pub fn do_late(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let Some(late) = state.late.take() else {
            return;
        };
        let result = state.append(&late.query, &late.body);
        self.log_append(&late.query, &result, "late, not answered");
        self.shared.1.notify_all();
    }

    /// Returns the number of appends so far.
    pub fn appends(&self) -> u64 {
        self.shared.0.lock().unwrap().appends
    }

    /// Returns how often the newest records of a topic were read.
    pub fn newest_reads(&self, topic: &str) -> u64 {
        let state = self.shared.0.lock().unwrap();
        state.newest_reads.get(topic).copied().unwrap_or(0)
    }

    /// Waits until the newest records of a topic were read more than `count` times.
    pub fn wait_for_newest_read(&self, topic: &str, count: u64, limit: Duration) -> bool {
        let read = |state: &State| {
            let reads = state.newest_reads.get(topic).copied().unwrap_or(0);
            (reads > count).then_some(())
        };
        self.wait_for(limit, read).is_some()
    }

    /// Returns who holds tokens of which tenant, as the newest accounts of the ledger show.
    pub fn grants(&self) -> Vec<Grant> {
        let state = self.shared.0.lock().unwrap();
        let mut grants = Vec::new();
        for (name, topic) in &state.topics {
            if !name.starts_with("keyed.budgets") {
                continue;
            }
            for (holder, (value, _)) in &topic.newest {
                for tenant in granted_workspaces(value) {
                    grants.push(Grant {
                        topic: name.clone(),
                        holder: holder.clone(),
                        tenant,
                    });
                }
            }
        }
        grants
    }

    /// Keeps a copy of everything.
    pub fn take_copy(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.copy = state.topics.clone();
    }

    /// Goes away: calls get no answer and their connections end.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().is_away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from the copy, in the next era.
    pub fn come_back_from_copy(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.topics = state.copy.clone();
        state.era += 1;
        state.is_away = false;
    }

    fn wait_for<T>(&self, limit: Duration, ready: impl Fn(&State) -> Option<T>) -> Option<T> {
        let until = Instant::now() + limit;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if let Some(value) = ready(&state) {
                return Some(value);
            }
            let left = until.checked_duration_since(Instant::now())?;
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_away() {
                return;
            }
            let answered = match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/log-append") => self.serve_append(&request, &mut writer),
                ("GET", "/log-read") => self.serve_read(&request, &mut writer),
                ("GET", "/log-newest") => self.serve_newest(&request, &mut writer),
                _ => self.respond(&mut writer, "404 Not Found", b"{}"),
            };
            if !answered {
                return;
            }
        }
    }

    fn is_away(&self) -> bool {
        self.shared.0.lock().unwrap().is_away
    }

    fn respond(&self, writer: &mut TcpStream, status: &str, body: &[u8]) -> bool {
        let era = self.shared.0.lock().unwrap().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
        write_response(writer, status, &headers, body).is_ok()
    }

    fn serve_append(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let query = AppendQuery {
            topic: request.parameter("topic-name").unwrap_or_default(),
            producer: request.parameter("producer-id"),
            epoch: number(request, "epoch"),
            sequence: number(request, "sequence"),
        };
        thread::sleep(APPEND_TIME);
        let mut state = self.shared.0.lock().unwrap();
        state.appends += 1;
        if state.is_late(&query, &request.body) {
            self.record.line(&format!(
                "store: append to {} by {}, epoch {}, sequence {}: not answered, done later",
                query.topic,
                query.producer.as_deref().unwrap_or("-"),
                query.epoch,
                query.sequence
            ));
            self.shared.1.notify_all();
            drop(state);
            // A connection on which a response is lost returns nothing further.
            thread::sleep(Duration::from_secs(30));
            return false;
        }
        let result = state.append(&query, &request.body);
        self.shared.1.notify_all();
        drop(state);
        self.log_append(&query, &result, "answered");
        match result {
            Appended::At { offset, end } => {
                let body = format!("{{\"record-offset\":{offset},\"end\":{end}}}");
                self.respond(writer, "200 OK", body.as_bytes())
            }
            Appended::Refused(reason) => {
                let body = format!("{{\"reason\":\"{reason}\"}}");
                self.respond(writer, "409 Conflict", body.as_bytes())
            }
        }
    }

    fn log_append(&self, query: &AppendQuery, result: &Appended, how: &str) {
        if !query.topic.starts_with("keyed.budgets") {
            return;
        }
        let result = match result {
            Appended::At { offset, .. } => format!("offset {offset}"),
            Appended::Refused(reason) => format!("refused, {reason}"),
        };
        self.record.line(&format!(
            "store: append to {} by {}, epoch {}, sequence {}: {result}, {how}",
            query.topic,
            query.producer.as_deref().unwrap_or("-"),
            query.epoch,
            query.sequence,
        ));
    }

    fn serve_read(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let name = request.parameter("topic-name").unwrap_or_default();
        let from = number(request, "from");
        let until = Instant::now() + Duration::from_millis(number(request, "wait-ms"));
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era;
        let body = loop {
            if state.is_away || state.era != era {
                return false;
            }
            let topic = state.topics.entry(name.clone()).or_default();
            let end = topic.records.len() as u64;
            if from > end {
                drop(state);
                return self.respond(writer, "410 Gone", b"{\"first\":0}");
            }
            let left = until.checked_duration_since(Instant::now());
            if from < end || left.is_none() {
                let mut body = [end.to_be_bytes(), 0_u64.to_be_bytes()].concat();
                for record in &topic.records[from as usize..] {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                break body;
            }
            let left = left.unwrap_or_default();
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        };
        drop(state);
        self.respond(writer, "200 OK", &body)
    }

    fn serve_newest(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let name = request.parameter("topic-name").unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        let topic = state.topics.entry(name.clone()).or_default();
        let mut items = Vec::new();
        for (key, (value, offset)) in &topic.newest {
            items.push(format!(
                "{{\"key\":\"{key}\",\"stored-value\":\"{}\",\"record-offset\":{offset}}}",
                base64(value)
            ));
        }
        let end = topic.records.len();
        drop(state);
        let items = items.join(",");
        let body = format!("{{\"item-list\":[{items}],\"truncated\":false,\"end\":{end}}}");
        let answered = self.respond(writer, "200 OK", body.as_bytes());
        let mut state = self.shared.0.lock().unwrap();
        *state.newest_reads.entry(name).or_default() += 1;
        self.shared.1.notify_all();
        answered
    }
}

impl State {
    /// Takes the append as the one that is done late, if it is.
    fn is_late(&mut self, query: &AppendQuery, body: &[u8]) -> bool {
        if let Some(late) = &self.late {
            // The same append once more, on another way.
            return late.query.topic == query.topic
                && late.query.producer == query.producer
                && late.query.epoch == query.epoch
                && late.query.sequence == query.sequence
                && late.body == body;
        }
        if self.late_producer.is_none() || self.late_producer != query.producer {
            return false;
        }
        if !query.topic.starts_with("keyed.budgets") {
            return false;
        }
        let granted = split_records(body).first().map_or(Vec::new(), |record| {
            split_key(record).map_or(Vec::new(), |(_, value)| granted_workspaces(value))
        });
        if granted.is_empty() {
            return false;
        }
        self.late_producer = None;
        self.late = Some(LateAppend {
            topic: query.topic.clone(),
            granted,
            arrived: Instant::now(),
            query: query.clone(),
            body: body.to_vec(),
        });
        true
    }

    fn append(&mut self, query: &AppendQuery, body: &[u8]) -> Appended {
        let topic = self.topics.entry(query.topic.clone()).or_default();
        let offset = topic.records.len() as u64;
        let records = split_records(body);
        if let Some(name) = &query.producer {
            let producer = topic.producers.entry(name.clone()).or_default();
            if query.epoch < producer.epoch {
                return Appended::Refused("fenced");
            }
            if query.epoch > producer.epoch {
                *producer = Producer {
                    epoch: query.epoch,
                    ..Producer::default()
                };
            }
            let known = producer
                .known
                .iter()
                .find(|known| known.0 == query.sequence);
            if let Some((_, offset)) = known {
                return Appended::At {
                    offset: *offset,
                    end: offset + records.len() as u64,
                };
            }
            if producer.last.is_some_and(|last| query.sequence != last + 1) {
                return Appended::Refused("seq");
            }
            producer.last = Some(query.sequence);
            producer.known.push_back((query.sequence, offset));
            if producer.known.len() > REPEATS_KNOWN {
                producer.known.pop_front();
            }
        }
        for record in records {
            if let Some((key, value)) = split_key(&record) {
                topic.push(key, value.to_vec());
            }
        }
        Appended::At {
            offset,
            end: topic.records.len() as u64,
        }
    }
}

impl Topic {
    fn push(&mut self, key: String, value: Vec<u8>) {
        let offset = self.records.len() as u64;
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(&value);
        self.records.push(record);
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, offset));
        }
    }
}

fn number(request: &Request, name: &str) -> u64 {
    let value = request.parameter(name);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Splits the body of an append into its records.
fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        if rest.len() < length {
            break;
        }
        records.push(rest[..length].to_vec());
        body = &rest[length..];
    }
    records
}

/// Splits a record of a keyed topic into its key and value.
fn split_key(record: &[u8]) -> Option<(String, &[u8])> {
    let (length, rest) = record.split_first()?;
    let key = rest.get(..usize::from(*length))?;
    let value = &rest[usize::from(*length)..];
    Some((String::from_utf8_lossy(key).into_owned(), value))
}

/// Returns the workspaces to which an account of the ledger grants tokens.
fn granted_workspaces(value: &[u8]) -> Vec<String> {
    const LINES: u64 = 3;
    const NAME: u64 = 1;
    const GRANTED: u64 = 3;
    let mut granted = Vec::new();
    for (field, content) in protobuf_fields(value) {
        let Field::Bytes(line) = content else {
            continue;
        };
        if field != LINES {
            continue;
        }
        let (mut name, mut tokens) = (String::new(), 0);
        for (field, content) in protobuf_fields(line) {
            match (field, content) {
                (NAME, Field::Bytes(bytes)) => name = String::from_utf8_lossy(bytes).into_owned(),
                (GRANTED, Field::Number(number)) => tokens = number,
                _ => {}
            }
        }
        if tokens > 0 {
            granted.push(name);
        }
    }
    granted
}

enum Field<'a> {
    Number(u64),
    Bytes(&'a [u8]),
}

fn protobuf_fields(mut rest: &[u8]) -> Vec<(u64, Field<'_>)> {
    let mut fields = Vec::new();
    while let Some(key) = varint(&mut rest) {
        let content = match key & 7 {
            0 => varint(&mut rest).map(Field::Number),
            1 => take(&mut rest, 8).map(Field::Bytes),
            2 => varint(&mut rest)
                .and_then(|length| take(&mut rest, length as usize))
                .map(Field::Bytes),
            _ => None,
        };
        let Some(content) = content else {
            break;
        };
        fields.push((key >> 3, content));
    }
    fields
}

fn varint(rest: &mut &[u8]) -> Option<u64> {
    let mut number = 0;
    for shift in (0..64).step_by(7) {
        let (&byte, after) = rest.split_first()?;
        *rest = after;
        number |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}

fn take<'a>(rest: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let taken = rest.get(..length)?;
    *rest = &rest[length..];
    Some(taken)
}
