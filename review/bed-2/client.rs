//! A stand-in of a client.

use crate::{
    http::{read_body, read_chunk, read_head},
    record::Record,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// How long a client waits for the connection, and for each piece of an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// A client attempt.
pub struct Attempt<'a> {
    pub id: String,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Tokens in, and the maximum of tokens out.
    pub tokens: Option<(u64, u64)>,
    pub last_event_id: Option<u64>,
    /// The attempt that brought the first event of the stream that is taken up.
    pub resumes: Option<String>,
    pub body_bytes: usize,
}

/// What came back.
#[derive(Default)]
pub struct Answer {
    /// `None` if the connection was not made or closed before an answer.
    pub status: Option<u16>,
    pub retry_after: Option<Duration>,
    /// The number and the text of each complete event.
    pub events: Vec<(u64, String)>,
    /// Whether the whole answer came.
    pub is_complete: bool,
}

impl Attempt<'_> {
    /// Sends the attempt on a new connection and reads the answer.
    pub fn send(&self, router: SocketAddr, record: &Record) -> Answer {
        record.line(format!(
            "client sends {} to {router}, path {}, tokens {:?}, after event {:?}",
            self.id, self.path, self.tokens, self.last_event_id
        ));
        let mut answer = Answer::default();
        let end = self.exchange(router, &mut answer);
        answer.is_complete = end.is_ok();
        let end = end.map_or_else(|error| error.to_string(), |()| "complete".to_owned());
        record.line(format!(
            "client gets {:?} for {}, {} events, {end}",
            answer.status,
            self.id,
            answer.events.len()
        ));
        answer
    }

    fn exchange(&self, router: SocketAddr, answer: &mut Answer) -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&router, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut writer = stream.try_clone()?;
        writer.write_all(self.head().as_bytes())?;
        writer.write_all(&vec![b'x'; self.body_bytes])?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.word(1).parse().ok();
        let seconds = head.get("retry-after").and_then(|text| text.parse().ok());
        answer.retry_after = seconds.map(Duration::from_secs_f64);
        if head.get("content-type") != Some("text/event-stream") {
            read_body(&mut reader, &head)?;
            return Ok(());
        }
        let mut text = String::new();
        while let Some(chunk) = read_chunk(&mut reader)? {
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = text.find("\n\n") {
                let event = text[..end].to_owned();
                text = text.split_off(end + 2);
                let number = event.lines().find_map(|line| line.strip_prefix("id: "));
                let number = number.and_then(|number| number.parse().ok());
                let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                let data = data.unwrap_or_default().to_owned();
                answer.events.push((number.unwrap_or(0), data));
            }
        }
        Ok(())
    }

    fn head(&self) -> String {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
             X-Api-Key: {}\r\nContent-Length: {}\r\n",
            self.path, self.id, self.deadline_ms, self.key, self.body_bytes
        );
        if let Some((prompt, output)) = self.tokens {
            head += &format!("Model: m\r\nToken-Count: {prompt},{output}\r\n");
        }
        if let Some(last) = self.last_event_id {
            head += &format!("Last-Event-Id: {last}\r\n");
        }
        if let Some(first) = &self.resumes {
            head += &format!("Resumes: {first}\r\n");
        }
        head + "\r\n"
    }
}
