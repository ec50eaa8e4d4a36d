//! Holds requests at the entry that can wait until there is room for them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::{ServiceName, routed::Priority};
use rand::Rng;

use super::latency_estimate::LatencyEstimate;

/// A request is held only if its expected wait is at most this part of the time that it can wait.
const EXPECTED_RATIO: f64 = 0.7;

/// A held request is given up once its expected wait is this many times the time that it can
/// still wait.
const GIVEN_UP_RATIO: f64 = 2.5;

/// Part of the time that a request can wait over which held ones are offered again.
const SPREAD_RATIO: f64 = 0.5;

/// The least time that a request must be able to wait to be held. Offered anew in less time than a
/// level takes to answer, those that are held would be let in as if there were room for them.
const LEAST_WAIT: Duration = Duration::from_secs(2);

/// Requests that are held at the same time.
const HELD_LIMIT_COUNT: usize = 512;

/// Bytes of the requests that are held at the same time.
const HELD_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Lines that are remembered.
const LINES_LIMIT_COUNT: usize = 1_024;

/// Time after its last request in which a line is remembered.
const LINE_LIFETIME: Duration = Duration::from_secs(10);

/// Time in which the count of arrivals halves.
const ARRIVALS_HALF_LIFE_S: f64 = 2.0;

/// Time in which what is known of the chance falls to a third.
const CHANCE_TIME_S: f64 = 0.5;

/// Requests that are refused and held alike: those of one rank and claimant on one route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Their route.
    pub route: String,
    /// Service that the route sends them to.
    pub service: ServiceName,
    /// Their rank.
    pub priority: Priority,
    /// Workspace that sends them; the route where there is none.
    pub claimant: String,
}

/// A request for which there may be no room now.
#[derive(Clone, Copy, Debug)]
pub struct HoldRequest<'a> {
    /// Where it would wait.
    pub flow: &'a FlowKey,
    /// Share of the requests of its line for which there is room now.
    pub admission_probability: f64,
    /// Moment until which its answer is worth most.
    pub soft_deadline: Duration,
    /// Memory that it takes while it is held.
    pub held_bytes: usize,
}

/// What becomes of a request that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldDecision {
    /// It is let in.
    Admitted,
    /// It is held until [`EntryQueue::release`] says otherwise.
    Held(HoldKey),
    /// It is refused.
    Refused {
        /// Time after which there should be room to hold it, if that is known.
        retry_after: Option<Duration>,
    },
}

/// The place of a request that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldKey {
    line: FlowKey,
    place: HeldPlace,
}

/// The earliest to be let in come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldPlace {
    /// The last moment at which it can be let in and be answered in time.
    latest: Duration,
    number: u64,
}

/// A request that is held no longer.
#[derive(Debug, PartialEq)]
pub struct ReleasedRequest<T> {
    /// What was handed in with it.
    pub ticket: T,
    /// Why it is held no longer.
    pub reason: ReleaseReason,
}

/// Why a request is held no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// There is room for it.
    RoomAvailable,
    /// It can wait no longer. Later ones of its line are let in the fewer.
    WaitExhausted,
    /// The room that was expected doesn't come.
    NoRoom {
        /// Time after which there should be room to hold it, if that is known.
        retry_after: Option<Duration>,
    },
}

/// Requests that are held at an entry.
///
/// It answers the pattern in which demand swings or surges for some seconds, and some requests
/// have more time than they need: refused, they come back at a moment that nobody chose, and are
/// refused again. Held, they use the room of the first calm moment.
///
/// How many are let in goes by the level of the service that is short, as if none were held: each
/// request that is offered adds its chance to the credit of its line, and each that is let in takes
/// one. Those that are held are offered anew, spread over the time for which they can wait. The
/// level knows them as offered load then, and falls as it does for any other; when the shortage is
/// over, they are let in over that time and not all at once, on all entries together.
#[derive(Debug)]
pub struct EntryQueue<T> {
    lines: HashMap<FlowKey, Line<T>>,
    needed: HashMap<String, LatencyEstimate>,
    held_count: usize,
    held_bytes: usize,
    last_number: u64,
}

#[derive(Debug)]
struct Line<T> {
    held: BTreeMap<HeldPlace, HeldRequest<T>>,
    /// Requests that may still be let in; below 0 after some that could wait no longer.
    credit: f64,
    /// Share of those offered for which there is room, over the last moments.
    chance: f64,
    chance_at: Duration,
    /// Arrivals, those from long ago counting less.
    arrivals_count: f64,
    arrived: Duration,
    /// Time in which all that are held are offered anew.
    spread: Duration,
    /// Those that are to be offered anew.
    reoffers_count: f64,
    reoffered: Duration,
}

#[derive(Debug)]
struct HeldRequest<T> {
    ticket: T,
    held_bytes: usize,
}

impl<T> Default for EntryQueue<T> {
    fn default() -> Self {
        Self {
            lines: HashMap::new(),
            needed: HashMap::new(),
            held_count: 0,
            held_bytes: 0,
            last_number: 0,
        }
    }
}

impl<T> EntryQueue<T> {
    // Learning

    /// A request on a route was answered, so long after it had been let in.
    pub fn on_answer(&mut self, route: &str, took: Duration) {
        if let Some(needed) = self.needed.get_mut(route) {
            needed.observe(took);
        } else if self.needed.len() < LINES_LIMIT_COUNT {
            let needed = LatencyEstimate::first(took);
            self.needed.insert(String::from(route), needed);
        }
    }

    // Reading

    /// Requests that are held.
    pub fn held_count(&self) -> usize {
        self.held_count
    }

    /// Bytes that they take.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    // Deciding

    /// Lets a request in, holds it, or refuses it.
    ///
    /// It is held only if it is expected to be let in well before it is too late for it, by what
    /// is held before it and what is let in of its line.
    pub fn offer(
        &mut self,
        now: Duration,
        request: &HoldRequest<'_>,
        ticket: T,
        random: &mut impl Rng,
    ) -> HoldDecision {
        if !self.make_line(now, request, random) {
            return by_chance(request.admission_probability, random);
        }
        let latest = self.latest_start(request);
        let has_memory = self.has_memory(request.held_bytes);
        let Some(line) = self.lines.get_mut(request.flow) else {
            return HoldDecision::Refused { retry_after: None };
        };
        line.arrive(now);
        line.earn(now, request.admission_probability);
        let can_wait = latest.map_or(Duration::ZERO, |latest| latest.saturating_sub(now));
        let is_holdable = has_memory && can_wait >= LEAST_WAIT;
        let goes_first = line.held.is_empty() || !is_holdable;
        if goes_first && line.spend() {
            return HoldDecision::Admitted;
        }
        let spread = can_wait.mul_f64(SPREAD_RATIO);
        let expected = line.expected_wait(now, line.held.len() + 1, spread);
        let longest = can_wait.mul_f64(EXPECTED_RATIO);
        let fits = is_holdable && expected.is_some_and(|expected| expected <= longest);
        let Some(latest) = latest.filter(|_| fits) else {
            let room_in = expected.map(|expected| expected.saturating_sub(longest));
            return HoldDecision::Refused {
                retry_after: room_in,
            };
        };
        self.last_number += 1;
        let place = HeldPlace {
            latest,
            number: self.last_number,
        };
        let held_bytes = request.held_bytes;
        line.hold(now, place, HeldRequest { ticket, held_bytes }, spread);
        self.held_count += 1;
        self.held_bytes += held_bytes;
        let line = request.flow.clone();
        HoldDecision::Held(HoldKey { line, place })
    }

    /// Takes out a request whose caller has left, or that was released already.
    pub fn remove(&mut self, key: &HoldKey) -> Option<T> {
        let line = self.lines.get_mut(&key.line)?;
        let held = line.held.remove(&key.place)?;
        self.held_count -= 1;
        self.held_bytes -= held.held_bytes;
        Some(held.ticket)
    }

    /// Takes out all that are held.
    pub fn withdraw_all(&mut self) -> Vec<T> {
        self.held_count = 0;
        self.held_bytes = 0;
        let lines = self.lines.values_mut();
        let held = lines.flat_map(|line| std::mem::take(&mut line.held).into_values());
        held.map(|held| held.ticket).collect()
    }

    /// Takes out those for which there is room, which can wait no longer, or for which no room
    /// comes.
    ///
    /// `chance` offers a request of a line anew and tells for which share there is room now.
    pub fn release(
        &mut self,
        now: Duration,
        mut chance: impl FnMut(&FlowKey) -> f64,
    ) -> Vec<ReleasedRequest<T>> {
        let mut released = Vec::new();
        // Lines in their order: the important are offered first.
        let mut lines: Vec<_> = self.lines.iter_mut().collect();
        lines.retain(|(_, line)| !line.held.is_empty());
        lines.sort_by_key(|(key, _)| (key.priority, *key));
        for (key, line) in lines {
            line.offer_anew(now, || chance(key));
            line.release(now, &mut released);
        }
        for (held, _) in &released {
            self.held_count -= 1;
            self.held_bytes -= held.held_bytes;
        }
        let released = released.into_iter().map(|(held, outcome)| ReleasedRequest {
            ticket: held.ticket,
            reason: outcome,
        });
        released.collect()
    }

    /// The last moment at which a request can be let in and be answered in time; `None` if it
    /// isn't known how long that takes.
    fn latest_start(&self, request: &HoldRequest<'_>) -> Option<Duration> {
        let needed = self.needed.get(&request.flow.route)?;
        request.soft_deadline.checked_sub(needed.upper_bound())
    }

    fn has_memory(&self, bytes: usize) -> bool {
        self.held_count < HELD_LIMIT_COUNT && self.held_bytes + bytes <= HELD_LIMIT_BYTES
    }

    /// Makes the line if it isn't remembered; `false` if there are too many.
    fn make_line(
        &mut self,
        now: Duration,
        request: &HoldRequest<'_>,
        random: &mut impl Rng,
    ) -> bool {
        let known = self.lines.get(request.flow);
        let is_new = known.is_none();
        if known.is_some_and(|line| line.is_remembered(now)) {
            return true;
        }
        if is_new && self.lines.len() >= LINES_LIMIT_COUNT {
            self.lines.retain(|_, line| line.is_remembered(now));
        }
        if is_new && self.lines.len() >= LINES_LIMIT_COUNT {
            return false;
        }
        // Entries that see few requests each would otherwise all refuse their first ones.
        let line = Line::new(now, request.admission_probability, random.random());
        self.lines.insert(request.flow.clone(), line);
        true
    }
}

/// Decides on a request whose line isn't remembered.
fn by_chance(chance: f64, random: &mut impl Rng) -> HoldDecision {
    if random.random::<f64>() < chance {
        HoldDecision::Admitted
    } else {
        HoldDecision::Refused { retry_after: None }
    }
}

impl<T> Line<T> {
    fn is_remembered(&self, now: Duration) -> bool {
        !self.held.is_empty() || now < self.arrived + LINE_LIFETIME
    }

    fn new(now: Duration, chance: f64, credit: f64) -> Self {
        Self {
            held: BTreeMap::new(),
            credit,
            chance,
            chance_at: now,
            arrivals_count: 0.0,
            arrived: now,
            spread: Duration::ZERO,
            reoffers_count: 0.0,
            reoffered: now,
        }
    }

    /// A request comes that wasn't offered before.
    fn arrive(&mut self, now: Duration) {
        self.arrivals_count = self.arrivals_at(now) + 1.0;
        self.arrived = now;
    }

    fn arrivals_at(&self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.arrived).as_secs_f64();
        self.arrivals_count * 0.5_f64.powf(passed_s / ARRIVALS_HALF_LIFE_S)
    }

    /// A request is offered, for the first time or anew.
    fn earn(&mut self, now: Duration, chance: f64) {
        self.credit += chance;
        let passed_s = now.saturating_sub(self.chance_at).as_secs_f64();
        let weight = 1.0 - (-passed_s / CHANCE_TIME_S).exp();
        self.chance += weight * (chance - self.chance);
        self.chance_at = now;
    }

    /// Whether one more may be let in, which takes its part of the credit.
    fn spend(&mut self) -> bool {
        let can_spend = self.credit >= 1.0;
        if can_spend {
            self.credit -= 1.0;
        }
        can_spend
    }

    /// Time after which the request at a place in the line, counted from 1, is let in; `None` if
    /// none is.
    fn expected_wait(&self, now: Duration, place: usize, spread: Duration) -> Option<Duration> {
        let arrivals_per_s = self.arrivals_at(now) * std::f64::consts::LN_2 / ARRIVALS_HALF_LIFE_S;
        let reoffers_per_s = place as f64 / spread.as_secs_f64().max(1e-3);
        let let_in_per_s = self.chance * (arrivals_per_s + reoffers_per_s);
        let lacking = (place as f64 - self.credit).max(0.0);
        Duration::try_from_secs_f64(lacking / let_in_per_s).ok()
    }

    fn hold(&mut self, now: Duration, place: HeldPlace, request: HeldRequest<T>, spread: Duration) {
        if self.held.is_empty() {
            self.reoffers_count = 0.0;
            self.reoffered = now;
        }
        self.spread = spread;
        self.held.insert(place, request);
    }

    /// Offers as many of those that are held anew as the time since the last time asks for.
    fn offer_anew(&mut self, now: Duration, mut chance: impl FnMut() -> f64) {
        let passed_s = now.saturating_sub(self.reoffered).as_secs_f64();
        let part = passed_s / self.spread.as_secs_f64().max(1e-3);
        self.reoffered = now;
        self.reoffers_count += part.min(1.0) * self.held.len() as f64;
        while self.reoffers_count >= 1.0 {
            self.reoffers_count -= 1.0;
            self.earn(now, chance());
        }
    }

    fn release(&mut self, now: Duration, released: &mut Vec<(HeldRequest<T>, ReleaseReason)>) {
        while self.credit >= 1.0
            && let Some((_, held)) = self.held.pop_first()
        {
            self.credit -= 1.0;
            released.push((held, ReleaseReason::RoomAvailable));
        }
        if self.held.is_empty() {
            // What nobody could use is no room for those who come later.
            self.credit = self.credit.min(1.0);
        }
        while let Some(first) = self.held.first_entry()
            && first.key().latest <= now
        {
            self.credit -= 1.0;
            released.push((first.remove(), ReleaseReason::WaitExhausted));
        }
        while let Some(room_in) = self.is_hopeless(now)
            && let Some((_, held)) = self.held.pop_last()
        {
            released.push((
                held,
                ReleaseReason::NoRoom {
                    retry_after: room_in,
                },
            ));
        }
    }

    /// Whether the last one will find no room; then when there should be some, if it is known.
    fn is_hopeless(&self, now: Duration) -> Option<Option<Duration>> {
        let (last, _) = self.held.last_key_value()?;
        let can_wait = last.latest.saturating_sub(now);
        let expected = self.expected_wait(now, self.held.len(), self.spread);
        let longest = can_wait.mul_f64(GIVEN_UP_RATIO);
        let is_hopeless = expected.is_none_or(|expected| expected > longest);
        is_hopeless.then(|| expected.map(|expected| expected.saturating_sub(can_wait)))
    }
}
