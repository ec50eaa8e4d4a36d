//! Memory of answers that are held until their callers have read them.

/// Share of the memory of a node from which on held answers stop the start of pipelined requests.
const PIPELINED_RATIO: f64 = 0.1;

/// Share of the memory of a node from which on held answers stop all requests.
const FULL_RATIO: f64 = 0.25;

/// Bytes of answers that a node holds, from their arrival until they are written to callers.
///
/// It protects the node from callers that request large answers and read them slowly or not at
/// all: unread answers would use up its memory, and the node would fail for all callers. Requests
/// are refused before that, while it is certain that they haven't run.
#[derive(Clone, Copy, Debug)]
pub struct HeldAnswers {
    memory_bytes: usize,
    held_bytes: usize,
}

impl HeldAnswers {
    /// Creates the count for a node with this much memory.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            memory_bytes,
            held_bytes: 0,
        }
    }

    /// Adds an answer that has arrived.
    pub fn add(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Removes an answer that was written or dropped.
    pub fn remove(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Bytes of all held answers.
    pub fn bytes(&self) -> usize {
        self.held_bytes
    }

    /// Size of the longest answer that is accepted, in bytes.
    pub fn answer_limit_bytes(&self) -> usize {
        (self.memory_bytes as f64 * FULL_RATIO) as usize
    }

    /// Whether there is room for the next request of a connection.
    pub fn has_room(&self) -> bool {
        self.held_bytes < self.answer_limit_bytes()
    }

    /// Whether there is room for a pipelined request, whose answer has to wait for those before it.
    pub fn has_room_for_pipelined(&self) -> bool {
        (self.held_bytes as f64) < self.memory_bytes as f64 * PIPELINED_RATIO
    }
}
