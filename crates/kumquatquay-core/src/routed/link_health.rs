//! Notices that a link to another node has gone silent.

use std::time::Duration;

/// Time without a frame from the peer, while calls wait for it, after which it is asked
/// for a sign of life. Most calls are answered within it, so busy links aren't asked.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// [`QUIET_TIME`] while no call waits; the question also carries versions around.
const IDLE_QUIET_TIME: Duration = Duration::from_millis(1_500);

/// The least time without an answer to the question after which a link counts as
/// silent. A host whose share of a processor is a quota of 0.4 stands still for 60 ms
/// of each 100; an answer may meet two such pauses.
const SILENT_LEAST: Duration = Duration::from_millis(150);

/// Round trips of the link after which it counts as silent, where they are long.
const SILENT_ROUND_TRIPS: u32 = 10;

/// Time without an answer to the question after which a link is given up.
///
/// Calls that may have run are lost with it, and a host that was merely suspended for
/// a second or paused answers after all.
const GIVE_UP_TIME: Duration = Duration::from_millis(1_600);

/// Weight of the newest round trip against those before.
const NEW_WEIGHT: f64 = 0.2;

/// Looks that this node itself may be late by; beyond it has stood still, and what the
/// peer has sent meanwhile may not be read yet.
const LATE_LOOKS: u32 = 2;

/// How one link does, from what came over it.
///
/// It answers the pattern in which a network part fails, or a host loses its power, and
/// connections to it go silent without a reset. Calls sent there hang until their
/// deadlines, hold the slots of the backend servers that made them, and make services
/// look short that are not. Found within some 350 ms, new calls go elsewhere, and calls
/// that wait are sent elsewhere as far as that is safe; the link itself is kept much
/// longer, since what is under way on it may still be answered.
#[derive(Debug)]
pub struct LinkHealth {
    /// Since when calls wait without a frame from the peer.
    waits_since: Option<Duration>,
    heard: Duration,
    /// When the peer was asked for a sign of life that hasn't come.
    asked: Option<Duration>,
    round_trip: Duration,
    is_silent: bool,
    looked: Duration,
}

/// What is to be done about a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Nothing.
    Keep,
    /// The peer is to be asked for a sign of life.
    Ping,
    /// New calls should go elsewhere.
    Avoid,
    /// The link is to be given up.
    Close,
}

impl LinkHealth {
    /// A link that is made now.
    pub fn new(now: Duration) -> Self {
        Self {
            waits_since: None,
            heard: now,
            asked: None,
            round_trip: Duration::ZERO,
            is_silent: false,
            looked: now,
        }
    }

    /// A call was sent.
    pub fn on_call_sent(&mut self, now: Duration) {
        self.waits_since.get_or_insert(now);
    }

    /// A frame came from the peer; `is_waited_for` if further calls wait.
    pub fn on_frame(&mut self, now: Duration, is_waited_for: bool) {
        if let Some(asked) = self.asked.take() {
            let observed = now.saturating_sub(asked);
            let step = observed.as_secs_f64() - self.round_trip.as_secs_f64();
            let round_trip_s = self.round_trip.as_secs_f64() + NEW_WEIGHT * step;
            self.round_trip = Duration::from_secs_f64(round_trip_s.max(0.0));
        }
        self.heard = now;
        self.waits_since = is_waited_for.then_some(now);
        self.is_silent = false;
    }

    /// Whether the peer gave no sign of life when it was asked.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// What is to be done now; `interval` is the time between two looks.
    pub fn check(&mut self, now: Duration, interval: Duration, is_waited_for: bool) -> LinkAction {
        let passed = now.saturating_sub(self.looked);
        self.looked = now;
        if !is_waited_for {
            self.waits_since = None;
        }
        let Some(asked) = self.asked else {
            let is_quiet = self.is_quiet(now);
            if is_quiet {
                self.asked = Some(now);
            }
            return if is_quiet {
                LinkAction::Ping
            } else {
                LinkAction::Keep
            };
        };
        if passed > interval * LATE_LOOKS {
            // This node stood still, and the peer's answer waits to be read.
            self.asked = Some(asked + passed);
            return LinkAction::Keep;
        }
        let patience = SILENT_LEAST.max(self.round_trip * SILENT_ROUND_TRIPS);
        self.is_silent |= now >= asked + patience;
        if now >= asked + GIVE_UP_TIME {
            LinkAction::Close
        } else if self.is_silent {
            LinkAction::Avoid
        } else {
            LinkAction::Keep
        }
    }

    fn is_quiet(&self, now: Duration) -> bool {
        match self.waits_since {
            Some(since) => now >= since + QUIET_TIME,
            None => now >= self.heard + IDLE_QUIET_TIME,
        }
    }
}
