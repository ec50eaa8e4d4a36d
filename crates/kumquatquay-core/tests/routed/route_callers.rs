//! Tests of the distinction between routes of outside callers and of backend servers.

use kumquatquay_core::routed::RouteCallers;

use crate::at_ms;

const SERVICES: [&str; 4] = ["archive", "settlement", "survey", "register"];

fn called_by(route: &str, callers: &[&str]) -> RouteCallers {
    let mut route_callers = RouteCallers::default();
    for caller in callers {
        route_callers.record_call(at_ms(0), route, caller);
    }
    route_callers
}

macro_rules! from_outside {
    ($($name:ident: $callers:expr, $services_count:literal => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let route_callers = called_by("route", &$callers);
                let found = route_callers.is_from_outside(at_ms(10), "route", $services_count);
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
fn callers_expire() {
    let route_callers = called_by("route", &SERVICES);
    assert!(!route_callers.is_from_outside(at_ms(25_000), "route", 4));
}

/// One of many hosts gets a few look-ups a second in the first surge, most of them from hosts of
/// its own service and of another large one. Until the route is known to be one of outside callers,
/// no request is refused at the entry for lack of capacity, and nearly all of them fail later.
#[test]
fn a_route_of_outside_callers_is_recognized_by_its_first_calls() {
    let mut route_callers = RouteCallers::at("archive");
    for caller in ["settlement", "archive", "archive", "settlement"] {
        route_callers.record_call(at_ms(0), "history", caller);
    }
    assert!(route_callers.is_from_outside(at_ms(10), "history", 4));
}

/// Backend servers of two other services call the route. Their calls belong to root requests that
/// have been admitted already.
#[test]
fn the_first_calls_of_two_other_services_are_not_from_outside() {
    let mut route_callers = RouteCallers::at("register");
    for caller in ["settlement", "archive", "archive", "settlement"] {
        route_callers.record_call(at_ms(0), "lookup", caller);
    }
    assert!(!route_callers.is_from_outside(at_ms(10), "lookup", 4));
}

/// A service calls itself and is called by another one. After more calls, no third service has
/// called the route, so it isn't one of outside callers.
#[test]
fn a_service_that_calls_itself_is_recognized() {
    let mut route_callers = RouteCallers::at("archive");
    for call in 0..100 {
        let caller = if call % 2 == 0 { "archive" } else { "survey" };
        route_callers.record_call(at_ms(0), "part", caller);
    }
    assert!(!route_callers.is_from_outside(at_ms(10), "part", 4));
}
