//! Queue of requests that are held at the entry until there is room for them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::{ServiceName, routed::Priority};
use rand::Rng;

use super::latency_estimate::LatencyEstimate;

/// Longest expected wait with which a request is held, as a ratio of the time that it can wait.
const MAX_EXPECTED_WAIT_RATIO: f64 = 0.7;

/// A held request is refused once its expected wait exceeds the time that it can still wait by
/// this factor.
const HOPELESS_WAIT_RATIO: f64 = 2.5;

/// Period in which each held request is offered again once, as a ratio of the time that a request
/// can wait.
const REOFFER_PERIOD_RATIO: f64 = 0.5;

/// Shortest time that a request must be able to wait to be held.
///
/// Requests that were offered again faster than the admission level responds to the offered load
/// would be admitted as if there were room for them.
const MIN_WAIT: Duration = Duration::from_secs(2);

/// Limit of the requests that are held at the same time.
const MAX_HELD_COUNT: usize = 512;

/// Limit of the memory that held requests take.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;

/// Limit of the flows that are tracked, and of the routes whose latency is.
const MAX_FLOWS_COUNT: usize = 1_024;

/// How long an empty flow is tracked after its last new request.
const FLOW_TTL: Duration = Duration::from_secs(10);

/// Half-life of the count of arrivals.
const ARRIVALS_HALF_LIFE_S: f64 = 2.0;

/// Time constant of the moving average of the admission probability.
const ADMISSION_PROBABILITY_TIME_S: f64 = 0.5;

/// Key of a flow: requests of one route, service, priority and claimant, which share a queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Route of the requests.
    pub route: String,
    /// Service to which the route sends them.
    pub service: ServiceName,
    /// Priority of the root requests.
    pub priority: Priority,
    /// Workspace of the caller; the route if the caller belongs to none.
    pub claimant: String,
}

/// A request that is offered to the queue.
#[derive(Clone, Copy, Debug)]
pub struct HoldRequest<'a> {
    /// Flow that it belongs to.
    pub flow: &'a FlowKey,
    /// Share of the requests of its flow for which there is room now, from 0 to 1.
    pub admission_probability: f64,
    /// Time by which it should be answered for the answer to have its full value.
    pub soft_deadline: Duration,
    /// Memory that it takes while it is held, in bytes.
    pub held_bytes: usize,
}

/// Decision on a request that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldDecision {
    /// It is admitted.
    Admitted,
    /// It is held until [`EntryQueue::release`] returns it.
    Held(HoldKey),
    /// It is refused.
    Refused {
        /// Time after which there should be room to hold it, if that is known.
        room_expected_in: Option<Duration>,
    },
}

/// Key of a held request, to remove it from the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldKey {
    flow: FlowKey,
    position: HeldPosition,
}

/// Position in the queue of a flow, the earliest latest start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldPosition {
    /// Latest time of admission with which its answer is expected before its soft deadline.
    latest_start: Duration,
    sequence: u64,
}

/// A request that was released from the queue.
#[derive(Debug, PartialEq)]
pub struct ReleasedRequest<T> {
    /// Ticket that was given with the offer.
    pub ticket: T,
    /// Why it was released.
    pub reason: ReleaseReason,
}

/// Why a request was released from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// There is room for it; it is admitted.
    RoomAvailable,
    /// It can't wait any longer and is admitted without room. It still takes credit of its flow,
    /// so that fewer of the later requests are admitted.
    WaitExhausted,
    /// The expected room didn't come; it is refused.
    NoRoom {
        /// Time after which there should be room to hold it, if that is known.
        room_expected_in: Option<Duration>,
    },
}

/// Queue of held requests of an entry.
///
/// It smooths demand that swings or surges for some seconds, for requests that have more time than
/// they need. A refused request would be retried at a random moment and often be refused again; a
/// held one uses the first room that comes.
///
/// The queue doesn't change the share of requests that is admitted, which follows from the
/// admission level of the overloaded service. Each offered request adds its admission probability
/// to the credit of its flow, and each admitted one takes 1 of it. Held requests are offered again
/// at intervals that spread over the time that they can wait. So they count as offered load and
/// lower the level like any other, and after an overload they are admitted over that period on all
/// entries instead of all at once.
#[derive(Debug)]
pub struct EntryQueue<T> {
    flows: HashMap<FlowKey, Flow<T>>,
    latencies: HashMap<String, LatencyEstimate>,
    held_count: usize,
    held_bytes: usize,
    last_sequence: u64,
}

#[derive(Debug)]
struct Flow<T> {
    held: BTreeMap<HeldPosition, HeldRequest<T>>,
    /// Requests that may still be admitted; negative after requests that were admitted without
    /// room.
    credit: f64,
    /// Moving average of the admission probability.
    admission_probability: f64,
    probability_updated_at: Duration,
    /// Exponentially decaying count of new requests.
    arrivals_count: f64,
    last_arrival: Duration,
    /// Period in which each held request is offered again once.
    reoffer_period: Duration,
    /// Requests that are due to be offered again, with fractions.
    pending_reoffers_count: f64,
    last_reoffer: Duration,
}

#[derive(Debug)]
struct HeldRequest<T> {
    ticket: T,
    held_bytes: usize,
}

impl<T> Default for EntryQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            latencies: HashMap::new(),
            held_count: 0,
            held_bytes: 0,
            last_sequence: 0,
        }
    }
}

impl<T> EntryQueue<T> {
    // Observations

    /// Records the latency of an answered request on a route, from its admission on.
    pub fn on_answer(&mut self, route: &str, latency: Duration) {
        if let Some(estimate) = self.latencies.get_mut(route) {
            estimate.observe(latency);
        } else if self.latencies.len() < MAX_FLOWS_COUNT {
            let estimate = LatencyEstimate::first(latency);
            self.latencies.insert(String::from(route), estimate);
        }
    }

    // State

    /// Number of held requests.
    pub fn held_count(&self) -> usize {
        self.held_count
    }

    /// Memory that held requests take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    // Decisions

    /// Admits a request, holds it, or refuses it.
    ///
    /// It is held only if it is expected to be admitted well before its latest start, judged by
    /// the requests held before it and the admission rate of its flow.
    pub fn offer(
        &mut self,
        now: Duration,
        request: &HoldRequest<'_>,
        ticket: T,
        random: &mut impl Rng,
    ) -> HoldDecision {
        if !self.ensure_flow(now, request, random) {
            return admit_at_random(request.admission_probability, random);
        }
        let latest_start = self.latest_start(request);
        let has_memory = self.has_memory(request.held_bytes);
        let Some(flow) = self.flows.get_mut(request.flow) else {
            return HoldDecision::Refused {
                room_expected_in: None,
            };
        };
        flow.on_arrival(now);
        flow.add_credit(now, request.admission_probability);
        let max_hold = latest_start.map_or(Duration::ZERO, |latest_start| {
            latest_start.saturating_sub(now)
        });
        let is_holdable = has_memory && max_hold >= MIN_WAIT;
        let may_skip_queue = flow.held.is_empty() || !is_holdable;
        if may_skip_queue && flow.take_credit() {
            return HoldDecision::Admitted;
        }
        let reoffer_period = max_hold.mul_f64(REOFFER_PERIOD_RATIO);
        let expected_wait = flow.expected_wait(now, flow.held.len() + 1, reoffer_period);
        let max_wait = max_hold.mul_f64(MAX_EXPECTED_WAIT_RATIO);
        let fits =
            is_holdable && expected_wait.is_some_and(|expected_wait| expected_wait <= max_wait);
        let Some(latest_start) = latest_start.filter(|_| fits) else {
            let room_expected_in =
                expected_wait.map(|expected_wait| expected_wait.saturating_sub(max_wait));
            return HoldDecision::Refused { room_expected_in };
        };
        self.last_sequence += 1;
        let position = HeldPosition {
            latest_start,
            sequence: self.last_sequence,
        };
        let held_bytes = request.held_bytes;
        flow.hold(
            now,
            position,
            HeldRequest { ticket, held_bytes },
            reoffer_period,
        );
        self.held_count += 1;
        self.held_bytes += held_bytes;
        let flow = request.flow.clone();
        HoldDecision::Held(HoldKey { flow, position })
    }

    /// Removes a held request, for instance because its caller has disconnected; `None` if it was
    /// released already.
    pub fn remove(&mut self, key: &HoldKey) -> Option<T> {
        let flow = self.flows.get_mut(&key.flow)?;
        let held = flow.held.remove(&key.position)?;
        self.held_count -= 1;
        self.held_bytes -= held.held_bytes;
        Some(held.ticket)
    }

    /// Removes all held requests.
    pub fn withdraw_all(&mut self) -> Vec<T> {
        self.held_count = 0;
        self.held_bytes = 0;
        let flows = self.flows.values_mut();
        let held = flows.flat_map(|flow| std::mem::take(&mut flow.held).into_values());
        held.map(|held| held.ticket).collect()
    }

    /// Releases the requests for which there is room, that can't wait any longer, or for which no
    /// room is expected in time.
    ///
    /// `admission_probability` offers a request of a flow again and returns the share of its
    /// requests for which there is room now.
    pub fn release(
        &mut self,
        now: Duration,
        mut admission_probability: impl FnMut(&FlowKey) -> f64,
    ) -> Vec<ReleasedRequest<T>> {
        let mut released = Vec::new();
        // The most important requests are offered first.
        let mut flows: Vec<_> = self.flows.iter_mut().collect();
        flows.retain(|(_, flow)| !flow.held.is_empty());
        flows.sort_by_key(|(key, _)| (key.priority, *key));
        for (key, flow) in flows {
            flow.reoffer(now, || admission_probability(key));
            flow.release(now, &mut released);
        }
        for (held, _) in &released {
            self.held_count -= 1;
            self.held_bytes -= held.held_bytes;
        }
        let released = released.into_iter().map(|(held, reason)| ReleasedRequest {
            ticket: held.ticket,
            reason,
        });
        released.collect()
    }

    /// Latest time of admission with which a request is expected to meet its soft deadline; `None`
    /// if the latency of its route isn't known, or if it exceeds the soft deadline itself.
    fn latest_start(&self, request: &HoldRequest<'_>) -> Option<Duration> {
        let estimate = self.latencies.get(&request.flow.route)?;
        request.soft_deadline.checked_sub(estimate.upper_bound())
    }

    fn has_memory(&self, bytes: usize) -> bool {
        self.held_count < MAX_HELD_COUNT && self.held_bytes + bytes <= MAX_HELD_BYTES
    }

    /// Creates the flow of a request if there is none, or replaces one that has expired; `false` if
    /// there are too many flows.
    fn ensure_flow(
        &mut self,
        now: Duration,
        request: &HoldRequest<'_>,
        random: &mut impl Rng,
    ) -> bool {
        let existing = self.flows.get(request.flow);
        let is_new = existing.is_none();
        if existing.is_some_and(|flow| flow.is_active(now)) {
            return true;
        }
        if is_new && self.flows.len() >= MAX_FLOWS_COUNT {
            self.flows.retain(|_, flow| flow.is_active(now));
        }
        if is_new && self.flows.len() >= MAX_FLOWS_COUNT {
            return false;
        }
        // The initial credit is random: with none, entries that see few requests each would all
        // refuse their first ones.
        let flow = Flow::new(now, request.admission_probability, random.random());
        self.flows.insert(request.flow.clone(), flow);
        true
    }
}

/// Admits a request of a flow that isn't tracked with its admission probability.
fn admit_at_random(admission_probability: f64, random: &mut impl Rng) -> HoldDecision {
    if random.random::<f64>() < admission_probability {
        HoldDecision::Admitted
    } else {
        HoldDecision::Refused {
            room_expected_in: None,
        }
    }
}

impl<T> Flow<T> {
    fn is_active(&self, now: Duration) -> bool {
        !self.held.is_empty() || now < self.last_arrival + FLOW_TTL
    }

    fn new(now: Duration, admission_probability: f64, credit: f64) -> Self {
        Self {
            held: BTreeMap::new(),
            credit,
            admission_probability,
            probability_updated_at: now,
            arrivals_count: 0.0,
            last_arrival: now,
            reoffer_period: Duration::ZERO,
            pending_reoffers_count: 0.0,
            last_reoffer: now,
        }
    }

    /// Counts a new request.
    fn on_arrival(&mut self, now: Duration) {
        self.arrivals_count = self.arrivals_count_at(now) + 1.0;
        self.last_arrival = now;
    }

    fn arrivals_count_at(&self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.arrivals_count * 0.5_f64.powf(passed_s / ARRIVALS_HALF_LIFE_S)
    }

    /// Adds the credit of a request that is offered, for the first time or again.
    fn add_credit(&mut self, now: Duration, admission_probability: f64) {
        self.credit += admission_probability;
        let passed_s = now
            .saturating_sub(self.probability_updated_at)
            .as_secs_f64();
        let weight = 1.0 - (-passed_s / ADMISSION_PROBABILITY_TIME_S).exp();
        self.admission_probability += weight * (admission_probability - self.admission_probability);
        self.probability_updated_at = now;
    }

    /// Takes the credit for one request; `false` if there isn't enough.
    fn take_credit(&mut self) -> bool {
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }

    /// Expected time until the request at this position of the queue, counted from 1, is admitted;
    /// `None` if it is never.
    fn expected_wait(
        &self,
        now: Duration,
        position: usize,
        reoffer_period: Duration,
    ) -> Option<Duration> {
        let arrivals_per_s =
            self.arrivals_count_at(now) * std::f64::consts::LN_2 / ARRIVALS_HALF_LIFE_S;
        let reoffers_per_s = position as f64 / reoffer_period.as_secs_f64().max(1e-3);
        let admissions_per_s = self.admission_probability * (arrivals_per_s + reoffers_per_s);
        let missing_credit = (position as f64 - self.credit).max(0.0);
        Duration::try_from_secs_f64(missing_credit / admissions_per_s).ok()
    }

    fn hold(
        &mut self,
        now: Duration,
        position: HeldPosition,
        request: HeldRequest<T>,
        reoffer_period: Duration,
    ) {
        if self.held.is_empty() {
            self.pending_reoffers_count = 0.0;
            self.last_reoffer = now;
        }
        self.reoffer_period = reoffer_period;
        self.held.insert(position, request);
    }

    /// Offers as many held requests again as are due since the last time.
    fn reoffer(&mut self, now: Duration, mut admission_probability: impl FnMut() -> f64) {
        let passed_s = now.saturating_sub(self.last_reoffer).as_secs_f64();
        let due_ratio = passed_s / self.reoffer_period.as_secs_f64().max(1e-3);
        self.last_reoffer = now;
        self.pending_reoffers_count += due_ratio.min(1.0) * self.held.len() as f64;
        while self.pending_reoffers_count >= 1.0 {
            self.pending_reoffers_count -= 1.0;
            self.add_credit(now, admission_probability());
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
            // Unused credit doesn't accumulate for later requests.
            self.credit = self.credit.min(1.0);
        }
        while let Some(first) = self.held.first_entry()
            && first.key().latest_start <= now
        {
            self.credit -= 1.0;
            released.push((first.remove(), ReleaseReason::WaitExhausted));
        }
        while let Some(room_expected_in) = self.check_hopeless(now)
            && let Some((_, held)) = self.held.pop_last()
        {
            released.push((held, ReleaseReason::NoRoom { room_expected_in }));
        }
    }

    /// Returns `Some` if the last request of the queue isn't expected to find room in time, with
    /// the time after which there should be room if that is known.
    fn check_hopeless(&self, now: Duration) -> Option<Option<Duration>> {
        let (last, _) = self.held.last_key_value()?;
        let max_hold = last.latest_start.saturating_sub(now);
        let expected_wait = self.expected_wait(now, self.held.len(), self.reoffer_period);
        let max_wait = max_hold.mul_f64(HOPELESS_WAIT_RATIO);
        let is_hopeless = expected_wait.is_none_or(|expected_wait| expected_wait > max_wait);
        is_hopeless
            .then(|| expected_wait.map(|expected_wait| expected_wait.saturating_sub(max_hold)))
    }
}
