//! Shares what room there is for one rank among those who ask for it.

use std::{collections::HashMap, time::Duration};

use kumquatquay_wire::{ServiceName, routed::Priority};

/// Time in which what was asked for counts half.
const ASKED_HALF_LIFE_S: f64 = 4.0;

/// Those who ask that are remembered for one service and rank.
const CLAIMANTS_LIMIT_COUNT: usize = 1_024;

/// Services and ranks that are remembered.
const GROUPS_LIMIT_COUNT: usize = 256;

/// Work below which a claimant is forgotten.
const FORGOTTEN_WORK: f64 = 0.01;

/// How long a share that was worked out counts.
const SHARE_LIFETIME: Duration = Duration::from_millis(50);

/// Requests that compete for the room of a service: those of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShareGroup {
    /// The service that is short.
    pub service: ServiceName,
    /// Their rank.
    pub priority: Priority,
}

/// Who asked for how much room lately, as one entry has seen it.
///
/// It answers the pattern in which some workspaces send many times what they usually do, and a
/// service is short for all. Refused by chance, those who send as always lose the same part of
/// their requests. By max-min shares everyone gets what it asks for up to a share that is the same
/// for all, and only what is beyond that is refused.
#[derive(Debug, Default)]
pub struct FairShares {
    groups: HashMap<ShareGroup, Group>,
}

#[derive(Debug, Default)]
struct Group {
    asked: HashMap<String, Asked>,
    worked_out: Option<WorkedOut>,
    asked_last: Duration,
}

/// Work that was asked for; what is long ago counts less.
#[derive(Clone, Copy, Debug)]
struct Asked {
    work: f64,
    at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WorkedOut {
    share: f64,
    at: Duration,
}

impl FairShares {
    /// Takes in that a claimant asks for room for so much work, and tells the chance that it has
    /// when the chance of all is `chance`.
    ///
    /// What it asks for now counts against it the less, the more room there is: an entry sees so
    /// few requests of a calm workspace that each one would look like many. Without any room
    /// nobody has a chance. Claimants are workspaces, or the routes of callers that belong to
    /// none.
    pub fn on_request(
        &mut self,
        now: Duration,
        group: &ShareGroup,
        claimant: &str,
        work: f64,
        chance: f64,
    ) -> f64 {
        if !self.groups.contains_key(group) {
            self.make_room(now);
            self.groups.insert(group.clone(), Group::default());
        }
        let Some(group) = self.groups.get_mut(group) else {
            return chance;
        };
        group.asked_last = now;
        let Some(before) = group.ask(now, claimant, work) else {
            return chance;
        };
        let counted = before + (1.0 - chance) * work;
        let share = group.share(now, chance);
        if counted <= share {
            return 1.0;
        }
        share / counted
    }

    /// Forgets the group that was asked last the longest ago, if there are too many.
    fn make_room(&mut self, now: Duration) {
        if self.groups.len() < GROUPS_LIMIT_COUNT {
            return;
        }
        let age = |group: &Group| now.saturating_sub(group.asked_last);
        let oldest = self.groups.iter().max_by_key(|(_, group)| age(group));
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.groups.remove(&oldest);
        }
    }
}

impl Group {
    /// What a claimant has asked for before it asks for more; `None` if there are too many of
    /// them to be told apart.
    fn ask(&mut self, now: Duration, claimant: &str, work: f64) -> Option<f64> {
        if let Some(asked) = self.asked.get_mut(claimant) {
            let before = asked.work_at(now);
            asked.work = before + work;
            asked.at = now;
            return Some(before);
        }
        if self.asked.len() >= CLAIMANTS_LIMIT_COUNT {
            self.asked
                .retain(|_, asked| asked.work_at(now) >= FORGOTTEN_WORK);
        }
        if self.asked.len() >= CLAIMANTS_LIMIT_COUNT {
            return None;
        }
        let asked = Asked { work, at: now };
        self.asked.insert(String::from(claimant), asked);
        Some(0.0)
    }

    /// What each may have at the most.
    fn share(&mut self, now: Duration, chance: f64) -> f64 {
        if let Some(known) = self.worked_out
            && now < known.at + SHARE_LIFETIME
        {
            return known.share;
        }
        let asked = self.asked.values().map(|asked| asked.work_at(now));
        let share = max_min_share(asked.collect(), chance);
        self.worked_out = Some(WorkedOut { share, at: now });
        share
    }
}

impl Asked {
    fn work_at(self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.work * 0.5_f64.powf(passed_s / ASKED_HALF_LIFE_S)
    }
}

/// The share up to which everyone gets what it asks for, such that all together get the given
/// part.
fn max_min_share(mut asked: Vec<f64>, part: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut room = part * asked.iter().sum::<f64>();
    let mut left_count = asked.len() as f64;
    for work in asked {
        let equal = room / left_count;
        if work >= equal {
            return equal;
        }
        room -= work;
        left_count -= 1.0;
    }
    f64::INFINITY
}
