//! Stores what backend servers of other hosts have reported about themselves.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{
    BackendLife, InstanceId,
    routed::{KnownLimit, RateReport},
};

/// Maximum number of lives that are kept. Only lives that have reported a limit, or that they
/// leave, are kept, and few do so at a time.
const LIVES_LIMIT_COUNT: usize = 1_024;

/// What backend servers have reported with the answers that this node has passed on, for each
/// life of a backend server: the time from its start to its end.
///
/// A host that is missing from the members for a while, or whose node restarts, comes back with
/// the same life, and what that life has reported stays valid. A node that has just started may
/// not know yet when the life of its backend server started; then the id alone identifies it.
#[derive(Debug, Default)]
pub(super) struct ReportedLives {
    lives: HashMap<InstanceId, Reported>,
}

/// What one life has reported.
#[derive(Clone, Debug)]
struct Reported {
    life: BackendLife,
    reported_at: Duration,
    limit_milli_per_s: Option<u64>,
    is_leaving: bool,
}

impl Reported {
    /// Whether a life tells its start, and this one doesn't.
    fn gains_start(&self, life: &BackendLife) -> bool {
        self.life.born_unix_ms.is_none() && life.born_unix_ms.is_some()
    }
}

impl ReportedLives {
    /// Records the rate limit in an answer of a life; `None` if the answer had none.
    pub(super) fn on_limit(&mut self, now: Duration, life: &BackendLife, rate: Option<RateReport>) {
        if rate.is_none() && self.get(life).is_none() {
            return;
        }
        let reported = self.entry(now, life);
        reported.limit_milli_per_s = rate.map(|rate| rate.limit_milli_per_s);
        if rate.is_none() && !reported.is_leaving {
            self.lives.remove(&life.instance);
        }
    }

    /// Records that a life leaves, which is final.
    pub(super) fn on_leaving(&mut self, now: Duration, life: &BackendLife) {
        self.entry(now, life).is_leaving = true;
    }

    /// Whether a life has reported that it leaves.
    ///
    /// A start that becomes known after a life without one has left may be a new one. The node
    /// beside it decides that: it knows of the leaving too, and asks the backend server.
    pub(super) fn is_leaving(&self, life: &BackendLife) -> bool {
        let reported = self.get(life).filter(|reported| reported.is_leaving);
        reported.is_some_and(|reported| !reported.gains_start(life))
    }

    /// The rate limit that a life has reported.
    pub(super) fn limit(&self, now: Duration, life: &BackendLife) -> Option<KnownLimit> {
        let reported = self.get(life)?;
        Some(KnownLimit {
            limit_milli_per_s: reported.limit_milli_per_s?,
            age_ms: now.saturating_sub(reported.reported_at).as_millis() as u64,
        })
    }

    fn get(&self, life: &BackendLife) -> Option<&Reported> {
        if self.lives.is_empty() {
            return None;
        }
        let reported = self.lives.get(&life.instance);
        reported.filter(|reported| reported.life.may_equal(life))
    }

    fn entry(&mut self, now: Duration, life: &BackendLife) -> &mut Reported {
        let new = Reported {
            life: life.clone(),
            reported_at: now,
            limit_milli_per_s: None,
            is_leaving: false,
        };
        if !self.lives.contains_key(&life.instance) {
            self.evict_oldest();
        }
        let reported = self.lives.entry(life.instance.clone());
        let reported = reported.or_insert_with(|| new.clone());
        if !reported.life.may_equal(life) {
            *reported = new;
        } else if reported.gains_start(life) {
            reported.life = life.clone();
            reported.is_leaving = false;
        }
        reported.reported_at = now;
        reported
    }

    /// Evicts the life that reported longest ago, if there are too many.
    fn evict_oldest(&mut self) {
        if self.lives.len() < LIVES_LIMIT_COUNT {
            return;
        }
        let oldest = self
            .lives
            .iter()
            .min_by_key(|(_, reported)| reported.reported_at);
        if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
            self.lives.remove(&oldest);
        }
    }
}
