//! Decides at the entry which whole requests are let in.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{GateReport, Priority, RouteNews, ServicePressure},
};

use super::pooled_news::{PooledNews, makes_sense};

/// Time for which a level counts as it was told.
const FRESH: Duration = Duration::from_millis(600);

/// Time after which a level that was not told again counts no more; in between it
/// fades. A gate that nobody reaches any more must not shut requests out.
const LAPSE: Duration = Duration::from_millis(2_000);

/// Calls at a service by one request from which on its level counts for a route.
const CALLS_LEAST_COUNT: f32 = 0.2;

/// Level below which a service counts as short; above it the noise of a gate's level
/// would count as the end of a shortage.
const SHORT_LEVEL: f64 = 0.97;

/// Time in which the level for requests that are not of the lowest rank falls to a third of a
/// step down, in seconds.
const HELD_S: f64 = 1.0;

/// Part of the load that must be less important than a request for these to be refused in its
/// place.
const BEHIND_LEAST_RATIO: f64 = 0.05;

/// Services and routes that are remembered, of each.
const LIMIT_COUNT: usize = 1_024;

/// Time to run a call that is assumed where no gate has told.
const FIRST_WORK_S: f64 = 0.05;

/// Ranks that are told apart on one route.
const RANKS_LIMIT_COUNT: usize = 64;

/// Time in which the count of offered requests halves.
const OFFERED_HALF_LIFE_S: f64 = 2.0;

/// Requests of each route that are taken as offered from the first moment on, so
/// that the first few don't decide the shares alone.
const OFFERED_FIRST: f64 = 0.5;

/// What a node knows of the pressure on services and of where routes lead.
///
/// A level is the share of the load offered to a service that it has room for. All
/// entries order requests alike, by the priority of their route and then by a place
/// of their own, and let in those that lie below the level. So a service that is
/// short of room is felt by the last in that order first, wherever they come in,
/// and those that are let in find room at each service on their way.
#[derive(Debug, Default)]
pub struct EntryLevels {
    services: HashMap<ServiceName, ServiceLevels>,
    /// By route, and by the service that told it: a route may be split.
    routes: HashMap<String, RouteLevels>,
}

/// Levels of a service: of its gates that this node calls, and what others heard.
#[derive(Debug, Default)]
struct ServiceLevels {
    gates: HashMap<SocketAddr, Told>,
    heard: Option<Told>,
    /// Since when the service is short without a break, as this entry has seen it.
    short_since: Cell<Option<Duration>>,
    /// A level that falls slowly, and when it was that.
    held: Cell<Option<(f64, Duration)>>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    level: f64,
    /// Calls a second that the gate can run.
    capacity_per_s: f64,
    /// Mean time that it takes to run a call, in seconds; 0 while it isn't known.
    work_s: f64,
    told: Duration,
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
    /// Requests, by their rank.
    offered: BTreeMap<Priority, Offered>,
}

/// A count that fades with time.
#[derive(Clone, Copy, Debug)]
struct Offered {
    count: f64,
    at: Duration,
}

impl Default for Offered {
    fn default() -> Self {
        Self {
            count: OFFERED_FIRST,
            at: Duration::ZERO,
        }
    }
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
    pub place: f64,
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
    pub chance: f64,
    /// How long the service has been short.
    pub lasts: Duration,
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

impl EntryLevels {
    // Learning

    /// Takes in what a gate of a service tells.
    pub fn on_gate(&mut self, now: Duration, service: &str, gate: SocketAddr, report: &GateReport) {
        let told = Told {
            level: report.level(),
            capacity_per_s: self.capacity_per_s(service, report),
            work_s: report.work().as_secs_f64(),
            told: now,
        };
        if let Some(known) = self.services.get_mut(service) {
            known.gates.insert(gate, told);
            known.gates.retain(|_, gate| now < gate.told + LAPSE);
        } else if self.services.len() < LIMIT_COUNT {
            let known = self.services.entry(ServiceName::from(service));
            known.or_default().gates.insert(gate, told);
        }
    }

    /// Calls a second that a gate can run; one that has run none yet is taken to be like
    /// the others of its service.
    fn capacity_per_s(&self, service: &str, report: &GateReport) -> f64 {
        let work_s = report.work().as_secs_f64();
        if work_s > 0.0 {
            return f64::from(report.limit_count) / work_s;
        }
        let gates = self.services.get(service).map(|known| &known.gates);
        let gates = gates.into_iter().flat_map(HashMap::values);
        let known = gates.map(|gate| gate.capacity_per_s);
        known.fold(f64::from(report.limit_count), f64::min)
    }

    /// Takes in what another node knows of a service.
    pub fn on_pressure(&mut self, now: Duration, pressure: &ServicePressure) {
        let told = now.saturating_sub(Duration::from_millis(u64::from(pressure.age_ms)));
        if !self.services.contains_key(&pressure.service) && self.services.len() >= LIMIT_COUNT {
            return;
        }
        let known = self.services.entry(pressure.service.clone()).or_default();
        if known.heard.is_none_or(|heard| told > heard.told) {
            known.heard = Some(Told {
                level: f64::from(pressure.level),
                capacity_per_s: 0.0,
                work_s: 0.0,
                told,
            });
        }
    }

    /// Takes in what a gate knows of a route at its service; whether it makes sense. What
    /// doesn't is passed over.
    pub fn on_route(
        &mut self,
        now: Duration,
        route: &str,
        service: &str,
        gate: SocketAddr,
        news: RouteNews,
    ) -> bool {
        if !makes_sense(&news) {
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

    /// Calls that one run of a route at a service makes at each service, its own
    /// run included.
    pub fn leads_to(&self, now: Duration, route: &str, service: &str) -> &[(ServiceName, f32)] {
        self.known_at(now, route, service)
            .map_or(&[], |news| &news.leads_to)
    }

    /// [`leads_to`](Self::leads_to), over the services that a route is split among.
    pub fn leads_to_all(&self, now: Duration, route: &str) -> Vec<(ServiceName, f32)> {
        let known: Vec<&RouteNews> = self.known(now, route).map(|(_, news)| news).collect();
        let share = 1.0 / known.len().max(1) as f32;
        let all = known.into_iter().flat_map(|news| &news.leads_to);
        all.map(|(service, calls)| (service.clone(), calls * share))
            .collect()
    }

    /// Slot time that one request of a route takes at each service that it reaches; empty while
    /// nothing is known of the route.
    pub fn work_at(&self, now: Duration, route: &str, service: &str) -> Vec<ServiceWork> {
        let reached = self.leads_to(now, route, service).iter();
        let works = reached.map(|(service, calls)| ServiceWork {
            service: service.clone(),
            work: Duration::from_secs_f64(f64::from(*calls) * self.mean_work_s(now, service)),
        });
        works.collect()
    }

    /// Mean time that a call takes at a service.
    fn mean_work_s(&self, now: Duration, service: &str) -> f64 {
        let told = self.services.get(service).and_then(|known| known.told(now));
        let told_s = told.map_or(0.0, |told| told.work_s);
        if told_s > 0.0 { told_s } else { FIRST_WORK_S }
    }

    /// Level of a service as this node knows it, with the age of the newest word.
    pub fn level(&self, now: Duration, service: &str) -> Option<(f64, Duration)> {
        let told = self.services.get(service)?.told(now)?;
        Some((told.at(now), now.saturating_sub(told.told)))
    }

    /// What to tell others of the services that a route leads to.
    pub fn pressures(
        &self,
        now: Duration,
        leads_to: &[(ServiceName, f32)],
    ) -> Vec<ServicePressure> {
        let known = leads_to.iter().filter_map(|(service, _)| {
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
        route.offer(now, request.priority);
        let news = self.known_at(now, request.route, request.service);
        let Some(news) = news.filter(|news| news.is_from_outside) else {
            return Ok(());
        };
        let reached = news.leads_to.iter();
        let reached = reached.filter(|(_, calls)| *calls >= CALLS_LEAST_COUNT);
        for (service, _) in reached {
            self.admit_at(now, service, request, ranks)?;
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
        let Some((level, age)) = self.level(now, service) else {
            return Ok(());
        };
        let lasts = self.short_for(now, service, level);
        let held_level = self.held_level(now, service, level);
        if level >= 1.0 {
            return Ok(());
        }
        let standing = self.standing(now, service, request, ranks);
        let has_others_behind = standing.behind() >= BEHIND_LEAST_RATIO;
        let level = if has_others_behind { held_level } else { level };
        standing
            .admit(request.place, level)
            .map_err(|chance| Shortage {
                service: ServiceName::from(service),
                level,
                age,
                chance,
                lasts,
            })
    }

    /// The level that counts for requests that are not of the lowest rank: it falls slowly.
    ///
    /// A level swings around what there is room for. Where it dips below the share of the more
    /// important for some tenths of a second, these would be refused beside less important
    /// ones that were let in a moment before, and are again a moment later. So the least important
    /// take the swings; a shortage that lasts reaches the others a second later.
    fn held_level(&self, now: Duration, service: &str, level: f64) -> f64 {
        let Some(known) = self.services.get(service) else {
            return level;
        };
        let held = known.held.get().map_or(level, |(held, at)| {
            let passed_s = now.saturating_sub(at).as_secs_f64();
            level + (held - level) * (-passed_s / HELD_S).exp()
        });
        let held = held.max(level);
        known.held.set(Some((held, now)));
        held
    }

    /// How long a service that has this level now has been short.
    fn short_for(&self, now: Duration, service: &str, level: f64) -> Duration {
        let Some(known) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let is_short = level < SHORT_LEVEL;
        let since = is_short.then(|| known.short_since.get().unwrap_or(now));
        known.short_since.set(since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
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
            let calls = levels.calls_at(now, service);
            for (priority, offered) in levels.offered_at(now, priority) {
                let load = calls * offered;
                all += load;
                if priority < request.priority {
                    before += load;
                } else if priority == request.priority {
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

impl ServiceLevels {
    /// The mean over the gates, by what they can run; else what others heard.
    fn told(&self, now: Duration) -> Option<Told> {
        let fresh = self.gates.values().filter(|gate| now < gate.told + LAPSE);
        let (mut level, mut capacity_per_s, mut newest) = (0.0, 0.0, Duration::ZERO);
        let mut slots_count = 0.0;
        for gate in fresh {
            let weight = gate.capacity_per_s.max(1.0);
            level += weight * gate.at(now);
            capacity_per_s += weight;
            slots_count += weight * gate.work_s;
            newest = newest.max(gate.told);
        }
        if capacity_per_s == 0.0 {
            return self.heard;
        }
        Some(Told {
            level: level / capacity_per_s,
            capacity_per_s,
            work_s: slots_count / capacity_per_s,
            told: newest,
        })
    }
}

impl RouteLevels {
    /// Takes in a request.
    fn offer(&mut self, now: Duration, rank: Priority) {
        if !self.offered.contains_key(&rank) && self.offered.len() >= RANKS_LIMIT_COUNT {
            self.offered
                .retain(|_, offered| offered.at(now) > OFFERED_FIRST);
        }
        self.offered.entry(rank).or_default().add(now);
    }

    /// Requests offered, by rank; the few of the first moment have the rank of the route. Only
    /// their proportion to those of other routes counts.
    fn offered_at(&self, now: Duration, rank: Priority) -> Vec<(Priority, f64)> {
        if self.offered.is_empty() {
            return vec![(rank, OFFERED_FIRST)];
        }
        let offered = self.offered.iter();
        offered
            .map(|(rank, offered)| (*rank, offered.at(now)))
            .collect()
    }

    /// Calls that a request makes at a service.
    fn calls_at(&self, now: Duration, service: &str) -> f64 {
        let known = self.known.values().filter_map(|known| known.get(now));
        let outside = known.filter(|news| news.is_from_outside);
        let reached = outside.flat_map(|news| &news.leads_to);
        let calls = reached.filter(|(reached, _)| reached == service);
        let calls: f32 = calls.map(|(_, calls)| *calls).sum();
        f64::from(calls)
    }
}

impl Offered {
    fn at(&self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        OFFERED_FIRST.max(self.count * 0.5_f64.powf(passed_s / OFFERED_HALF_LIFE_S))
    }

    fn add(&mut self, now: Duration) {
        self.count = self.at(now) + 1.0;
        self.at = now;
    }
}

impl Told {
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.told);
        if age <= FRESH {
            return self.level;
        }
        let faded = (age - FRESH).as_secs_f64() / (LAPSE - FRESH).as_secs_f64();
        self.level + (1.0 - self.level) * faded.min(1.0)
    }
}
