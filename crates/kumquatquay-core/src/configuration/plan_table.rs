//! Plans that were made at this node and can be confirmed here by their id.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_wire::{ChangeId, ConfigurationChange, change_id_text};

/// Limit of the plans kept. The oldest is evicted first; it can still be confirmed by its sealed
/// text.
const PLANS_LIMIT_COUNT: usize = 256;

/// Time for which a plan is kept.
const PLAN_LIFETIME: Duration = Duration::from_secs(3_600);

/// Plans made at this node, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PlanTable {
    plans: VecDeque<(Duration, ConfigurationChange)>,
}

impl PlanTable {
    pub(super) fn insert(&mut self, now: Duration, change: ConfigurationChange) {
        self.plans.push_back((now, change));
        while self.plans.len() > PLANS_LIMIT_COUNT {
            self.plans.pop_front();
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<&ConfigurationChange> {
        let mut plans = self.plans.iter();
        let found = plans.find(|(_, change)| plan_id(change.id) == id);
        found.map(|(_, change)| change)
    }

    pub(super) fn on_tick(&mut self, now: Duration) {
        while self
            .plans
            .front()
            .is_some_and(|(made_at, _)| *made_at + PLAN_LIFETIME < now)
        {
            self.plans.pop_front();
        }
    }
}

/// The id of a plan, as operators write it.
pub(super) fn plan_id(change: ChangeId) -> String {
    format!("p-{}", change_id_text(change))
}
