//! When a node asks the platform's store for configurations.

use std::time::Duration;

/// How long the store may hold a read for news.
const HOLD: Duration = Duration::from_secs(4);

/// Pause after a read that failed, at first.
const RETRY: Duration = Duration::from_millis(200);

/// Longest pause; a store that is away is asked this often.
const RETRY_LONGEST: Duration = Duration::from_millis(1_200);

/// Decides when a node asks the store for a newer configuration.
///
/// The store holds a read until there is news. The node tells what comes of each read
/// and asks for the next step after that.
#[derive(Debug)]
pub struct StoreFollower {
    /// When the next read begins; `None` while one is under way.
    next_at: Option<Duration>,
    pause: Duration,
    is_ailing: bool,
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
    /// A node that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            next_at: Some(now),
            pause: RETRY,
            is_ailing: false,
            heard: now,
        }
    }

    /// What is to be done now.
    pub fn step(&mut self, now: Duration) -> FollowStep {
        match self.next_at {
            Some(at) if now >= at => {
                self.next_at = None;
                FollowStep::Read { hold: HOLD }
            }
            at => FollowStep::Wait {
                until: at.unwrap_or(Duration::MAX),
            },
        }
    }

    /// The store answered a read.
    pub fn answered(&mut self, now: Duration) {
        self.next_at = Some(now);
        self.pause = RETRY;
        self.is_ailing = false;
        self.heard = now;
    }

    /// A read brought nothing: it was refused, or had no answer in time.
    pub fn failed(&mut self, now: Duration) {
        self.next_at = Some(now + self.pause);
        self.pause = (self.pause * 2).min(RETRY_LONGEST);
        self.is_ailing = true;
    }

    /// Whether the store is taken to be away.
    pub fn is_ailing(&self) -> bool {
        self.is_ailing
    }

    /// Time since the store answered last.
    pub fn unheard(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }
}
