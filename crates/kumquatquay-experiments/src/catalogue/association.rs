//! The clay pit operators' services, small.

use std::time::Duration;

use kumquatquay_standins::Call;

use crate::{
    load::{LoadClass, OperationNaming},
    scenario::{Scenario, ServiceSpec},
};

/// How long callers wait.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Slots of services whose requests mostly wait for others.
const FRONT_SLOTS_COUNT: u32 = 128;

/// Lookups go pitwatch, survey, archive; filings go settlement, archive.
///
/// The archive can run 200 requests a second and normally gets 120, of which
/// 40 are from the inspectors and foremen that are protected.
pub(crate) fn association(name: &str) -> Scenario {
    Scenario::new(name, "archive")
        .service(
            ServiceSpec::new("archive")
                .slots_count(4)
                .service_time_ms(40),
        )
        .service(front("survey", 3).call(Call::read("archive")))
        .service(front("settlement", 5).call(Call::read("archive")))
        .service(front("pitwatch", 2).call(Call::read("survey")))
        .entry_services(&["pitwatch", "settlement", "survey"])
        .class(inspectors())
        .class(foremen())
        .class(members())
}

fn front(name: &str, service_time_ms: u64) -> ServiceSpec {
    ServiceSpec::new(name)
        .slots_count(FRONT_SLOTS_COUNT)
        .service_time_ms(service_time_ms)
}

pub(crate) fn inspectors() -> LoadClass {
    LoadClass::new("inspector", "pitwatch")
        .rate_per_s(20.0)
        .timeout(TIMEOUT)
        .steady()
        .protected()
}

pub(crate) fn foremen() -> LoadClass {
    LoadClass::new("foreman", "settlement")
        .rate_per_s(20.0)
        .timeout(TIMEOUT)
        .filing(OperationNaming::Issued)
        .steady()
        .protected()
}

pub(crate) fn members() -> LoadClass {
    LoadClass::new("member", "pitwatch")
        .rate_per_s(80.0)
        .timeout(TIMEOUT)
}
