//! Admission queue in front of the backend server of a host.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::routed::{GateReport, NotRunReason, Priority};

use super::{GateState, RouteRunTime, RouteRunTimes, ServerRateLimit};

/// Limit of the queue as a multiple of the concurrency limit, counted in calls of mean run time.
///
/// With 2 a call waits for at most twice the run time of a call. A longer queue would delay every
/// call of the requests in flight, at each service that they reach, and make all of them late.
const QUEUE_LIMIT_RATIO: usize = 2;

/// Smallest limit of the queue, for gates with few slots; counted in calls of mean run time.
const MIN_QUEUE_LIMIT_COUNT: usize = 32;

/// Weight of a new sample in the moving average of calls in transit; at a thousand answers a
/// second the average lags by 50 ms.
const TRANSIT_WEIGHT: f64 = 0.02;

/// Upper bound of the allowance for calls in transit, as a ratio of the concurrency limit.
///
/// A backend server may report fewer calls than it has; a larger allowance would then fill its
/// own queue.
const MAX_TRANSIT_RATIO: f64 = 0.25;

/// Longest wait for the rate limit of the backend server; calls that would wait longer are refused.
///
/// Another backend server of the service may have room, and a refused call reaches it sooner.
const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_millis(250);

/// Position of a call in the queue.
///
/// Calls are ordered by the priority of their route, then by the priority of their root request.
/// Calls of equal priorities that can still meet their soft deadline come before late ones, and
/// then the earliest soft deadline comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GateQueueKey {
    priority: Priority,
    request_priority: Priority,
    is_late: bool,
    soft_deadline: Duration,
    sequence: u64,
}

impl GateQueueKey {
    /// The position of the call once it can't meet its soft deadline any more.
    fn into_late(self) -> Self {
        Self {
            is_late: true,
            ..self
        }
    }
}

/// Order in which waiting calls of equal priorities run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// The earliest soft deadline first.
    EarliestDeadline,
    /// The earliest soft deadline first, but calls that can't meet theirs any more come last.
    ///
    /// After a stall the late calls have the earliest deadlines. Run first, they would make every
    /// call behind them late as well.
    #[default]
    LateLast,
}

/// A call that is offered to the gate.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Priority of its route.
    pub priority: Priority,
    /// Priority of the root request that it belongs to.
    ///
    /// Calls on one route are made for root requests of all priorities. In order of arrival,
    /// an overloaded service would refuse as many important ones as others.
    pub request_priority: Priority,
    /// Time by which it should be answered for the answer to have its full value.
    pub soft_deadline: Duration,
    /// Time at which it times out.
    pub deadline: Duration,
    /// Expected run time.
    pub run_time: Duration,
}

/// Load that a backend server reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Calls that it is running.
    pub running_count: usize,
    /// Calls that wait in its own queue.
    pub waiting_count: usize,
}

/// Decision on a call that was offered to the gate.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// It runs now.
    Run,
    /// It waits in the queue at this position.
    Wait(GateQueueKey),
    /// It waits, and these calls of the least importance were evicted from the queue.
    Evict(GateQueueKey, Vec<T>),
    /// It is refused: the queue is full, or it couldn't finish before its deadline.
    Refuse(T),
}

/// Concurrency limit and priority queue in front of a backend server.
///
/// It protects against callers that send more calls at a time than the backend server has slots.
/// Without a queue the backend server rejects whatever arrives while its slots are busy, and a
/// root request fails with any one of its eight calls. Here a call waits as long as its deadline
/// allows, which is hundreds of milliseconds for calls that run for twenty.
#[derive(Debug)]
pub struct HostGate<T> {
    order: QueueOrder,
    limit_count: usize,
    /// Moving average of calls that count as running here but aren't at the backend server: on
    /// their way to it, or answered but not read yet. On a host with a busy processor these are
    /// the calls of tens of milliseconds.
    in_transit_count: f64,
    running_count: usize,
    waiting: BTreeMap<GateQueueKey, Waiting<T>>,
    /// Sum of the expected run times of all waiting calls.
    waiting_work: Duration,
    last_sequence: u64,
    run_times: RouteRunTimes,
    rate_limit: ServerRateLimit,
}

#[derive(Debug)]
struct Waiting<T> {
    deadline: Duration,
    run_time: Duration,
    ticket: T,
}

/// Calls that wait ahead of a position in the queue, and the sum of their run times.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedAhead {
    calls_count: usize,
    work: Duration,
}

impl<T> Default for HostGate<T> {
    fn default() -> Self {
        Self {
            order: QueueOrder::default(),
            limit_count: 0,
            in_transit_count: 0.0,
            running_count: 0,
            waiting: BTreeMap::new(),
            waiting_work: Duration::ZERO,
            last_sequence: 0,
            run_times: RouteRunTimes::default(),
            rate_limit: ServerRateLimit::default(),
        }
    }
}

impl<T> HostGate<T> {
    /// Sets the order in which waiting calls of equal priorities run.
    #[must_use]
    pub fn order(self, order: QueueOrder) -> Self {
        Self { order, ..self }
    }

    /// Ignores the route of calls when run times are estimated.
    #[must_use]
    pub fn without_route_run_times(self) -> Self {
        Self {
            run_times: self.run_times.without_routes(),
            ..self
        }
    }

    /// Sets the concurrency limit of the backend server.
    pub fn set_limit_count(&mut self, limit_count: usize) {
        self.limit_count = limit_count;
    }

    /// Updates the average of calls in transit from the load that the backend server reports.
    ///
    /// A slot counts as taken here from the moment a call is forwarded until its answer was read,
    /// but is idle at the backend server while the call is in transit. With calls of 23 ms and
    /// 3 ms in transit one slot in eight would never be used, while requests are refused for lack
    /// of slots. Therefore as many more calls are forwarded as are in transit.
    pub fn on_backend_load(&mut self, load: BackendLoad) {
        let at_backend_count = load.running_count.saturating_add(load.waiting_count);
        let observed = self.running_count.saturating_sub(at_backend_count) as f64;
        self.in_transit_count += TRANSIT_WEIGHT * (observed - self.in_transit_count);
    }

    /// The concurrency limit with the allowance for calls in transit.
    fn effective_limit_count(&self) -> usize {
        let max_count = MAX_TRANSIT_RATIO * self.limit_count as f64;
        self.limit_count + self.in_transit_count.clamp(0.0, max_count) as usize
    }

    /// Runs a call, queues it, or refuses it.
    pub fn offer(&mut self, now: Duration, call: GateCall, ticket: T) -> Admission<T> {
        let deadline = call.deadline;
        if self.waiting.is_empty() && self.has_room(now) {
            self.begin_call(now);
            return Admission::Run;
        }
        self.last_sequence += 1;
        let key = GateQueueKey {
            priority: call.priority,
            request_priority: call.request_priority,
            is_late: self.is_late(now, call.run_time, call.soft_deadline),
            soft_deadline: call.soft_deadline,
            sequence: self.last_sequence,
        };
        let run_time = call.run_time;
        let ahead = self.sum_ahead(key);
        let limit_wait = self.rate_limit.wait(now, ahead.calls_count);
        let wait = self.time_to_run(ahead.work).max(limit_wait);
        let is_in_time = now + wait + run_time <= deadline && limit_wait <= MAX_RATE_LIMIT_WAIT;
        if !is_in_time || !self.has_queue_room(ahead, run_time) {
            return Admission::Refuse(ticket);
        }
        let waiting = Waiting {
            deadline,
            run_time,
            ticket,
        };
        self.waiting_work += run_time;
        self.waiting.insert(key, waiting);
        let evicted = self.evict(now, 1);
        if evicted.is_empty() {
            Admission::Wait(key)
        } else {
            Admission::Evict(key, evicted)
        }
    }

    /// The reason to give for a call that is refused now.
    pub fn refusal(&self, now: Duration) -> NotRunReason {
        let waiting_count = self.waiting.len();
        if self.rate_limit.wait(now, waiting_count) > MAX_RATE_LIMIT_WAIT {
            NotRunReason::Limited
        } else {
            NotRunReason::Full
        }
    }

    /// Whether one more call may be forwarded to the backend server.
    fn has_room(&self, now: Duration) -> bool {
        self.running_count < self.effective_limit_count() && self.rate_limit.has_token(now)
    }

    fn begin_call(&mut self, now: Duration) {
        self.running_count += 1;
        self.rate_limit.take(now);
    }

    /// Whether the queue has room for a call behind those ahead of it.
    ///
    /// Calls behind it don't count, as they can be evicted. The first in the queue always has room.
    fn has_queue_room(&self, ahead: QueuedAhead, run_time: Duration) -> bool {
        let is_first = ahead.calls_count == 0;
        let fits = ahead.calls_count < self.queue_limit_count()
            && ahead.work + run_time <= self.queue_work_limit();
        is_first || fits
    }

    /// Whether a call that started now would miss its soft deadline; always `false` with
    /// [`QueueOrder::EarliestDeadline`].
    fn is_late(&self, now: Duration, run_time: Duration, soft_deadline: Duration) -> bool {
        self.order == QueueOrder::LateLast && now + run_time > soft_deadline
    }

    /// Evicts the calls that would wait too long after a change of the rate limit.
    pub fn shed(&mut self, now: Duration) -> Vec<T> {
        self.evict(now, 0)
    }

    /// Evicts the least important calls until the queue is within its limits or only `keep_count`
    /// calls are left.
    fn evict(&mut self, now: Duration, keep_count: usize) -> Vec<T> {
        let mut evicted = Vec::new();
        while self.waiting.len() > keep_count && self.exceeds_limits(now) {
            let Some((_, last)) = self.waiting.pop_last() else {
                break;
            };
            self.waiting_work = self.waiting_work.saturating_sub(last.run_time);
            evicted.push(last.ticket);
        }
        evicted
    }

    fn exceeds_limits(&self, now: Duration) -> bool {
        let last = self.waiting.len().saturating_sub(1);
        self.waiting.len() > self.queue_limit_count()
            || self.rate_limit.wait(now, last) > MAX_RATE_LIMIT_WAIT
            || self.waiting_work > self.queue_work_limit()
    }

    /// Takes the next call to run out of the queue, if there is room; it counts as running.
    ///
    /// Calls beyond their deadline are dropped.
    pub fn next(&mut self, now: Duration) -> Option<T> {
        if !self.has_room(now) {
            return None;
        }
        while let Some((key, waiting)) = self.waiting.pop_first() {
            if !key.is_late && self.is_late(now, waiting.run_time, key.soft_deadline) {
                self.waiting.insert(key.into_late(), waiting);
                continue;
            }
            self.waiting_work = self.waiting_work.saturating_sub(waiting.run_time);
            if now < waiting.deadline {
                self.begin_call(now);
                return Some(waiting.ticket);
            }
        }
        None
    }

    /// Time until the rate limit lets the next call begin; `None` if no call waits for the rate
    /// limit.
    pub fn rate_limit_wait(&self, now: Duration) -> Option<Duration> {
        let waits = !self.waiting.is_empty() && self.running_count < self.effective_limit_count();
        let wait = self.rate_limit.wait(now, 0);
        (waits && !wait.is_zero()).then_some(wait)
    }

    /// Takes a rate limit token to forward a running call again that was rejected; `false` if there
    /// is none.
    pub fn try_forward_again(&mut self, now: Duration) -> bool {
        let has_token = self.rate_limit.has_token(now);
        if has_token {
            self.rate_limit.take(now);
        }
        has_token
    }

    /// Records that a running call ended without reaching the backend server, and returns its rate
    /// limit token.
    pub fn not_forwarded(&mut self, now: Duration) {
        self.ended(None);
        self.rate_limit.give_back(now);
    }

    /// Records that a running call has ended, with its run time if that is representative of its
    /// route.
    pub fn ended(&mut self, run: Option<RouteRunTime<'_>>) {
        self.running_count = self.running_count.saturating_sub(1);
        if let Some(run) = run {
            self.run_times.record(run);
        }
    }

    /// Removes a call from the queue; `None` if it isn't waiting any more.
    pub fn withdraw(&mut self, key: GateQueueKey) -> Option<T> {
        let waiting = self.waiting.remove(&key);
        let waiting = waiting.or_else(|| self.waiting.remove(&key.into_late()))?;
        self.waiting_work = self.waiting_work.saturating_sub(waiting.run_time);
        Some(waiting.ticket)
    }

    /// Removes all calls from the queue.
    pub fn withdraw_all(&mut self) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        self.waiting_work = Duration::ZERO;
        waiting
            .into_values()
            .map(|waiting| waiting.ticket)
            .collect()
    }

    /// Mean run time of a call.
    pub fn mean_run_time(&self) -> Duration {
        self.run_times.mean()
    }

    /// Mean run times by route.
    pub fn run_times(&self) -> &RouteRunTimes {
        &self.run_times
    }

    /// The rate limit that the backend server advertises.
    pub fn rate_limit(&self) -> &ServerRateLimit {
        &self.rate_limit
    }

    /// The rate limit, for updates from answers and callers.
    pub fn rate_limit_mut(&mut self) -> &mut ServerRateLimit {
        &mut self.rate_limit
    }

    /// Load of the gate, from which the [`LevelController`](super::LevelController) sets the
    /// admission level.
    pub fn state(&self) -> GateState {
        GateState {
            slots: self.slots(),
            waiting_work: self.waiting_work,
        }
    }

    /// The report for callers, with the admission level for root requests.
    ///
    /// Until a call has ended the run time is 0 for unknown, not the default. The failure ratio and
    /// the slowdown of the machine are left 0, as the gate doesn't know them.
    pub fn report(&self, now: Duration, level: f64) -> GateReport {
        let run_time = if self.run_times.is_known() {
            self.mean_run_time()
        } else {
            Duration::ZERO
        };
        GateReport {
            level_permille: (level * 1_000.0) as u16,
            failed_permille: 0,
            slowdown_permille: 0,
            running_count: self.running_count as u32,
            waiting_count: self.waiting.len() as u32,
            limit_count: self.effective_limit_count() as u32,
            work_us: run_time.as_micros() as u32,
            rate: self.rate_limit.report(now, self.waiting.len()),
        }
    }

    /// Calls that run concurrently when both the concurrency limit and the rate limit are used up.
    fn slots(&self) -> f64 {
        let slots = self.effective_limit_count().max(1) as f64;
        let by_rate = self.rate_limit.per_s();
        by_rate.map_or(slots, |per_s| {
            slots.min(per_s * self.mean_run_time().as_secs_f64())
        })
    }

    fn sum_ahead(&self, key: GateQueueKey) -> QueuedAhead {
        let ahead = self.waiting.range(..key);
        ahead.fold(QueuedAhead::default(), |ahead, (_, waiting)| QueuedAhead {
            calls_count: ahead.calls_count + 1,
            work: ahead.work + waiting.run_time,
        })
    }

    /// Time to do this work with all slots.
    fn time_to_run(&self, work: Duration) -> Duration {
        work.div_f64(self.effective_limit_count().max(1) as f64)
    }

    fn queue_work_limit(&self) -> Duration {
        let limit_count = self.queue_limit_count() as f64;
        self.run_times.mean().mul_f64(limit_count)
    }

    fn queue_limit_count(&self) -> usize {
        MIN_QUEUE_LIMIT_COUNT.max(self.effective_limit_count() * QUEUE_LIMIT_RATIO)
    }
}
