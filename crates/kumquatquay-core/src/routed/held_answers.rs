//! Answers that are held for callers who have not read them.

/// Part of a node's memory that held answers may take before no request is started ahead of its
/// turn.
const EARLY_RATIO: f64 = 0.1;

/// Part of a node's memory that answers may take before no request is taken any more.
const FULL_RATIO: f64 = 0.25;

/// Bytes of answers that a node holds, from their arrival until they are written.
///
/// It answers the pattern in which callers ask for large answers and read them slowly, or not
/// at all. What they left unread would fill the memory, and the node with all its callers
/// would end. Before that, requests are refused while it is sure that they have not run.
#[derive(Clone, Copy, Debug)]
pub struct HeldAnswers {
    memory_bytes: usize,
    held_bytes: usize,
}

impl HeldAnswers {
    /// Nothing is held by a node with so much memory.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            memory_bytes,
            held_bytes: 0,
        }
    }

    /// An answer is there.
    pub fn add(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// An answer was written, or given up.
    pub fn remove(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.held_bytes
    }

    /// The longest answer that is taken.
    pub fn answer_limit_bytes(&self) -> usize {
        (self.memory_bytes as f64 * FULL_RATIO) as usize
    }

    /// Whether a request may be taken whose turn it is.
    pub fn has_room(&self) -> bool {
        self.held_bytes < self.answer_limit_bytes()
    }

    /// Whether a request may be started whose answer will have to wait for others.
    pub fn has_room_for_pipelined(&self) -> bool {
        (self.held_bytes as f64) < self.memory_bytes as f64 * EARLY_RATIO
    }
}
