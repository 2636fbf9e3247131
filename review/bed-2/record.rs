//! What was sent, answered and run.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
    /// The prompt tokens of each attempt that an engine has run.
    runs: Mutex<BTreeMap<String, u64>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn line(&self, text: String) {
        let ms = self.started_at.elapsed().as_millis();
        let line = format!("{:>3}.{:03} s  {text}", ms / 1_000, ms % 1_000);
        self.lines.lock().expect("no panics").push(line);
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: String) {
        println!("{text}");
        self.line(text);
    }

    pub fn count_run(&self, attempt: &str, prompt_tokens: u64) {
        let mut runs = self.runs.lock().expect("no panics");
        runs.insert(attempt.to_owned(), prompt_tokens);
    }

    /// The prompt tokens of an attempt, if an engine has run it.
    pub fn run(&self, attempt: &str) -> Option<u64> {
        self.runs.lock().expect("no panics").get(attempt).copied()
    }

    pub fn write(&self, path: &str) {
        let mut text = self.lines.lock().expect("no panics").join("\n");
        text.push('\n');
        std::fs::write(path, text).expect("record.txt can be written");
    }
}
