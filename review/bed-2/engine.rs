//! A stand-in of an engine: it streams events, and answers other calls after some work.

use crate::{
    http::{Head, read_body, read_head},
    record::Record,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Output tokens in one event of a stream.
pub const STRIDE: u64 = 4;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// The version of its software.
    pub version: String,
    pub address: SocketAddr,
    /// The time between two events of a stream.
    pub pace: Duration,
    /// The time that a call without a stream takes.
    pub work: Duration,
    pub record: Arc<Record>,
}

impl Engine {
    /// Accepts connections.
    pub fn start(&self) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        let engine = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                // An error means that the router has left.
                thread::spawn(move || drop(engine.serve(stream)));
            }
        });
    }

    /// Its entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slot-count\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapter-names\":[]}}],\
             \"sequence\":{sequence},\"born\":1700000000000}}",
            self.service, self.address, self.zone, self.version
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head)?;
            self.answer(&head, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        if head.get("expect-instance").is_some_and(|id| id != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(text.as_bytes());
        }
        let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
        let tokens = head.get("token-count").and_then(|text| text.split_once(','));
        let prompt: u64 = tokens.map_or(0, |tokens| tokens.0.parse().unwrap_or(0));
        let output: u64 = tokens.map_or(0, |tokens| tokens.1.parse().unwrap_or(0));
        let last = head.get("last-event-id");
        self.record.line(format!(
            "run {attempt} at {} (service {}, version {}), after event {}",
            self.id,
            self.service,
            self.version,
            last.unwrap_or("-")
        ));
        self.record.count_run(&attempt, prompt);
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: 3e1b.07.{}\r\n",
            self.id
        );
        if output == 0 {
            thread::sleep(self.work);
            let text = format!("{answer_head}Content-Length: 4\r\n\r\ndone");
            return writer.write_all(text.as_bytes());
        }
        let text = format!(
            "{answer_head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(text.as_bytes())?;
        let first = last.map_or(1, |last| last.parse::<u64>().unwrap_or(0) + 1);
        for number in first..=output / STRIDE {
            let event = format!(
                "id: {number}\ndata: {}/{}/{number}\n\n",
                self.service, self.version
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            thread::sleep(self.pace);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
