//! Which routes people use, and which backend servers call.

use kumquatquay_core::routed::CallerCensus;

use crate::at_ms;

const SERVICES: [&str; 4] = ["archive", "settlement", "survey", "register"];

fn census(route: &str, callers: &[&str]) -> CallerCensus {
    let mut census = CallerCensus::default();
    for caller in callers {
        census.called(at_ms(0), route, caller);
    }
    census
}

macro_rules! from_outside {
    ($($name:ident: $callers:expr, $services_count:literal => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let census = census("route", &$callers);
                let found = census.is_from_outside(at_ms(10), "route", $services_count);
                assert_eq!(found, $expected);
            }
        )*
    };
}

from_outside! {
    hosts_of_all_services: SERVICES, 4 => true;
    hosts_of_three_of_four: SERVICES[..3], 4 => true;
    hosts_of_two_of_four: SERVICES[..2], 4 => false;
    hosts_of_one_service: SERVICES[..1], 4 => false;
    one_service_of_two: SERVICES[..1], 2 => false;
    nobody: [""; 0], 4 => false;
}

#[test]
fn callers_are_forgotten() {
    let census = census("route", &SERVICES);
    assert!(!census.is_from_outside(at_ms(25_000), "route", 4));
}
