//! When a node asks the platform's store for configurations.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Longest time for which the store may hold a read, for each node that is known, and its
/// bounds. Holds are drawn with a mean of a third of it, so that all nodes together end 7.5
/// reads a second at the most: that is what finding a silence early costs in calls.
const HOLD_PER_NODE: Duration = Duration::from_millis(400);
const HOLD_LEAST: Duration = Duration::from_secs(1);
const HOLD_MOST: Duration = Duration::from_secs(30);

/// Time beyond its hold after which another read is begun beside one without an answer. An
/// answer takes some milliseconds.
const PATIENCE: Duration = Duration::from_millis(250);

/// Mean pause between reads while the store ails: for each node that is known, and its
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

/// Decides when a node asks the store for a newer configuration.
///
/// The store holds a read until there is news. It answers the pattern in which the store
/// falls silent and comes back: a read that meets the silence is never answered, and looks
/// like one that waits for news. A node that waits for it is deaf long after the store's
/// return, and since a change wakes up all nodes at once, all are deaf in step and none can
/// tell another.
///
/// So holds are drawn at random, short ones often: in a fleet some node always finds a
/// silence out within half a second, and peers hear of what it reads. A read that is overdue
/// isn't waited for; others that the store answers at once are begun beside it, in random
/// pauses, until any is answered. What was begun before may still be answered: a store that
/// is merely slow loses no read to the ones behind it. In the model of the tests a silence of
/// 5.4 s left fleets without the newest configuration for 4.15 s; now it is under 1 s.
///
/// All times grow with the number of nodes, since the store counts the calls of all.
#[derive(Debug)]
pub struct StoreFollower {
    random: StdRng,
    /// When another read begins, whatever is under way.
    next_at: Duration,
    is_ailing: bool,
    is_under_way: bool,
    /// Longest pause after news.
    after_news: Duration,
    heard: Duration,
}

/// What a node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowStep {
    /// Begins a read, which the store may hold for that long.
    Read {
        /// Zero if the store answers at once.
        hold: Duration,
    },
    /// Nothing before this moment, unless a read ends.
    Wait {
        /// Time since the node's start.
        until: Duration,
    },
}

impl StoreFollower {
    /// A node that starts now; the seed is of its random times.
    pub fn new(now: Duration, random_seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(random_seed),
            next_at: now,
            is_ailing: false,
            is_under_way: false,
            after_news: AFTER_NEWS_LEAST,
            heard: now,
        }
    }

    /// What is to be done now, in a fleet of so many nodes.
    pub fn step(&mut self, now: Duration, nodes_count: usize) -> FollowStep {
        if now < self.next_at {
            return FollowStep::Wait {
                until: self.next_at,
            };
        }
        // A read under way is overdue.
        self.is_ailing |= self.is_under_way;
        self.is_under_way = true;
        let nodes_count = u32::try_from(nodes_count).unwrap_or(u32::MAX);
        self.after_news = AFTER_NEWS_LEAST.max(AFTER_NEWS_PER_NODE * nodes_count);
        if self.is_ailing {
            self.next_at = now + self.retry_pause(nodes_count);
            return FollowStep::Read {
                hold: Duration::ZERO,
            };
        }
        let hold = self.hold(nodes_count);
        self.next_at = now + hold + PATIENCE;
        FollowStep::Read { hold }
    }

    /// The store answered a read; the others under way are to be dropped.
    pub fn answered(&mut self, now: Duration, has_news: bool) {
        let pause = if has_news {
            self.after_news.mul_f64(self.random.random())
        } else {
            Duration::ZERO
        };
        self.next_at = now + pause;
        self.is_ailing = false;
        self.is_under_way = false;
        self.heard = now;
    }

    /// A read brought nothing: it was refused, or had no answer in time.
    pub fn failed(&mut self, now: Duration) {
        if !self.is_ailing {
            self.is_ailing = true;
            self.next_at = now + RETRY_LEAST.mul_f64(self.random.random());
        }
    }

    /// Whether the store is taken to be away.
    pub fn is_ailing(&self) -> bool {
        self.is_ailing
    }

    /// Time since the store answered last.
    pub fn unheard(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }

    fn hold(&mut self, nodes_count: u32) -> Duration {
        let most = HOLD_PER_NODE.saturating_mul(nodes_count);
        let drawn: f64 = self.random.random();
        // Squared, a fifth of the holds are under a twentieth of the longest one.
        most.clamp(HOLD_LEAST, HOLD_MOST).mul_f64(drawn * drawn)
    }

    fn retry_pause(&mut self, nodes_count: u32) -> Duration {
        let mean = RETRY_PER_NODE.saturating_mul(nodes_count);
        let factor = self.random.random_range(0.5..1.5);
        mean.clamp(RETRY_LEAST, RETRY_MOST).mul_f64(factor)
    }
}
