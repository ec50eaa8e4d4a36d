//! Routes whose runs were seen to make no calls.

use kumquatquay_core::routed::CallFreeRoutes;
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// Runs that succeed one after the other, each with requests received meanwhile.
fn run_each(routes: &mut CallFreeRoutes, requests_counts: &[u32]) {
    for requests_count in requests_counts {
        let start = routes.run_started();
        for _ in 0..*requests_count {
            routes.on_request();
        }
        routes.run_succeeded(at_ms(1_000), "lookup", start);
    }
}

/// A new node must not take runs for such that make no calls, just since it hasn't seen one.
#[test]
fn nothing_is_known_of_a_new_route() {
    let mut routes = CallFreeRoutes::default();
    assert!(!routes.contains(at_ms(1_000), "lookup"));
    run_each(&mut routes, &[0, 0, 0]);
    assert!(!routes.contains(at_ms(1_000), "lookup"));
    run_each(&mut routes, &[0]);
    assert!(routes.contains(at_ms(1_000), "lookup"));
    assert!(!routes.contains(at_ms(1_000), "search"));
}

/// Requests of callers that come beside a run hide what it does, and are no proof against it.
#[test]
fn requests_of_callers_hide_proofs() {
    let mut routes = CallFreeRoutes::default();
    run_each(&mut routes, &[1, 0, 3, 2, 0, 1, 0, 4]);
    assert!(!routes.contains(at_ms(1_000), "lookup"));
    run_each(&mut routes, &[0]);
    assert!(routes.contains(at_ms(1_000), "lookup"));
}

/// A route that was changed to make calls must not pass for one without calls for good.
#[test]
fn proofs_expire() {
    let mut routes = CallFreeRoutes::default();
    run_each(&mut routes, &[0, 0, 0, 0]);
    assert!(routes.contains(at_ms(30_000), "lookup"));
    assert!(!routes.contains(at_ms(31_000), "lookup"));
}

quickcheck! {
    /// Runs that overlap and each make a call, at any moment between their start and their end.
    fn runs_with_calls_are_never_taken_for_others(seed: u64) -> bool {
        let mut random = StdRng::seed_from_u64(seed);
        let mut routes = CallFreeRoutes::default();
        let mut in_progress = Vec::new();
        (0..2_000).all(|at| {
            if random.random_bool(0.5) {
                in_progress.push((routes.run_started(), false));
            }
            if !in_progress.is_empty() && random.random_bool(0.7) {
                let number = random.random_range(0..in_progress.len());
                let (start, has_called) = in_progress[number];
                if has_called {
                    in_progress.swap_remove(number);
                    routes.run_succeeded(at_ms(at), "search", start);
                } else {
                    in_progress[number].1 = true;
                    routes.on_request();
                }
            }
            !routes.contains(at_ms(at), "search")
        })
    }
}
