//! When a node asks the platform's store for configurations.

use std::time::Duration;

use kumquatquay_wire::routed::StoreEra;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{EraChange, EraTracker, StoreReaders, era_tracker::REWRITE_TIME};

/// Longest time for which the store may hold a read, for each node that reads, and its
/// bounds. Holds are drawn with a mean of a third of it, so that all readers together end four
/// reads a second at the most: that is what finding a silence early costs in calls.
const HOLD_PER_READER: Duration = Duration::from_millis(750);
const HOLD_LEAST: Duration = Duration::from_secs(1);
const HOLD_MOST: Duration = Duration::from_secs(30);

/// Time beyond its hold after which another read is begun beside one without an answer. An
/// answer takes some milliseconds.
const PATIENCE: Duration = Duration::from_millis(250);

/// Time without word of the store, from anybody, after which a node that isn't a reader asks one,
/// and reads for itself if that gives no answer: for each node that is known, and at the least.
/// Peers tell of the store's answers with each call, and once in 1.5 s on a link without calls.
const UNTOLD_PER_NODE: Duration = Duration::from_millis(2);
const UNTOLD_LEAST: Duration = Duration::from_secs(1);

/// Time over which the first reads of nodes that start together are spread, for each node that
/// is known, and at the least. What the first ones read reaches the others meanwhile.
const START_PER_NODE: Duration = Duration::from_millis(2);
const START_LEAST: Duration = Duration::from_millis(300);

/// Time over which the first own reads of nodes whose proofs grow old together are spread, for each
/// node that is known, and pause between their questions meanwhile. The store can't prove it to
/// each node of a large fleet in time, and the first to whom it does can tell the others.
const PROOF_READ_PER_NODE: Duration = Duration::from_millis(2);
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Times by which a node that the store turns away, while it answers others, asks less often.
const TURNED_AWAY_FACTOR: u32 = 8;

/// Mean pause between reads while the store ails: for each node that asks, and its
/// bounds. All nodes together begin 200 reads a second, or 640 at a size of 5,100; the
/// stores of today take 2,000. With the least one a node reads within 0.75 s of the
/// store's return.
const RETRY_PER_NODE: Duration = Duration::from_millis(5);
const RETRY_LEAST: Duration = Duration::from_millis(500);
const RETRY_MOST: Duration = Duration::from_secs(8);

/// Longest pause after news, for each node that is known, and at the least: 5,100 nodes
/// that a change wakes up read again over 10 s, 500 a second beside those whose holds are
/// over. What is confirmed in the pause is there for the next read, or comes from a peer.
const AFTER_NEWS_PER_NODE: Duration = Duration::from_millis(2);
const AFTER_NEWS_LEAST: Duration = Duration::from_millis(100);

/// Parts of the time within which a configuration must be proved to be the newest: for which the
/// store may hold a read at the most, and after which a node without a newer proof asks for one.
/// What is left between them takes a proof from node to node; what is left behind them is for
/// asking.
const PROOF_HOLD_RATIO: f64 = 0.3;
const PROOF_ASK_RATIO: f64 = 0.6;

/// Part of the longest hold that is drawn at the least where proofs are wanted: a read proves
/// nothing before it ends.
const PROOF_HOLD_LEAST: f64 = 0.8;

/// Least time between reads that are wanted out of turn: for each node that is known, and at the
/// least.
const WANTED_PER_NODE: Duration = Duration::from_millis(1);
const WANTED_LEAST: Duration = Duration::from_millis(250);

/// Decides when a node asks the store for a newer configuration.
///
/// A few nodes of each data centre hold a read that the store answers once there is news; all
/// others hear of a new version from their peers. The price doesn't grow with the fleet: when
/// each node read for itself, each change, and each start of all, cost as many calls as there
/// are nodes.
///
/// The store may fall silent and come back: a read that meets the silence is never answered,
/// and looks like one that waits for news. A node that waits for it is deaf long after the
/// store's return, and since a change wakes up all readers at once, all are deaf in step and
/// none can tell another. So holds are drawn at random, short ones often, and a read that is
/// overdue isn't waited for: others that the store answers at once are begun beside it, in
/// random pauses, until any is answered. What was begun before may still be answered: a store
/// that is merely slow loses no read to the ones behind it.
///
/// Readers may be gone, cut off, or turned away. Nodes count the answers of the store that they
/// know of and tell each other the count; where it stands still for a second, a node asks a
/// reader, and reads for itself if that brings no more, in random pauses. A count is told and not
/// an age: ages that are told on become younger by the time that they take on the way, so that
/// two nodes could tell each other for ever that the store was there just now.
///
/// The store may come back from an older copy. Its answers are counted anew then, since counts of
/// the era before would hide those of the new one, and readers read at once: what they hold
/// may never be answered.
///
/// All times grow with the number of nodes, since the store counts the calls of all.
///
/// Where keys must not be accepted long after they were taken away, a node also needs proof that
/// its configuration is the newest, no older than a bound. The store proves that at the end of
/// each read, for the moment at which the read began. So holds are short then, and a node whose
/// proof grows old asks another node, then the store.
#[derive(Debug)]
pub struct StorePoller {
    random: StdRng,
    /// When another read begins, whatever is under way.
    next_at: Duration,
    started: Duration,
    /// Where in the time for first reads this node has its own, from 0 to 1.
    start_place: f64,
    has_read: bool,
    is_store_unavailable: bool,
    is_under_way: bool,
    /// Whether the store answers others and not this node.
    is_turned_away: bool,
    /// Longest pause after news.
    after_news: Duration,
    /// When the store answered this node last.
    answered: Duration,
    eras: EraTracker,
    /// Whether the store came back from a copy and this node hasn't read since.
    has_returned: bool,
    /// Answers of the store in its era that are known of, and when another node told of a new one.
    answers_count: u64,
    told: Duration,
    /// Until when readers are asked for word of the store, which hasn't come.
    asks_until: Option<Duration>,
    /// When what the store lost is written again, so that a read proves something.
    rewritten_at: Option<Duration>,
    /// How long this node waits for word of the store, in shares of the least time.
    patience: f64,
    /// Within what time the configuration must be proved to be the newest.
    proof_bound: Option<Duration>,
    /// Until when it was.
    proven: Option<Duration>,
    /// When a read out of turn may begin, if one is wanted, and when the last one began.
    wanted_at: Option<Duration>,
    wanted_last: Option<Duration>,
}

/// The fleet as far as a node knows it.
#[derive(Clone, Copy, Debug)]
pub struct PollerFleet {
    /// Nodes, this one included.
    pub nodes_count: usize,
    /// Those that read the store for all.
    pub readers: StoreReaders,
}

/// What a node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollStep {
    /// Begins a read, which the store may hold for that long.
    Read {
        /// Zero if the store answers at once.
        hold: Duration,
    },
    /// Asks a node that reads the store for all how far it is.
    AskReader,
    /// Nothing before this moment, unless a read ends.
    Wait {
        /// Time since the node's start.
        until: Duration,
    },
}

impl StorePoller {
    /// A node that starts now; the seed is of its random times.
    pub fn new(now: Duration, random_seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(random_seed);
        Self {
            start_place: random.random(),
            patience: draw_patience(&mut random),
            random,
            next_at: now,
            started: now,
            has_read: false,
            is_store_unavailable: false,
            is_under_way: false,
            is_turned_away: false,
            after_news: AFTER_NEWS_LEAST,
            answered: now,
            eras: EraTracker::default(),
            has_returned: false,
            answers_count: 0,
            told: now,
            asks_until: None,
            rewritten_at: None,
            proof_bound: None,
            proven: None,
            wanted_at: None,
            wanted_last: None,
        }
    }

    /// Follows so closely that the configuration is proved to be the newest within this time.
    #[must_use]
    pub fn with_proof_bound(mut self, bound: Duration) -> Self {
        self.proof_bound = Some(bound);
        self
    }

    /// What is to be done now.
    pub fn step(&mut self, now: Duration, fleet: PollerFleet) -> PollStep {
        if std::mem::take(&mut self.has_returned) && fleet.readers.is_reader {
            self.request_read(now, fleet.nodes_count);
        }
        if self.wanted_at.is_some_and(|wanted_at| now >= wanted_at) {
            self.wanted_at = None;
            self.wanted_last = Some(now);
            return PollStep::Read {
                hold: Duration::ZERO,
            };
        }
        if fleet.readers.is_reader && self.rewritten_at.take_if(|at| now >= *at).is_some() {
            return PollStep::Read {
                hold: Duration::ZERO,
            };
        }
        let nodes_count = u32::try_from(fleet.nodes_count).unwrap_or(u32::MAX);
        let readers_count = u32::try_from(fleet.readers.count).unwrap_or(u32::MAX);
        let is_told = now < self.untold_at(nodes_count);
        if !fleet.readers.is_reader && is_told && (self.is_store_unavailable || self.is_under_way) {
            // Peers tell what this node asked for.
            self.is_store_unavailable = false;
            self.is_under_way = false;
            self.next_at = now;
        }
        let due = self.due(nodes_count, fleet.readers);
        if now < due {
            let rewritten_at = self.rewritten_at.filter(|_| fleet.readers.is_reader);
            let others = self.wanted_at.into_iter().chain(rewritten_at);
            return PollStep::Wait {
                until: others.fold(due, Duration::min),
            };
        }
        let is_waiting = !self.is_store_unavailable && !self.is_under_way;
        if !fleet.readers.is_reader && is_waiting && self.asks(now, nodes_count) {
            return PollStep::AskReader;
        }
        // A read under way is overdue.
        self.is_store_unavailable |= self.is_under_way;
        self.is_under_way = true;
        self.has_read = true;
        self.after_news = AFTER_NEWS_LEAST.max(AFTER_NEWS_PER_NODE * nodes_count);
        if self.is_store_unavailable {
            self.is_turned_away = is_told && self.answers_count > 0;
            let factor = if self.is_turned_away {
                TURNED_AWAY_FACTOR
            } else {
                1
            };
            let asking_count = if fleet.readers.is_reader {
                readers_count
            } else {
                nodes_count
            };
            self.next_at = now + self.retry_pause(asking_count) * factor;
            return PollStep::Read {
                hold: Duration::ZERO,
            };
        }
        let most = if fleet.readers.is_reader {
            HOLD_PER_READER.saturating_mul(readers_count)
        } else {
            // Nobody tells: it reads for itself alone.
            UNTOLD_PER_NODE * nodes_count
        };
        let hold = if fleet.readers.is_reader || !self.is_proof_due(now) {
            self.hold(most)
        } else {
            Duration::ZERO
        };
        self.next_at = now + hold + PATIENCE;
        PollStep::Read { hold }
    }

    /// Whether a reader is asked before this node reads for itself, and when that is.
    fn asks(&mut self, now: Duration, nodes_count: u32) -> bool {
        let Some(asks_until) = self.asks_until else {
            let spread = if self.is_proof_due(now) {
                PROOF_READ_PER_NODE.saturating_mul(nodes_count)
            } else {
                Duration::ZERO
            };
            let patience = PATIENCE + spread.mul_f64(self.random.random());
            self.asks_until = Some(now + patience);
            self.next_at = now + patience.min(ASK_AGAIN);
            return true;
        };
        let asks = now < asks_until;
        if asks {
            self.next_at = asks_until.min(now + ASK_AGAIN);
        }
        asks
    }

    /// When the next read begins, if nothing changes.
    fn due(&self, nodes_count: u32, readers: StoreReaders) -> Duration {
        let start = START_LEAST.max(START_PER_NODE * nodes_count);
        let first_at = if self.has_read {
            Duration::ZERO
        } else {
            self.started + start.mul_f64(self.start_place)
        };
        let due = self.next_at.max(first_at);
        if self.is_store_unavailable && self.is_turned_away {
            // Nobody else is answered any more either.
            return due.min(self.untold_at(nodes_count));
        }
        if readers.is_reader || self.is_store_unavailable || self.is_under_way {
            due
        } else {
            due.max(self.untold_at(nodes_count))
        }
    }

    /// When this node has been without word of the store for too long.
    fn untold_at(&self, nodes_count: u32) -> Duration {
        let least = UNTOLD_LEAST.max(UNTOLD_PER_NODE * nodes_count);
        let untold_at = self.told + least.mul_f64(self.patience);
        self.proof_due()
            .map_or(untold_at, |proof_due| proof_due.min(untold_at))
    }

    /// When a newer proof is asked for.
    fn proof_due(&self) -> Option<Duration> {
        let age = self.proof_bound?.mul_f64(PROOF_ASK_RATIO);
        Some(self.proven.map_or(self.started, |proven| proven + age))
    }

    /// Whether the proof is so old that other nodes are to be asked for a newer one, again with
    /// each read that this node begins: the store may turn it away and serve others.
    pub fn is_proof_due(&self, now: Duration) -> bool {
        self.proof_due().is_some_and(|due| now >= due)
    }

    /// The configuration in force was the newest at this moment.
    pub fn on_proof(&mut self, moment: Duration) {
        if self.proven.is_none_or(|proven| moment > proven) {
            self.proven = Some(moment);
            self.asks_until = None;
        }
    }

    /// Somebody waits for a read that begins now or later. Reads out of turn have a pause between
    /// them that grows with the fleet: whoever makes nodes want them can't flood the store.
    pub fn request_read(&mut self, now: Duration, nodes_count: usize) {
        let nodes_count = u32::try_from(nodes_count).unwrap_or(u32::MAX);
        let pause = WANTED_LEAST.max(WANTED_PER_NODE * nodes_count);
        let earliest = self.wanted_last.map_or(now, |last| now.max(last + pause));
        self.wanted_at.get_or_insert(earliest);
    }

    /// The store answered a read; the others under way are to be dropped.
    pub fn on_answer(&mut self, now: Duration, has_news: bool) {
        let pause = if has_news {
            self.after_news.mul_f64(self.random.random())
        } else {
            Duration::ZERO
        };
        self.next_at = now + pause;
        self.is_store_unavailable = false;
        self.is_under_way = false;
        self.answered = now;
        self.has_returned = false;
        self.answers_count += 1;
    }

    /// An answer of the store told its era, whatever else it was.
    pub fn on_store_era(&mut self, now: Duration, era: Option<StoreEra>) -> EraChange {
        let news = self.eras.observe(era);
        self.begin_era(now, news);
        news
    }

    /// Another node knows of so many answers of the store in an era.
    ///
    /// Those of an era that is over are no word of the store as it is now.
    pub fn on_peer_state(
        &mut self,
        now: Duration,
        era: Option<StoreEra>,
        answers_count: u64,
    ) -> EraChange {
        let news = if era.is_some() || answers_count > 0 {
            self.eras.observe_from_peer(era)
        } else {
            EraChange::None
        };
        self.begin_era(now, news);
        if era == self.eras.highest() && answers_count > self.answers_count {
            self.answers_count = answers_count;
            self.told = now;
            // Without a proof the node goes on to read for itself, whatever it is told.
            if !self.is_proof_due(now) {
                self.asks_until = None;
            }
            self.patience = draw_patience(&mut self.random);
        }
        news
    }

    fn begin_era(&mut self, now: Duration, news: EraChange) {
        if let EraChange::Restored { .. } = news {
            self.answers_count = 0;
            self.has_returned = true;
            if self.proof_bound.is_some() {
                self.rewritten_at.get_or_insert(now + REWRITE_TIME);
            }
        }
    }

    /// The highest era of the store that is known; told to other nodes.
    pub fn era(&self) -> Option<StoreEra> {
        self.eras.highest()
    }

    /// Answers of the store in that era that are known of; told to other nodes.
    pub fn answers_count(&self) -> u64 {
        self.answers_count
    }

    /// A read brought nothing: it was refused, or had no answer in time.
    pub fn on_failure(&mut self, now: Duration) {
        if !self.is_store_unavailable {
            self.is_store_unavailable = true;
            self.next_at = now + RETRY_LEAST.mul_f64(self.random.random());
        }
    }

    /// Whether the store is taken to be away.
    pub fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable
    }

    /// Time since the store answered this node last.
    pub fn time_since_answer(&self, now: Duration) -> Duration {
        now.saturating_sub(self.answered)
    }

    fn hold(&mut self, most: Duration) -> Duration {
        let drawn: f64 = self.random.random();
        if let Some(bound) = self.proof_bound {
            let most = most.clamp(HOLD_LEAST, HOLD_MOST);
            let most = most.min(bound.mul_f64(PROOF_HOLD_RATIO));
            return most.mul_f64(PROOF_HOLD_LEAST + (1.0 - PROOF_HOLD_LEAST) * drawn);
        }
        // Squared, a fifth of the holds are under a twentieth of the longest one.
        most.clamp(HOLD_LEAST, HOLD_MOST).mul_f64(drawn * drawn)
    }

    /// Pause of a node that asks beside so many others, itself included.
    fn retry_pause(&mut self, asking_count: u32) -> Duration {
        let mean = RETRY_PER_NODE.saturating_mul(asking_count);
        let factor = self.random.random_range(0.5..1.5);
        mean.clamp(RETRY_LEAST, RETRY_MOST).mul_f64(factor)
    }
}

fn draw_patience(random: &mut StdRng) -> f64 {
    random.random_range(1.0..1.5)
}
