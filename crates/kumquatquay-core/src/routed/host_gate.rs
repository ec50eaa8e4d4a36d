//! The queue beside a backend server.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::routed::{GateReport, NotRunReason, Priority};

use super::{GateState, RouteRunTime, RouteRunTimes, ServerRateLimit};

/// Waiting calls of the mean size for each running one, at most: the wait is twice the time of
/// a call.
///
/// A longer queue delays all calls of whole requests under way alike, at each service on their
/// way, and each of them is late.
const WAITING_RATIO: usize = 2;

/// Waiting calls of the mean size that a gate with few slots holds all the same.
const WAITING_LEAST_COUNT: usize = 32;

/// Weight of the newest observation of calls in transit against those before; at a
/// thousand answers a second the mean is 50 ms old.
const TRANSIT_WEIGHT: f64 = 0.02;

/// Calls in transit that are made up for, at most, as part of the limit. A backend
/// server may tell less than it has; beyond this its own queue would fill.
const TRANSIT_RATIO: f64 = 0.25;

/// How long a call waits for the backend server's rate limit, at most. Another one of the service
/// may have room, and is asked sooner.
const LIMIT_WAIT: Duration = Duration::from_millis(250);

/// Place of a waiting call: the most important first, then those that can still be in time, then
/// the one whose answer is due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GateQueueKey {
    priority: Priority,
    whole_priority: Priority,
    is_late: bool,
    due: Duration,
    sequence: u64,
}

impl GateQueueKey {
    /// Its place once its answer can't be in time any more.
    fn when_late(self) -> Self {
        Self {
            is_late: true,
            ..self
        }
    }
}

/// Order in which calls of one rank run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// The one whose answer is due first.
    EarliestDeadline,
    /// The same, but those whose answer can't be in time any more come after all others of their
    /// rank. After a stall they are due first: run first, they would make each call after them late
    /// as well.
    #[default]
    LateLast,
}

/// A call that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Rank of its route.
    pub priority: Priority,
    /// Rank of the whole request that it belongs to. Calls on one route are made for requests
    /// of all ranks; run in the order of their arrival, a service that is short turns away as
    /// many of the important as of the others.
    pub request_priority: Priority,
    /// When its answer is due to be worth most.
    pub soft_deadline: Duration,
    /// When it must have ended.
    pub deadline: Duration,
    /// How long it is expected to run.
    pub run_time: Duration,
}

/// How busy a backend server says it is, in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Calls that it runs.
    pub running_count: usize,
    /// Calls that wait in its own queue.
    pub waiting_count: usize,
}

/// What becomes of a call that asks to run.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// It runs now.
    Run,
    /// It waits in the queue, under this key.
    Wait(GateQueueKey),
    /// It waits, and the least important ones that waited must go.
    Evict(GateQueueKey, Vec<T>),
    /// There is no room, or none before its deadline.
    Refuse(T),
}

/// The queue beside a backend server, most important calls first.
///
/// It answers the pattern in which callers press more calls on a backend server
/// than it has slots. Left to itself, the backend server turns away whatever
/// arrives at a bad moment, and a whole request is lost with one of its eight
/// calls. Here a call waits while its deadline allows, which is hundreds of
/// milliseconds for work of twenty.
#[derive(Debug)]
pub struct HostGate<T> {
    order: QueueOrder,
    limit_count: usize,
    /// Calls that count as running here and are not at the backend server: on their
    /// way to it, or answered and not yet read. On a host whose processor is busy
    /// these are tens of milliseconds of calls.
    in_transit: f64,
    running_count: usize,
    waiting: BTreeMap<GateQueueKey, Waiting<T>>,
    /// Expected work of all that wait.
    waiting_work: Duration,
    last_sequence: u64,
    works: RouteRunTimes,
    server_limit: ServerRateLimit,
}

#[derive(Debug)]
struct Waiting<T> {
    deadline: Duration,
    work: Duration,
    ticket: T,
}

/// What waits ahead of a call.
#[derive(Clone, Copy, Debug, Default)]
struct Ahead {
    calls_count: usize,
    work: Duration,
}

impl<T> Default for HostGate<T> {
    fn default() -> Self {
        Self {
            order: QueueOrder::default(),
            limit_count: 0,
            in_transit: 0.0,
            running_count: 0,
            waiting: BTreeMap::new(),
            waiting_work: Duration::ZERO,
            last_sequence: 0,
            works: RouteRunTimes::default(),
            server_limit: ServerRateLimit::default(),
        }
    }
}

impl<T> HostGate<T> {
    /// Runs calls of one rank in this order.
    #[must_use]
    pub fn order(self, order: QueueOrder) -> Self {
        Self { order, ..self }
    }

    /// Takes the calls of all routes to be alike.
    #[must_use]
    pub fn without_route_run_times(self) -> Self {
        Self {
            works: self.works.without_routes(),
            ..self
        }
    }

    /// Sets how many calls the backend server is to run at the same time.
    pub fn set_limit_count(&mut self, limit_count: usize) {
        self.limit_count = limit_count;
    }

    /// Takes in how busy the backend server says it is.
    ///
    /// A place that is counted from the hand-over until the answer was read stands
    /// empty at the backend server for the time that the call is on its way. With
    /// calls of 23 ms and 3 ms on the way one slot in eight is never used, while
    /// requests are refused for want of slots. So as many calls more are handed over.
    pub fn on_backend_load(&mut self, load: BackendLoad) {
        let there_count = load.running_count.saturating_add(load.waiting_count);
        let observed = self.running_count.saturating_sub(there_count) as f64;
        self.in_transit += TRANSIT_WEIGHT * (observed - self.in_transit);
    }

    /// Calls that may count as running.
    fn limit_count(&self) -> usize {
        let most = TRANSIT_RATIO * self.limit_count as f64;
        self.limit_count + self.in_transit.clamp(0.0, most) as usize
    }

    /// Takes in a call that asks to run.
    pub fn offer(&mut self, now: Duration, call: GateCall, ticket: T) -> Admission<T> {
        let deadline = call.deadline;
        if self.waiting.is_empty() && self.has_room(now) {
            self.begin(now);
            return Admission::Run;
        }
        self.last_sequence += 1;
        let key = GateQueueKey {
            priority: call.priority,
            whole_priority: call.request_priority,
            is_late: self.is_late(now, call.run_time, call.soft_deadline),
            due: call.soft_deadline,
            sequence: self.last_sequence,
        };
        let work = call.run_time;
        let ahead = self.ahead_of(key);
        let limit_wait = self.server_limit.wait(now, ahead.calls_count);
        let wait = self.time_for(ahead.work).max(limit_wait);
        let is_in_time = now + wait + work <= deadline && limit_wait <= LIMIT_WAIT;
        if !is_in_time || !self.has_room_behind(ahead, work) {
            return Admission::Refuse(ticket);
        }
        let waiting = Waiting {
            deadline,
            work,
            ticket,
        };
        self.waiting_work += work;
        self.waiting.insert(key, waiting);
        let evicted = self.evict(now, 1);
        if evicted.is_empty() {
            Admission::Wait(key)
        } else {
            Admission::Evict(key, evicted)
        }
    }

    /// Why a call is refused now.
    pub fn refusal(&self, now: Duration) -> NotRunReason {
        let waiting_count = self.waiting.len();
        if self.server_limit.wait(now, waiting_count) > LIMIT_WAIT {
            NotRunReason::Limited
        } else {
            NotRunReason::Full
        }
    }

    /// Whether one more call may be handed over.
    fn has_room(&self, now: Duration) -> bool {
        self.running_count < self.limit_count() && self.server_limit.has_token(now)
    }

    fn begin(&mut self, now: Duration) {
        self.running_count += 1;
        self.server_limit.take(now);
    }

    /// Whether a call may wait behind those that are more important, whatever waits behind it.
    fn has_room_behind(&self, ahead: Ahead, work: Duration) -> bool {
        let is_first = ahead.calls_count == 0;
        let fits = ahead.calls_count < self.waiting_limit_count()
            && ahead.work + work <= self.waiting_work_limit();
        is_first || fits
    }

    /// Whether the answer to a call can't be in time any more.
    fn is_late(&self, now: Duration, work: Duration, due: Duration) -> bool {
        self.order == QueueOrder::LateLast && now + work > due
    }

    /// Takes out those that would wait too long now that the rate limit is another one.
    pub fn shed(&mut self, now: Duration) -> Vec<T> {
        self.evict(now, 0)
    }

    /// Takes out the least important, until what waits is no more than may wait or so few are
    /// left.
    fn evict(&mut self, now: Duration, least_count: usize) -> Vec<T> {
        let mut evicted = Vec::new();
        while self.waiting.len() > least_count && self.is_too_much(now) {
            let Some((_, last)) = self.waiting.pop_last() else {
                break;
            };
            self.waiting_work = self.waiting_work.saturating_sub(last.work);
            evicted.push(last.ticket);
        }
        evicted
    }

    fn is_too_much(&self, now: Duration) -> bool {
        let last = self.waiting.len().saturating_sub(1);
        self.waiting.len() > self.waiting_limit_count()
            || self.server_limit.wait(now, last) > LIMIT_WAIT
            || self.waiting_work > self.waiting_work_limit()
    }

    /// The call that runs next, if there is room for one; it counts as running.
    pub fn next(&mut self, now: Duration) -> Option<T> {
        if !self.has_room(now) {
            return None;
        }
        while let Some((key, waiting)) = self.waiting.pop_first() {
            if !key.is_late && self.is_late(now, waiting.work, key.due) {
                self.waiting.insert(key.when_late(), waiting);
                continue;
            }
            self.waiting_work = self.waiting_work.saturating_sub(waiting.work);
            if now < waiting.deadline {
                self.begin(now);
                return Some(waiting.ticket);
            }
        }
        None
    }

    /// Time until the backend server's rate limit lets the next call begin; `None` if none waits
    /// for that.
    pub fn rate_limit_wait(&self, now: Duration) -> Option<Duration> {
        let waits = !self.waiting.is_empty() && self.running_count < self.limit_count();
        let wait = self.server_limit.wait(now, 0);
        (waits && !wait.is_zero()).then_some(wait)
    }

    /// Whether a running call that was turned away may be handed over once more.
    pub fn try_forward_again(&mut self, now: Duration) -> bool {
        let has_token = self.server_limit.has_token(now);
        if has_token {
            self.server_limit.take(now);
        }
        has_token
    }

    /// A call that was let run has ended without reaching the backend server.
    pub fn not_forwarded(&mut self, now: Duration) {
        self.ended(None);
        self.server_limit.give_back(now);
    }

    /// A running call has ended; `run` if it tells how long calls of its route run.
    pub fn ended(&mut self, run: Option<RouteRunTime<'_>>) {
        self.running_count = self.running_count.saturating_sub(1);
        if let Some(run) = run {
            self.works.record(run);
        }
    }

    /// Takes a waiting call out, if it still waits.
    pub fn withdraw(&mut self, key: GateQueueKey) -> Option<T> {
        let waiting = self.waiting.remove(&key);
        let waiting = waiting.or_else(|| self.waiting.remove(&key.when_late()))?;
        self.waiting_work = self.waiting_work.saturating_sub(waiting.work);
        Some(waiting.ticket)
    }

    /// Takes out all that wait.
    pub fn withdraw_all(&mut self) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        self.waiting_work = Duration::ZERO;
        waiting
            .into_values()
            .map(|waiting| waiting.ticket)
            .collect()
    }

    /// Mean time that a call takes to run.
    pub fn mean_run_time(&self) -> Duration {
        self.works.mean()
    }

    /// How long calls of each route run.
    pub fn run_times(&self) -> &RouteRunTimes {
        &self.works
    }

    /// The rate limit that the backend server advertises.
    pub fn rate_limit(&self) -> &ServerRateLimit {
        &self.server_limit
    }

    /// The same, to take in what it says.
    pub fn rate_limit_mut(&mut self) -> &mut ServerRateLimit {
        &mut self.server_limit
    }

    /// What decides about the level of whole requests.
    pub fn state(&self) -> GateState {
        GateState {
            slots: self.slots(),
            waiting_work: self.waiting_work,
        }
    }

    /// How busy the backend server is, with the level for whole requests. While no call
    /// has ended it tells no time, which is not the same as a guess. Of failures and
    /// of the machine's pace a gate knows nothing.
    pub fn report(&self, now: Duration, level: f64) -> GateReport {
        let work = if self.works.is_known() {
            self.mean_run_time()
        } else {
            Duration::ZERO
        };
        GateReport {
            level_permille: (level * 1_000.0) as u16,
            failed_permille: 0,
            pace_permille: 0,
            running_count: self.running_count as u32,
            waiting_count: self.waiting.len() as u32,
            limit_count: self.limit_count() as u32,
            work_us: work.as_micros() as u32,
            rate: self.server_limit.report(now, self.waiting.len()),
        }
    }

    /// Calls that run at the same time where as many are handed over as may be.
    fn slots(&self) -> f64 {
        let slots = self.limit_count().max(1) as f64;
        let by_rate = self.server_limit.per_s();
        by_rate.map_or(slots, |per_s| {
            slots.min(per_s * self.mean_run_time().as_secs_f64())
        })
    }

    fn ahead_of(&self, key: GateQueueKey) -> Ahead {
        let ahead = self.waiting.range(..key);
        ahead.fold(Ahead::default(), |ahead, (_, waiting)| Ahead {
            calls_count: ahead.calls_count + 1,
            work: ahead.work + waiting.work,
        })
    }

    /// Time in which this work is done, if all slots do it.
    fn time_for(&self, work: Duration) -> Duration {
        work.div_f64(self.limit_count().max(1) as f64)
    }

    fn waiting_work_limit(&self) -> Duration {
        let limit_count = self.waiting_limit_count() as f64;
        self.works.mean().mul_f64(limit_count)
    }

    fn waiting_limit_count(&self) -> usize {
        WAITING_LEAST_COUNT.max(self.limit_count() * WAITING_RATIO)
    }
}
