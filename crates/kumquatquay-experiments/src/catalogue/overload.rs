//! Experiments on overload.

use std::time::Duration;

use kumquatquay_standins::LoadReportMode;

use super::{association, thesis_archive};
use crate::{
    load::ResendPolicy,
    scenario::{Event, HostChoice, Phase, PhaseKind, Scenario, ServiceSpec},
};

/// Length of the phases before the trigger, in seconds.
const BEFORE_S: f64 = 6.0;

/// Length of the trigger, in seconds.
const TRIGGER_S: f64 = 8.0;

/// Load factor at which the association offers 200 requests a second.
const DOUBLE_OF_SLOWED: f64 = 2.0;

/// Load factor at which the association offers 400 requests a second.
const DOUBLE_OF_CAPACITY: f64 = 4.5;

fn phases(scenario: Scenario, trigger_load_factor: f64) -> Scenario {
    scenario
        .phase(Phase::new(PhaseKind::WarmUp, 2, 1.0))
        .phase(Phase::new(PhaseKind::Normal, 4, 1.0))
        .phase(Phase::new(PhaseKind::Trigger, 8, trigger_load_factor))
        .phase(Phase::new(PhaseKind::After, 8, 1.0))
}

fn slow_while_triggered(
    scenario: Scenario,
    service: &str,
    hosts: HostChoice,
    factor: f64,
) -> Scenario {
    let change = |factor| Event::Slowdown {
        service: service.to_owned(),
        hosts,
        factor,
    };
    scenario
        .event(BEFORE_S, change(factor))
        .event(BEFORE_S + TRIGGER_S, change(1.0))
}

/// Sends again at once, whatever the refusal says, and doesn't say so.
fn hard_resends(resends_count: u32) -> ResendPolicy {
    ResendPolicy {
        resends_count,
        pause: Duration::from_millis(50),
        heeds_retry_after: false,
        is_marked: false,
    }
}

pub(crate) fn deep_slowdown() -> Scenario {
    let mut scenario = association("deep-slowdown")
        .summary(
            "the deepest service runs at a quarter of its speed as demand surges to twice that",
        )
        .trigger_capacity_factor(0.25);
    scenario.services[0] = scenario.services[0].clone().slots_count(8);
    let scenario = phases(scenario, DOUBLE_OF_SLOWED);
    slow_while_triggered(scenario, "archive", HostChoice::All, 4.0)
}

pub(crate) fn deadline_rush() -> Scenario {
    let scenario = thesis_archive("deadline-rush")
        .summary("deposits and searches rise to twice the deepest service's capacity");
    phases(scenario, 3.67)
}

pub(crate) fn retry_storm() -> Scenario {
    let mut scenario = association("retry-storm")
        .summary("the same surge, and callers send failed requests again at once, four times");
    for class in &mut scenario.classes {
        class.resend = Some(hard_resends(4));
    }
    phases(scenario, DOUBLE_OF_CAPACITY)
}

pub(crate) fn surge_end() -> Scenario {
    let mut scenario = association("surge-end")
        .summary("a short surge of four times the capacity ends; callers send again twice");
    for class in &mut scenario.classes {
        class.resend = Some(hard_resends(2));
    }
    scenario
        .phase(Phase::new(PhaseKind::WarmUp, 2, 1.0))
        .phase(Phase::new(PhaseKind::Normal, 4, 1.0))
        .phase(Phase::new(PhaseKind::Trigger, 4, 9.5))
        .phase(Phase::new(PhaseKind::After, 12, 1.0))
}

/// The slow one says that it is idle, its peers say that they are full.
pub(crate) fn lying_load() -> Scenario {
    let mut scenario = association("lying-load")
        .summary("one of four backend servers is slow and reports idle; the others report full")
        .trigger_capacity_factor(0.8);
    scenario.services[0] =
        four_archives().load_reports(vec![LoadReportMode::AlwaysIdle, LoadReportMode::AlwaysFull]);
    let scenario = phases(scenario, 1.0);
    slow_while_triggered(scenario, "archive", HostChoice::One(0), 5.0)
}

pub(crate) fn cold_start() -> Scenario {
    let mut scenario = association("cold-start")
        .summary("a new backend server joins and is ten times slower for its first three seconds");
    scenario.services[0] = four_archives().cold_start(Duration::from_secs(3), 10.0);
    // The hosts of the start are cold too; they warm up before the load is
    // measured.
    let scenario = scenario
        .phase(Phase::new(PhaseKind::WarmUp, 4, 1.0))
        .phase(Phase::new(PhaseKind::Normal, 4, 1.0))
        .phase(Phase::new(PhaseKind::Trigger, 6, 1.0))
        .phase(Phase::new(PhaseKind::After, 4, 1.0));
    let service = String::from("archive");
    scenario.event(8.0, Event::AddHost { service })
}

pub(crate) fn slow_backend() -> Scenario {
    let mut scenario = association("slow-backend")
        .summary("one of four backend servers of the deepest service becomes ten times slower")
        .trigger_capacity_factor(0.775);
    scenario.services[0] = four_archives();
    let scenario = phases(scenario, 1.0);
    slow_while_triggered(scenario, "archive", HostChoice::One(0), 10.0)
}

/// The same capacity in smaller parts: four hosts with two slots each.
fn four_archives() -> ServiceSpec {
    let archive = ServiceSpec::new("archive").hosts_count(4);
    archive.slots_count(2).service_time_ms(40)
}
