//! Pool of buffers that is shared by all links of a node.
//!
//! A node has hundreds of links, and few of them carry frames at the same moment. If each link
//! had its own buffer, it would either keep the memory of its longest frame, or allocate for
//! each frame.

use std::cell::{Cell, RefCell};

/// Size of the read buffer: a few dozen call frames.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Largest capacity of a buffer that is kept.
const POOLED_BUFFER_LIMIT_BYTES: usize = 32 * 1024;

/// Number of buffers that are kept.
const POOL_LIMIT_COUNT: usize = 16;

thread_local! {
    static READ_BUFFER: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
    static POOL: RefCell<Vec<Vec<u8>>> = const { RefCell::new(Vec::new()) };
}

/// Runs a closure with the read buffer of this thread.
pub(super) fn with_read_buffer<T>(read: impl FnOnce(&mut [u8]) -> T) -> T {
    let mut buffer = READ_BUFFER.take();
    buffer.resize(READ_BUFFER_BYTES, 0);
    let result = read(&mut buffer);
    READ_BUFFER.set(buffer);
    result
}

/// Takes an empty buffer from the pool, or creates one.
pub(super) fn take_buffer() -> Vec<u8> {
    POOL.with_borrow_mut(Vec::pop).unwrap_or_default()
}

/// Returns a buffer to the pool, unless it is too large or the pool is full.
pub(super) fn return_buffer(mut buffer: Vec<u8>) {
    buffer.clear();
    POOL.with_borrow_mut(|pool| {
        if buffer.capacity() <= POOLED_BUFFER_LIMIT_BYTES && pool.len() < POOL_LIMIT_COUNT {
            pool.push(buffer);
        }
    });
}
