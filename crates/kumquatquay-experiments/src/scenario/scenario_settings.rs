//! One experiment, declared.

use std::time::Duration;

use super::{Arm, Event, Phase, PhaseKind, ServiceSpec, TimedEvent};
use crate::load::{LoadClass, LoadPhase};

/// One experiment: the services, the load on them and what happens.
///
/// # Examples
///
/// ```
/// use kumquatquay_experiments::{
///     load::LoadClass,
///     scenario::{Phase, PhaseKind, Scenario, ServiceSpec},
/// };
/// use kumquatquay_standins::Call;
///
/// let scenario = Scenario::new("example", "archive")
///     .service(ServiceSpec::new("archive"))
///     .service(ServiceSpec::new("pitwatch").call(Call::read("archive")))
///     .class(LoadClass::new("inspector", "pitwatch").rate_per_s(20.0))
///     .phase(Phase::new(PhaseKind::Normal, 5, 1.0));
/// assert_eq!(scenario.clean_attempts_count("pitwatch"), 2);
/// ```
#[derive(Clone, Debug)]
#[must_use]
pub struct Scenario {
    /// Its name on the command line.
    pub name: String,
    /// What it is about, in a sentence.
    pub summary: String,
    /// Service with the least capacity for this load.
    pub bottleneck: String,
    /// Factor on the bottleneck's capacity while the trigger lasts.
    pub trigger_capacity_factor: f64,
    /// Data centres, over which the hosts of each service are spread.
    pub data_centres: Vec<String>,
    /// Services, callees before callers.
    pub services: Vec<ServiceSpec>,
    /// Services at whose nodes callers enter; all, if empty.
    pub entry_services: Vec<String>,
    /// The load.
    pub classes: Vec<LoadClass>,
    /// Its phases, one after the other.
    pub phases: Vec<Phase>,
    /// What happens meanwhile.
    pub events: Vec<TimedEvent>,
    /// The variants of the control that it compares.
    pub arms: Vec<Arm>,
}

/// # Declaration
impl Scenario {
    /// An empty experiment, with all arms, in one data centre.
    pub fn new(name: impl Into<String>, bottleneck: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            summary: String::new(),
            bottleneck: bottleneck.into(),
            trigger_capacity_factor: 1.0,
            data_centres: vec![String::from("hall-a")],
            services: Vec::new(),
            entry_services: Vec::new(),
            classes: Vec::new(),
            phases: Vec::new(),
            events: Vec::new(),
            arms: Arm::ALL.to_vec(),
        }
    }

    /// What it is about, in a sentence.
    pub fn summary(mut self, summary: impl Into<String>) -> Self {
        self.summary = summary.into();
        self
    }

    /// Spreads the hosts over data centres.
    pub fn data_centres(mut self, names: &[&str]) -> Self {
        self.data_centres = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Factor on the bottleneck's capacity while the trigger lasts.
    pub fn trigger_capacity_factor(mut self, factor: f64) -> Self {
        self.trigger_capacity_factor = factor;
        self
    }

    /// Adds a service; callees go before callers.
    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// Lets callers enter only at the nodes of some services.
    pub fn entry_services(mut self, names: &[&str]) -> Self {
        self.entry_services = names.iter().map(|name| (*name).to_owned()).collect();
        self
    }

    /// Adds a kind of requests.
    pub fn class(mut self, class: LoadClass) -> Self {
        self.classes.push(class);
        self
    }

    /// Adds a phase after those before.
    pub fn phase(mut self, phase: Phase) -> Self {
        self.phases.push(phase);
        self
    }

    /// Adds an event, `at_s` seconds after the start of the load.
    pub fn event(mut self, at_s: f64, event: Event) -> Self {
        self.events.push(TimedEvent {
            at: Duration::from_secs_f64(at_s),
            event,
        });
        self
    }

    /// Compares only these arms.
    pub fn arms(mut self, arms: &[Arm]) -> Self {
        self.arms = arms.to_vec();
        self
    }
}

/// # Reflection
impl Scenario {
    /// The service with a name.
    pub fn get_service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Calls that one request to a service makes if nothing fails, its own
    /// included.
    pub fn clean_attempts_count(&self, service: &str) -> u32 {
        let calls = self
            .get_service(service)
            .map(|service| service.calls.iter());
        let below = calls.into_iter().flatten();
        1 + below
            .map(|call| self.clean_attempts_count(&call.service))
            .sum::<u32>()
    }

    /// Requests a second that the bottleneck can run while the trigger lasts.
    pub fn capacity_per_s(&self) -> f64 {
        let bottleneck = self.get_service(&self.bottleneck);
        bottleneck.map_or(0.0, ServiceSpec::capacity_per_s) * self.trigger_capacity_factor
    }

    /// Loads of the phases.
    pub fn load_phases(&self) -> Vec<LoadPhase> {
        self.phases.iter().map(|phase| phase.load).collect()
    }

    /// Length of all phases together.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|phase| phase.load.duration).sum()
    }

    /// Start and end of the first phase of a kind.
    pub fn get_span(&self, kind: PhaseKind) -> Option<(Duration, Duration)> {
        let mut start = Duration::ZERO;
        for phase in &self.phases {
            let end = start + phase.load.duration;
            if phase.kind == kind {
                return Some((start, end));
            }
            start = end;
        }
        None
    }
}
