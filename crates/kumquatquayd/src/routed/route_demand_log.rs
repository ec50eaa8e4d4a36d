//! Writes down what a node believes of where routes lead.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use kumquatquay_wire::{
    ServiceName,
    routed::{RouteNews, ServiceDemand},
};

/// Least time between two lines on one route at one service.
const LINE_INTERVAL: Duration = Duration::from_secs(2);

/// Share by which a count of calls must have changed to be told again.
const CHANGED_RATIO: f32 = 0.25;

/// The same for the slot time of its calls, which grows and falls with the load.
const WORK_CHANGED_RATIO: f32 = 0.5;

/// Routes, each at its service, of which the last line is remembered.
const LIMIT_COUNT: usize = 256;

/// What was told last of each route.
///
/// Whole requests are refused for services that their route is believed to lead to. Without
/// these lines nobody could tell afterwards whether a request was refused, or let in, for a
/// wrong belief.
#[derive(Debug, Default)]
pub(crate) struct RouteDemandLog {
    told: RefCell<HashMap<(String, ServiceName), Line>>,
}

#[derive(Debug)]
struct Line {
    at: Duration,
    news: RouteNews,
}

impl RouteDemandLog {
    /// Writes a line if the news differs from what was told of this route last.
    pub(crate) fn log_if_changed(
        &self,
        now: Duration,
        route: &str,
        service: &str,
        news: &RouteNews,
    ) {
        let mut told = self.told.borrow_mut();
        let key = (String::from(route), ServiceName::from(service));
        let last = told.get(&key);
        let is_due = last.is_none_or(|last| now >= last.at + LINE_INTERVAL);
        let is_same = last.is_some_and(|last| !differs(&last.news, news));
        if !is_due || is_same || (last.is_none() && told.len() >= LIMIT_COUNT) {
            return;
        }
        let leads_to = news.leads_to.iter();
        let leads_to = leads_to.map(|demand| {
            let work_ms = f64::from(demand.work_us) / 1_000.0;
            format!("{} {:.1} {work_ms:.0} ms", demand.service, demand.calls)
        });
        log::info!(event = "route_learnt", route = route, service = service,
            is_settled = news.is_settled, is_from_outside = news.is_from_outside,
            leads_to = leads_to.collect::<Vec<_>>().join(", ").as_str();
            "what a run leads to: calls at each service and their slot time");
        let news = news.clone();
        told.insert(key, Line { at: now, news });
    }
}

fn differs(last: &RouteNews, news: &RouteNews) -> bool {
    let demand_at = |news: &RouteNews, service: &str| {
        let mut known = news.leads_to.iter();
        known.find(|demand| demand.service == service).cloned()
    };
    let changed = |demand: &ServiceDemand| {
        let known = demand_at(last, &demand.service).unwrap_or_default();
        let calls = (demand.calls - known.calls).abs();
        let work_us = demand.work_us.abs_diff(known.work_us);
        calls > CHANGED_RATIO * demand.calls.max(1.0)
            || work_us as f32 > WORK_CHANGED_RATIO * demand.work_us as f32
    };
    let gone = |demand: &ServiceDemand| demand_at(news, &demand.service).is_none();
    last.is_from_outside != news.is_from_outside
        || last.is_settled != news.is_settled
        || news.leads_to.iter().any(changed)
        || last.leads_to.iter().any(gone)
}
