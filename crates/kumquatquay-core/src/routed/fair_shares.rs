//! Fair shares of the room for requests of one priority.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{ServiceName, routed::Priority};

/// Half-life of the demand of a claimant.
const DEMAND_HALF_LIFE_S: f64 = 4.0;

/// Limit of the claimants that are tracked for one service and priority.
const MAX_CLAIMANTS_COUNT: usize = 1_024;

/// Limit of the pairs of service and priority that are tracked.
const MAX_GROUPS_COUNT: usize = 256;

/// Demand below which a claimant is dropped when there are too many, in seconds of slot time.
const MIN_TRACKED_WORK: f64 = 0.01;

/// How long a computed share is reused.
const SHARE_TTL: Duration = Duration::from_millis(50);

/// Requests that compete for the room of a service: those of one priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShareGroup {
    /// The overloaded service.
    pub service: ServiceName,
    /// Priority of the requests.
    pub priority: Priority,
}

/// Recent demand of each claimant at one entry, for max-min fair shares.
///
/// It protects workspaces from others that send many times their usual load and so overload a
/// service. With random refusals all of them would lose the same part of their requests. With
/// max-min fairness each gets what it asks for up to an equal share, and only the excess is
/// refused.
#[derive(Debug, Default)]
pub struct FairShares {
    groups: HashMap<ShareGroup, Group>,
}

#[derive(Debug, Default)]
struct Group {
    demands: HashMap<String, Demand>,
    cached_share: Option<CachedShare>,
    last_request: Duration,
}

/// Exponentially decaying demand of a claimant.
#[derive(Clone, Copy, Debug)]
struct Demand {
    work: f64,
    updated: Duration,
}

#[derive(Clone, Copy, Debug)]
struct CachedShare {
    share: f64,
    updated: Duration,
}

impl FairShares {
    /// Records a request of a claimant that causes this work, and returns the admission probability
    /// of the claimant if that of all requests is `admission_probability`.
    ///
    /// The more room there is, the less the work of this request itself counts: an entry sees so
    /// few requests of a workspace with normal load that each one would look like many. Without
    /// any room the result is 0. Claimants are workspaces, or routes for callers without a
    /// workspace.
    pub fn on_request(
        &mut self,
        now: Duration,
        group: &ShareGroup,
        claimant: &str,
        work: f64,
        admission_probability: f64,
    ) -> f64 {
        if !self.groups.contains_key(group) {
            self.evict_group(now);
            self.groups.insert(group.clone(), Group::default());
        }
        let Some(group) = self.groups.get_mut(group) else {
            return admission_probability;
        };
        group.last_request = now;
        let Some(before) = group.add_demand(now, claimant, work) else {
            return admission_probability;
        };
        let counted_work = before + (1.0 - admission_probability) * work;
        let share = group.share(now, admission_probability);
        if counted_work <= share {
            return 1.0;
        }
        share / counted_work
    }

    /// Drops the least recently used group if there are too many.
    fn evict_group(&mut self, now: Duration) {
        if self.groups.len() < MAX_GROUPS_COUNT {
            return;
        }
        let age = |group: &Group| now.saturating_sub(group.last_request);
        let oldest = self.groups.iter().max_by_key(|(_, group)| age(group));
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.groups.remove(&oldest);
        }
    }
}

impl Group {
    /// Adds to the demand of a claimant and returns the demand before; `None` if there are too many
    /// claimants to track it.
    fn add_demand(&mut self, now: Duration, claimant: &str, work: f64) -> Option<f64> {
        if let Some(demand) = self.demands.get_mut(claimant) {
            let before = demand.work_at(now);
            demand.work = before + work;
            demand.updated = now;
            return Some(before);
        }
        if self.demands.len() >= MAX_CLAIMANTS_COUNT {
            self.demands
                .retain(|_, demand| demand.work_at(now) >= MIN_TRACKED_WORK);
        }
        if self.demands.len() >= MAX_CLAIMANTS_COUNT {
            return None;
        }
        let demand = Demand { work, updated: now };
        self.demands.insert(String::from(claimant), demand);
        Some(0.0)
    }

    /// Largest demand that is admitted in full.
    fn share(&mut self, now: Duration, admission_probability: f64) -> f64 {
        if let Some(cached) = self.cached_share
            && now < cached.updated + SHARE_TTL
        {
            return cached.share;
        }
        let demands = self.demands.values().map(|demand| demand.work_at(now));
        let share = max_min_share(demands.collect(), admission_probability);
        self.cached_share = Some(CachedShare {
            share,
            updated: now,
        });
        share
    }
}

impl Demand {
    fn work_at(self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.work * 0.5_f64.powf(passed_s / DEMAND_HALF_LIFE_S)
    }
}

/// The max-min fair share: if each demand is capped at it, the sum is `admitted_ratio` of all
/// demand.
fn max_min_share(mut demands: Vec<f64>, admitted_ratio: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut room = admitted_ratio * demands.iter().sum::<f64>();
    let mut left_count = demands.len() as f64;
    for work in demands {
        let equal = room / left_count;
        if work >= equal {
            return equal;
        }
        room -= work;
        left_count -= 1.0;
    }
    f64::INFINITY
}
