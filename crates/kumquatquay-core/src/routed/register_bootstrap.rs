//! Finds the other nodes at start through the register of nodes in the store.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Position of an entry in the register: a hash, independent of the location of the host and of
/// the time of registration.
pub type RegisterPosition = u32;

/// Number of other nodes that is enough. If the last page of the register has fewer, the first
/// one is read too: otherwise a node whose entry is one of the last would know hardly any nodes.
const ENOUGH_PEERS_COUNT: usize = 16;

/// Pause after the first failed call. It doubles with each further failure, and is multiplied by a
/// random factor from 0.5 to 1.5, so that nodes that failed together don't retry together.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Upper bound of that pause, before the random factor.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Time in which the nodes that were found may answer the first introduction. It doubles each time
/// that none did.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Upper bound of that time.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time, for each known node, over which nodes write the entries again that the store lost: 500 a
/// second, whatever the size of the fleet.
const REENTRY_SPREAD_PER_NODE: Duration = Duration::from_millis(2);

/// Lower bound of that time.
const MIN_REENTRY_SPREAD: Duration = Duration::from_millis(500);

/// Minimum share of the register that a page is assumed to span when its size is estimated: a page
/// at the end may have a single entry.
const ESTIMATE_MIN_SHARE: f64 = 0.005;

/// Position of a node's own entry in the register; it stays the same when the node restarts.
pub fn register_position(control: SocketAddr) -> RegisterPosition {
    let hash = blake3::hash(control.to_string().as_bytes());
    let first = hash.as_bytes()[..4].try_into();
    RegisterPosition::from_be_bytes(first.expect("a BLAKE3 hash has 32 bytes"))
}

/// What a node does next about the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterStep {
    /// Writes its own entry.
    Enter,
    /// Reads one page of entries.
    ReadPage {
        /// First position on the page.
        from: RegisterPosition,
    },
    /// Waits.
    Wait {
        /// Time since the node's start.
        until: Duration,
    },
    /// Nothing more: the membership protocol finds the other nodes.
    Done,
}

/// Summary of a page of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterPageSummary {
    /// First position that was requested.
    pub from: RegisterPosition,
    /// Position of the last entry on the page, if there is one.
    pub last_position: Option<RegisterPosition>,
    /// Other nodes on the page.
    pub others_count: usize,
    /// Whether this is the last page of the register.
    pub is_last: bool,
}

impl RegisterPageSummary {
    /// Estimates the number of nodes in the register from the density of the entries on this page.
    pub fn estimate_count(&self) -> usize {
        let last_position = self.last_position.filter(|_| !self.is_last);
        let to = last_position.unwrap_or(RegisterPosition::MAX);
        let share = f64::from(to.saturating_sub(self.from)) / f64::from(RegisterPosition::MAX);
        let nodes_count = (self.others_count + 1) as f64;
        (nodes_count / share.max(ESTIMATE_MIN_SHARE)) as usize
    }
}

/// Registers a node and finds a few others, with two or three calls to the store, however many
/// nodes there are.
///
/// A node needs only a few peers, since each peer has the whole member table. It writes its own
/// entry and then reads the page after that entry. Of any two nodes, the one that reads later finds
/// the other, or a node before it, so all nodes are connected even if they start at the same
/// moment. Since positions are hashes, each node finds nodes of all data centres. It reads another
/// page only while none of the nodes that it found has answered.
///
/// The store may be restored from a backup that is older than an entry. A node that starts then
/// would find neither this node nor, possibly, any other, so each node writes its entry again. Only
/// nodes that know few others read a page after that: two nodes that have written their entries
/// before and after the restore don't know of each other.
///
/// To read the whole register at each start would take one page per fifty nodes: with 5,100 nodes,
/// all starts of a day, or one start of all nodes, would take more calls than the store allows.
#[derive(Debug)]
pub struct RegisterBootstrap {
    own_position: RegisterPosition,
    random: StdRng,
    stage: Stage,
    next_at: Duration,
    /// Whether the entry is written again because the store may have lost it.
    is_reentry: bool,
    entry: EntryWrite,
    retry_pause: Duration,
    answer_timeout: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Enter,
    ReadPage {
        from: RegisterPosition,
    },
    /// This node has introduced itself to the nodes that it found.
    Introduced {
        found_count: usize,
    },
    Done,
}

/// State of the call that writes this node's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryWrite {
    /// There is no such call.
    None,
    InProgress,
    /// The call is in progress, and the store was restored from a backup since it started.
    Outdated,
}

impl RegisterBootstrap {
    /// Creates the bootstrap of a node that starts now; `random_seed` is for its random times.
    pub fn new(now: Duration, control: SocketAddr, random_seed: u64) -> Self {
        Self {
            own_position: register_position(control),
            random: StdRng::seed_from_u64(random_seed),
            stage: Stage::Enter,
            next_at: now,
            is_reentry: false,
            entry: EntryWrite::None,
            retry_pause: RETRY_PAUSE,
            answer_timeout: ANSWER_TIMEOUT,
        }
    }

    /// Returns what to do now, given the number of other nodes that this node knows.
    pub fn step(&mut self, now: Duration, peers_count: usize) -> RegisterStep {
        if self.stage != Stage::Done && now < self.next_at {
            return RegisterStep::Wait {
                until: self.next_at,
            };
        }
        match self.stage {
            Stage::Enter => {
                self.entry = EntryWrite::InProgress;
                RegisterStep::Enter
            }
            Stage::ReadPage { .. } if self.is_reentry && peers_count >= ENOUGH_PEERS_COUNT => {
                self.stage = Stage::Done;
                RegisterStep::Done
            }
            Stage::ReadPage { from } => RegisterStep::ReadPage { from },
            Stage::Introduced { found_count } if peers_count < found_count.min(1) => {
                self.read_random_page()
            }
            // The very first node finds none; later nodes find it.
            Stage::Introduced { .. } | Stage::Done => {
                self.stage = Stage::Done;
                RegisterStep::Done
            }
        }
    }

    /// The store has confirmed the entry. If it was restored meanwhile, it may have lost the entry.
    pub fn on_entered(&mut self, now: Duration) {
        self.retry_pause = RETRY_PAUSE;
        let entry = std::mem::replace(&mut self.entry, EntryWrite::None);
        if entry == EntryWrite::Outdated {
            return;
        }
        self.stage = Stage::ReadPage {
            from: self.own_position,
        };
        self.next_at = now;
    }

    /// The store was restored from a backup, in a fleet of this many nodes. All of them learn of it
    /// within a second, so they spread their entries over time.
    pub fn on_store_restored(&mut self, now: Duration, nodes_count: usize) {
        let is_scheduled = self.stage == Stage::Enter && self.entry != EntryWrite::InProgress;
        if self.entry == EntryWrite::InProgress {
            self.entry = EntryWrite::Outdated;
        }
        self.is_reentry = true;
        self.stage = Stage::Enter;
        if is_scheduled {
            // Repeated restores must not postpone the entry for ever.
            return;
        }
        let nodes_count = u32::try_from(nodes_count).unwrap_or(u32::MAX);
        let spread = MIN_REENTRY_SPREAD.max(REENTRY_SPREAD_PER_NODE.saturating_mul(nodes_count));
        self.next_at = now + spread.mul_f64(self.random.random());
    }

    /// A page was read, and this node has introduced itself to the nodes on it.
    ///
    /// A page that was requested before a restore of the store is ignored: it says nothing about
    /// the register as it is now.
    pub fn on_page(&mut self, now: Duration, page: RegisterPageSummary) {
        if !matches!(self.stage, Stage::ReadPage { .. }) {
            return;
        }
        self.retry_pause = RETRY_PAUSE;
        let is_first_page = self.stage == Stage::ReadPage { from: 0 };
        if page.others_count < ENOUGH_PEERS_COUNT && page.is_last && !is_first_page {
            self.stage = Stage::ReadPage { from: 0 };
            self.next_at = now;
            return;
        }
        let found_count = page.others_count;
        self.stage = Stage::Introduced { found_count };
        self.next_at = now + self.answer_timeout;
    }

    /// A call failed: it was refused, or not answered in time. An entry that may have been written
    /// is written again, which changes nothing.
    pub fn on_failure(&mut self, now: Duration) {
        self.entry = EntryWrite::None;
        self.next_at = now + self.retry_pause.mul_f64(self.random.random_range(0.5..1.5));
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Reads another page, since all nodes that were found may be on hosts that no longer exist.
    fn read_random_page(&mut self) -> RegisterStep {
        self.answer_timeout = (self.answer_timeout * 2).min(MAX_ANSWER_TIMEOUT);
        let from = self.random.random();
        self.stage = Stage::ReadPage { from };
        RegisterStep::ReadPage { from }
    }
}
