//! Memory of the bodies that a node holds.

use std::collections::BTreeMap;

/// Share of the memory of a node that bodies may take. The rest is for the program, its tables, the
/// buffers of its connections, and bodies that are too short to be counted.
const BODIES_RATIO: f64 = 0.6;

/// Share of the memory for bodies that the bodies of requests may take, so that answers fit beside them.
const REQUESTS_RATIO: f64 = 0.8;

/// Identifies a body that is held.
pub type BodyId = u64;

/// Which message a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// A request.
    Request,
    /// An answer to one.
    Answer,
}

/// Decision on more bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// They may be held.
    Granted,
    /// They may be held, and the reading of another body has to be given up for them.
    GrantedInPlaceOf(BodyId),
    /// They may not be held.
    Refused,
}

/// Bytes of all bodies that a node holds, from before they are read until the last use of them ends.
///
/// It protects the node from what others send: uploads, and answers of backend servers in trouble that
/// have no end. Each of them is within its own limit, but several at once would take more memory than
/// there is, and the end of the node would break off all its requests.
///
/// Bodies of requests are refused if they don't fit, since their requests haven't run. An answer can't
/// be refused like that. If one doesn't fit, the longest answer that is still being read is given up,
/// unless it is no longer than this one: of a few answers without an end and many short ones the
/// latter are read whole.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    requests_limit_bytes: usize,
    last_id: BodyId,
    bodies: BTreeMap<BodyId, HeldBody>,
    held_bytes: usize,
    requests_bytes: usize,
    /// Bytes of bodies that are given up, and whose readers have yet to release them.
    given_up_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    kind: BodyKind,
    bytes: usize,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Reading,
    Whole,
    GivenUp,
}

impl MemoryBudget {
    /// Creates the budget of a node with this much memory.
    pub fn new(memory_bytes: usize) -> Self {
        let limit_bytes = (memory_bytes as f64 * BODIES_RATIO) as usize;
        Self {
            limit_bytes,
            requests_limit_bytes: (limit_bytes as f64 * REQUESTS_RATIO) as usize,
            last_id: 0,
            bodies: BTreeMap::new(),
            held_bytes: 0,
            requests_bytes: 0,
            given_up_bytes: 0,
        }
    }

    /// Adds a body of which nothing is held yet.
    pub fn add(&mut self, kind: BodyKind) -> BodyId {
        self.last_id += 1;
        let body = HeldBody {
            kind,
            bytes: 0,
            stage: Stage::Reading,
        };
        self.bodies.insert(self.last_id, body);
        self.last_id
    }

    /// Decides whether more bytes of a body may be held, and counts them if so.
    pub fn grow(&mut self, id: BodyId, bytes: usize) -> Growth {
        let Some(body) = self.bodies.get(&id).copied() else {
            return Growth::Refused;
        };
        if body.stage == Stage::GivenUp {
            return Growth::Refused;
        }
        let is_request = body.kind == BodyKind::Request;
        if is_request && self.requests_bytes.saturating_add(bytes) > self.requests_limit_bytes {
            return Growth::Refused;
        }
        let excess_bytes = self.excess_bytes(bytes);
        if excess_bytes == 0 {
            self.count(id, bytes);
            return Growth::Granted;
        }
        let least_bytes = excess_bytes.max(body.bytes.saturating_add(bytes));
        let Some(longest) = self
            .longest_answer()
            .filter(|(_, held)| *held > least_bytes)
        else {
            return Growth::Refused;
        };
        self.give_up(longest.0);
        self.count(id, bytes);
        Growth::GrantedInPlaceOf(longest.0)
    }

    /// The body is read whole, and isn't given up any more.
    pub fn on_whole(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id)
            && body.stage == Stage::Reading
        {
            body.stage = Stage::Whole;
        }
    }

    /// Removes a body that is no longer held.
    pub fn remove(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else {
            return;
        };
        self.held_bytes -= body.bytes;
        if body.kind == BodyKind::Request {
            self.requests_bytes -= body.bytes;
        }
        if body.stage == Stage::GivenUp {
            self.given_up_bytes -= body.bytes;
        }
    }

    /// Bytes of all bodies, also of those that are given up and not removed yet.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Most bytes that bodies may take, without those that are given up.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// By how much further bytes would exceed the limit.
    fn excess_bytes(&self, bytes: usize) -> usize {
        let kept_bytes = self.held_bytes - self.given_up_bytes;
        kept_bytes
            .saturating_add(bytes)
            .saturating_sub(self.limit_bytes)
    }

    fn longest_answer(&self) -> Option<(BodyId, usize)> {
        let answers = self
            .bodies
            .iter()
            .filter(|(_, body)| body.kind == BodyKind::Answer && body.stage == Stage::Reading);
        let longest = answers.max_by_key(|(_, body)| body.bytes);
        longest.map(|(id, body)| (*id, body.bytes))
    }

    fn give_up(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.stage = Stage::GivenUp;
            self.given_up_bytes += body.bytes;
        }
    }

    fn count(&mut self, id: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes += bytes;
            self.held_bytes += bytes;
            if body.kind == BodyKind::Request {
                self.requests_bytes += bytes;
            }
        }
    }
}
