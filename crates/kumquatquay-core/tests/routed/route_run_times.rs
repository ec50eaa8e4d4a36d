//! The mean run times of calls at a gate, by route.

use std::time::Duration;

use kumquatquay_core::routed::{RouteRunTime, RouteRunTimes};
use quickcheck::quickcheck;

use crate::at_ms;

fn run(route: &str, run_time_ms: u64) -> RouteRunTime<'_> {
    RouteRunTime {
        route,
        run_time: at_ms(run_time_ms),
    }
}

/// Run times of 2,000 calls, of which one in fifty runs for 880 ms and the others for 55 ms.
fn mixed() -> RouteRunTimes {
    let mut run_times = RouteRunTimes::default();
    for number in 0..2_000 {
        let is_long = number % 50 == 49;
        run_times.record(if is_long {
            run("times", 880)
        } else {
            run("quote", 55)
        });
    }
    run_times
}

#[test]
fn each_route_has_its_own_run_time() {
    let run_times = mixed();
    let deviation = |route, run_time_ms| run_times.estimate(route).abs_diff(at_ms(run_time_ms));
    assert!(deviation("times", 880) < at_ms(1));
    assert!(deviation("quote", 55) < at_ms(1));
}

/// The mean run time of all calls is 71.5 ms. If only the last twenty calls counted, it would be
/// 110 ms after a long call, and the gate would seem to have two thirds of its capacity.
#[test]
fn a_rare_long_call_hardly_changes_the_mean() {
    let run_times = mixed();
    let mean_ms = run_times.mean().as_secs_f64() * 1e3;
    assert!((68.0..76.0).contains(&mean_ms), "{mean_ms}");
}

#[test]
fn an_unknown_route_has_the_mean_run_time() {
    let run_times = mixed();
    assert_eq!(run_times.route_mean("unheard"), None);
    assert_eq!(run_times.estimate("unheard"), run_times.mean());
}

#[test]
fn without_routes_all_calls_have_the_same_run_time() {
    let mut run_times = RouteRunTimes::default().without_routes();
    for _ in 0..100 {
        run_times.record(run("quote", 40));
        run_times.record(run("times", 80));
    }
    assert_eq!(run_times.estimate("quote"), run_times.estimate("times"));
}

quickcheck! {
    /// However many routes there are, at most 64 are kept apart, and the mean is between the
    /// shortest and the longest run time.
    fn the_mean_is_within_bounds_for_any_routes(runs: Vec<(u16, u16)>) -> bool {
        let mut run_times = RouteRunTimes::default();
        for (route, run_time_ms) in &runs {
            run_times.record(run(&route.to_string(), u64::from(*run_time_ms)));
        }
        let times = runs.iter().map(|(_, run_time_ms)| at_ms(u64::from(*run_time_ms)));
        let (Some(shortest), Some(longest)) = (times.clone().min(), times.max()) else {
            return !run_times.is_known();
        };
        let slack = Duration::from_micros(1);
        let mean = run_times.mean();
        run_times.routes().len() <= 64 && mean + slack >= shortest && mean <= longest + slack
    }
}
