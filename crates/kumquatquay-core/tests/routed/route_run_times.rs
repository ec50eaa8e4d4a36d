//! How long calls of each route run at a gate.

use std::time::Duration;

use kumquatquay_core::routed::{RouteRunTime, RouteRunTimes};
use quickcheck::quickcheck;

use crate::at_ms;

fn run(route: &str, work_ms: u64) -> RouteRunTime<'_> {
    RouteRunTime {
        route,
        run_time: at_ms(work_ms),
    }
}

/// One call in fifty runs for 880 ms, the others for 55.
fn mixed() -> RouteRunTimes {
    let mut works = RouteRunTimes::default();
    for number in 0..2_000 {
        let is_long = number % 50 == 49;
        works.record(if is_long {
            run("times", 880)
        } else {
            run("quote", 55)
        });
    }
    works
}

#[test]
fn each_route_has_a_time_of_its_own() {
    let works = mixed();
    let off = |route, work_ms| works.estimate(route).abs_diff(at_ms(work_ms));
    assert!(off("times", 880) < at_ms(1));
    assert!(off("quote", 55) < at_ms(1));
}

/// The mean of all calls is 71.5 ms. Just after a long call it would be 110 if the last twenty
/// counted, and what the gate has room for would seem to be two thirds.
#[test]
fn a_rare_long_call_does_not_move_the_mean() {
    let works = mixed();
    let mean_ms = works.mean().as_secs_f64() * 1e3;
    assert!((68.0..76.0).contains(&mean_ms), "{mean_ms}");
}

#[test]
fn a_route_that_was_never_seen_is_taken_for_the_mean() {
    let works = mixed();
    assert_eq!(works.route_mean("unheard"), None);
    assert_eq!(works.estimate("unheard"), works.mean());
}

#[test]
fn without_routes_all_calls_are_alike() {
    let mut works = RouteRunTimes::default().without_routes();
    for _ in 0..100 {
        works.record(run("quote", 40));
        works.record(run("times", 80));
    }
    assert_eq!(works.estimate("quote"), works.estimate("times"));
}

quickcheck! {
    /// However many routes there are, few are told apart, and the mean lies between the shortest
    /// and the longest time.
    fn any_routes_leave_a_mean(runs: Vec<(u16, u16)>) -> bool {
        let mut works = RouteRunTimes::default();
        for (route, work_ms) in &runs {
            works.record(run(&route.to_string(), u64::from(*work_ms)));
        }
        let times = runs.iter().map(|(_, work_ms)| at_ms(u64::from(*work_ms)));
        let (Some(least), Some(most)) = (times.clone().min(), times.max()) else {
            return !works.is_known();
        };
        let slack = Duration::from_micros(1);
        let mean = works.mean();
        works.routes().len() <= 64 && mean + slack >= least && mean <= most + slack
    }
}
