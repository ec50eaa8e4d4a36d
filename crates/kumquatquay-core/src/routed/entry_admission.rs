//! Decides at the entry which whole requests are let in.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{GateReport, Priority, RouteNews, ServiceDemand, ServicePressure},
};

use super::{
    offered_load::OfferedLoad,
    pooled_news::{PooledNews, makes_sense},
    service_levels::{LAPSE, ServiceLevels},
};

/// Calls at a service by one request from which on its level counts for a route.
const CALLS_LEAST_COUNT: f32 = 0.2;

/// Part of the load that must be less important than a request for these to be refused in its
/// place.
const BEHIND_LEAST_RATIO: f64 = 0.05;

/// Services and routes that are remembered, of each.
const LIMIT_COUNT: usize = 1_024;

/// Time to run a call that is assumed where no gate has told.
const FIRST_WORK_S: f64 = 0.05;

/// What a node knows of the pressure on services and of where routes lead.
///
/// A level is the share of the load offered to a service that it has room for. All
/// entries order requests alike, by the priority of their route and then by a place
/// of their own, and let in those that lie below the level. So a service that is
/// short of room is felt by the last in that order first, wherever they come in,
/// and those that are let in find room at each service on their way.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    services: HashMap<ServiceName, ServiceLevels>,
    /// By route, and by the service that told it: a route may be split.
    routes: HashMap<String, RouteLevels>,
}

/// Time for which the calls of one request keep slots of a service busy.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWork {
    /// The service.
    pub service: ServiceName,
    /// Slot time of all its calls there.
    pub work: Duration,
}

#[derive(Debug, Default)]
struct RouteLevels {
    known: BTreeMap<ServiceName, PooledNews>,
    offered: OfferedLoad,
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// Service that the route sends it to.
    pub service: &'a str,
    /// Rank of the whole request.
    pub priority: Priority,
    /// Its own place among requests of the same rank, from 0 to 1; the higher ones
    /// are refused first.
    pub tie_breaker: f64,
}

/// Why a request is not let in.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortage {
    /// The service that is short of room.
    pub service: ServiceName,
    /// Its level, from 0 to 1.
    pub level: f64,
    /// How old it is.
    pub age: Duration,
    /// Share of the requests of the same rank that are let in.
    pub admission_probability: f64,
    /// How long the service has been short.
    pub duration: Duration,
}

/// Where a request stands among all that lead to a service: shares of the offered
/// load.
#[derive(Clone, Copy, Debug)]
struct Standing {
    /// What is more important.
    before: f64,
    /// What has the same rank.
    beside: f64,
}

impl EntryAdmission {
    // Learning

    /// Takes in what a gate of a service tells.
    pub fn on_gate(&mut self, now: Duration, service: &str, gate: SocketAddr, report: &GateReport) {
        if let Some(known) = self.service_mut(service) {
            known.on_gate(now, gate, report);
        }
    }

    /// Takes in what another node knows of a service.
    pub fn on_pressure(&mut self, now: Duration, pressure: &ServicePressure) {
        if let Some(known) = self.service_mut(&pressure.service) {
            known.on_pressure(now, pressure);
        }
    }

    /// A service, unless too many are known.
    fn service_mut(&mut self, service: &str) -> Option<&mut ServiceLevels> {
        if !self.services.contains_key(service) && self.services.len() < LIMIT_COUNT {
            let service = ServiceName::from(service);
            self.services.insert(service, ServiceLevels::default());
        }
        self.services.get_mut(service)
    }

    /// Takes in what a gate knows of a route at its service; whether it makes sense. What
    /// doesn't is passed over.
    pub fn on_route_update(
        &mut self,
        now: Duration,
        route: &str,
        service: &str,
        gate: SocketAddr,
        news: RouteNews,
    ) -> bool {
        if !makes_sense(&news, |service| self.told_work_s(now, service)) {
            return false;
        }
        if !self.routes.contains_key(route) && self.routes.len() >= LIMIT_COUNT {
            return true;
        }
        let known = &mut self.routes.entry(String::from(route)).or_default().known;
        let known = known.entry(ServiceName::from(service)).or_default();
        known.tell(now, gate, news);
        true
    }

    // Reading

    /// Whether outside callers use a route; `None` while nothing is known.
    pub fn is_from_outside(&self, now: Duration, route: &str) -> Option<bool> {
        let mut known = self.known(now, route).peekable();
        known.peek()?;
        Some(known.any(|(_, news)| news.is_from_outside))
    }

    /// What one run of a route at a service asks of each service, its own run included.
    pub fn demands(&self, now: Duration, route: &str, service: &str) -> &[ServiceDemand] {
        self.known_at(now, route, service)
            .map_or(&[], |news| &news.leads_to)
    }

    /// [`leads_to`](Self::leads_to), over the services that a route is split among.
    pub fn all_demands(&self, now: Duration, route: &str) -> Vec<ServiceDemand> {
        let known: Vec<&RouteNews> = self.known(now, route).map(|(_, news)| news).collect();
        let share = 1.0 / known.len().max(1) as f32;
        let all = known.into_iter().flat_map(|news| &news.leads_to);
        all.map(|demand| demand.scaled(share)).collect()
    }

    /// Slot time that one request of a route takes at each service that it reaches; empty while
    /// nothing is known of the route.
    pub fn work_by_service(&self, now: Duration, route: &str, service: &str) -> Vec<ServiceWork> {
        let reached = self.demands(now, route, service).iter();
        let works = reached.map(|demand| ServiceWork {
            service: demand.service.clone(),
            work: Duration::from_secs_f64(self.work_s(now, demand)),
        });
        works.collect()
    }

    /// Slot time that a demand takes, in seconds; where the time of its calls isn't known, they
    /// are taken to be like the others of their service.
    fn work_s(&self, now: Duration, demand: &ServiceDemand) -> f64 {
        if demand.work_us > 0 {
            return f64::from(demand.work_us) / 1e6;
        }
        let mean_s = self.told_work_s(now, &demand.service);
        f64::from(demand.calls) * mean_s.unwrap_or(FIRST_WORK_S)
    }

    /// Mean time that a call takes at a service, in seconds, if its gates have told it.
    fn told_work_s(&self, now: Duration, service: &str) -> Option<f64> {
        self.services.get(service)?.work_s(now)
    }

    /// Level of a service as this node knows it, with the age of the newest word.
    pub fn level(&self, now: Duration, service: &str) -> Option<(f64, Duration)> {
        let told = self.services.get(service)?.told(now)?;
        Some((told.at(now), now.saturating_sub(told.told)))
    }

    /// What to tell others of the services that a route leads to.
    pub fn pressures(&self, now: Duration, leads_to: &[ServiceDemand]) -> Vec<ServicePressure> {
        let known = leads_to.iter().filter_map(|demand| {
            let service = &demand.service;
            let told = self.services.get(service)?.told(now)?;
            let age = now.saturating_sub(told.told);
            (age < LAPSE).then(|| ServicePressure {
                service: service.clone(),
                level: told.level as f32,
                age_ms: age.as_millis() as u32,
            })
        });
        known.collect()
    }

    // Deciding

    /// Lets a request in, or says which service has no room for it.
    ///
    /// `ranks` tells the ranks of all routes, for requests that have none of their own. A request that a backend server
    /// makes is part of a whole one that was let in, and is never refused here; so
    /// is one of which nothing is known yet.
    ///
    /// # Errors
    ///
    /// The service that is short of room.
    pub fn admit(
        &mut self,
        now: Duration,
        request: &EntryRequest<'_>,
        ranks: &BTreeMap<String, Priority>,
    ) -> Result<(), Shortage> {
        let Some(route) = self.routes.get_mut(request.route) else {
            return Ok(());
        };
        route.offered.offer(now, request.priority);
        let news = self.known_at(now, request.route, request.service);
        let Some(news) = news.filter(|news| news.is_from_outside) else {
            return Ok(());
        };
        let reached = news.leads_to.iter();
        let reached = reached.filter(|demand| demand.calls >= CALLS_LEAST_COUNT);
        for demand in reached {
            self.admit_at(now, &demand.service, request, ranks)?;
        }
        Ok(())
    }

    fn admit_at(
        &self,
        now: Duration,
        service: &str,
        request: &EntryRequest<'_>,
        ranks: &BTreeMap<String, Priority>,
    ) -> Result<(), Shortage> {
        let (Some(known), Some((level, age))) =
            (self.services.get(service), self.level(now, service))
        else {
            return Ok(());
        };
        let lasts = known.short_for(now, level);
        let held_level = known.held_level(now, level);
        if level >= 1.0 {
            return Ok(());
        }
        let standing = self.standing(now, service, request, ranks);
        let has_others_behind = standing.behind() >= BEHIND_LEAST_RATIO;
        let level = if has_others_behind { held_level } else { level };
        standing
            .admit(request.tie_breaker, level)
            .map_err(|chance| Shortage {
                service: ServiceName::from(service),
                level,
                age,
                admission_probability: chance,
                duration: lasts,
            })
    }

    fn standing(
        &self,
        now: Duration,
        service: &str,
        request: &EntryRequest<'_>,
        ranks: &BTreeMap<String, Priority>,
    ) -> Standing {
        let (mut before, mut beside, mut all) = (0.0, 0.0, 0.0);
        for (route, levels) in &self.routes {
            let Some(priority) = ranks.get(route).copied() else {
                continue;
            };
            let work_s = self.request_work_s(now, levels, service);
            for offered in levels.offered.ranks(now, priority) {
                let load = work_s * offered.requests_count;
                all += load;
                if offered.rank < request.priority {
                    before += load;
                } else if offered.rank == request.priority {
                    beside += load;
                }
            }
        }
        if beside <= 0.0 {
            // Nothing is known of the load: it stands alone.
            return Standing {
                before: 0.0,
                beside: 1.0,
            };
        }
        Standing {
            before: before / all,
            beside: beside / all,
        }
    }

    /// Slot time that a request of a route takes at a service, in seconds.
    fn request_work_s(&self, now: Duration, route: &RouteLevels, service: &str) -> f64 {
        let known = route.known.values().filter_map(|known| known.get(now));
        let outside = known.filter(|news| news.is_from_outside);
        let reached = outside.flat_map(|news| &news.leads_to);
        let demands = reached.filter(|demand| demand.service == service);
        demands.map(|demand| self.work_s(now, demand)).sum()
    }

    fn known(
        &self,
        now: Duration,
        route: &str,
    ) -> impl Iterator<Item = (&ServiceName, &RouteNews)> {
        let known = self.routes.get(route).into_iter();
        let known = known.flat_map(|route| &route.known);
        known.filter_map(move |(service, known)| Some((service, known.get(now)?)))
    }

    fn known_at(&self, now: Duration, route: &str, service: &str) -> Option<&RouteNews> {
        self.routes.get(route)?.known.get(service)?.get(now)
    }
}

impl Standing {
    /// What is less important.
    fn behind(self) -> f64 {
        1.0 - self.before - self.beside
    }

    /// Lets a request at this place among those of its rank in, or tells the share of its rank
    /// that is let in.
    fn admit(self, place: f64, level: f64) -> Result<(), f64> {
        if self.before + self.beside * place < level {
            return Ok(());
        }
        Err(((level - self.before) / self.beside).clamp(0.0, 1.0))
    }
}
