//! What backend servers of other hosts have told this node about themselves.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{
    BackendLife, InstanceId,
    routed::{KnownLimit, RateReport},
};

/// Lives that are remembered. Only those that named something are, and few do at a time.
const LIVES_LIMIT_COUNT: usize = 1_024;

/// What lives of backend servers told with the answers that this node has passed on.
///
/// A host that is gone from the members for a while, or whose node starts again, comes back as
/// the same life, and what it told holds on. A node that has just started may not know yet when
/// the life of its backend server began: then the id alone tells it.
#[derive(Debug, Default)]
pub(super) struct ReportedLives {
    lives: HashMap<InstanceId, Told>,
}

/// What one life told.
#[derive(Clone, Debug)]
struct Told {
    life: BackendLife,
    at: Duration,
    limit_milli_per_s: Option<u64>,
    is_leaving: bool,
}

impl ReportedLives {
    /// Takes in the limit that came with an answer of a life, or that there is none.
    pub(super) fn on_limit(&mut self, now: Duration, life: &BackendLife, rate: Option<RateReport>) {
        if rate.is_none() && self.get(life).is_none() {
            return;
        }
        let told = self.told_mut(now, life);
        told.limit_milli_per_s = rate.map(|rate| rate.limit_milli_per_s);
        if rate.is_none() && !told.is_leaving {
            self.lives.remove(&life.instance);
        }
    }

    /// A life has said that it leaves, which holds for good.
    pub(super) fn on_leaving(&mut self, now: Duration, life: &BackendLife) {
        self.told_mut(now, life).is_leaving = true;
    }

    /// Whether a life has said that it leaves.
    pub(super) fn is_leaving(&self, life: &BackendLife) -> bool {
        self.get(life).is_some_and(|told| told.is_leaving)
    }

    /// The limit that a life told.
    pub(super) fn limit(&self, now: Duration, life: &BackendLife) -> Option<KnownLimit> {
        let told = self.get(life)?;
        Some(KnownLimit {
            limit_milli_per_s: told.limit_milli_per_s?,
            age_ms: now.saturating_sub(told.at).as_millis() as u64,
        })
    }

    fn get(&self, life: &BackendLife) -> Option<&Told> {
        if self.lives.is_empty() {
            return None;
        }
        let told = self.lives.get(&life.instance);
        told.filter(|told| told.life.may_be(life))
    }

    fn told_mut(&mut self, now: Duration, life: &BackendLife) -> &mut Told {
        let new = Told {
            life: life.clone(),
            at: now,
            limit_milli_per_s: None,
            is_leaving: false,
        };
        if !self.lives.contains_key(&life.instance) {
            self.make_room();
        }
        let told = self.lives.entry(life.instance.clone());
        let told = told.or_insert_with(|| new.clone());
        if !told.life.may_be(life) {
            *told = new;
        }
        told.at = now;
        told
    }

    /// Forgets the life that told something longest ago, if there are too many.
    fn make_room(&mut self) {
        if self.lives.len() < LIVES_LIMIT_COUNT {
            return;
        }
        let oldest = self.lives.iter().min_by_key(|(_, told)| told.at);
        if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
            self.lives.remove(&oldest);
        }
    }
}
