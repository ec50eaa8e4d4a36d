//! Who gets the room that there is for one rank.

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
fn who_asks_for_less_than_its_share_gets_all() {
    let mut shares = FairShares::default();
    for _ in 0..90 {
        shares.ask(at_ms(0), &group(), "hot", 1.0, 0.5);
    }
    for _ in 0..9 {
        shares.ask(at_ms(0), &group(), "calm", 1.0, 0.5);
    }
    assert_eq!(shares.ask(at_ms(60), &group(), "calm", 1.0, 0.5), 1.0);
    let hot = shares.ask(at_ms(60), &group(), "hot", 1.0, 0.5);
    assert!((0.4..0.5).contains(&hot), "{hot}");
}

#[test]
fn who_is_alone_has_the_chance_of_all() {
    let mut shares = FairShares::default();
    for _ in 0..200 {
        shares.ask(at_ms(0), &group(), "only", 1.0, 0.3);
    }
    let later = shares.ask(at_ms(60), &group(), "only", 1.0, 0.3);
    assert!((later - 0.3).abs() < 0.01, "{later}");
}

#[test]
fn without_room_nobody_has_a_chance() {
    let mut shares = FairShares::default();
    for claimant in ["a", "b", "a"] {
        assert_eq!(shares.ask(at_ms(0), &group(), claimant, 1.0, 0.0), 0.0);
    }
}

#[test]
fn any_number_of_claimants_takes_bounded_memory() {
    let mut shares = FairShares::default();
    for claimant in 0..5_000 {
        let name = format!("w{claimant}");
        let chance = shares.ask(at_ms(0), &group(), &name, 1.0, 0.5);
        assert!((0.0..=1.0).contains(&chance));
    }
    for rank in 0..5_000 {
        let group = ShareGroup {
            priority: rank,
            ..group()
        };
        assert!((0.0..=1.0).contains(&shares.ask(at_ms(0), &group, "w", 1.0, 0.5)));
    }
}

/// How entries choose whom to let in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Chance,
    /// By what each entry has seen itself.
    Shares,
    /// By what all have seen together, which none of them can know.
    Known,
}

const ENTRIES: usize = 79;
const WORKSPACES: usize = 82;
const HOT: usize = 3;
const PER_S: f64 = 1_000.0;

/// Parts of the requests of the calm and of the hot workspaces that are refused.
#[derive(Debug)]
struct Lost {
    calm: f64,
    hot: f64,
    /// Let in, over the room there was.
    used: f64,
}

/// Eighty workspaces of unlike size send as always, three send `times` as much, and there is
/// room for what all send usually. Each workspace sends to `spread` entries. The chance follows what
/// was let in half a second ago.
fn play(way: Way, seed: u64, times: f64, spread: usize) -> Lost {
    let mut random = StdRng::seed_from_u64(seed);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| FairShares::default()).collect();
    let sizes: Vec<f64> = (0..WORKSPACES)
        .map(|place| 1.0 / (place as f64 + 10.0))
        .collect();
    let whole: f64 = sizes.iter().sum();
    let hot: Vec<usize> = (0..HOT).map(|_| random.random_range(0..20)).collect();
    let mut chances = VecDeque::from(vec![1.0; 5]);
    let (mut asked, mut refused) = ([0.0; 2], [0.0; 2]);
    let (mut let_in, mut load) = (0.0, 1.0);
    for span in 0..200_u32 {
        let now = Duration::from_millis(100) * span;
        let chance = chances.pop_front().unwrap();
        let let_in_before = let_in;
        for (workspace, size) in sizes.iter().enumerate() {
            let is_hot = hot.contains(&workspace);
            let times = if is_hot { times } else { 1.0 };
            let mean = PER_S / 10.0 * size / whole * times;
            let sent = (mean + random.random::<f64>()) as u32;
            for _ in 0..sent {
                let entry = (workspace * 31 + random.random_range(0..spread)) % ENTRIES;
                let name = format!("w{workspace}");
                let own = match way {
                    Way::Chance => chance,
                    Way::Shares | Way::Known if chance >= 1.0 => 1.0,
                    Way::Known => entries[0].ask(now, &group(), &name, 1.0, chance),
                    Way::Shares => entries[entry].ask(now, &group(), &name, 1.0, chance),
                };
                let is_refused = random.random::<f64>() >= own;
                let_in += f64::from(u8::from(!is_refused));
                asked[usize::from(is_hot)] += 1.0;
                refused[usize::from(is_hot)] += f64::from(u8::from(is_refused));
            }
        }
        load += 0.4 * ((let_in - let_in_before) / (PER_S / 10.0) - load);
        let newest = *chances.back().unwrap_or(&chance);
        let wanted: f64 = chance / load.max(0.1);
        chances.push_back((newest + 0.2 * (wanted.min(1.0) - newest)).min(1.0));
    }
    Lost {
        calm: refused[0] / asked[0],
        hot: refused[1] / asked[1],
        used: let_in / (200.0 * PER_S / 10.0),
    }
}

/// Three workspaces send 4.5 and 7.5 times what they usually do.
#[test]
fn calm_workspaces_lose_little_to_hot_ones() {
    for seed in 1..=3 {
        for times in [4.5, 7.5] {
            let by_chance = play(Way::Chance, seed, times, ENTRIES);
            let shared = play(Way::Shares, seed, times, ENTRIES);
            let known = play(Way::Known, seed, times, ENTRIES);
            assert!(known.calm <= shared.calm);
            assert!(shared.calm <= 0.5 * by_chance.calm);
            assert!(shared.hot <= 0.8);
            assert!((shared.used - by_chance.used).abs() <= 0.02);
        }
    }
}

/// An entry that sees few workspaces can't tell who is hot elsewhere.
#[test]
fn with_callers_at_few_entries_the_calm_lose_no_more_than_by_chance() {
    for seed in 1..=3 {
        let by_chance = play(Way::Chance, seed, 7.5, 3);
        let shared = play(Way::Shares, seed, 7.5, 3);
        assert!(shared.calm <= by_chance.calm);
    }
}
