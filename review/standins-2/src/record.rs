//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7} {}", self.now_ms(), text.as_ref());
        let _ = file.flush();
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:7} {}", self.now_ms(), text.as_ref());
        self.line(text);
    }
}
