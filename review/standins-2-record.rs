//! The record of a case: what was sent, answered and run, with the time since its begin.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let at_s = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:9.3} {text}");
    }
}
