//! Child processes under test.

use crate::{BoxError, Program};
use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use tokio::time::{Instant, sleep};

const EXIT_POLL_MS: u64 = 10;
/// The last lines of output that are printed when a test fails.
const MAX_PRINTED_LINES: usize = 60;

/// A child process that is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    addresses: Value,
    output: Arc<Mutex<String>>,
}

impl Process {
    /// Starts a program and reads its first line of output, a JSON object that holds the addresses
    /// at which the program listens, if any.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or its first line is not JSON.
    pub fn spawn(name: &str, program: Program, arguments: &[&str]) -> Result<Self, BoxError> {
        let mut child = Command::new(program.path()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::new(Mutex::new(String::new()));
        if let Some(source) = child.stderr.take() {
            let collected = Arc::clone(&output);
            thread::spawn(move || collect_lines(source, &collected));
        }
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let mut stdout = BufReader::new(stdout);
            stdout.read_line(&mut line)?;
            let collected = Arc::clone(&output);
            thread::spawn(move || collect_lines(stdout, &collected));
        }
        let mut process = Self {
            name: name.to_owned(),
            child,
            addresses: Value::Null,
            output,
        };
        match serde_json::from_str(&line) {
            Ok(addresses) => process.addresses = addresses,
            Err(error) => {
                let text = process.output();
                return Err(format!(
                    "first line of {name} is not a JSON object of addresses: {error}; {text}"
                )
                .into());
            }
        }
        Ok(process)
    }

    /// Returns the name given to [`spawn`](Self::spawn).
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address that the process printed under `key`.
    ///
    /// # Errors
    ///
    /// Fails when it printed no valid address under `key`.
    pub fn address(&self, key: &str) -> Result<SocketAddr, BoxError> {
        let text = self.addresses[key].as_str().unwrap_or_default();
        match text.parse() {
            Ok(address) => Ok(address),
            Err(error) => Err(format!("{} printed no address {key}: {error}", self.name).into()),
        }
    }

    /// Kills the process with `SIGKILL`, as a crash of its host does.
    pub fn kill(&self) {
        self.signal(libc::SIGKILL);
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Stops the process with `SIGSTOP`.
    pub fn stop(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a stopped process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits for the process to exit; returns `None` if it has not after `limit_ms`.
    pub async fn wait_for_exit(&mut self, limit_ms: u64) -> Option<ExitStatus> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                Ok(None) if Instant::now() < deadline => {}
                Ok(None) | Err(_) => return None,
            }
            sleep(Duration::from_millis(EXIT_POLL_MS)).await;
        }
    }

    /// Returns what the process has written to standard output, after the first line, and to standard
    /// error.
    pub fn output(&self) -> String {
        lock(&self.output).clone()
    }

    /// Has the process reload its settings with `SIGHUP`.
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    fn signal(&self, signal: libc::c_int) {
        let Ok(pid) = libc::pid_t::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: `kill` accesses no memory of this process. The identifier belongs to the child
        // until `try_wait` has returned its status. Tests don't signal a child after that, and an
        // unknown identifier is an error without effect.
        let sent = unsafe { libc::kill(pid, signal) };
        assert_eq!(sent, 0, "could not send signal {signal} to {}", self.name);
    }
}

fn collect_lines(source: impl Read, collected: &Mutex<String>) {
    for line in BufReader::new(source).lines() {
        let Ok(line) = line else { return };
        let mut collected = lock(collected);
        collected.push_str(&line);
        collected.push('\n');
    }
}

fn lock(text: &Mutex<String>) -> MutexGuard<'_, String> {
    text.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            let text = self.output();
            let lines: Vec<&str> = text.lines().collect();
            let first = lines.len().saturating_sub(MAX_PRINTED_LINES);
            eprintln!("--- {}\n{}", self.name, lines[first..].join("\n"));
        }
        if matches!(self.child.try_wait(), Ok(Some(_))) {
            return;
        }
        if let Err(error) = self.child.kill().and_then(|()| self.child.wait()) {
            eprintln!("could not kill {}: {error}", self.name);
        }
    }
}
