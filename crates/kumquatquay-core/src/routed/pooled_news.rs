//! Brings together what the gates of one service have learnt of a route.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{RouteNews, ServiceDemand},
};

/// Time for which the word of a gate counts.
const LAPSE: Duration = Duration::from_secs(30);

/// Gates of one service whose word is kept, the newest ones.
const GATES_LIMIT_COUNT: usize = 16;

/// Calls at one service by one run, and services that a run reaches, beyond which news makes no
/// sense: chains are up to seven deep with some ten calls at each.
const CALLS_MOST_COUNT: f32 = 100_000.0;
const SERVICES_MOST_COUNT: usize = 256;

/// How many times as long as a mean call at its service one of a route may run. News of a time
/// beyond makes no sense: no time-out is that long.
const WORK_MOST_RATIO: f64 = 1_000.0;

/// Whether news of another node can be true; it may come from one of another version.
///
/// `mean_work_s` tells the mean time of a call at a service, if it is known.
pub(super) fn makes_sense(news: &RouteNews, mean_work_s: impl Fn(&str) -> Option<f64>) -> bool {
    let are_few = news.leads_to.len() <= SERVICES_MOST_COUNT;
    let is_sound = |demand: &ServiceDemand| {
        let is_count = (0.0..=CALLS_MOST_COUNT).contains(&demand.calls);
        let most_s = mean_work_s(&demand.service).map_or(f64::INFINITY, |mean_s| {
            WORK_MOST_RATIO * mean_s * f64::from(demand.calls.max(1.0))
        });
        is_count && f64::from(demand.work_us) / 1e6 <= most_s
    };
    are_few && news.leads_to.iter().all(is_sound)
}

/// What the gates of one service have told of a route.
///
/// At one of many hosts few runs overlap in a way that tells which of them makes a call, so what
/// each gate learns is far off now and then: uploads that call nothing were taken to make ten
/// calls at one host of ten, and were refused for them. The middle of what the gates say isn't
/// moved by one of them.
#[derive(Debug, Default)]
pub(super) struct PooledNews {
    gates: BTreeMap<SocketAddr, GateNews>,
    pooled: RouteNews,
    told: Duration,
}

#[derive(Debug)]
struct GateNews {
    news: RouteNews,
    told: Duration,
}

impl PooledNews {
    /// What is known of the route; `None` if nobody told of it for long.
    pub(super) fn get(&self, now: Duration) -> Option<&RouteNews> {
        (!self.gates.is_empty() && now < self.told + LAPSE).then_some(&self.pooled)
    }

    /// Takes in the word of a gate. One that has just started knows little: its word doesn't
    /// replace its own of before, nor count beside that of gates that have seen enough.
    pub(super) fn tell(&mut self, now: Duration, gate: SocketAddr, news: RouteNews) {
        self.gates.retain(|_, gate| now < gate.told + LAPSE);
        let known = self.gates.get(&gate);
        if known.is_some_and(|known| known.news.is_settled) && !news.is_settled {
            return;
        }
        self.told = now;
        self.gates.insert(gate, GateNews { news, told: now });
        if self.gates.len() > GATES_LIMIT_COUNT {
            let oldest = self.gates.iter().min_by_key(|(_, gate)| gate.told);
            let oldest = oldest.map(|(address, _)| *address);
            self.gates.retain(|address, _| Some(*address) != oldest);
        }
        self.pooled = self.pool();
    }

    fn pool(&self) -> RouteNews {
        let is_settled = self.gates.values().any(|gate| gate.news.is_settled);
        let counted = self.gates.values().map(|gate| &gate.news);
        let counted: Vec<&RouteNews> = counted
            .filter(|news| news.is_settled == is_settled)
            .collect();
        let outside_count = counted.iter().filter(|news| news.is_from_outside).count();
        let services: BTreeSet<&ServiceName> = counted
            .iter()
            .flat_map(|news| &news.leads_to)
            .map(|demand| &demand.service)
            .collect();
        let leads_to = services
            .into_iter()
            .map(|service| pool_demand(service, &counted, is_settled));
        RouteNews {
            is_from_outside: outside_count * 2 >= counted.len().max(1),
            is_settled,
            leads_to: leads_to.filter(|demand| demand.calls > 0.0).collect(),
        }
    }
}

/// What the gates say that a run asks of a service. The time of a call is pooled by itself: it is
/// measured at the service, and known also where the count of calls is still a guess.
fn pool_demand(service: &ServiceName, told: &[&RouteNews], is_settled: bool) -> ServiceDemand {
    let demands = told.iter().map(|news| demand_at(news, service));
    let demands: Vec<Option<&ServiceDemand>> = demands.collect();
    let calls = demands
        .iter()
        .map(|demand| demand.map_or(0.0, |demand| demand.calls));
    let calls: Vec<f32> = calls.collect();
    let calls = if is_settled {
        middle(calls)
    } else {
        first_guess(&calls)
    };
    let timed = demands.into_iter().flatten();
    let timed = timed.filter(|demand| demand.work_us > 0 && demand.calls > 0.0);
    let call_us = middle(
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

fn demand_at<'a>(news: &'a RouteNews, service: &str) -> Option<&'a ServiceDemand> {
    news.leads_to
        .iter()
        .find(|demand| demand.service == service)
}

/// What is taken while no gate has seen enough: the mean of those that have a guess at all, if
/// they are a third. The others have seen nothing yet, which is not the same as no calls.
fn first_guess(values: &[f32]) -> f32 {
    let guesses = values.iter().filter(|calls| **calls > 0.0);
    let guesses_count = guesses.clone().count();
    if guesses_count * 3 < values.len().max(1) {
        return 0.0;
    }
    guesses.sum::<f32>() / guesses_count as f32
}

/// The middle one, or the mean of the two in the middle.
fn middle(mut values: Vec<f32>) -> f32 {
    values.sort_by(f32::total_cmp);
    let (Some(low), Some(high)) = (
        values.get(values.len().saturating_sub(1) / 2),
        values.get(values.len() / 2),
    ) else {
        return 0.0;
    };
    (low + high) / 2.0
}
