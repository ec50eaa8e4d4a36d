//! What a node knows of the pressure on one service.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::routed::{GateReport, ServicePressure};

/// Time for which a level counts as it was told.
const FRESH: Duration = Duration::from_millis(600);

/// Time after which a level that was not told again counts no more; in between it
/// fades. A gate that nobody reaches any more must not shut requests out.
pub(super) const LAPSE: Duration = Duration::from_millis(2_000);

/// Level below which a service counts as short; above it the noise of a gate's level
/// would count as the end of a shortage.
const SHORT_LEVEL: f64 = 0.97;

/// Time in which the level for requests that are not of the lowest rank falls to a third of a
/// step down, in seconds.
const HELD_S: f64 = 1.0;

/// Levels of a service: of its gates that this node calls, and what others heard.
#[derive(Debug, Default)]
pub(super) struct ServiceLevels {
    gates: HashMap<SocketAddr, Told>,
    heard: Option<Told>,
    /// Since when the service is short without a break, as this entry has seen it.
    short_since: Cell<Option<Duration>>,
    /// A level that falls slowly, and when it was that.
    held: Cell<Option<(f64, Duration)>>,
}

/// What was told of a gate, or of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Told {
    /// Share of the offered load that there is room for.
    pub(super) level: f64,
    /// Calls a second that the gate can run.
    capacity_per_s: f64,
    /// Mean time that it takes to run a call, in seconds; 0 while it isn't known.
    pub(super) work_s: f64,
    /// Whether its backend server advertises a rate limit.
    is_limited: bool,
    /// When it was told.
    pub(super) told: Duration,
}

impl ServiceLevels {
    /// Takes in what a gate tells.
    pub(super) fn on_gate(&mut self, now: Duration, gate: SocketAddr, report: &GateReport) {
        let told = Told {
            level: report.level(),
            capacity_per_s: self.capacity_per_s(report),
            work_s: report.work().as_secs_f64(),
            is_limited: report.rate.is_some(),
            told: now,
        };
        self.gates.insert(gate, told);
        self.gates.retain(|_, gate| now < gate.told + LAPSE);
    }

    /// Calls a second that a gate can run; one that has run none yet is taken to be like
    /// the others of its service.
    fn capacity_per_s(&self, report: &GateReport) -> f64 {
        let work_s = report.work().as_secs_f64();
        let by_slots = if work_s > 0.0 {
            f64::from(report.limit_count) / work_s
        } else {
            let known = self.gates.values().map(|gate| gate.capacity_per_s);
            known.fold(f64::from(report.limit_count), f64::min)
        };
        let by_rate = report.rate.map(|rate| rate.limit_per_s());
        by_rate.map_or(by_slots, |by_rate| by_slots.min(by_rate))
    }

    /// Takes in what another node knows.
    pub(super) fn on_pressure(&mut self, now: Duration, pressure: &ServicePressure) {
        let told = now.saturating_sub(Duration::from_millis(u64::from(pressure.age_ms)));
        if self.heard.is_none_or(|heard| told > heard.told) {
            self.heard = Some(Told {
                level: f64::from(pressure.level),
                capacity_per_s: 0.0,
                work_s: 0.0,
                is_limited: false,
                told,
            });
        }
    }

    /// The mean over the gates, by what they can run; else what others heard.
    ///
    /// What a gate refuses for a rate limit goes to the others, whose levels tell whether there is
    /// room for it. Counted beside theirs, its low level would refuse requests that they have
    /// room for; it counts where all gates have limits.
    pub(super) fn told(&self, now: Duration) -> Option<Told> {
        let is_fresh = |gate: &&Told| now < gate.told + LAPSE;
        let mut fresh = self.gates.values().filter(is_fresh);
        let has_unlimited = fresh.any(|gate| !gate.is_limited);
        let fresh = self.gates.values().filter(is_fresh);
        let fresh = fresh.filter(|gate| !has_unlimited || !gate.is_limited);
        let (mut level, mut capacity_per_s, mut newest) = (0.0, 0.0, Duration::ZERO);
        // A gate that has run no call tells no time.
        let (mut timed_per_s, mut busy_count) = (0.0, 0.0);
        for gate in fresh {
            let weight = gate.capacity_per_s.max(1.0);
            level += weight * gate.at(now);
            capacity_per_s += weight;
            if gate.work_s > 0.0 {
                timed_per_s += weight;
                busy_count += weight * gate.work_s;
            }
            newest = newest.max(gate.told);
        }
        if capacity_per_s == 0.0 {
            return self.heard;
        }
        Some(Told {
            level: level / capacity_per_s,
            capacity_per_s,
            work_s: if timed_per_s > 0.0 {
                busy_count / timed_per_s
            } else {
                0.0
            },
            is_limited: !has_unlimited,
            told: newest,
        })
    }

    /// Mean time of a call, in seconds, if a gate has told it.
    pub(super) fn work_s(&self, now: Duration) -> Option<f64> {
        let told = self.told(now)?;
        (told.work_s > 0.0).then_some(told.work_s)
    }

    /// The level that counts for requests that are not of the lowest rank: it falls slowly.
    ///
    /// A level swings around what there is room for. Where it dips below the share of the more
    /// important for some tenths of a second, these would be refused beside less important
    /// ones that were let in a moment before, and are again a moment later. So the least important
    /// take the swings; a shortage that lasts reaches the others a second later.
    pub(super) fn held_level(&self, now: Duration, level: f64) -> f64 {
        let held = self.held.get().map_or(level, |(held, at)| {
            let passed_s = now.saturating_sub(at).as_secs_f64();
            level + (held - level) * (-passed_s / HELD_S).exp()
        });
        let held = held.max(level);
        self.held.set(Some((held, now)));
        held
    }

    /// How long a service that has this level now has been short.
    pub(super) fn short_for(&self, now: Duration, level: f64) -> Duration {
        let is_short = level < SHORT_LEVEL;
        let since = is_short.then(|| self.short_since.get().unwrap_or(now));
        self.short_since.set(since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

impl Told {
    /// The level, faded if it is old.
    pub(super) fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.told);
        if age <= FRESH {
            return self.level;
        }
        let faded = (age - FRESH).as_secs_f64() / (LAPSE - FRESH).as_secs_f64();
        self.level + (1.0 - self.level) * faded.min(1.0)
    }
}
