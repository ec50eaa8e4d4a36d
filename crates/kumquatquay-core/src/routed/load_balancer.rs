//! Chooses the backend server for a call.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    BackendLife, MemberRecord, MemberState, ServiceName,
    routed::{GateReport, KnownLimit, RateReport},
};
use rand::{Rng, seq::IndexedRandom};

use super::{
    Mechanism, Mechanisms, OutlierChange, outlier_detector::OutlierDetector,
    reported_lives::ReportedLives,
};

/// How long a gate's report counts; after that only this node's own calls do.
const REPORT_LAPSE: Duration = Duration::from_secs(1);

/// Weight of a new result against the ones before.
const NEW_WEIGHT: f64 = 0.1;

/// How long a host is left out after its link was lost, at first.
const LOST_PAUSE: Duration = Duration::from_millis(300);

/// How long it is left out at most; then one call tries it again.
const LOST_PAUSE_LONGEST: Duration = Duration::from_secs(2);

/// How long a host is left out after it said that its backend server takes
/// nothing; the news of it arrives in that time.
const CLOSED_PAUSE: Duration = Duration::from_millis(500);

/// How long a host is left out at least and at most after it said that its backend server takes
/// no more calls a second; in between it is the time until it takes the next one.
const LIMITED_PAUSE_LEAST: Duration = Duration::from_millis(20);
const LIMITED_PAUSE_LONGEST: Duration = Duration::from_secs(2);

/// Fill of the own data centre's choice above which another one's is weighed.
///
/// Work that stays in its data centre costs no bytes between them. Beyond this fill
/// calls begin to wait now and then, and the gates of a service should share its
/// load by what each can do.
const SPILL_FILL_RATIO: f64 = 0.6;

/// Cost of the own data centre's choice, over the mean of the others, from which on those
/// are weighed whatever its fill.
///
/// A backend server that turns twelve times slower is still half empty; chosen for being
/// near, it takes each call into its timeout for as long as it is slow. Backend servers of
/// one service differ by up to 2.3 when all is well.
const SLOW_RATIO: f64 = 2.5;

/// Fill above which a backend server counts as crowded.
///
/// A slow backend server answers later even when it is half empty. Compared by the
/// expected time alone it stays half empty while the fast ones have queues, and
/// their gates refuse whole requests for want of slots.
const CROWDED_FILL_RATIO: f64 = 0.8;

/// What fill beyond that costs, in seconds for each whole fill: 25 ms for a
/// twentieth. It is the same for slow and fast servers, so that among crowded ones the
/// emptier is chosen; work differs by some 20 ms between the slowest and the fastest.
const CROWDED_S: f64 = 0.5;

/// What a longer way costs in the comparison: a few network round trips.
const OTHER_DATA_CENTRE_S: f64 = 0.004;

/// Weight of a host's share of failures: a host that fails each call looks as
/// slow as one that needs this many times the work.
const FAILURE_WEIGHT: f64 = 20.0;

/// Time to run a call that is assumed while no host of a service has told.
const FIRST_WORK_S: f64 = 0.05;

/// One call in so many that may run again goes to a backend server that is left nearly alone,
/// to find out whether it is well again.
const TRIAL_INTERVAL_COUNT: u32 = 500;

/// Calls a second that a limited backend server is taken to take at least; what is divided by them
/// must stay finite.
const LEAST_PER_S: f64 = 0.01;

/// Candidates that are compared, of each kind.
const COMPARED_COUNT: usize = 2;

/// A backend server and the node beside it, as this node's own calls see them.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Where the node takes calls from other nodes.
    pub peer: SocketAddr,
    /// The backend server's life.
    pub life: Option<BackendLife>,
    service: ServiceName,
    is_own_data_centre: bool,
    slots_count: u32,
    outstanding_count: u32,
    report: GateReport,
    report_told: Option<Duration>,
    sent_since_report_count: u32,
    failed_ratio: f64,
    closed_until: Duration,
    lost_pause: Duration,
    /// Whether its backend server has told this node that it leaves.
    is_leaving: bool,
    /// Until when the rate limit of its backend server leaves no room.
    limited_until: Duration,
    /// Whether its node can't be reached.
    is_lost: bool,
}

/// The host that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedEndpoint {
    /// Control address of the node; names the target.
    pub control: SocketAddr,
    /// Where the node takes calls from other nodes.
    pub peer: SocketAddr,
    /// The backend server's life.
    pub life: Option<BackendLife>,
    /// Mean time that it takes to run a call.
    pub mean_run_time: Duration,
    /// The rate limit that the backend server told this node.
    pub known_limit: Option<KnownLimit>,
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointResult {
    /// The backend server answered.
    Answered,
    /// The backend server failed it or turned it away.
    Failed,
    /// The gate had no room.
    GateFull,
    /// The backend server takes no more calls a second.
    RateLimited,
    /// The host takes nothing for that backend server.
    Unavailable,
    /// The link to the host was lost or could not be made.
    Unreachable,
    /// This node gave the call up.
    Cancelled,
}

/// The backend servers of all services.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    mechanisms: Mechanisms,
    targets: HashMap<SocketAddr, Endpoint>,
    services: BTreeMap<ServiceName, Vec<SocketAddr>>,
    /// Backend servers that fail more than their peers, by service.
    out_of_line: HashMap<ServiceName, OutlierDetector>,
    line_changes: Vec<OutlierChange>,
    told_lives: ReportedLives,
}

impl LoadBalancer {
    /// A table that decides by these mechanisms.
    pub fn new(mechanisms: Mechanisms) -> Self {
        Self {
            mechanisms,
            ..Self::default()
        }
    }

    /// Takes in the members as they are now; what is known of those that stay
    /// is kept.
    pub fn rebuild<'a>(
        &mut self,
        own_data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        self.services.clear();
        for record in members {
            let takes_calls = matches!(record.state, MemberState::Serving | MemberState::Warming);
            let Some(service) = record.service.as_ref().filter(|_| takes_calls) else {
                continue;
            };
            let same_life = known
                .remove(&record.control)
                .filter(|target| target.life == record.life && target.peer == record.peer);
            let target = same_life
                .filter(|target| target.service == *service)
                .unwrap_or_else(|| {
                    Endpoint::new(record, service, own_data_centre, &self.told_lives)
                });
            self.targets.insert(record.control, target);
            let controls = self.services.entry(service.clone()).or_default();
            controls.push(record.control);
        }
        self.out_of_line
            .retain(|service, _| self.services.contains_key(service));
        let services: Vec<ServiceName> = self.out_of_line.keys().cloned().collect();
        for service in services {
            self.refresh_out_of_line(&service);
        }
    }

    /// Services that are known.
    pub fn services_count(&self) -> usize {
        self.services.len()
    }

    /// Whether the backend server of a service fails far more runs than its peers.
    pub fn is_ejected(&self, service: &str, control: SocketAddr) -> bool {
        let out_of_line = self.out_of_line.get(service);
        out_of_line.is_some_and(|known| known.contains(control))
    }

    /// Those that fail more than their peers; there are none with the mechanism off.
    fn refresh_out_of_line(&mut self, service: &str) {
        if !self.mechanisms.is_on(Mechanism::OutlierEjection) {
            return;
        }
        let controls = self.services.get(service).into_iter().flatten();
        let told: Vec<(SocketAddr, f64)> = controls
            .map(|control| (*control, self.targets[control].report.failed_ratio()))
            .collect();
        let known = self.out_of_line.entry(ServiceName::from(service));
        let changes = known.or_default().refresh(service, &told);
        self.line_changes.extend(changes);
    }

    /// Backend servers that were left nearly alone, or called again, since this was asked last.
    pub fn take_outlier_changes(&mut self) -> Vec<OutlierChange> {
        std::mem::take(&mut self.line_changes)
    }

    /// The best backend server of a service for a call that was not yet sent to
    /// those in `excluded`; it counts as sent. A call that `may_repeat` may be the one that
    /// tries a server that failed.
    pub fn pick(
        &mut self,
        now: Duration,
        service: &str,
        excluded: &[SocketAddr],
        may_repeat: bool,
        random: &mut impl Rng,
    ) -> Option<PickedEndpoint> {
        let controls = self.services.get(service)?;
        let open = controls
            .iter()
            .copied()
            .filter(|control| !excluded.contains(control) && self.targets[control].is_open(now));
        let (failing, sound): (Vec<_>, Vec<_>) =
            open.partition(|control| self.is_ejected(service, *control));
        let tries_failing = may_repeat && random.random_ratio(1, TRIAL_INTERVAL_COUNT);
        let open = if sound.is_empty() || (tries_failing && !failing.is_empty()) {
            failing
        } else {
            sound
        };
        let (near, far): (Vec<_>, Vec<_>) = open
            .into_iter()
            .partition(|control| self.targets[control].is_own_data_centre);
        let best_near = self.best_of_some(now, &near, random);
        let near_will_do = best_near.is_some_and(|control| self.will_do(now, control, &far));
        let best = if near_will_do {
            best_near
        } else {
            let best_far = self.best_of_some(now, &far, random);
            let both = best_near.into_iter().chain(best_far);
            both.min_by(|a, b| self.cost_s(now, *a).total_cmp(&self.cost_s(now, *b)))
        };
        let control = best?;
        let work_s = self.work_s(control);
        let target = self.targets.get_mut(&control)?;
        target.outstanding_count += 1;
        target.sent_since_report_count += 1;
        let known_limit = target.life.as_ref();
        let known_limit = known_limit.and_then(|life| self.told_lives.limit(now, life));
        Some(PickedEndpoint {
            control,
            peer: target.peer,
            life: target.life.clone(),
            mean_run_time: Duration::from_secs_f64(work_s),
            known_limit,
        })
    }

    /// A call to a target ended.
    pub fn on_ended(
        &mut self,
        now: Duration,
        control: SocketAddr,
        how: EndpointResult,
        report: Option<GateReport>,
    ) {
        let Some(target) = self.targets.get_mut(&control) else {
            return;
        };
        target.outstanding_count = target.outstanding_count.saturating_sub(1);
        let is_other_ratio =
            report.is_some_and(|report| report.failed_permille != target.report.failed_permille);
        if let Some(report) = report {
            target.report = report;
            target.report_told = Some(now);
            target.sent_since_report_count = 0;
        }
        match how {
            EndpointResult::Answered => {
                target.failed_ratio -= NEW_WEIGHT * target.failed_ratio;
                target.lost_pause = LOST_PAUSE;
            }
            EndpointResult::Failed => {
                target.failed_ratio += NEW_WEIGHT * (1.0 - target.failed_ratio)
            }
            EndpointResult::Unavailable => target.closed_until = now + CLOSED_PAUSE,
            EndpointResult::Unreachable => {
                target.closed_until = now + target.lost_pause;
                target.lost_pause = (target.lost_pause * 2).min(LOST_PAUSE_LONGEST);
            }
            EndpointResult::RateLimited => {
                let wait = target.report.rate.map(|rate| rate.wait());
                let pause = wait.unwrap_or_default();
                let pause = pause.clamp(LIMITED_PAUSE_LEAST, LIMITED_PAUSE_LONGEST);
                target.limited_until = now + pause;
            }
            EndpointResult::GateFull | EndpointResult::Cancelled => {}
        }
        if is_other_ratio {
            let service = target.service.clone();
            self.refresh_out_of_line(&service);
        }
    }

    /// A backend server has told this node its rate limit with an answer, or that it has none. It
    /// is remembered also while the host isn't a target.
    pub fn on_rate_limit(&mut self, now: Duration, life: &BackendLife, rate: Option<RateReport>) {
        self.told_lives.on_limit(now, life, rate);
    }

    /// A backend server has told this node that it leaves; it gets no calls from here any more,
    /// whatever its host tells of it later. Whether that is news.
    pub fn on_leaving(&mut self, now: Duration, life: &BackendLife) -> bool {
        if self.told_lives.is_leaving(life) {
            return false;
        }
        self.told_lives.on_leaving(now, life);
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| target.life.as_ref() == Some(life)) {
            target.is_leaving = true;
        }
        true
    }

    /// Whether backend servers of a service are left out now because they take no more calls a
    /// second.
    pub fn is_rate_limited(&self, now: Duration, service: &str) -> bool {
        let controls = self.services.get(service).into_iter().flatten();
        let mut targets = controls.map(|control| &self.targets[control]);
        targets.any(|target| now < target.limited_until)
    }

    /// A node can't be reached; it gets no calls until it is [`reached`](Self::reached).
    /// Whether it is known here.
    pub fn mark_unreachable(&mut self, peer: SocketAddr) -> bool {
        let mut is_known = false;
        for target in self.targets.values_mut() {
            if target.peer == peer {
                target.is_lost = true;
                is_known = true;
            }
        }
        is_known
    }

    /// A node that could not be reached has answered.
    pub fn mark_reachable(&mut self, peer: SocketAddr) {
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| target.peer == peer) {
            target.is_lost = false;
            target.closed_until = Duration::ZERO;
            target.lost_pause = LOST_PAUSE;
        }
    }

    fn best_of_some(
        &self,
        now: Duration,
        controls: &[SocketAddr],
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let some = controls.choose_multiple(random, COMPARED_COUNT).copied();
        some.min_by(|a, b| self.cost_s(now, *a).total_cmp(&self.cost_s(now, *b)))
    }

    /// Whether the own data centre's choice is good enough for no other to be weighed.
    fn will_do(&self, now: Duration, control: SocketAddr, far: &[SocketAddr]) -> bool {
        if self.targets[&control].fill_ratio(now) >= SPILL_FILL_RATIO {
            return false;
        }
        let is_on = self.mechanisms.is_on(Mechanism::SlowLocalSpillover);
        !is_on || self.cost_s(now, control) < SLOW_RATIO * self.mean_cost_s(now, far)
    }

    /// Mean cost of a call at some hosts; endless if there are none.
    fn mean_cost_s(&self, now: Duration, controls: &[SocketAddr]) -> f64 {
        if controls.is_empty() {
            return f64::INFINITY;
        }
        let costs = controls.iter().map(|control| self.cost_s(now, *control));
        costs.sum::<f64>() / controls.len() as f64
    }

    fn cost_s(&self, now: Duration, control: SocketAddr) -> f64 {
        let crowding = if self.mechanisms.is_on(Mechanism::Crowding) {
            CROWDED_S
        } else {
            0.0
        };
        self.targets[&control].cost_s(now, self.work_s(control), crowding)
    }

    /// Mean time to run a call, as the gate has told, or as those of its service have.
    ///
    /// A backend server that has joined has told nothing. Taken to be slower than its
    /// peers it would never be called, and so would never tell.
    fn work_s(&self, control: SocketAddr) -> f64 {
        let target = &self.targets[&control];
        if let Some(told_s) = target.told_work_s() {
            return told_s;
        }
        if !self.mechanisms.is_on(Mechanism::PeerRunTime) {
            return FIRST_WORK_S;
        }
        let peers = self.services.get(&target.service);
        let told = peers.into_iter().flatten();
        let told = told.filter_map(|peer| self.targets[peer].told_work_s());
        let (sum_s, count) = told.fold((0.0, 0_u32), |(sum, count), work| (sum + work, count + 1));
        if count == 0 {
            return FIRST_WORK_S;
        }
        sum_s / f64::from(count)
    }
}

impl Endpoint {
    fn new(
        record: &MemberRecord,
        service: &str,
        own_data_centre: &str,
        told_lives: &ReportedLives,
    ) -> Self {
        let life = record.life.as_ref();
        Self {
            is_leaving: life.is_some_and(|life| told_lives.is_leaving(life)),
            peer: record.peer,
            life: record.life.clone(),
            service: ServiceName::from(service),
            is_own_data_centre: record.data_centre == own_data_centre,
            slots_count: record.slots_count,
            outstanding_count: 0,
            report: GateReport::default(),
            report_told: None,
            sent_since_report_count: 0,
            failed_ratio: 0.0,
            closed_until: Duration::ZERO,
            lost_pause: LOST_PAUSE,
            limited_until: Duration::ZERO,
            is_lost: false,
        }
    }

    fn is_open(&self, now: Duration) -> bool {
        !self.is_lost && !self.is_leaving && self.closed_until <= now && self.limited_until <= now
    }

    /// Calls at the backend server over those that it runs, as far as is known:
    /// the last report with what was sent since, and never less than what this
    /// node itself has there.
    fn fill_ratio(&self, now: Duration) -> f64 {
        let limit = self.slots();
        let own = f64::from(self.outstanding_count) / limit;
        let is_fresh = self
            .report_told
            .is_some_and(|told| now < told + REPORT_LAPSE);
        if !is_fresh {
            return own;
        }
        let sent = f64::from(self.sent_since_report_count) / limit;
        own.max(self.report.fill_ratio() + sent)
    }

    /// Calls that it runs at the same time, under its rate limit if there is one.
    fn slots(&self) -> f64 {
        let limit_count = self.report.limit_count.max(self.slots_count);
        let report = GateReport {
            limit_count,
            ..self.report
        };
        report.slots()
    }

    /// Time until its rate limit lets one more call begin, as far as is known.
    fn limit_wait_s(&self, now: Duration) -> f64 {
        let Some(rate) = self.report.rate else {
            return 0.0;
        };
        let sent_s = f64::from(self.sent_since_report_count) / rate.limit_per_s().max(LEAST_PER_S);
        let passed = now.saturating_sub(self.report_told.unwrap_or_default());
        (rate.wait().as_secs_f64() + sent_s - passed.as_secs_f64()).max(0.0)
    }

    /// Mean time to run a call, if the gate has told it.
    fn told_work_s(&self) -> Option<f64> {
        let told_s = self.report.work().as_secs_f64();
        (told_s > 0.0).then_some(told_s)
    }

    /// Time until the answer to one more call, with failures counted as delay.
    fn cost_s(&self, now: Duration, work_s: f64, crowding: f64) -> f64 {
        let fill = self.fill_ratio(now);
        let wait_s = work_s * (fill - 1.0).max(0.0);
        let crowded = (fill - CROWDED_FILL_RATIO).max(0.0);
        let crowding_s = work_s * fill.min(1.0) / 2.0 + crowding * crowded;
        let failure_s = work_s * FAILURE_WEIGHT * self.failed_ratio;
        let way_s = if self.is_own_data_centre {
            0.0
        } else {
            OTHER_DATA_CENTRE_S
        };
        let wait_s = wait_s.max(self.limit_wait_s(now));
        work_s + wait_s + crowding_s + failure_s + way_s
    }
}
