//! What backend servers of other hosts have told this node about themselves.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{
    BackendLife,
    routed::{KnownLimit, RateReport},
};

/// Lives that are remembered. Only those that named something are, and few do at a time.
const LIVES_LIMIT_COUNT: usize = 1_024;

/// What lives of backend servers told with the answers that this node has passed on.
///
/// A host that is gone from the members for a while, or whose node starts again, comes back as
/// the same life, and what it told holds on.
#[derive(Debug, Default)]
pub(super) struct ToldLives {
    lives: HashMap<BackendLife, Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    at: Duration,
    limit_milli_per_s: u64,
}

impl ToldLives {
    /// Takes in the limit that came with an answer of a life, or that there is none.
    pub(super) fn on_limit(&mut self, now: Duration, life: &BackendLife, rate: Option<RateReport>) {
        let Some(rate) = rate else {
            self.lives.remove(life);
            return;
        };
        let told = Told {
            at: now,
            limit_milli_per_s: rate.limit_milli_per_s,
        };
        if let Some(known) = self.lives.get_mut(life) {
            *known = told;
            return;
        }
        self.make_room();
        self.lives.insert(life.clone(), told);
    }

    /// The limit that a life told.
    pub(super) fn limit(&self, now: Duration, life: &BackendLife) -> Option<KnownLimit> {
        if self.lives.is_empty() {
            return None;
        }
        let told = self.lives.get(life)?;
        Some(KnownLimit {
            limit_milli_per_s: told.limit_milli_per_s,
            age_ms: now.saturating_sub(told.at).as_millis() as u64,
        })
    }

    /// Forgets the life that told something longest ago, if there are too many.
    fn make_room(&mut self) {
        if self.lives.len() < LIVES_LIMIT_COUNT {
            return;
        }
        let oldest = self.lives.iter().min_by_key(|(_, told)| told.at);
        if let Some(oldest) = oldest.map(|(life, _)| life.clone()) {
            self.lives.remove(&oldest);
        }
    }
}
