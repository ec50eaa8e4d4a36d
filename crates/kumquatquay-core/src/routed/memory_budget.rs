//! Memory of the bodies and callers' connections that a node holds.

use std::{collections::BTreeMap, time::Duration};

use super::connection_table::RECEIVING_TIME;

/// Share of the memory of a node that bodies may take. The rest is for callers' connections, the program and
/// its tables.
const BODIES_RATIO: f64 = 0.6;

/// Share of the memory of a node that callers' connections may take. Bodies can't use it either while there
/// are few: much of what a connection has taken from the heap stays with the process after its end.
const CONNECTIONS_RATIO: f64 = 0.2;

/// What a caller's connection is counted for: its buffers and tasks, a body that is too short to be counted,
/// and unread bytes in its socket.
const CONNECTION_BYTES: usize = 48 * 1024;

/// Share of the memory for requests that given up ones may hold until another one is given up: what they
/// hold exceeds the limit until their readers have released it.
const GIVEN_UP_RATIO: f64 = 0.03;

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

/// Memory that a node spends on others: bodies, from before they are read until the last use of them ends,
/// and callers' connections.
///
/// It protects the node from what others send: uploads, answers of backend servers in trouble that have no
/// end, and callers who open many connections or stop in the middle of a request. Each of them is within its
/// own limit, but together they would take more memory than there is, and the end of the node would break
/// off all its requests.
///
/// The body of a request that doesn't fit takes the place of the one that has been arriving for longest, if
/// that is too long; else it is refused. Neither request has run. An answer can't be refused like that. If one
/// doesn't fit, the longest answer that is still being read is given up, unless it is no longer than this
/// one: of a few answers without an end and many short ones the latter are read whole.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    requests_limit_bytes: usize,
    connections_limit_bytes: usize,
    last_id: BodyId,
    bodies: BTreeMap<BodyId, HeldBody>,
    held_bytes: usize,
    requests_bytes: usize,
    connections_bytes: usize,
    /// Bytes of bodies that are given up, and whose readers have yet to release them.
    given_up_bytes: usize,
    /// Those of them that belong to requests.
    given_up_requests_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    kind: BodyKind,
    begun_at: Duration,
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
        let share = |ratio: f64| (memory_bytes as f64 * ratio) as usize;
        let limit_bytes = share(BODIES_RATIO);
        Self {
            limit_bytes,
            requests_limit_bytes: (limit_bytes as f64 * REQUESTS_RATIO) as usize,
            connections_limit_bytes: share(CONNECTIONS_RATIO),
            last_id: 0,
            bodies: BTreeMap::new(),
            held_bytes: 0,
            requests_bytes: 0,
            connections_bytes: 0,
            given_up_bytes: 0,
            given_up_requests_bytes: 0,
        }
    }

    /// Counts another connection of a caller, if it may be held.
    pub fn add_connection(&mut self) -> bool {
        let connections_bytes = self.connections_bytes + CONNECTION_BYTES;
        let is_granted = connections_bytes <= self.connections_limit_bytes;
        if is_granted {
            self.connections_bytes = connections_bytes;
        }
        is_granted
    }

    /// A connection of a caller has ended.
    pub fn remove_connection(&mut self) {
        self.connections_bytes -= CONNECTION_BYTES;
    }

    /// Adds a body of which nothing is held yet.
    pub fn add(&mut self, kind: BodyKind, now: Duration) -> BodyId {
        self.last_id += 1;
        let body = HeldBody {
            kind,
            begun_at: now,
            bytes: 0,
            stage: Stage::Reading,
        };
        self.bodies.insert(self.last_id, body);
        self.last_id
    }

    /// Decides whether more bytes of a body may be held, and counts them if so.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Duration) -> Growth {
        let Some(body) = self.bodies.get(&id).copied() else {
            return Growth::Refused;
        };
        if body.stage == Stage::GivenUp {
            return Growth::Refused;
        }
        let excess_bytes = self.excess_bytes(body.kind, bytes);
        if excess_bytes == 0 {
            self.count(id, bytes);
            return Growth::Granted;
        }
        let in_place_of = match body.kind {
            BodyKind::Request => self.overdue_request(id, excess_bytes, now),
            BodyKind::Answer => {
                self.longest_answer(excess_bytes.max(body.bytes.saturating_add(bytes)))
            }
        };
        let Some(other) = in_place_of else {
            return Growth::Refused;
        };
        self.give_up(other);
        self.count(id, bytes);
        Growth::GrantedInPlaceOf(other)
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
        let is_request = body.kind == BodyKind::Request;
        self.held_bytes -= body.bytes;
        if is_request {
            self.requests_bytes -= body.bytes;
        }
        if body.stage == Stage::GivenUp {
            self.given_up_bytes -= body.bytes;
        }
        if body.stage == Stage::GivenUp && is_request {
            self.given_up_requests_bytes -= body.bytes;
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

    /// Whether at least three quarters of the memory for requests are free.
    pub fn has_plenty(&self) -> bool {
        self.kept_requests_bytes() < self.requests_limit_bytes / 4
    }

    /// Bytes of callers' connections.
    pub fn connections_bytes(&self) -> usize {
        self.connections_bytes
    }

    /// By how much further bytes of a body would exceed the limits.
    fn excess_bytes(&self, kind: BodyKind, bytes: usize) -> usize {
        let excess_bytes = |kept_bytes: usize, limit_bytes: usize| {
            let needed_bytes = kept_bytes.saturating_add(bytes);
            needed_bytes.saturating_sub(limit_bytes)
        };
        let of_all_bytes = excess_bytes(self.kept_bytes(), self.limit_bytes);
        let of_requests_bytes = excess_bytes(self.kept_requests_bytes(), self.requests_limit_bytes);
        match kind {
            BodyKind::Answer => of_all_bytes,
            BodyKind::Request => of_all_bytes.max(of_requests_bytes),
        }
    }

    /// Bytes of bodies that aren't given up.
    fn kept_bytes(&self) -> usize {
        self.held_bytes - self.given_up_bytes
    }

    /// Bytes of requests that aren't given up.
    fn kept_requests_bytes(&self) -> usize {
        self.requests_bytes - self.given_up_requests_bytes
    }

    /// The request that has been arriving for longest, if that is too long, and of which enough is held.
    fn overdue_request(&self, but: BodyId, least_bytes: usize, now: Duration) -> Option<BodyId> {
        let most_bytes = self.requests_limit_bytes as f64 * GIVEN_UP_RATIO;
        if self.given_up_requests_bytes as f64 > most_bytes {
            return None;
        }
        let mut bodies = self.bodies.iter().filter(|(id, body)| {
            body.kind == BodyKind::Request
                && body.stage == Stage::Reading
                && body.bytes >= least_bytes
                && **id != but
        });
        // Ids rise with the time.
        let (id, oldest) = bodies.next()?;
        (oldest.begun_at + RECEIVING_TIME <= now).then_some(*id)
    }

    /// The longest answer that is being read, if more than this of it is held.
    fn longest_answer(&self, least_bytes: usize) -> Option<BodyId> {
        let answers = self
            .bodies
            .iter()
            .filter(|(_, body)| body.kind == BodyKind::Answer && body.stage == Stage::Reading);
        let longest = answers.max_by_key(|(_, body)| body.bytes);
        longest
            .filter(|(_, body)| body.bytes > least_bytes)
            .map(|(id, _)| *id)
    }

    fn give_up(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.stage = Stage::GivenUp;
        self.given_up_bytes += body.bytes;
        if body.kind == BodyKind::Request {
            self.given_up_requests_bytes += body.bytes;
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
