//! Which routes people use, and which backend servers call.

use kumquatquay_core::routed::RouteCallers;

use crate::at_ms;

const SERVICES: [&str; 4] = ["archive", "settlement", "survey", "register"];

fn census(route: &str, callers: &[&str]) -> RouteCallers {
    let mut census = RouteCallers::default();
    for caller in callers {
        census.record_call(at_ms(0), route, caller);
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

/// The first surge at one of many hosts, which gets a few look-ups a second: most come from
/// hosts of its own service and of another large one. Until it is known that people use the
/// route, none is refused for want of room, and nearly all are lost on the way.
#[test]
fn the_first_calls_of_a_route_of_people_show_it() {
    let mut census = RouteCallers::at("archive");
    for caller in ["settlement", "archive", "archive", "settlement"] {
        census.record_call(at_ms(0), "history", caller);
    }
    assert!(census.is_from_outside(at_ms(10), "history", 4));
}

/// Backend servers of two other services call it: these calls are parts of whole requests that
/// were let in.
#[test]
fn the_first_calls_of_two_other_services_are_not_of_people() {
    let mut census = RouteCallers::at("register");
    for caller in ["settlement", "archive", "archive", "settlement"] {
        census.record_call(at_ms(0), "lookup", caller);
    }
    assert!(!census.is_from_outside(at_ms(10), "lookup", 4));
}

/// A service calls itself and is called by another one. After some calls more it shows that
/// nobody else calls: they are not of people.
#[test]
fn a_service_that_calls_itself_is_found_out() {
    let mut census = RouteCallers::at("archive");
    for call in 0..100 {
        let caller = if call % 2 == 0 { "archive" } else { "survey" };
        census.record_call(at_ms(0), "part", caller);
    }
    assert!(!census.is_from_outside(at_ms(10), "part", 4));
}
