//! How a node that starts finds the others by the register in the store.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Place of an entry in the order of the register, which has nothing to do with where hosts
/// stand or when they came.
pub type RegisterPosition = u32;

/// Others on a page below which the next page is read too: a node whose entry is one of the
/// last would know next to nobody.
const ENOUGH_COUNT: usize = 16;

/// Pause after a call that failed, at first and at most; it doubles, and is drawn between half
/// of it and one and a half, so that nodes that failed together don't ask together.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const RETRY_PAUSE_MOST: Duration = Duration::from_secs(8);

/// Time in which those that were found answer an introduction, at first; it doubles each time
/// that nobody did, up to the most.
const ANSWER_PAUSE: Duration = Duration::from_millis(1_500);
const ANSWER_PAUSE_MOST: Duration = Duration::from_secs(30);

/// Time over which the entries that the store lost are made again, for each node that is known,
/// and at the least: 500 a second, whatever the size of the fleet.
const ENTER_AGAIN_PER_NODE: Duration = Duration::from_millis(2);
const ENTER_AGAIN_LEAST: Duration = Duration::from_millis(500);

/// The least part of the register that a page is taken to span: one at its end may hold a
/// single entry.
const ESTIMATE_LEAST_SHARE: f64 = 0.005;

/// Where a node enters itself in the register: the same place in each of its lives.
pub fn register_position(control: SocketAddr) -> RegisterPosition {
    let hash = blake3::hash(control.to_string().as_bytes());
    let first = hash.as_bytes()[..4].try_into();
    RegisterPosition::from_be_bytes(first.expect("a BLAKE3 hash has 32 bytes"))
}

/// What a node does next about the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterStep {
    /// It enters itself.
    Enter,
    /// It reads one page of entries, from this place on.
    ReadPage {
        /// The first place on the page.
        from: RegisterPosition,
    },
    /// Nothing before this moment.
    Wait {
        /// Time since the node's start.
        until: Duration,
    },
    /// Nothing any more: the members tell each other the rest.
    Done,
}

/// A page of the register, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterPageSummary {
    /// The first place that was asked for.
    pub from: RegisterPosition,
    /// Place of the last entry on it, where there is one.
    pub last_position: Option<RegisterPosition>,
    /// Other nodes on it.
    pub others_count: usize,
    /// Whether the register ends with it.
    pub is_last: bool,
}

impl RegisterPageSummary {
    /// Nodes in the whole register, by how close to each other those on this page lie.
    pub fn estimate_count(&self) -> usize {
        let last_position = self.last_position.filter(|_| !self.is_last);
        let to = last_position.unwrap_or(RegisterPosition::MAX);
        let share = f64::from(to.saturating_sub(self.from)) / f64::from(RegisterPosition::MAX);
        let nodes_count = (self.others_count + 1) as f64;
        (nodes_count / share.max(ESTIMATE_LEAST_SHARE)) as usize
    }
}

/// How a node enters itself and finds some others: two or three calls at the store, however
/// many nodes there are.
///
/// It needs a few peers only, who have the whole table. It enters itself and then reads the
/// page behind its own entry. Of any two nodes the one that reads later finds the other or
/// somebody before it, so all are joined, though they start at the same moment; and since
/// places are drawn by a hash, each node finds others, of all data centres. It looks again only
/// while nobody that it found has answered.
///
/// The store may come back from a copy that is older than an entry. Whoever starts then would find
/// neither this node nor, maybe, any other, so each enters itself again. The look behind it is for
/// nodes that know few others: two that have entered themselves on either side of the return
/// know nothing of each other.
///
/// Reading the whole register at each start costs as many pages as there are nodes, over fifty:
/// at 5,100 nodes all starts of a day, or one of all nodes, would take more than the store
/// gives.
#[derive(Debug)]
pub struct RegisterBootstrap {
    own: RegisterPosition,
    random: StdRng,
    stage: Stage,
    next_at: Duration,
    /// Whether the entry is made again, since the store may have lost it.
    is_again: bool,
    entry: Entry,
    retry_pause: Duration,
    answer_pause: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Enter,
    ReadPage {
        from: RegisterPosition,
    },
    /// Those that were found are introduced to.
    Introduced {
        found_count: usize,
    },
    Done,
}

/// The call that enters this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    /// There is none.
    None,
    UnderWay,
    /// It is under way, and the store came back from a copy since it was begun.
    Void,
}

impl RegisterBootstrap {
    /// A node that starts now; the seed is of its random times.
    pub fn new(now: Duration, control: SocketAddr, random_seed: u64) -> Self {
        Self {
            own: register_position(control),
            random: StdRng::seed_from_u64(random_seed),
            stage: Stage::Enter,
            next_at: now,
            is_again: false,
            entry: Entry::None,
            retry_pause: RETRY_PAUSE,
            answer_pause: ANSWER_PAUSE,
        }
    }

    /// What is to be done now by a node that knows so many others.
    pub fn step(&mut self, now: Duration, peers_count: usize) -> RegisterStep {
        if self.stage != Stage::Done && now < self.next_at {
            return RegisterStep::Wait {
                until: self.next_at,
            };
        }
        match self.stage {
            Stage::Enter => {
                self.entry = Entry::UnderWay;
                RegisterStep::Enter
            }
            Stage::ReadPage { .. } if self.is_again && peers_count >= ENOUGH_COUNT => {
                self.stage = Stage::Done;
                RegisterStep::Done
            }
            Stage::ReadPage { from } => RegisterStep::ReadPage { from },
            Stage::Introduced { found_count } if peers_count < found_count.min(1) => {
                self.read_random_page()
            }
            // The first node of all finds nobody, and who comes later finds it.
            Stage::Introduced { .. } | Stage::Done => {
                self.stage = Stage::Done;
                RegisterStep::Done
            }
        }
    }

    /// The store has taken the entry. If it came back meanwhile, the entry may be in what it lost.
    pub fn on_entered(&mut self, now: Duration) {
        self.retry_pause = RETRY_PAUSE;
        let entry = std::mem::replace(&mut self.entry, Entry::None);
        if entry == Entry::Void {
            return;
        }
        self.stage = Stage::ReadPage { from: self.own };
        self.next_at = now;
    }

    /// The store has come back from a copy, in a fleet of so many nodes. All of them learn it
    /// within a second, so their entries are spread over time.
    pub fn on_store_restored(&mut self, now: Duration, nodes_count: usize) {
        let is_due = self.stage == Stage::Enter && self.entry != Entry::UnderWay;
        if self.entry == Entry::UnderWay {
            self.entry = Entry::Void;
        }
        self.is_again = true;
        self.stage = Stage::Enter;
        if is_due {
            // Another return must not put it off for ever.
            return;
        }
        let nodes_count = u32::try_from(nodes_count).unwrap_or(u32::MAX);
        let most = ENTER_AGAIN_LEAST.max(ENTER_AGAIN_PER_NODE.saturating_mul(nodes_count));
        self.next_at = now + most.mul_f64(self.random.random());
    }

    /// A page was read, and those on it were introduced to.
    ///
    /// One that was asked for before the store's return says nothing of the register as it is now.
    pub fn on_page(&mut self, now: Duration, page: RegisterPageSummary) {
        if !matches!(self.stage, Stage::ReadPage { .. }) {
            return;
        }
        self.retry_pause = RETRY_PAUSE;
        let is_first_page = self.stage == Stage::ReadPage { from: 0 };
        if page.others_count < ENOUGH_COUNT && page.is_last && !is_first_page {
            self.stage = Stage::ReadPage { from: 0 };
            self.next_at = now;
            return;
        }
        let found_count = page.others_count;
        self.stage = Stage::Introduced { found_count };
        self.next_at = now + self.answer_pause;
    }

    /// A call brought nothing: it was refused, or had no answer in time. An entry that may
    /// have been made is made again; that changes nothing.
    pub fn on_failure(&mut self, now: Duration) {
        self.entry = Entry::None;
        self.next_at = now + self.retry_pause.mul_f64(self.random.random_range(0.5..1.5));
        self.retry_pause = (self.retry_pause * 2).min(RETRY_PAUSE_MOST);
    }

    /// All that were found may be hosts that are gone for good, so another page is read.
    fn read_random_page(&mut self) -> RegisterStep {
        self.answer_pause = (self.answer_pause * 2).min(ANSWER_PAUSE_MOST);
        let from = self.random.random();
        self.stage = Stage::ReadPage { from };
        RegisterStep::ReadPage { from }
    }
}
