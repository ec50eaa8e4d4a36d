//! Lines on their way to a sink that may be slow.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that wait at most; at 300 bytes each, 600 KB.
const LINES_LIMIT_COUNT: usize = 2_048;

/// Pause before a flush tries again to get into a full queue.
const FULL_PAUSE: Duration = Duration::from_millis(1);

/// Takes lines without ever waiting for their sink.
///
/// A sink that nobody reads, such as a full pipe, would stop every task of a node
/// in the middle of a request. What doesn't fit into the queue is left out, and a
/// line tells how much.
#[derive(Clone, Debug)]
pub struct LineQueue {
    items: SyncSender<Item>,
    left_out_count: Arc<AtomicU64>,
}

#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Asks for a word once all lines before it are written.
    Flush(mpsc::Sender<()>),
}

impl LineQueue {
    /// Starts a thread that writes lines to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> Self {
        let (items, received) = mpsc::sync_channel(LINES_LIMIT_COUNT);
        let left_out_count = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out_count);
        thread::spawn(move || write_all(&received, sink, &counted));
        Self {
            items,
            left_out_count,
        }
    }

    /// Waits until the lines so far are written, at most for `patience`.
    pub fn flush_within(&self, patience: Duration) {
        let began = Instant::now();
        let (written, done) = mpsc::channel();
        while self.items.try_send(Item::Flush(written.clone())).is_err() {
            if began.elapsed() >= patience {
                return;
            }
            thread::sleep(FULL_PAUSE);
        }
        // After the patience the process ends without its last lines.
        let _ = done.recv_timeout(patience.saturating_sub(began.elapsed()));
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(Item::Line(line.to_vec())).is_err() {
            self.left_out_count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(items: &Receiver<Item>, mut sink: impl Write, left_out_count: &AtomicU64) {
    for item in items {
        // A sink that is gone can't be told of; the node goes on without its log.
        match item {
            Item::Line(line) => {
                let _ = sink.write_all(&line);
            }
            Item::Flush(written) => {
                let _ = sink.flush();
                let _ = written.send(());
            }
        }
        let count = left_out_count.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!(
                "{{\"event\":\"lines_not_written\",\"level\":\"warn\",\"count\":{count}}}\n"
            );
            let _ = sink.write_all(line.as_bytes());
        }
    }
}
