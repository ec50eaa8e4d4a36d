//! Pools the estimates of a route's calls by the gates of its service.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{RouteEstimate, ServiceDemand},
};

/// Time for which the estimate of a gate counts.
const EXPIRY: Duration = Duration::from_secs(30);

/// Maximum number of gates of one service whose estimates are kept: those that reported last.
const GATES_LIMIT_COUNT: usize = 16;

/// Calls at one service by one run beyond which an estimate is implausible: call chains are up to
/// seven deep, with about ten calls at each level.
const MAX_CALLS_COUNT: f32 = 100_000.0;

/// Services that a run reaches beyond which an estimate is implausible.
const MAX_SERVICES_COUNT: usize = 256;

/// Run time of a route's call, as a multiple of the mean at its service, beyond which an estimate
/// is implausible: no timeout is that long.
const MAX_WORK_RATIO: f64 = 1_000.0;

/// Whether the estimate of another node, which may run another version, is plausible.
///
/// `mean_work_s` returns the mean run time of a call at a service, if it is known.
pub(super) fn is_plausible(
    estimate: &RouteEstimate,
    mean_work_s: impl Fn(&str) -> Option<f64>,
) -> bool {
    let are_few = estimate.demands.len() <= MAX_SERVICES_COUNT;
    let is_valid = |demand: &ServiceDemand| {
        let is_count = (0.0..=MAX_CALLS_COUNT).contains(&demand.calls);
        let max_s = mean_work_s(&demand.service).map_or(f64::INFINITY, |mean_s| {
            MAX_WORK_RATIO * mean_s * f64::from(demand.calls.max(1.0))
        });
        is_count && f64::from(demand.work_us) / 1e6 <= max_s
    };
    are_few && estimate.demands.iter().all(is_valid)
}

/// Estimates that the gates of one service have reported for a route.
///
/// On a single host, few runs overlap in a way that shows which of them makes a call, so the
/// estimate of one gate is far off at times: on one host of ten, uploads that call nothing were
/// estimated to make ten calls, and were refused for them. The median of the gates' estimates is
/// robust against a single outlier.
#[derive(Debug, Default)]
pub(super) struct PooledEstimates {
    gates: BTreeMap<SocketAddr, GateEstimate>,
    pooled: RouteEstimate,
    reported_at: Duration,
}

#[derive(Debug)]
struct GateEstimate {
    estimate: RouteEstimate,
    reported_at: Duration,
}

impl PooledEstimates {
    /// The pooled estimate; `None` if no gate has reported one lately.
    pub(super) fn get(&self, now: Duration) -> Option<&RouteEstimate> {
        (!self.gates.is_empty() && now < self.reported_at + EXPIRY).then_some(&self.pooled)
    }

    /// Records the estimate of a gate.
    ///
    /// A gate that has just started has few samples: its estimate doesn't replace an earlier,
    /// settled one of its own, and doesn't count while any gate has a settled one.
    pub(super) fn record(&mut self, now: Duration, gate: SocketAddr, estimate: RouteEstimate) {
        self.gates.retain(|_, gate| now < gate.reported_at + EXPIRY);
        let known = self.gates.get(&gate);
        if known.is_some_and(|known| known.estimate.is_settled) && !estimate.is_settled {
            return;
        }
        self.reported_at = now;
        self.gates.insert(
            gate,
            GateEstimate {
                estimate,
                reported_at: now,
            },
        );
        if self.gates.len() > GATES_LIMIT_COUNT {
            let oldest = self.gates.iter().min_by_key(|(_, gate)| gate.reported_at);
            let oldest = oldest.map(|(address, _)| *address);
            self.gates.retain(|address, _| Some(*address) != oldest);
        }
        self.pooled = self.pool();
    }

    fn pool(&self) -> RouteEstimate {
        let is_settled = self.gates.values().any(|gate| gate.estimate.is_settled);
        let counted = self.gates.values().map(|gate| &gate.estimate);
        let counted: Vec<&RouteEstimate> = counted
            .filter(|estimate| estimate.is_settled == is_settled)
            .collect();
        let outside_count = counted
            .iter()
            .filter(|estimate| estimate.is_from_outside)
            .count();
        let services: BTreeSet<&ServiceName> = counted
            .iter()
            .flat_map(|estimate| &estimate.demands)
            .map(|demand| &demand.service)
            .collect();
        let demands = services
            .into_iter()
            .map(|service| pool_demand(service, &counted, is_settled));
        RouteEstimate {
            is_from_outside: outside_count * 2 >= counted.len().max(1),
            is_settled,
            demands: demands.filter(|demand| demand.calls > 0.0).collect(),
        }
    }
}

/// Pools the demand of a run at a service.
///
/// The run time of a call is pooled separately from the number of calls: it is measured at the
/// service, so it is known even while the number of calls is a guess.
fn pool_demand(
    service: &ServiceName,
    estimates: &[&RouteEstimate],
    is_settled: bool,
) -> ServiceDemand {
    let demands = estimates
        .iter()
        .map(|estimate| demand_at(estimate, service));
    let demands: Vec<Option<&ServiceDemand>> = demands.collect();
    let calls = demands
        .iter()
        .map(|demand| demand.map_or(0.0, |demand| demand.calls));
    let calls: Vec<f32> = calls.collect();
    let calls = if is_settled {
        median(calls)
    } else {
        mean_guess(&calls)
    };
    let timed = demands.into_iter().flatten();
    let timed = timed.filter(|demand| demand.work_us > 0 && demand.calls > 0.0);
    let call_us = median(
        timed
            .map(|demand| demand.work_us as f32 / demand.calls)
            .collect(),
    );
    ServiceDemand {
        service: service.clone(),
        calls,
        work_us: (calls * call_us) as u32,
    }
}

fn demand_at<'a>(estimate: &'a RouteEstimate, service: &str) -> Option<&'a ServiceDemand> {
    estimate
        .demands
        .iter()
        .find(|demand| demand.service == service)
}

/// Number of calls while no gate has a settled estimate: the mean of the guesses above zero, if at
/// least a third of the gates have one. The other gates have no samples yet, which doesn't mean
/// that there are no calls.
fn mean_guess(values: &[f32]) -> f32 {
    let guesses = values.iter().filter(|calls| **calls > 0.0);
    let guesses_count = guesses.clone().count();
    if guesses_count * 3 < values.len().max(1) {
        return 0.0;
    }
    guesses.sum::<f32>() / guesses_count as f32
}

/// The median; 0 if there are no values.
fn median(mut values: Vec<f32>) -> f32 {
    values.sort_by(f32::total_cmp);
    let (Some(low), Some(high)) = (
        values.get(values.len().saturating_sub(1) / 2),
        values.get(values.len() / 2),
    ) else {
        return 0.0;
    };
    (low + high) / 2.0
}
