//! What was sent, answered and run, with its times.

use std::{
    fs, io,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) -> Duration {
        let now = self.now();
        self.add_at(now, line);
        now
    }

    pub fn add_at(&self, at: Duration, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text.push_str(&format!("{:9.3} s  {line}\n", at.as_secs_f64()));
        }
        fs::write(path, text)
    }
}
