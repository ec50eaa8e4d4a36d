//! What became of one request.

use std::time::Duration;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The whole answer to the own request, in time.
    Good,
    /// A refusal that says that it was not run.
    Refused,
    /// An answer of any other kind.
    Failed,
    /// No answer in time.
    TimedOut,
    /// The connection failed.
    Broken,
    /// Not sent, since the generator had too many requests in flight.
    NotSent,
}

/// What became of one request, with all its sends.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its class, as an index.
    pub class: usize,
    /// When it was to be sent, since the start of the load.
    pub intended: Duration,
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// How its last send ended.
    pub ending: Ending,
    /// Reason of the last refusal, as the system names it.
    pub reason: Option<String>,
    /// Markers of its sends.
    pub markers: Vec<String>,
    /// Entry of its first send, as an index.
    pub entry: usize,
}

impl Sample {
    /// Whether it completed usefully end to end.
    pub fn is_good(&self) -> bool {
        self.ending == Ending::Good
    }
}
