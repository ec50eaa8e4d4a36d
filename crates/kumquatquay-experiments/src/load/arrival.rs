//! One planned request.

use std::time::Duration;

/// One planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is to be sent, since the start of the load.
    pub at: Duration,
    /// Its class, as an index.
    pub class: usize,
    /// Random number that picks the entry.
    pub entry_choice: u32,
}
