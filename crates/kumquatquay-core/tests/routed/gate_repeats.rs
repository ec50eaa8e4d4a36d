//! Calls that a backend server turns away though it has slots.

use std::time::Duration;

use kumquatquay_core::routed::{GateRetries, RejectedCall, RetryBudget};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.06;

fn repeats() -> GateRetries {
    GateRetries::new(RetryBudget::new(WINDOW, RATIO, 0.0))
}

/// What became of the calls of one kind.
#[derive(Default)]
struct Counts {
    calls: u32,
    served: u32,
    repeats: u32,
}

impl Counts {
    fn served_ratio(&self) -> f64 {
        f64::from(self.served) / f64::from(self.calls)
    }
}

/// Hands a call over until it is served or given up.
fn hand_over(
    repeats: &mut GateRetries,
    at: u64,
    is_from_outside: bool,
    turns_away: &mut impl FnMut() -> bool,
    counts: &mut Counts,
) {
    counts.calls += 1;
    repeats.on_call(at_ms(at));
    for hand_overs_count in 1.. {
        let is_turned_away = turns_away();
        repeats.on_result(is_turned_away);
        if !is_turned_away {
            counts.served += 1;
            return;
        }
        let call = RejectedCall {
            is_from_outside,
            hand_overs_count,
        };
        if !repeats.take(at_ms(at), call) {
            return;
        }
        counts.repeats += 1;
    }
}

/// For ten seconds all is well: 21 calls of runs for each look-up of a person. Then
/// the servers of the service turn 55 of 100 calls away, for eight seconds. Runs of
/// eight calls are lost whatever is repeated, and spend the budget within the first
/// moment. A look-up is one call: with the budget kept for those nearly all are
/// served.
#[test]
fn what_needs_one_call_is_served_while_a_service_sheds() {
    let mut repeats = repeats();
    let mut random = StdRng::seed_from_u64(1);
    let (mut outside, mut inner) = (Counts::default(), Counts::default());
    for at in 0..18_000 {
        let is_shedding = at >= 10_000;
        let mut turns_away = || is_shedding && random.random_bool(0.55);
        for call in 0..3 {
            let is_from_outside = at % 7 == 0 && call == 0;
            let mut before = Counts::default();
            let counts = match (is_shedding, is_from_outside) {
                (false, _) => &mut before,
                (true, true) => &mut outside,
                (true, false) => &mut inner,
            };
            hand_over(&mut repeats, at, is_from_outside, &mut turns_away, counts);
        }
    }
    assert!(outside.served_ratio() > 0.9, "{}", outside.served_ratio());
    assert!(inner.served_ratio() < 0.5, "{}", inner.served_ratio());
}

/// One call of fifty is turned away: each run that would lose one of its eight calls
/// is saved.
#[test]
fn calls_of_runs_are_repeated_while_few_are_turned_away() {
    let mut repeats = repeats();
    let mut random = StdRng::seed_from_u64(2);
    let mut inner = Counts::default();
    for at in 0..10_000 {
        let mut turns_away = || random.random_bool(0.02);
        hand_over(&mut repeats, at, false, &mut turns_away, &mut inner);
    }
    assert!(inner.served_ratio() > 0.995, "{}", inner.served_ratio());
}

quickcheck! {
    /// Whatever is turned away, repeats stay within the budget.
    fn repeats_stay_within_the_budget(turned_away: Vec<bool>) -> bool {
        let mut repeats = repeats();
        let mut counts = Counts::default();
        let mut turned_away = turned_away.into_iter().cycle();
        let mut turns_away = || turned_away.next().unwrap_or(true);
        for at in 0..5_000 {
            hand_over(&mut repeats, at, at % 2 == 0, &mut turns_away, &mut counts);
        }
        f64::from(counts.repeats) <= RATIO * f64::from(counts.calls)
    }
}
