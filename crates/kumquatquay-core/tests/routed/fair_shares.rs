//! How the room for requests of one priority is shared among workspaces.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{FairShares, ShareGroup};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

fn group() -> ShareGroup {
    ShareGroup {
        service: String::from("schedule"),
        priority: 1,
    }
}

#[test]
fn a_workspace_below_its_share_is_always_admitted() {
    let mut shares = FairShares::default();
    for _ in 0..90 {
        shares.on_request(at_ms(0), &group(), "hot", 1.0, 0.5);
    }
    for _ in 0..9 {
        shares.on_request(at_ms(0), &group(), "normal", 1.0, 0.5);
    }
    assert_eq!(
        shares.on_request(at_ms(60), &group(), "normal", 1.0, 0.5),
        1.0
    );
    let hot = shares.on_request(at_ms(60), &group(), "hot", 1.0, 0.5);
    assert!((0.4..0.5).contains(&hot), "{hot}");
}

#[test]
fn the_only_workspace_has_the_common_probability() {
    let mut shares = FairShares::default();
    for _ in 0..200 {
        shares.on_request(at_ms(0), &group(), "only", 1.0, 0.3);
    }
    let later = shares.on_request(at_ms(60), &group(), "only", 1.0, 0.3);
    assert!((later - 0.3).abs() < 0.01, "{later}");
}

#[test]
fn without_room_no_workspace_is_admitted() {
    let mut shares = FairShares::default();
    for claimant in ["a", "b", "a"] {
        assert_eq!(
            shares.on_request(at_ms(0), &group(), claimant, 1.0, 0.0),
            0.0
        );
    }
}

/// Claimants and groups beyond those that are remembered also get a valid admission probability.
#[test]
fn any_number_of_claimants_gets_a_valid_probability() {
    let mut shares = FairShares::default();
    for claimant in 0..5_000 {
        let name = format!("w{claimant}");
        let admission_probability = shares.on_request(at_ms(0), &group(), &name, 1.0, 0.5);
        assert!((0.0..=1.0).contains(&admission_probability));
    }
    for priority in 0..5_000 {
        let group = ShareGroup {
            priority,
            ..group()
        };
        assert!((0.0..=1.0).contains(&shares.on_request(at_ms(0), &group, "w", 1.0, 0.5)));
    }
}

/// How entries choose which requests to admit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// All with the same admission probability.
    Uniform,
    /// By fair shares of what each entry has seen itself.
    Shares,
    /// By fair shares of what all entries have seen, which no real entry knows.
    GlobalShares,
}

const ENTRIES: usize = 79;
const WORKSPACES: usize = 82;
const HOT: usize = 3;
const PER_S: f64 = 1_000.0;

/// Refused shares of the requests of normal and of hot workspaces.
#[derive(Debug)]
struct RefusedShares {
    normal: f64,
    hot: f64,
    /// Admitted requests over those that there was room for.
    used: f64,
}

/// Simulates 82 workspaces of different sizes, up to three of which are hot and send `times` times
/// what they usually do. There is room for what all usually send. Each workspace sends to `spread`
/// entries. The admission probability follows the admitted load with a delay of half a second.
fn simulate(policy: Policy, seed: u64, times: f64, spread: usize) -> RefusedShares {
    let mut random = StdRng::seed_from_u64(seed);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| FairShares::default()).collect();
    let sizes: Vec<f64> = (0..WORKSPACES)
        .map(|index| 1.0 / (index as f64 + 10.0))
        .collect();
    let total: f64 = sizes.iter().sum();
    let hot: Vec<usize> = (0..HOT).map(|_| random.random_range(0..20)).collect();
    let mut admission_probabilities = VecDeque::from(vec![1.0; 5]);
    let (mut offered, mut refused) = ([0.0; 2], [0.0; 2]);
    let (mut admitted, mut load) = (0.0, 1.0);
    for step in 0..200_u32 {
        let now = Duration::from_millis(100) * step;
        let admission_probability = admission_probabilities.pop_front().unwrap();
        let admitted_before = admitted;
        for (workspace, size) in sizes.iter().enumerate() {
            let is_hot = hot.contains(&workspace);
            let times = if is_hot { times } else { 1.0 };
            let mean = PER_S / 10.0 * size / total * times;
            let sent = (mean + random.random::<f64>()) as u32;
            for _ in 0..sent {
                let entry = (workspace * 31 + random.random_range(0..spread)) % ENTRIES;
                let name = format!("w{workspace}");
                let own_probability = match policy {
                    Policy::Uniform => admission_probability,
                    Policy::Shares | Policy::GlobalShares if admission_probability >= 1.0 => 1.0,
                    Policy::GlobalShares => {
                        entries[0].on_request(now, &group(), &name, 1.0, admission_probability)
                    }
                    Policy::Shares => {
                        entries[entry].on_request(now, &group(), &name, 1.0, admission_probability)
                    }
                };
                let is_refused = random.random::<f64>() >= own_probability;
                admitted += f64::from(u8::from(!is_refused));
                offered[usize::from(is_hot)] += 1.0;
                refused[usize::from(is_hot)] += f64::from(u8::from(is_refused));
            }
        }
        load += 0.4 * ((admitted - admitted_before) / (PER_S / 10.0) - load);
        let latest = *admission_probabilities
            .back()
            .unwrap_or(&admission_probability);
        let target: f64 = admission_probability / load.max(0.1);
        admission_probabilities.push_back((latest + 0.2 * (target.min(1.0) - latest)).min(1.0));
    }
    RefusedShares {
        normal: refused[0] / offered[0],
        hot: refused[1] / offered[1],
        used: admitted / (200.0 * PER_S / 10.0),
    }
}

/// Three workspaces send 4.5 or 7.5 times what they usually do. With the same admission probability
/// for all, the others would lose as large a share of their requests as these. By fair shares they
/// lose half of that at the most, and the room is used as much.
#[test]
fn normal_workspaces_lose_little_to_hot_ones() {
    for seed in 1..=3 {
        for times in [4.5, 7.5] {
            let uniform = simulate(Policy::Uniform, seed, times, ENTRIES);
            let by_shares = simulate(Policy::Shares, seed, times, ENTRIES);
            let by_global_shares = simulate(Policy::GlobalShares, seed, times, ENTRIES);
            assert!(by_global_shares.normal <= by_shares.normal);
            assert!(by_shares.normal <= 0.5 * uniform.normal);
            assert!(by_shares.hot <= 0.8);
            assert!((by_shares.used - uniform.used).abs() <= 0.02);
        }
    }
}

/// Each workspace sends to three entries only, so an entry sees few workspaces and doesn't know
/// what they send to others. Normal workspaces must not lose more than without fair shares all the
/// same.
#[test]
fn normal_workspaces_at_few_entries_lose_no_more_than_without_shares() {
    for seed in 1..=3 {
        let uniform = simulate(Policy::Uniform, seed, 7.5, 3);
        let by_shares = simulate(Policy::Shares, seed, 7.5, 3);
        assert!(by_shares.normal <= uniform.normal);
    }
}
