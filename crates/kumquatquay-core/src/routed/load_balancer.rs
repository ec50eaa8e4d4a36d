//! Picks the backend server for a call.

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

/// How long the report of a gate is used; after that only the calls of this node count.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// How long a reported run time that is longer than that of the peers keeps calls away.
const RUN_TIME_TTL: Duration = Duration::from_secs(5);

/// Weight of a new result in the moving average of failures.
const NEW_WEIGHT: f64 = 0.1;

/// How long a host is excluded after its link was lost; doubles with each further loss until a
/// call is answered.
const MIN_UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

/// Longest exclusion of a host after its link was lost; then a call tries it again.
const MAX_UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// How long a host is excluded after it reported that its backend server takes no calls; by then
/// the membership has spread the change.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(500);

/// Bounds of the exclusion of a host whose backend server is at its rate limit; between them it
/// lasts until the rate limit allows the next call.
const MIN_RATE_LIMIT_PAUSE: Duration = Duration::from_millis(20);
const MAX_RATE_LIMIT_PAUSE: Duration = Duration::from_secs(2);

/// Fill of the best local endpoint from which on remote ones are considered too.
///
/// Calls within a data centre cause no traffic between data centres. At a higher fill calls begin
/// to wait now and then, and all gates of a service should share its load by their capacity.
const SPILL_FILL_RATIO: f64 = 0.6;

/// Ratio of the cost of the best local endpoint to the mean cost of the remote ones from which on
/// these are considered at any fill.
///
/// A backend server that becomes twelve times slower may still be half empty. Picked because it
/// is local, it would make every call time out for as long as it is slow. Healthy backend servers
/// of one service differ by up to 2.3.
const SLOW_LOCAL_RATIO: f64 = 2.5;

/// Fill above which a backend server is penalised as crowded.
///
/// A slow backend server answers later even when it is half empty. Compared by the expected
/// latency alone it would stay half empty while the fast ones have queues, and their gates would
/// refuse root requests for lack of slots.
const CROWDED_FILL_RATIO: f64 = 0.8;

/// Penalty per unit of fill above [`CROWDED_FILL_RATIO`], in seconds: 25 ms for a twentieth.
///
/// It is the same for slow and fast backend servers, so that the emptier of two crowded ones is
/// picked; their run times differ by some 20 ms.
const CROWDED_PENALTY_S: f64 = 0.5;

/// Penalty of an endpoint in another data centre: a few network round trips.
const REMOTE_PENALTY_S: f64 = 0.004;

/// Penalty for failures: a host that fails every call costs as much as one whose run time is
/// longer by this multiple.
const FAILURE_WEIGHT: f64 = 20.0;

/// Run time that is assumed for a call until a host of the service reports one.
const DEFAULT_RUN_TIME_S: f64 = 0.05;

/// One of this many calls that may run more than once goes to an ejected backend server, to
/// probe whether it has recovered.
const PROBE_INTERVAL_COUNT: u32 = 500;

/// Lower bound of a rate limit, to avoid a division by zero.
const MIN_RATE_PER_S: f64 = 0.01;

/// Random candidates that are compared, of the local and of the remote endpoints each.
const SAMPLE_COUNT: usize = 2;

/// A backend server and the node of its host, as seen by the calls of this node.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address at which the node accepts calls from other nodes.
    pub peer: SocketAddr,
    /// Life of the backend server, if it is known.
    pub life: Option<BackendLife>,
    service: ServiceName,
    is_own_data_centre: bool,
    slots_count: u32,
    outstanding_count: u32,
    report: GateReport,
    reported_at: Option<Duration>,
    sent_since_report_count: u32,
    failed_ratio: f64,
    unavailable_until: Duration,
    unreachable_pause: Duration,
    /// Whether the backend server has announced to this node that it is leaving.
    is_leaving: bool,
    /// Until when the rate limit of the backend server allows no call.
    rate_limited_until: Duration,
    /// Whether the node can't be reached.
    is_unreachable: bool,
}

/// The endpoint that was picked for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedEndpoint {
    /// Control address of the node, which identifies the endpoint.
    pub control: SocketAddr,
    /// Address at which the node accepts calls from other nodes.
    pub peer: SocketAddr,
    /// Life of the backend server, if it is known.
    pub life: Option<BackendLife>,
    /// Mean run time of a call.
    pub mean_run_time: Duration,
    /// Rate limit that the backend server advertised to this node.
    pub known_limit: Option<KnownLimit>,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointResult {
    /// The backend server answered.
    Answered,
    /// The backend server failed or rejected it.
    Failed,
    /// The gate had no room for it.
    GateFull,
    /// The backend server is at its rate limit.
    RateLimited,
    /// The host takes no calls for this backend server.
    Unavailable,
    /// The link to the host was lost or couldn't be established.
    Unreachable,
    /// This node cancelled the call.
    Cancelled,
}

/// Load balancer over the backend servers of all services.
///
/// It compares two random candidates by their expected latency, prefers the own data centre, and
/// avoids backend servers that fail more than their peers.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    mechanisms: Mechanisms,
    endpoints: HashMap<SocketAddr, Endpoint>,
    services: BTreeMap<ServiceName, Vec<SocketAddr>>,
    /// Ejected backend servers, by service.
    outliers: HashMap<ServiceName, OutlierDetector>,
    outlier_changes: Vec<OutlierChange>,
    reported_lives: ReportedLives,
}

impl LoadBalancer {
    /// Creates a load balancer that uses these mechanisms.
    pub fn new(mechanisms: Mechanisms) -> Self {
        Self {
            mechanisms,
            ..Self::default()
        }
    }

    /// Replaces the endpoints by those of the current members.
    ///
    /// The state of an endpoint is kept if its life, its peer address and its service are
    /// unchanged; the start of its life may become known.
    pub fn rebuild<'a>(
        &mut self,
        own_data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) {
        let mut old_endpoints = std::mem::take(&mut self.endpoints);
        self.services.clear();
        for record in members {
            let takes_calls = matches!(record.state, MemberState::Serving | MemberState::Warming);
            let Some(service) = record.service.as_ref().filter(|_| takes_calls) else {
                continue;
            };
            let unchanged = old_endpoints
                .remove(&record.control)
                .filter(|endpoint| endpoint.may_be_of(record));
            let mut endpoint = unchanged
                .filter(|endpoint| endpoint.service == *service)
                .unwrap_or_else(|| Endpoint::new(record, service, own_data_centre));
            endpoint.set_life(record.life.clone(), &self.reported_lives);
            self.endpoints.insert(record.control, endpoint);
            let controls = self.services.entry(service.clone()).or_default();
            controls.push(record.control);
        }
        self.outliers
            .retain(|service, _| self.services.contains_key(service));
        let services: Vec<ServiceName> = self.outliers.keys().cloned().collect();
        for service in services {
            self.refresh_outliers(&service);
        }
    }

    /// Number of services with endpoints.
    pub fn services_count(&self) -> usize {
        self.services.len()
    }

    /// Whether the backend server is ejected because it fails far more runs than its peers.
    pub fn is_ejected(&self, service: &str, control: SocketAddr) -> bool {
        let outliers = self.outliers.get(service);
        outliers.is_some_and(|detector| detector.contains(control))
    }

    /// Updates the ejected backend servers of a service; does nothing if the mechanism is off.
    fn refresh_outliers(&mut self, service: &str) {
        if !self.mechanisms.is_on(Mechanism::OutlierEjection) {
            return;
        }
        let controls = self.services.get(service).into_iter().flatten();
        let reported: Vec<(SocketAddr, f64)> = controls
            .map(|control| (*control, self.endpoints[control].report.failed_ratio()))
            .collect();
        let detector = self.outliers.entry(ServiceName::from(service));
        let changes = detector.or_default().refresh(service, &reported);
        self.outlier_changes.extend(changes);
    }

    /// Takes the ejections and their ends since the last call.
    pub fn take_outlier_changes(&mut self) -> Vec<OutlierChange> {
        std::mem::take(&mut self.outlier_changes)
    }

    /// Picks a backend server of a service for a call, other than those in `excluded`; the call
    /// counts as sent.
    ///
    /// A call that `may_repeat` may be used to probe an ejected backend server.
    pub fn pick(
        &mut self,
        now: Duration,
        service: &str,
        excluded: &[SocketAddr],
        may_repeat: bool,
        random: &mut impl Rng,
    ) -> Option<PickedEndpoint> {
        let controls = self.services.get(service)?;
        let available = controls.iter().copied().filter(|control| {
            !excluded.contains(control) && self.endpoints[control].is_available(now)
        });
        let (ejected, healthy): (Vec<_>, Vec<_>) =
            available.partition(|control| self.is_ejected(service, *control));
        let may_probe = may_repeat && random.random_ratio(1, PROBE_INTERVAL_COUNT);
        let available = if healthy.is_empty() || (may_probe && !ejected.is_empty()) {
            ejected
        } else {
            healthy
        };
        let (local, remote): (Vec<_>, Vec<_>) = available
            .into_iter()
            .partition(|control| self.endpoints[control].is_own_data_centre);
        let best_local = self.best_of_sample(now, &local, random);
        let is_local_enough =
            best_local.is_some_and(|control| self.is_local_sufficient(now, control, &remote));
        let best = if is_local_enough {
            best_local
        } else {
            let best_remote = self.best_of_sample(now, &remote, random);
            let both = best_local.into_iter().chain(best_remote);
            both.min_by(|a, b| self.cost_s(now, *a).total_cmp(&self.cost_s(now, *b)))
        };
        let control = best?;
        let run_time_s = self.known_run_time_s(control);
        let endpoint = self.endpoints.get_mut(&control)?;
        endpoint.outstanding_count += 1;
        endpoint.sent_since_report_count += 1;
        let known_limit = endpoint.life.as_ref();
        let known_limit = known_limit.and_then(|life| self.reported_lives.limit(now, life));
        Some(PickedEndpoint {
            control,
            peer: endpoint.peer,
            life: endpoint.life.clone(),
            mean_run_time: Duration::from_secs_f64(run_time_s),
            known_limit,
        })
    }

    /// Records the result of a call to an endpoint, and the report that came with it.
    pub fn on_ended(
        &mut self,
        now: Duration,
        control: SocketAddr,
        result: EndpointResult,
        report: Option<GateReport>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&control) else {
            return;
        };
        endpoint.outstanding_count = endpoint.outstanding_count.saturating_sub(1);
        let has_ratio_changed =
            report.is_some_and(|report| report.failed_permille != endpoint.report.failed_permille);
        if let Some(report) = report {
            endpoint.report = report;
            endpoint.reported_at = Some(now);
            endpoint.sent_since_report_count = 0;
        }
        match result {
            EndpointResult::Answered => {
                endpoint.failed_ratio -= NEW_WEIGHT * endpoint.failed_ratio;
                endpoint.unreachable_pause = MIN_UNREACHABLE_PAUSE;
            }
            EndpointResult::Failed => {
                endpoint.failed_ratio += NEW_WEIGHT * (1.0 - endpoint.failed_ratio);
            }
            EndpointResult::Unavailable => endpoint.unavailable_until = now + UNAVAILABLE_PAUSE,
            EndpointResult::Unreachable => {
                endpoint.unavailable_until = now + endpoint.unreachable_pause;
                endpoint.unreachable_pause =
                    (endpoint.unreachable_pause * 2).min(MAX_UNREACHABLE_PAUSE);
            }
            EndpointResult::RateLimited => {
                let wait = endpoint.report.rate.map(|rate| rate.wait());
                let pause = wait.unwrap_or_default();
                let pause = pause.clamp(MIN_RATE_LIMIT_PAUSE, MAX_RATE_LIMIT_PAUSE);
                endpoint.rate_limited_until = now + pause;
            }
            EndpointResult::GateFull | EndpointResult::Cancelled => {}
        }
        if has_ratio_changed {
            let service = endpoint.service.clone();
            self.refresh_outliers(&service);
        }
    }

    /// Records the rate limit that a backend server advertised in an answer, or that it has none.
    ///
    /// It is kept even while the host isn't an endpoint.
    pub fn on_rate_limit(&mut self, now: Duration, life: &BackendLife, rate: Option<RateReport>) {
        self.reported_lives.on_limit(now, life, rate);
    }

    /// Records that a backend server has announced to this node that it is leaving; `false` if that
    /// was known.
    ///
    /// It gets no more calls from this node, whatever its host reports of it later.
    pub fn on_leaving(&mut self, now: Duration, life: &BackendLife) -> bool {
        if self.reported_lives.is_leaving(life) {
            return false;
        }
        self.reported_lives.on_leaving(now, life);
        for endpoint in self.endpoints.values_mut() {
            endpoint.update_leaving(&self.reported_lives);
        }
        true
    }

    /// Whether any backend server of a service is excluded now because of its rate limit.
    pub fn is_rate_limited(&self, now: Duration, service: &str) -> bool {
        let controls = self.services.get(service).into_iter().flatten();
        let mut endpoints = controls.map(|control| &self.endpoints[control]);
        endpoints.any(|endpoint| now < endpoint.rate_limited_until)
    }

    /// Excludes a node that can't be reached until [`mark_reachable`](Self::mark_reachable);
    /// `false` if it has no endpoint.
    pub fn mark_unreachable(&mut self, peer: SocketAddr) -> bool {
        let mut is_known = false;
        for endpoint in self.endpoints.values_mut() {
            if endpoint.peer == peer {
                endpoint.is_unreachable = true;
                is_known = true;
            }
        }
        is_known
    }

    /// Ends the exclusion of a node that has answered again.
    pub fn mark_reachable(&mut self, peer: SocketAddr) {
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.peer == peer) {
            endpoint.is_unreachable = false;
            endpoint.unavailable_until = Duration::ZERO;
            endpoint.unreachable_pause = MIN_UNREACHABLE_PAUSE;
        }
    }

    fn best_of_sample(
        &self,
        now: Duration,
        controls: &[SocketAddr],
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let sample = controls.choose_multiple(random, SAMPLE_COUNT).copied();
        sample.min_by(|a, b| self.cost_s(now, *a).total_cmp(&self.cost_s(now, *b)))
    }

    /// Whether the best local endpoint is good enough that remote ones aren't considered.
    fn is_local_sufficient(
        &self,
        now: Duration,
        control: SocketAddr,
        remote: &[SocketAddr],
    ) -> bool {
        if self.endpoints[&control].fill_ratio(now) >= SPILL_FILL_RATIO {
            return false;
        }
        let is_on = self.mechanisms.is_on(Mechanism::SlowLocalSpillover);
        !is_on || self.cost_s(now, control) < SLOW_LOCAL_RATIO * self.mean_cost_s(now, remote)
    }

    /// Mean cost of a call at these endpoints; infinite if there are none.
    fn mean_cost_s(&self, now: Duration, controls: &[SocketAddr]) -> f64 {
        if controls.is_empty() {
            return f64::INFINITY;
        }
        let costs = controls.iter().map(|control| {
            let run_time_s = self.known_run_time_s(*control);
            self.cost_of_run_s(now, *control, run_time_s)
        });
        costs.sum::<f64>() / controls.len() as f64
    }

    fn cost_s(&self, now: Duration, control: SocketAddr) -> f64 {
        self.cost_of_run_s(now, control, self.run_time_s(now, control))
    }

    fn cost_of_run_s(&self, now: Duration, control: SocketAddr, run_time_s: f64) -> f64 {
        let crowding_penalty_s = if self.mechanisms.is_on(Mechanism::Crowding) {
            CROWDED_PENALTY_S
        } else {
            0.0
        };
        self.endpoints[&control].cost_s(now, run_time_s, crowding_penalty_s)
    }

    /// Run time by which endpoints are compared.
    ///
    /// A backend server that was slow for a short time would never be called again, and so would
    /// never report that it is fast. Once its report is old, one call at a time is sent as if it
    /// were as fast as its peers.
    fn run_time_s(&self, now: Duration, control: SocketAddr) -> f64 {
        let run_time_s = self.known_run_time_s(control);
        if !self.endpoints[&control].is_run_time_outdated(now) {
            return run_time_s;
        }
        let peers_s = self.peers_run_time_s(control);
        peers_s.map_or(run_time_s, |peers_s| peers_s.min(run_time_s))
    }

    /// Mean run time of a call, as reported by the gate, or else the mean of its peers.
    ///
    /// A backend server that has just joined has reported nothing. If it were assumed to be slower
    /// than its peers, it would never be called and so would never report.
    fn known_run_time_s(&self, control: SocketAddr) -> f64 {
        let reported_s = self.endpoints[&control].reported_run_time_s();
        let peers_s = || {
            let is_on = self.mechanisms.is_on(Mechanism::PeerRunTime);
            is_on.then(|| self.peers_run_time_s(control)).flatten()
        };
        reported_s.or_else(peers_s).unwrap_or(DEFAULT_RUN_TIME_S)
    }

    /// Mean of the run times that the other endpoints of the same service have reported.
    fn peers_run_time_s(&self, control: SocketAddr) -> Option<f64> {
        let controls = self.services.get(&self.endpoints[&control].service)?;
        let peers = controls.iter().filter(|peer| **peer != control);
        let reported = peers.filter_map(|peer| self.endpoints[peer].reported_run_time_s());
        let (sum_s, count) =
            reported.fold((0.0, 0_u32), |(sum, count), work| (sum + work, count + 1));
        (count > 0).then(|| sum_s / f64::from(count))
    }
}

impl Endpoint {
    fn new(record: &MemberRecord, service: &str, own_data_centre: &str) -> Self {
        Self {
            is_leaving: false,
            peer: record.peer,
            life: record.life.clone(),
            service: ServiceName::from(service),
            is_own_data_centre: record.data_centre == own_data_centre,
            slots_count: record.slots_count,
            outstanding_count: 0,
            report: GateReport::default(),
            reported_at: None,
            sent_since_report_count: 0,
            failed_ratio: 0.0,
            unavailable_until: Duration::ZERO,
            unreachable_pause: MIN_UNREACHABLE_PAUSE,
            rate_limited_until: Duration::ZERO,
            is_unreachable: false,
        }
    }

    /// Whether a record may be of the same life of the same backend server.
    fn may_be_of(&self, record: &MemberRecord) -> bool {
        let is_same_life = match (&self.life, &record.life) {
            (Some(known), Some(recorded)) => known.may_equal(recorded),
            (known, recorded) => known == recorded,
        };
        is_same_life && self.peer == record.peer
    }

    fn set_life(&mut self, life: Option<BackendLife>, reported_lives: &ReportedLives) {
        self.life = life;
        self.update_leaving(reported_lives);
    }

    fn update_leaving(&mut self, reported_lives: &ReportedLives) {
        let life = self.life.as_ref();
        self.is_leaving = life.is_some_and(|life| reported_lives.is_leaving(life));
    }

    fn is_available(&self, now: Duration) -> bool {
        !self.is_unreachable
            && !self.is_leaving
            && self.unavailable_until <= now
            && self.rate_limited_until <= now
    }

    /// Estimated ratio of the calls at the backend server to its concurrency: by the last report
    /// and the calls sent since, but at least by the outstanding calls of this node.
    fn fill_ratio(&self, now: Duration) -> f64 {
        let limit = self.slots();
        let own_ratio = f64::from(self.outstanding_count) / limit;
        let is_fresh = self
            .reported_at
            .is_some_and(|reported| now < reported + REPORT_TTL);
        if !is_fresh {
            return own_ratio;
        }
        let sent_ratio = f64::from(self.sent_since_report_count) / limit;
        own_ratio.max(self.report.fill_ratio() + sent_ratio)
    }

    /// Calls that the backend server can run concurrently, within its rate limit if there is one.
    fn slots(&self) -> f64 {
        let limit_count = self.report.limit_count.max(self.slots_count);
        let report = GateReport {
            limit_count,
            ..self.report
        };
        report.slots()
    }

    /// Estimated time until the rate limit lets one more call begin.
    fn limit_wait_s(&self, now: Duration) -> f64 {
        let Some(rate) = self.report.rate else {
            return 0.0;
        };
        let sent_s =
            f64::from(self.sent_since_report_count) / rate.limit_per_s().max(MIN_RATE_PER_S);
        let passed = now.saturating_sub(self.reported_at.unwrap_or_default());
        (rate.wait().as_secs_f64() + sent_s - passed.as_secs_f64()).max(0.0)
    }

    /// Mean run time of a call, if the gate has reported it.
    fn reported_run_time_s(&self) -> Option<f64> {
        let run_time_s = self.report.mean_run_time().as_secs_f64();
        (run_time_s > 0.0).then_some(run_time_s)
    }

    /// Whether the reported run time is too old to keep calls away, and no call is on its way that
    /// will bring another report.
    fn is_run_time_outdated(&self, now: Duration) -> bool {
        let is_old = self
            .reported_at
            .is_some_and(|reported| reported + RUN_TIME_TTL <= now);
        is_old && self.outstanding_count == 0
    }

    /// Expected latency of one more call, with penalties for crowding, failures and distance.
    fn cost_s(&self, now: Duration, run_time_s: f64, crowding_penalty_s: f64) -> f64 {
        let fill = self.fill_ratio(now);
        let wait_s = run_time_s * (fill - 1.0).max(0.0);
        let excess_fill = (fill - CROWDED_FILL_RATIO).max(0.0);
        let crowding_s = run_time_s * fill.min(1.0) / 2.0 + crowding_penalty_s * excess_fill;
        let failure_s = run_time_s * FAILURE_WEIGHT * self.failed_ratio;
        let distance_s = if self.is_own_data_centre {
            0.0
        } else {
            REMOTE_PENALTY_S
        };
        let wait_s = wait_s.max(self.limit_wait_s(now));
        run_time_s + wait_s + crowding_s + failure_s + distance_s
    }
}
