//! The file that lists what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of one run; clones write to the same file.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
        Self(Arc::new(Inner {
            file: Mutex::new(file),
            started: Instant::now(),
        }))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.0.started.elapsed().as_secs_f64();
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {text}");
    }
}
