//! A stand-in of the platform's store: a log with keyed topics, which can be away and can come back
//! from an older copy.

use crate::http::{read_body, read_head};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// How long an append takes (`append-ms` of the settings).
const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// The newest value of each key, with its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Clone, Default)]
struct Producer {
    epoch: u64,
    /// Sequence numbers and offsets of the last five appends of the epoch.
    recent: VecDeque<(u64, u64)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    copy: HashMap<String, Topic>,
    era: u64,
    is_away: bool,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, record: &[u8]) {
        let offset = self.end();
        self.records.push(record.to_vec());
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = &record[1 + length..];
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value.to_vec(), offset));
        }
    }
}

impl Store {
    /// Serves the store at a free port and returns its address.
    pub fn start(self: &Arc<Self>, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Writes a record of the operator or of an engine; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        record.extend(value.unwrap_or_default().as_bytes());
        let mut state = self.lock();
        state.topics.entry(topic.to_owned()).or_default().push(&record);
        self.changed.notify_all();
    }

    /// Keeps a copy of all topics.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = state.topics.clone();
    }

    /// While the store is away, it closes connections without an answer, and calls have no effect.
    pub fn set_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back with all that it has acknowledged.
    pub fn come_back(&self) {
        self.lock().is_away = false;
        self.changed.notify_all();
    }

    /// Comes back from the copy, in a new era.
    pub fn come_back_from_copy(&self) {
        let mut state = self.lock();
        state.topics = state.copy.clone();
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    /// The keys of the system's own topics that hold this text in their newest values.
    pub fn keys_with(&self, topic_prefix: &str, text: &str) -> Vec<String> {
        let mut keys = Vec::new();
        for (name, topic) in &self.lock().topics {
            if !name.starts_with(topic_prefix) {
                continue;
            }
            for (key, (value, _)) in &topic.newest {
                if value.windows(text.len()).any(|part| part == text.as_bytes()) {
                    keys.push(key.clone());
                }
            }
        }
        keys
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, stream: TcpStream) {
        // An error means that the peer has left.
        let _ = self.serve_calls(stream);
    }

    fn serve_calls(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let Some((status, body)) = self.answer(head.word(0), head.word(1), &body) else {
                return Ok(());
            };
            let era = self.lock().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(&body)?;
        }
        Ok(())
    }

    /// Returns the status and the body of the answer; `None` if the store is away.
    fn answer(&self, method: &str, target: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query.split('&').map(parameter).collect();
        match (method, path) {
            ("POST", "/log-append") => self.append(&query, body),
            ("GET", "/log-read") => self.read(&query),
            ("GET", "/log-newest") => self.newest(&query),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, query: &HashMap<String, String>, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        thread::sleep(APPEND_TIME);
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let topic = state.topics.entry(query["topic-name"].clone()).or_default();
        let end = topic.end();
        if let Some(id) = query.get("producer-id") {
            let epoch = number(query, "epoch");
            let sequence = number(query, "sequence");
            let producer = topic.producers.entry(id.clone()).or_default();
            if epoch < producer.epoch {
                return Some((409, b"{\"reason\":\"fenced\"}".to_vec()));
            }
            if epoch > producer.epoch {
                producer.epoch = epoch;
                producer.recent.clear();
            }
            let repeated = producer.recent.iter().find(|(other, _)| *other == sequence);
            if let Some((_, offset)) = repeated {
                return Some((200, appended(*offset, end)));
            }
            let last = producer.recent.back().map(|(last, _)| *last);
            if let Some(last) = last.filter(|last| last + 1 != sequence) {
                let expected = last + 1;
                let text = format!("{{\"reason\":\"seq\",\"expected\":{expected}}}");
                return Some((409, text.into_bytes()));
            }
            producer.recent.push_back((sequence, end));
            if producer.recent.len() > 5 {
                producer.recent.pop_front();
            }
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            topic.push(&rest[4..4 + length]);
            rest = &rest[4 + length..];
        }
        let new_end = topic.end();
        drop(state);
        self.changed.notify_all();
        Some((200, appended(end, new_end)))
    }

    fn read(&self, query: &HashMap<String, String>) -> Option<(u16, Vec<u8>)> {
        let from = number(query, "from");
        let until = Instant::now() + Duration::from_millis(number(query, "wait-ms"));
        let mut state = self.lock();
        loop {
            if state.is_away {
                return None;
            }
            let topic = state.topics.entry(query["topic-name"].clone()).or_default();
            let end = topic.end();
            if from > end {
                return Some((410, b"{\"first\":0}".to_vec()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in &topic.records[from as usize..] {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Some((200, body));
            }
            state = self.changed.wait_timeout(state, left).expect("no panics").0;
        }
    }

    fn newest(&self, query: &HashMap<String, String>) -> Option<(u16, Vec<u8>)> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let topic = state.topics.entry(query["topic-name"].clone()).or_default();
        let mut items = Vec::new();
        for (key, (value, offset)) in &topic.newest {
            items.push(format!(
                "{{\"key\":\"{key}\",\"stored-value\":\"{}\",\"record-offset\":{offset}}}",
                base64(value)
            ));
        }
        let text = format!(
            "{{\"item-list\":[{}],\"truncated\":false,\"end\":{}}}",
            items.join(","),
            topic.end()
        );
        Some((200, text.into_bytes()))
    }
}

fn appended(offset: u64, end: u64) -> Vec<u8> {
    format!("{{\"record-offset\":{offset},\"end\":{end}}}").into_bytes()
}

fn number(query: &HashMap<String, String>, name: &str) -> u64 {
    query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Decodes `name=value` of a query.
fn parameter(text: &str) -> (String, String) {
    let (name, value) = text.split_once('=').unwrap_or((text, ""));
    let mut decoded = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    (name.to_owned(), String::from_utf8_lossy(&decoded).into_owned())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = group >> (18 - 6 * index) & 63;
            text.push(if index > part.len() { '=' } else { DIGITS[digit as usize] as char });
        }
    }
    text
}
