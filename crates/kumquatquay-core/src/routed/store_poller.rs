//! Decides when a node polls the platform's store for configurations.

use std::time::Duration;

use kumquatquay_wire::routed::StoreEra;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    EraChange, EraTracker, StoreReaders,
    era_tracker::{REWRITE_TIME, UNWITNESSED_REWRITE_TIME},
};

/// Longest hold of a read, for each reader of the store. Holds are drawn at random with a mean of
/// a third of it, so that at most four reads a second end in the whole fleet. That is the price
/// for the early detection of a store that doesn't respond.
const HOLD_PER_READER: Duration = Duration::from_millis(750);

/// Lower bound of the longest hold.
const MIN_HOLD: Duration = Duration::from_secs(1);

/// Upper bound of the longest hold.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// Time after the end of its hold at which a read without an answer is overdue. An answer takes a
/// few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time, for each known node, without a report of a new answer of the store after which a node
/// that isn't a reader asks one, and reads for itself if that brings no report either. Peers
/// report the store's answers with each call, and every 1.5 s on a link without calls.
const REPORT_TIMEOUT_PER_NODE: Duration = Duration::from_millis(2);

/// Lower bound of that time.
const MIN_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time, for each known node, over which the first reads of nodes that start together are
/// spread. The others learn meanwhile what the first ones read.
const START_SPREAD_PER_NODE: Duration = Duration::from_millis(2);

/// Lower bound of that time.
const MIN_START_SPREAD: Duration = Duration::from_millis(300);

/// Time, for each known node, over which the first own reads of nodes whose proofs expire together
/// are spread. The store can't serve each node of a large fleet in time, and the first nodes that
/// it serves can pass the proof on.
const PROOF_READ_SPREAD_PER_NODE: Duration = Duration::from_millis(2);

/// Pause between the questions to readers of a node that waits for its own read.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Factor by which a node reads less often if the store rejects its reads but answers others.
const REJECTED_RETRY_FACTOR: u32 = 8;

/// Mean pause between reads while the store is unavailable, for each node that reads. The whole
/// fleet starts 200 reads a second, or 640 with 5,100 nodes; a store handles 2,000.
const RETRY_PER_NODE: Duration = Duration::from_millis(5);

/// Lower bound of the mean pause; with it, a node reads within 0.75 s of the store's recovery.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Upper bound of the mean pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Longest pause after a read that brought a change, for each known node: 5,100 nodes whose reads
/// end with the same change read again over 10 s, 500 a second in addition to those whose holds
/// end. What is confirmed during the pause comes with the next read, or from a peer.
const CHANGE_PAUSE_PER_NODE: Duration = Duration::from_millis(2);

/// Lower bound of that longest pause.
const MIN_CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// Longest hold of a read, as part of the bound on the age of proofs. The time from the end of
/// the hold to [`PROOF_ASK_RATIO`] is for passing the proof from node to node.
const PROOF_HOLD_RATIO: f64 = 0.3;

/// Age of a proof at which a node asks for a newer one, as part of the bound on the age of proofs.
/// The rest of the bound is for asking.
const PROOF_ASK_RATIO: f64 = 0.6;

/// Shortest hold of a read, as part of the longest one, if the age of proofs is bounded: a read
/// proves nothing before it ends.
const PROOF_HOLD_MIN_RATIO: f64 = 0.8;

/// Minimum time between requested reads, for each known node.
const REQUESTED_READ_PER_NODE: Duration = Duration::from_millis(1);

/// Lower bound of that time.
const MIN_REQUESTED_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Decides when a node polls the store for a newer configuration.
///
/// A few nodes of each data centre, the readers, use long polling: the store holds a read until
/// there is a newer configuration. All others learn of new versions from their peers. So the
/// number of calls doesn't grow with the fleet: if each node polled, each change, and each start
/// of the whole fleet, would cost as many calls as there are nodes.
///
/// The store may become unresponsive and recover. A read that is held at that time is never
/// answered, and looks like one that waits for a change. A node that waits for it would miss
/// changes long after the recovery, and since a change ends the reads of all readers at once, all
/// readers would miss changes at the same time and none could inform another. So the hold of a
/// read is random and often short, and an overdue read isn't waited for: reads without a hold are
/// started beside it, after random pauses, until any read is answered. The overdue read may still
/// be answered, so a store that is only slow loses no read to the later ones.
///
/// Readers may be down, cut off, or rejected by the store. Nodes count the store's answers that
/// they know of and report the count to each other. If it doesn't rise for a second, a node asks a
/// reader; if it still doesn't rise, the node reads for itself, after random pauses. Nodes report a
/// count and not an age, because an age that is passed on lacks the time spent in transit: two
/// nodes could assure each other for ever that the store answered just now.
///
/// The store may be restored from an older backup. Its answers are counted from zero then, since
/// the counts of the era before would hide those of the new one, and readers read at once, since
/// the reads that the store holds may never be answered.
///
/// All times grow with the number of nodes, since the store has to handle the calls of all.
///
/// If revoked keys must not be accepted for long, a node also needs proof, no older than a bound,
/// that its configuration is the newest. The store gives that proof at the end of each read, as of
/// the moment at which the read started. So holds are short then, and a node whose proof is about
/// to expire asks another node, then the store.
#[derive(Debug)]
pub struct StorePoller {
    random: StdRng,
    /// When the next read starts, even if another one is in progress.
    next_at: Duration,
    started_at: Duration,
    /// Position of this node's first read in the time over which first reads are spread, from 0
    /// to 1.
    start_ratio: f64,
    has_read: bool,
    is_store_unavailable: bool,
    is_read_in_progress: bool,
    /// Whether the store answers other nodes but not this one.
    is_rejected: bool,
    /// Longest pause after a read that brought a change.
    max_change_pause: Duration,
    /// When the store last answered this node.
    answered_at: Duration,
    eras: EraTracker,
    /// Whether the store was restored from a backup and this node hasn't read since.
    is_restored: bool,
    /// Known answers of the store in its current era.
    answers_count: u64,
    /// When another node last reported a higher count.
    reported_at: Duration,
    /// Until when this node asks readers instead of reading for itself.
    asks_until: Option<Duration>,
    /// When operators have written again what the store lost, so that a read proves something.
    rewritten_at: Option<Duration>,
    /// Until when reads of a node that has started prove nothing.
    unproven_until: Option<Duration>,
    /// Random factor of the time for which this node waits for a report.
    report_timeout_factor: f64,
    /// Age that the proof must not exceed.
    proof_bound: Option<Duration>,
    /// Until when the configuration in force is proved to have been the newest.
    proven_until: Option<Duration>,
    /// When a requested read may start.
    requested_at: Option<Duration>,
    /// When the last requested read started.
    last_requested_at: Option<Duration>,
}

/// The fleet as a node knows it.
#[derive(Clone, Copy, Debug)]
pub struct PollerFleet {
    /// Nodes, including this one.
    pub nodes_count: usize,
    /// Nodes that read the store on behalf of all.
    pub readers: StoreReaders,
}

/// What a node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollStep {
    /// Starts a read.
    Read {
        /// Time for which the store may hold the read; zero if it is to answer at once.
        hold: Duration,
    },
    /// Asks a reader for the answers of the store that it knows of.
    AskReader,
    /// Waits for the end of a read, but no longer than this.
    Wait {
        /// Time since the node's start.
        until: Duration,
    },
}

impl StorePoller {
    /// Creates the poller of a node that starts now; `random_seed` is for its random times.
    pub fn new(now: Duration, random_seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(random_seed);
        Self {
            start_ratio: random.random(),
            report_timeout_factor: draw_report_timeout_factor(&mut random),
            random,
            next_at: now,
            started_at: now,
            has_read: false,
            is_store_unavailable: false,
            is_read_in_progress: false,
            is_rejected: false,
            max_change_pause: MIN_CHANGE_PAUSE,
            answered_at: now,
            eras: EraTracker::default(),
            is_restored: false,
            answers_count: 0,
            reported_at: now,
            asks_until: None,
            rewritten_at: None,
            unproven_until: None,
            proof_bound: None,
            proven_until: None,
            requested_at: None,
            last_requested_at: None,
        }
    }

    /// Bounds the age of the proof that the configuration is the newest.
    #[must_use]
    pub fn with_proof_bound(mut self, bound: Duration) -> Self {
        self.proof_bound = Some(bound);
        self
    }

    /// Returns what this node does now.
    pub fn step(&mut self, now: Duration, fleet: PollerFleet) -> PollStep {
        if std::mem::take(&mut self.is_restored) && fleet.readers.is_reader {
            self.request_read(now, fleet.nodes_count);
        }
        if self
            .requested_at
            .is_some_and(|requested_at| now >= requested_at)
        {
            self.requested_at = None;
            self.last_requested_at = Some(now);
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
        let is_informed = now < self.report_timeout_at(nodes_count);
        if !fleet.readers.is_reader
            && is_informed
            && (self.is_store_unavailable || self.is_read_in_progress)
        {
            // Peers report again, so this node stops reading for itself.
            self.is_store_unavailable = false;
            self.is_read_in_progress = false;
            self.next_at = now;
        }
        let next_read_at = self.next_read_at(nodes_count, fleet.readers);
        if now < next_read_at {
            let rewritten_at = self.rewritten_at.filter(|_| fleet.readers.is_reader);
            let others = self.requested_at.into_iter().chain(rewritten_at);
            return PollStep::Wait {
                until: others.fold(next_read_at, Duration::min),
            };
        }
        let is_idle = !self.is_store_unavailable && !self.is_read_in_progress;
        if !fleet.readers.is_reader && is_idle && self.asks_reader(now, nodes_count) {
            return PollStep::AskReader;
        }
        // A read that is in progress now is overdue.
        self.is_store_unavailable |= self.is_read_in_progress;
        self.is_read_in_progress = true;
        self.has_read = true;
        self.max_change_pause = MIN_CHANGE_PAUSE.max(CHANGE_PAUSE_PER_NODE * nodes_count);
        if self.is_store_unavailable {
            self.is_rejected = is_informed && self.answers_count > 0;
            let factor = if self.is_rejected {
                REJECTED_RETRY_FACTOR
            } else {
                1
            };
            let polling_count = if fleet.readers.is_reader {
                readers_count
            } else {
                nodes_count
            };
            self.next_at = now + self.retry_pause(polling_count) * factor;
            return PollStep::Read {
                hold: Duration::ZERO,
            };
        }
        let max_hold = if fleet.readers.is_reader {
            HOLD_PER_READER.saturating_mul(readers_count)
        } else {
            // No report came, so this node polls for itself.
            REPORT_TIMEOUT_PER_NODE * nodes_count
        };
        let hold = if fleet.readers.is_reader || !self.is_proof_due(now) {
            self.draw_hold(max_hold)
        } else {
            Duration::ZERO
        };
        self.next_at = now + hold + ANSWER_TIMEOUT;
        PollStep::Read { hold }
    }

    /// Whether this node asks a reader now instead of reading for itself; sets when it acts next.
    fn asks_reader(&mut self, now: Duration, nodes_count: u32) -> bool {
        let Some(asks_until) = self.asks_until else {
            let spread = if self.is_proof_due(now) {
                PROOF_READ_SPREAD_PER_NODE.saturating_mul(nodes_count)
            } else {
                Duration::ZERO
            };
            let timeout = ANSWER_TIMEOUT + spread.mul_f64(self.random.random());
            let asks_until = now.max(self.unproven_until.unwrap_or_default()) + timeout;
            self.asks_until = Some(asks_until);
            self.next_at = asks_until.min(now + ASK_INTERVAL);
            return true;
        };
        let asks = now < asks_until;
        if asks {
            self.next_at = asks_until.min(now + ASK_INTERVAL);
        }
        asks
    }

    /// When the next read starts, unless something changes.
    fn next_read_at(&self, nodes_count: u32, readers: StoreReaders) -> Duration {
        let spread = MIN_START_SPREAD.max(START_SPREAD_PER_NODE * nodes_count);
        let first_at = if self.has_read {
            Duration::ZERO
        } else {
            self.started_at + spread.mul_f64(self.start_ratio)
        };
        let next_at = self.next_at.max(first_at);
        if self.is_store_unavailable && self.is_rejected {
            // Once reports stop, the store doesn't answer other nodes either.
            return next_at.min(self.report_timeout_at(nodes_count));
        }
        if readers.is_reader || self.is_store_unavailable || self.is_read_in_progress {
            next_at
        } else {
            next_at.max(self.report_timeout_at(nodes_count))
        }
    }

    /// When this node has been without a report, or without a new proof, for too long.
    fn report_timeout_at(&self, nodes_count: u32) -> Duration {
        let min_timeout = MIN_REPORT_TIMEOUT.max(REPORT_TIMEOUT_PER_NODE * nodes_count);
        let timeout_at = self.reported_at + min_timeout.mul_f64(self.report_timeout_factor);
        self.proof_due()
            .map_or(timeout_at, |proof_due| proof_due.min(timeout_at))
    }

    /// When this node asks for a newer proof.
    fn proof_due(&self) -> Option<Duration> {
        let age = self.proof_bound?.mul_f64(PROOF_ASK_RATIO);
        Some(
            self.proven_until
                .map_or(self.started_at, |proven_until| proven_until + age),
        )
    }

    /// Whether the proof is so old that this node asks others for a newer one. It asks again with
    /// each read that it starts, since the store may reject its reads and answer others.
    pub fn is_proof_due(&self, now: Duration) -> bool {
        self.proof_due().is_some_and(|due| now >= due)
    }

    /// The configuration in force was proved to be the newest at this moment.
    pub fn on_proof(&mut self, moment: Duration) {
        if self
            .proven_until
            .is_none_or(|proven_until| moment > proven_until)
        {
            self.proven_until = Some(moment);
            self.asks_until = None;
        }
    }

    /// Requests a read that starts now or later.
    ///
    /// The minimum interval between such reads grows with the fleet, so that a caller that causes
    /// requests at many nodes can't flood the store.
    pub fn request_read(&mut self, now: Duration, nodes_count: usize) {
        let nodes_count = u32::try_from(nodes_count).unwrap_or(u32::MAX);
        let interval = MIN_REQUESTED_READ_INTERVAL.max(REQUESTED_READ_PER_NODE * nodes_count);
        let earliest = self
            .last_requested_at
            .map_or(now, |last| now.max(last + interval));
        self.requested_at.get_or_insert(earliest);
    }

    /// The store answered a read; the caller drops the other reads in progress.
    pub fn on_answer(&mut self, now: Duration, has_change: bool) {
        let pause = if has_change {
            self.max_change_pause.mul_f64(self.random.random())
        } else {
            Duration::ZERO
        };
        self.next_at = now + pause;
        self.is_store_unavailable = false;
        self.is_read_in_progress = false;
        self.answered_at = now;
        self.is_restored = false;
        self.answers_count += 1;
        if self.is_proof_due(now) {
            // It proved nothing, so the next one would prove nothing either.
            self.asks_until = None;
        }
    }

    /// This node has started and learns of the era of the store, which may just have been restored: its
    /// reads prove nothing until operators have written again what may be lost.
    pub fn on_unsettled_era(&mut self, now: Duration) {
        let rewritten_at = now + UNWITNESSED_REWRITE_TIME;
        self.rewritten_at = Some(rewritten_at);
        self.unproven_until = Some(rewritten_at);
        self.asks_until = None;
    }

    /// An answer of the store, of whatever kind, was given in this era.
    pub fn on_store_era(&mut self, now: Duration, era: Option<StoreEra>) -> EraChange {
        let change = self.eras.observe(era);
        self.apply_era_change(now, change);
        change
    }

    /// Another node reports that it knows of this many answers of the store in an era.
    ///
    /// Answers in an era that is over say nothing about the store as it is now.
    pub fn on_peer_state(
        &mut self,
        now: Duration,
        era: Option<StoreEra>,
        answers_count: u64,
    ) -> EraChange {
        let change = if era.is_some() || answers_count > 0 {
            self.eras.observe_from_peer(era)
        } else {
            EraChange::None
        };
        self.apply_era_change(now, change);
        if era == self.eras.highest() && answers_count > self.answers_count {
            self.answers_count = answers_count;
            self.reported_at = now;
            // Without a fresh proof, the node still goes on to read for itself.
            if !self.is_proof_due(now) {
                self.asks_until = None;
            }
            self.report_timeout_factor = draw_report_timeout_factor(&mut self.random);
        }
        change
    }

    fn apply_era_change(&mut self, now: Duration, change: EraChange) {
        if let EraChange::Restored { .. } = change {
            self.answers_count = 0;
            self.is_restored = true;
            if self.proof_bound.is_some() {
                self.rewritten_at.get_or_insert(now + REWRITE_TIME);
            }
        }
    }

    /// Highest known era of the store; reported to other nodes.
    pub fn era(&self) -> Option<StoreEra> {
        self.eras.highest()
    }

    /// Known answers of the store in that era; reported to other nodes.
    pub fn answers_count(&self) -> u64 {
        self.answers_count
    }

    /// A read failed: it was refused, or was not answered in time.
    pub fn on_failure(&mut self, now: Duration) {
        if !self.is_store_unavailable {
            self.is_store_unavailable = true;
            self.next_at = now + MIN_RETRY_PAUSE.mul_f64(self.random.random());
        }
    }

    /// Whether the store is considered unavailable: a read failed or is overdue.
    pub fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable
    }

    /// Time since the store last answered this node.
    pub fn time_since_answer(&self, now: Duration) -> Duration {
        now.saturating_sub(self.answered_at)
    }

    fn draw_hold(&mut self, max_hold: Duration) -> Duration {
        let drawn: f64 = self.random.random();
        if let Some(bound) = self.proof_bound {
            let max_hold = max_hold.clamp(MIN_HOLD, MAX_HOLD);
            let max_hold = max_hold.min(bound.mul_f64(PROOF_HOLD_RATIO));
            return max_hold.mul_f64(PROOF_HOLD_MIN_RATIO + (1.0 - PROOF_HOLD_MIN_RATIO) * drawn);
        }
        // With the square, a fifth of the holds are shorter than a twentieth of the longest one.
        max_hold.clamp(MIN_HOLD, MAX_HOLD).mul_f64(drawn * drawn)
    }

    /// Pause before the next read of a node when this many nodes read, itself included.
    fn retry_pause(&mut self, polling_count: u32) -> Duration {
        let mean = RETRY_PER_NODE.saturating_mul(polling_count);
        let factor = self.random.random_range(0.5..1.5);
        mean.clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE).mul_f64(factor)
    }
}

fn draw_report_timeout_factor(random: &mut StdRng) -> f64 {
    random.random_range(1.0..1.5)
}
