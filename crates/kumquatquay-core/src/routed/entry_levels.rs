//! Decides at the entry which whole requests are let in.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{Priority, RouteNews, ServicePressure},
};

/// Time for which a level counts as it was told.
const FRESH: Duration = Duration::from_millis(600);

/// Time after which a level that was not told again counts no more; in between it
/// fades. A gate that nobody reaches any more must not shut requests out.
const LAPSE: Duration = Duration::from_millis(2_000);

/// Time for which it counts what a route leads to.
const ROUTE_LAPSE: Duration = Duration::from_secs(30);

/// Weight of a level that another gate of the service tells against those before.
/// Calls reach all gates of a service in turn, so this is close to their mean.
const NEW_WEIGHT: f64 = 0.3;

/// Calls at a service by one request from which on its level counts for a route.
const CALLS_LEAST_COUNT: f64 = 0.2;

/// Services and routes that are remembered, of each.
const LIMIT_COUNT: usize = 1_024;

/// What a node knows of the pressure on services and of where routes lead.
///
/// All entries order requests alike: by the priority of their route, then by a
/// place of their own. A service that is short of room is felt by the last in that
/// order first, wherever they come in, and those that are let in find room at each
/// service on their way.
#[derive(Debug, Default)]
pub struct EntryLevels {
    services: HashMap<ServiceName, Told>,
    /// By route, and by the service that told it: a route may be split.
    routes: HashMap<String, BTreeMap<ServiceName, KnownRoute>>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    level: f64,
    told: Duration,
}

#[derive(Debug)]
struct KnownRoute {
    news: RouteNews,
    told: Duration,
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// Service that the route sends it to.
    pub service: &'a str,
    /// Rank of the route.
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
}

impl EntryLevels {
    /// Takes in the level of a gate of a service, as that gate tells it.
    pub fn on_gate(&mut self, now: Duration, service: &str, level: f64) {
        if let Some(told) = self.services.get_mut(service) {
            let before = told.at(now);
            told.level = before + NEW_WEIGHT * (level - before);
            told.told = now;
        } else if self.services.len() < LIMIT_COUNT {
            let told = Told { level, told: now };
            self.services.insert(ServiceName::from(service), told);
        }
    }

    /// Takes in what another node knows of a service.
    pub fn on_pressure(&mut self, now: Duration, pressure: &ServicePressure) {
        let told = now.saturating_sub(Duration::from_millis(u64::from(pressure.age_ms)));
        let is_newer = self
            .services
            .get(&pressure.service)
            .is_none_or(|known| told > known.told);
        if is_newer && self.services.len() < LIMIT_COUNT {
            let level = f64::from(pressure.level);
            self.services
                .insert(pressure.service.clone(), Told { level, told });
        }
    }

    /// Takes in what is known of a route at a service that runs its calls.
    pub fn on_route(&mut self, now: Duration, route: &str, service: &str, news: RouteNews) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= LIMIT_COUNT {
                return;
            }
            self.routes.insert(String::from(route), BTreeMap::new());
        }
        let told = self.routes.get_mut(route).expect("it was put in just now");
        told.insert(ServiceName::from(service), KnownRoute { news, told: now });
    }

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

    /// What to tell others of the services that a route leads to.
    pub fn pressures(
        &self,
        now: Duration,
        leads_to: &[(ServiceName, f32)],
    ) -> Vec<ServicePressure> {
        let known = leads_to.iter().filter_map(|(service, _)| {
            let told = self.services.get(service)?;
            let age = now.saturating_sub(told.told);
            (age < LAPSE).then(|| ServicePressure {
                service: service.clone(),
                level: told.level as f32,
                age_ms: age.as_millis() as u32,
            })
        });
        known.collect()
    }

    /// Lets a request in, or says which service has no room for it.
    ///
    /// `ranks` tells the priorities of all routes. A request that a backend server
    /// makes is part of a whole one that was let in, and is never refused here; so
    /// is one of which nothing is known yet.
    ///
    /// # Errors
    ///
    /// The service that is short of room.
    pub fn admit(
        &self,
        now: Duration,
        request: &EntryRequest<'_>,
        ranks: &BTreeMap<String, Priority>,
    ) -> Result<(), Shortage> {
        let news = self.known_at(now, request.route, request.service);
        let Some(news) = news.filter(|news| news.is_from_outside) else {
            return Ok(());
        };
        let reached = news.leads_to.iter();
        let reached = reached.filter(|(_, calls)| f64::from(*calls) >= CALLS_LEAST_COUNT);
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
        let Some(told) = self.services.get(service) else {
            return Ok(());
        };
        let level = told.at(now);
        if level >= 1.0 {
            return Ok(());
        }
        let priorities = self.priorities_at(now, service, request.priority, ranks);
        let before_count = priorities.range(..request.priority).count();
        let order = (before_count as f64 + request.place) / priorities.len() as f64;
        if order < level {
            return Ok(());
        }
        Err(Shortage {
            service: ServiceName::from(service),
            level,
            age: now.saturating_sub(told.told),
        })
    }

    /// Priorities of the routes from outside that lead to a service.
    fn priorities_at(
        &self,
        now: Duration,
        service: &str,
        own: Priority,
        ranks: &BTreeMap<String, Priority>,
    ) -> BTreeSet<Priority> {
        let leading = self.routes.keys().filter(|route| {
            let mut known = self.known(now, route);
            known.any(|(_, news)| news.is_from_outside && news.reaches(service))
        });
        let priorities = leading.filter_map(|route| ranks.get(route).copied());
        priorities.chain([own]).collect()
    }

    fn known(
        &self,
        now: Duration,
        route: &str,
    ) -> impl Iterator<Item = (&ServiceName, &RouteNews)> {
        let known = self.routes.get(route).into_iter().flatten();
        let fresh = known.filter(move |(_, known)| now < known.told + ROUTE_LAPSE);
        fresh.map(|(service, known)| (service, &known.news))
    }

    fn known_at(&self, now: Duration, route: &str, service: &str) -> Option<&RouteNews> {
        let known = self.routes.get(route)?.get(service)?;
        (now < known.told + ROUTE_LAPSE).then_some(&known.news)
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
