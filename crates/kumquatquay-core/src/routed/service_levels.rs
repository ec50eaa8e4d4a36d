//! Admission level of one service, from the reports of its gates and of other nodes.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::routed::{GateReport, ServicePressure};

/// Age up to which a reported level counts in full.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(600);

/// Age at which a reported level expires.
///
/// From [`FULL_WEIGHT_AGE`] on it rises linearly towards 1: a gate that nobody reaches any more
/// must not cause refusals.
pub(super) const LEVEL_EXPIRY: Duration = Duration::from_millis(2_000);

/// Level below which a service has a shortage.
///
/// With a threshold closer to 1 the noise of the gates' levels would end shortages.
const SHORTAGE_LEVEL: f64 = 0.97;

/// Time constant with which the held level follows a drop of the level.
const HELD_LEVEL_TIME_S: f64 = 1.0;

/// Levels of a service, as reported by the gates that this node calls and by other nodes.
#[derive(Debug, Default)]
pub(super) struct ServiceLevels {
    gates: HashMap<SocketAddr, LevelReport>,
    peer_report: Option<LevelReport>,
    /// Begin of the current shortage, as seen by this entry.
    shortage_since: Cell<Option<Duration>>,
    /// The held level, and when it was updated.
    held_level: Cell<Option<(f64, Duration)>>,
}

/// Reported level of a gate or of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelReport {
    /// Share of the offered load for which there is room.
    pub(super) level: f64,
    /// Calls per second that it can run.
    capacity_per_s: f64,
    /// Mean run time of a call, in seconds; 0 if it isn't known.
    pub(super) run_time_s: f64,
    /// Whether the backend server advertises a rate limit; of a service, whether all do.
    is_rate_limited: bool,
    /// When it was reported.
    pub(super) reported_at: Duration,
}

impl ServiceLevels {
    /// Records the report of a gate.
    pub(super) fn on_gate(&mut self, now: Duration, gate: SocketAddr, report: &GateReport) {
        let level_report = LevelReport {
            level: report.level(),
            capacity_per_s: self.capacity_per_s(report),
            run_time_s: report.mean_run_time().as_secs_f64(),
            is_rate_limited: report.rate.is_some(),
            reported_at: now,
        };
        self.gates.insert(gate, level_report);
        self.gates
            .retain(|_, gate| now < gate.reported_at + LEVEL_EXPIRY);
    }

    /// Calls per second that a gate can run.
    ///
    /// A gate that has run no call yet is assumed to have the capacity of the weakest other gate of
    /// its service, and at most its concurrency limit.
    fn capacity_per_s(&self, report: &GateReport) -> f64 {
        let run_time_s = report.mean_run_time().as_secs_f64();
        let by_slots = if run_time_s > 0.0 {
            f64::from(report.limit_count) / run_time_s
        } else {
            let capacities_per_s = self.gates.values().map(|gate| gate.capacity_per_s);
            capacities_per_s.fold(f64::from(report.limit_count), f64::min)
        };
        let by_rate = report.rate.map(|rate| rate.limit_per_s());
        by_rate.map_or(by_slots, |by_rate| by_slots.min(by_rate))
    }

    /// Records the level that another node reports, if it is newer than the last such report.
    pub(super) fn on_pressure(&mut self, now: Duration, pressure: &ServicePressure) {
        let reported_at = now.saturating_sub(Duration::from_millis(u64::from(pressure.age_ms)));
        if self
            .peer_report
            .is_none_or(|peer_report| reported_at > peer_report.reported_at)
        {
            self.peer_report = Some(LevelReport {
                level: f64::from(pressure.level),
                capacity_per_s: 0.0,
                run_time_s: 0.0,
                is_rate_limited: false,
                reported_at,
            });
        }
    }

    /// Mean level of the gates, weighted by their capacity; without any, the level that other nodes
    /// reported.
    ///
    /// Gates with a rate limit count only if all gates have one. What they refuse goes to the other
    /// gates, whose levels show whether there is room for it; the low level of the limited ones
    /// would refuse requests for which the others have room.
    pub(super) fn current(&self, now: Duration) -> Option<LevelReport> {
        let is_fresh = |gate: &&LevelReport| now < gate.reported_at + LEVEL_EXPIRY;
        let mut fresh = self.gates.values().filter(is_fresh);
        let has_unlimited = fresh.any(|gate| !gate.is_rate_limited);
        let fresh = self.gates.values().filter(is_fresh);
        let fresh = fresh.filter(|gate| !has_unlimited || !gate.is_rate_limited);
        let (mut level, mut capacity_per_s, mut last_reported) = (0.0, 0.0, Duration::ZERO);
        // Gates that have run no call report no run time.
        let (mut timed_capacity_per_s, mut busy_slots) = (0.0, 0.0);
        for gate in fresh {
            let weight = gate.capacity_per_s.max(1.0);
            level += weight * gate.level_at(now);
            capacity_per_s += weight;
            if gate.run_time_s > 0.0 {
                timed_capacity_per_s += weight;
                busy_slots += weight * gate.run_time_s;
            }
            last_reported = last_reported.max(gate.reported_at);
        }
        if capacity_per_s == 0.0 {
            return self.peer_report;
        }
        Some(LevelReport {
            level: level / capacity_per_s,
            capacity_per_s,
            run_time_s: if timed_capacity_per_s > 0.0 {
                busy_slots / timed_capacity_per_s
            } else {
                0.0
            },
            is_rate_limited: !has_unlimited,
            reported_at: last_reported,
        })
    }

    /// Mean run time of a call, in seconds, if a gate has reported it.
    pub(super) fn mean_run_time_s(&self, now: Duration) -> Option<f64> {
        let current = self.current(now)?;
        (current.run_time_s > 0.0).then_some(current.run_time_s)
    }

    /// The held level, which rises with `level` at once and falls slowly towards it.
    ///
    /// It applies to all but the least important requests. A level oscillates around the available
    /// room. When it drops for some tenths of a second below the share of the more important
    /// requests, some of them would be refused while less important ones are admitted just before
    /// and after. So the oscillation is left to the least important requests, and a lasting
    /// shortage reaches the others about a second later.
    pub(super) fn held_level(&self, now: Duration, level: f64) -> f64 {
        let held_level = self
            .held_level
            .get()
            .map_or(level, |(held_level, updated)| {
                let passed_s = now.saturating_sub(updated).as_secs_f64();
                level + (held_level - level) * (-passed_s / HELD_LEVEL_TIME_S).exp()
            });
        let held_level = held_level.max(level);
        self.held_level.set(Some((held_level, now)));
        held_level
    }

    /// How long the shortage of the service has lasted, if it has this level now.
    pub(super) fn shortage_duration(&self, now: Duration, level: f64) -> Duration {
        let is_short = level < SHORTAGE_LEVEL;
        let since = is_short.then(|| self.shortage_since.get().unwrap_or(now));
        self.shortage_since.set(since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

impl LevelReport {
    /// The level at this time; it rises to 1 as the report expires.
    pub(super) fn level_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at);
        if age <= FULL_WEIGHT_AGE {
            return self.level;
        }
        let faded_ratio =
            (age - FULL_WEIGHT_AGE).as_secs_f64() / (LEVEL_EXPIRY - FULL_WEIGHT_AGE).as_secs_f64();
        self.level + (1.0 - self.level) * faded_ratio.min(1.0)
    }
}
