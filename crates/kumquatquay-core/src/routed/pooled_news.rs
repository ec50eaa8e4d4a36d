//! Brings together what the gates of one service have learnt of a route.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{ServiceName, routed::RouteNews};

/// Time for which the word of a gate counts.
const LAPSE: Duration = Duration::from_secs(30);

/// Gates of one service whose word is kept, the newest ones.
const GATES_LIMIT_COUNT: usize = 16;

/// Calls at one service by one run, and services that a run reaches, beyond which news makes no
/// sense: chains are up to seven deep with some ten calls at each.
const CALLS_MOST_COUNT: f32 = 100_000.0;
const SERVICES_MOST_COUNT: usize = 256;

/// Whether news of another node can be true; it may come from one of another version.
pub(super) fn makes_sense(news: &RouteNews) -> bool {
    let are_few = news.leads_to.len() <= SERVICES_MOST_COUNT;
    let is_count = |calls: f32| (0.0..=CALLS_MOST_COUNT).contains(&calls);
    are_few && news.leads_to.iter().all(|(_, calls)| is_count(*calls))
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
            .map(|(service, _)| service)
            .collect();
        let leads_to = services.into_iter().map(|service| {
            let calls = counted.iter().map(|news| calls_at(news, service));
            let calls: Vec<f32> = calls.collect();
            let pooled = if is_settled {
                middle(calls)
            } else {
                first_guess(&calls)
            };
            (service.clone(), pooled)
        });
        RouteNews {
            is_from_outside: outside_count * 2 >= counted.len().max(1),
            is_settled,
            leads_to: leads_to.filter(|(_, calls)| *calls > 0.0).collect(),
        }
    }
}

fn calls_at(news: &RouteNews, service: &ServiceName) -> f32 {
    let calls = news.leads_to.iter().filter(|(known, _)| known == service);
    calls.map(|(_, calls)| calls).sum()
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
