//! The thesis archive's services, small.

use std::time::Duration;

use kumquatquay_standins::Call;

use crate::{
    load::{LoadClass, OperationNaming},
    scenario::{Scenario, ServiceSpec},
};

/// How long callers wait.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// Slots of services whose requests mostly wait for others.
const FRONT_SLOTS_COUNT: u32 = 128;

/// Searches go katalog, ozet, emanet; embargoes go ambargo, emanet; deposits
/// go to emanet.
///
/// The emanet service can run 200 requests a second and normally gets 120.
pub(crate) fn thesis_archive(name: &str) -> Scenario {
    Scenario::new(name, "emanet")
        .service(
            ServiceSpec::new("emanet")
                .slots_count(5)
                .service_time_ms(50),
        )
        .service(front("ozet", 4).call(Call::read("emanet")))
        .service(front("ambargo", 4).call(Call::effect("emanet")))
        .service(front("katalog", 2).call(Call::read("ozet")))
        .entry_services(&["katalog", "ambargo", "ozet"])
        .class(librarians())
        .class(universities())
        .class(students())
}

fn front(name: &str, service_time_ms: u64) -> ServiceSpec {
    ServiceSpec::new(name)
        .slots_count(FRONT_SLOTS_COUNT)
        .service_time_ms(service_time_ms)
}

fn librarians() -> LoadClass {
    LoadClass::new("librarian", "ambargo")
        .rate_per_s(15.0)
        .timeout(TIMEOUT)
        .filing(OperationNaming::Issued)
        .steady()
        .protected()
}

fn universities() -> LoadClass {
    LoadClass::new("university", "emanet")
        .rate_per_s(35.0)
        .timeout(TIMEOUT)
        .filing(OperationNaming::Issued)
}

fn students() -> LoadClass {
    LoadClass::new("student", "katalog")
        .rate_per_s(70.0)
        .timeout(TIMEOUT)
}
