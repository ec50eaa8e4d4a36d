//! Experiments on promises that hold under faults.

use std::time::Duration;

use kumquatquay_standins::LogFault;

use super::association;
use crate::{
    load::{LoadClass, OperationNaming, ResendPolicy},
    scenario::{Arm, Event, HostChoice, Phase, PhaseKind, Scenario},
};

/// Length of the phases before the trigger, in seconds.
const BEFORE_S: f64 = 5.0;

/// Length of the trigger, in seconds.
const TRIGGER_S: f64 = 6.0;

fn phases(scenario: Scenario) -> Scenario {
    scenario
        .phase(Phase::new(PhaseKind::WarmUp, 2, 1.0))
        .phase(Phase::new(PhaseKind::Normal, 3, 1.0))
        .phase(Phase::new(PhaseKind::Trigger, 6, 1.0))
        .phase(Phase::new(PhaseKind::After, 5, 1.0))
}

/// Filings by key and by issued id, each sent at two nodes at the same time
/// and again after a failure.
fn double_filings(naming: OperationNaming, caller: &str) -> LoadClass {
    LoadClass::new(caller, "settlement")
        .rate_per_s(15.0)
        .timeout(Duration::from_secs(2))
        .filing(naming)
        .simultaneous_count(3)
        .steady()
        .protected()
}

fn patient_resends(resends_count: u32) -> ResendPolicy {
    ResendPolicy {
        resends_count,
        pause: Duration::from_millis(200),
        heeds_retry_after: true,
        is_marked: true,
    }
}

pub(crate) fn double_filing() -> Scenario {
    let scenario = association("double-filing")
        .summary("each filing arrives at three nodes at once while the log loses its answers")
        .data_centres(&["hall-a", "hall-b"])
        .arms(&[Arm::All])
        .class(double_filings(OperationNaming::Issued, "foreman-issued"))
        .class(double_filings(OperationNaming::OwnKey, "foreman-key"));
    phases(scenario)
        .event(BEFORE_S, Event::Log(LogFault::AnswerLostAfterAppend))
        .event(
            BEFORE_S + TRIGGER_S / 2.0,
            Event::Log(LogFault::Slow(Duration::from_millis(300))),
        )
        .event(BEFORE_S + TRIGGER_S, Event::Log(LogFault::None))
}

/// The archive keeps four hosts, so that a bound of two is told from none.
pub(crate) fn crashing_request() -> Scenario {
    let crashers = LoadClass::new("crasher", "pitwatch")
        .rate_per_s(0.4)
        .timeout(Duration::from_secs(1))
        .crashes("archive")
        .resend(ResendPolicy {
            resends_count: 50,
            pause: Duration::from_millis(50),
            heeds_retry_after: false,
            is_marked: false,
        });
    let mut scenario = association("crashing-request")
        .summary("requests that crash what runs them are each sent 50 times")
        .arms(&[Arm::None, Arm::All])
        .class(crashers);
    scenario.services[0] = scenario.services[0].clone().hosts_count(4).slots_count(2);
    phases(scenario)
}

pub(crate) fn drain() -> Scenario {
    let mut scenario = association("drain")
        .summary("a host of each service but the entry leaves gracefully under load")
        .arms(&[Arm::All]);
    scenario.services[0] = scenario.services[0].clone().hosts_count(3);
    let scenario = scenario.entry_services(&["pitwatch", "settlement"]);
    ["archive", "survey"]
        .iter()
        .fold(phases(scenario), |scenario, service| {
            let stop = Event::StopHosts {
                service: (*service).to_owned(),
                hosts: HostChoice::One(0),
            };
            scenario.event(BEFORE_S, stop)
        })
}

pub(crate) fn log_outage() -> Scenario {
    let by_key = LoadClass::new("foreman-key", "settlement")
        .rate_per_s(10.0)
        .timeout(Duration::from_secs(1))
        .filing(OperationNaming::OwnKey)
        .resend(patient_resends(2))
        .steady();
    let scenario = association("log-outage")
        .summary("the log closes every connection; filings go on under issued ids")
        .arms(&[Arm::All])
        .class(by_key);
    phases(scenario)
        .event(BEFORE_S, Event::Log(LogFault::Down))
        .event(BEFORE_S + TRIGGER_S, Event::Log(LogFault::None))
}

pub(crate) fn host_loss() -> Scenario {
    let mut scenario = association("host-loss")
        .summary("a host of the deepest service vanishes without a word under load")
        .arms(&[Arm::None, Arm::All])
        .trigger_capacity_factor(2.0 / 3.0);
    scenario.services[0] = scenario.services[0].clone().hosts_count(3);
    let kill = Event::KillHosts {
        service: String::from("archive"),
        hosts: HostChoice::One(0),
    };
    phases(scenario).event(BEFORE_S, kill)
}
