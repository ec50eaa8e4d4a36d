//! Buffers that all links of a node use in turn.
//!
//! A node has hundreds of links, and few of them carry frames at the same moment. With buffers
//! of its own each link would hold what its longest frame took, or allocate anew for each.

use std::cell::{Cell, RefCell};

/// Bytes read at once: a few dozen frames of calls.
const READ_BYTES: usize = 32 * 1024;

/// The largest buffer that is kept.
const KEPT_BYTES: usize = 32 * 1024;

/// Buffers that are kept at most.
const KEPT_COUNT: usize = 16;

thread_local! {
    static READ: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
    static SPARE: RefCell<Vec<Vec<u8>>> = const { RefCell::new(Vec::new()) };
}

/// Does something with the buffer into which connections are read.
pub(super) fn with_read_buffer<T>(read: impl FnOnce(&mut [u8]) -> T) -> T {
    let mut buffer = READ.take();
    buffer.resize(READ_BYTES, 0);
    let result = read(&mut buffer);
    READ.set(buffer);
    result
}

/// An empty buffer.
pub(super) fn take_buffer() -> Vec<u8> {
    SPARE.with_borrow_mut(Vec::pop).unwrap_or_default()
}

/// Keeps a buffer for the next one who asks.
pub(super) fn return_buffer(mut buffer: Vec<u8>) {
    buffer.clear();
    SPARE.with_borrow_mut(|spare| {
        if buffer.capacity() <= KEPT_BYTES && spare.len() < KEPT_COUNT {
            spare.push(buffer);
        }
    });
}
