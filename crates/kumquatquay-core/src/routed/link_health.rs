//! Detects that a link to another node no longer responds.

use std::time::Duration;

/// Time without a frame from the peer, while calls await answers, after which it is pinged. Most
/// calls are answered within it, so busy links aren't pinged.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// [`PING_INTERVAL`] while no call awaits an answer. The ping also exchanges versions.
const IDLE_PING_INTERVAL: Duration = Duration::from_millis(1_500);

/// Minimum time without an answer to a ping after which a link counts as silent. A host with a CPU
/// quota of 0.4 stands still for 60 ms of each 100 ms, and an answer may meet two such pauses.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Round trips without an answer to a ping after which a link counts as silent, if they take
/// longer than [`MIN_SILENCE_TIMEOUT`].
const SILENCE_ROUND_TRIPS_COUNT: u32 = 10;

/// Time without an answer to a ping after which a link is closed.
///
/// Closing loses calls that may have run, and a host that was only suspended or paused for a
/// second does answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Weight of the newest round trip in their moving average.
const NEW_WEIGHT: f64 = 0.2;

/// Intervals since the last check above which this node itself was stalled, and may not have read
/// what the peer has sent meanwhile.
const STALL_INTERVALS_COUNT: u32 = 2;

/// Health of one link, judged by the frames that the peer sends.
///
/// If a network component fails, or a host loses power, connections to it stop responding without
/// a reset. Calls sent there would hang until their deadlines, hold the slots of the backend
/// servers that made them, and make services seem to lack capacity. The silence is detected within
/// about 350 ms: new calls go elsewhere, and calls in progress are retried elsewhere where that is
/// safe. The link itself is kept much longer, since calls on it may still be answered.
#[derive(Debug)]
pub struct LinkHealth {
    /// Since when calls await answers without a frame from the peer.
    waiting_since: Option<Duration>,
    last_frame_at: Duration,
    /// When the ping was sent that isn't answered yet.
    pinged_at: Option<Duration>,
    round_trip: Duration,
    is_silent: bool,
    checked_at: Duration,
}

/// What to do about a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Nothing.
    Keep,
    /// Ping the peer.
    Ping,
    /// Send new calls elsewhere.
    Avoid,
    /// Close the link.
    Close,
}

impl LinkHealth {
    /// Creates the health of a link that is established now.
    pub fn new(now: Duration) -> Self {
        Self {
            waiting_since: None,
            last_frame_at: now,
            pinged_at: None,
            round_trip: Duration::ZERO,
            is_silent: false,
            checked_at: now,
        }
    }

    /// A call was sent.
    pub fn on_call_sent(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// A frame came from the peer; `has_pending_calls` tells whether more calls await answers.
    pub fn on_frame(&mut self, now: Duration, has_pending_calls: bool) {
        if let Some(pinged_at) = self.pinged_at.take() {
            let observed = now.saturating_sub(pinged_at);
            let step = observed.as_secs_f64() - self.round_trip.as_secs_f64();
            let round_trip_s = self.round_trip.as_secs_f64() + NEW_WEIGHT * step;
            self.round_trip = Duration::from_secs_f64(round_trip_s.max(0.0));
        }
        self.last_frame_at = now;
        self.waiting_since = has_pending_calls.then_some(now);
        self.is_silent = false;
    }

    /// Whether the peer didn't answer a ping in time.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Checks the link, which the caller does once per `interval`, and returns what to do.
    pub fn check(
        &mut self,
        now: Duration,
        interval: Duration,
        has_pending_calls: bool,
    ) -> LinkAction {
        let elapsed = now.saturating_sub(self.checked_at);
        self.checked_at = now;
        if !has_pending_calls {
            self.waiting_since = None;
        }
        let Some(pinged_at) = self.pinged_at else {
            let needs_ping = self.needs_ping(now);
            if needs_ping {
                self.pinged_at = Some(now);
            }
            return if needs_ping {
                LinkAction::Ping
            } else {
                LinkAction::Keep
            };
        };
        if elapsed > interval * STALL_INTERVALS_COUNT {
            // This node was stalled; the peer's answer may not be read yet.
            self.pinged_at = Some(pinged_at + elapsed);
            return LinkAction::Keep;
        }
        let timeout = MIN_SILENCE_TIMEOUT.max(self.round_trip * SILENCE_ROUND_TRIPS_COUNT);
        self.is_silent |= now >= pinged_at + timeout;
        if now >= pinged_at + CLOSE_TIMEOUT {
            LinkAction::Close
        } else if self.is_silent {
            LinkAction::Avoid
        } else {
            LinkAction::Keep
        }
    }

    fn needs_ping(&self, now: Duration) -> bool {
        match self.waiting_since {
            Some(since) => now >= since + PING_INTERVAL,
            None => now >= self.last_frame_at + IDLE_PING_INTERVAL,
        }
    }
}
