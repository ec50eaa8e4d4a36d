//! Log lines on their way to a slow sink.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

use kumquatquayd::LineQueue;

/// A sink that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gated {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    is_open: bool,
    written: String,
}

impl Gated {
    fn open(&self) {
        self.state.0.lock().unwrap().is_open = true;
        self.state.1.notify_all();
    }

    fn written(&self) -> String {
        self.state.0.lock().unwrap().written.clone()
    }
}

impl Write for Gated {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().unwrap();
        let mut state = self
            .state
            .1
            .wait_while(state, |state| !state.is_open)
            .unwrap();
        state.written.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Nobody reads the log of a node, and its pipe is full. The node goes on: writing a
/// line returns at once. When somebody reads again, the log says how much is missing.
#[test]
fn a_sink_that_nobody_reads_blocks_nothing() {
    let sink = Gated::default();
    let mut queue = LineQueue::start(sink.clone());
    for line in 0..10_000 {
        // As the logger does: a line in one piece.
        queue
            .write_all(format!("line {line}\n").as_bytes())
            .unwrap();
    }
    sink.open();
    queue.flush_within(Duration::from_secs(20));
    writeln!(queue, "after").unwrap();
    queue.flush_within(Duration::from_secs(20));
    let written = sink.written();
    assert!(written.contains("line 0\n"));
    assert!(written.contains("lines_not_written"));
    assert!(written.ends_with("after\n"));
}
