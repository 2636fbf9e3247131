//! Model engines, as PROTOCOL.md describes them.

use crate::{
    http::{Request, read_request, write_chunk, write_response},
    record::Record,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// What an engine does with a request that it accepts; the result says whether the connection stays.
pub type Answer = dyn Fn(&Engine, &Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// An engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub id: Arc<str>,
    pub address: SocketAddr,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A request that an engine ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub tenant: String,
    /// Tokens of the prompt.
    pub prompt: u64,
}

impl Engine {
    /// Starts an engine at `address`.
    pub fn start(
        id: &str,
        address: SocketAddr,
        record: &Record,
        answer: Arc<Answer>,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let engine = Self {
            id: Arc::from(id),
            address,
            record: record.clone(),
            runs: Arc::default(),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, answer) = (serving.clone(), Arc::clone(&answer));
                thread::spawn(move || engine.serve(stream, &*answer));
            }
        });
        Ok(engine)
    }

    /// Returns the requests that the engine ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Writes to the record what the engine does.
    pub fn log(&self, text: &str) {
        self.record.line(&format!("engine {}: {text}", self.id));
    }

    /// Notes that a request runs.
    pub fn begin_run(&self, request: &Request) {
        let text = |name| request.header(name).unwrap_or("-").to_owned();
        let run = Run {
            attempt: text("attempt-id"),
            tenant: text("tenant"),
            prompt: prompt_tokens(request),
        };
        self.log(&format!(
            "runs {} of tenant {}, tokens {}, after event {}",
            run.attempt,
            run.tenant,
            text("token-count"),
            text("last-event-id"),
        ));
        self.runs.lock().unwrap().push(run);
    }

    /// Rejects a request that it doesn't run, as a full engine does.
    pub fn reject_as_full(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let attempt = request.header("attempt-id").unwrap_or_default();
        self.log(&format!("is full, does not run {attempt}"));
        let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt)];
        write_response(stream, "503 Service Unavailable", &headers, b"")?;
        Ok(true)
    }

    fn serve(&self, stream: TcpStream, answer: &Answer) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let stays = match request.path.as_str() {
                "/health" => self.answer_health(&mut writer),
                "/report" => self.answer_report(&mut writer),
                _ if !self.is_expected(&request) => self.answer_misdirected(&mut writer),
                _ => answer(self, &request, &mut writer),
            };
            if !matches!(stays, Ok(true)) {
                return;
            }
        }
    }

    fn is_expected(&self, request: &Request) -> bool {
        let expected = request.header("expect-instance");
        expected.is_none_or(|expected| expected == &*self.id)
    }

    fn answer_misdirected(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let headers = [("Instance-Id", &*self.id), ("Not-Executed", "1")];
        write_response(stream, "421 Misdirected Request", &headers, b"")?;
        Ok(true)
    }

    fn answer_health(&self, stream: &mut TcpStream) -> io::Result<bool> {
        write_response(stream, "200 OK", &[("Instance-Id", &self.id)], b"")?;
        Ok(true)
    }

    fn answer_report(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let body = br#"{"stage":"unified","models":[{"name":"m","version":1,"adapter-names":[]}],"busy":false,"sequence":1,"queued-count":0,"running-count":0,"kv-used":0,"kv-total":294699,"handle-count":0}"#;
        write_response(
            stream,
            "200 OK",
            &[("Content-Type", "application/json")],
            body,
        )?;
        Ok(true)
    }
}

/// Begins the answer to a stream, in chunks.
pub fn begin_stream(request: &Request, stream: &mut TcpStream) -> io::Result<()> {
    let attempt = request.header("attempt-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Attempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

/// Returns an event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Writes the events of a stream up to `last`, each as a chunk, and ends it.
pub fn write_events(stream: &mut TcpStream, first: u64, last: u64) -> io::Result<bool> {
    for number in first..=last {
        write_chunk(stream, event(number).as_bytes())?;
    }
    write_chunk(stream, b"")?;
    Ok(true)
}

/// Returns the event after which a request goes on, 0 if it begins.
pub fn last_event_id(request: &Request) -> u64 {
    let last = request.header("last-event-id");
    last.and_then(|last| last.parse().ok()).unwrap_or(0)
}

/// Returns the prompt tokens that a request declares.
fn prompt_tokens(request: &Request) -> u64 {
    let tokens = request.header("token-count").unwrap_or("0,0");
    let (prompt, _) = tokens.split_once(',').unwrap_or(("0", "0"));
    prompt.trim().parse().unwrap_or(0)
}
