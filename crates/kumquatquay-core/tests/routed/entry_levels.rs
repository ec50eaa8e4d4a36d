//! Which whole requests are let in.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_core::routed::{EntryLevels, EntryRequest, Shortage};
use kumquatquay_wire::routed::{GateReport, RouteNews, ServiceDemand};
use quickcheck::quickcheck;

use crate::at_ms;

const ROUTES: [(&str, &str, u32, bool); 4] = [
    ("history", "archive", 2, true),
    ("settle", "settlement", 0, true),
    ("upload", "survey", 1, true),
    ("lookup", "register", 1, false),
];

fn ranks() -> BTreeMap<String, u32> {
    let ranks = ROUTES.map(|(route, _, priority, _)| (String::from(route), priority));
    BTreeMap::from(ranks)
}

/// Calls at a service of which no gate has told how long they run.
fn demand(service: &str, calls: f32) -> ServiceDemand {
    ServiceDemand {
        service: String::from(service),
        calls,
        work_us: 0,
    }
}

/// History and settlements make eight calls each at the register, uploads none.
fn levels() -> EntryLevels {
    let mut levels = EntryLevels::default();
    for (route, service, _, is_from_outside) in ROUTES {
        let mut leads_to = vec![demand(service, 1.0)];
        if route == "history" || route == "settle" {
            leads_to.push(demand("register", 8.0));
        }
        let news = RouteNews {
            is_from_outside,
            is_settled: true,
            leads_to,
        };
        levels.on_route(at_ms(0), route, service, gate(1), news);
    }
    levels
}

fn gate(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], number))
}

fn tell(levels: &mut EntryLevels, at: u64, gate: u16, level: f64) {
    let report = GateReport {
        limit_count: 30,
        work_us: 22_000,
        level_permille: (level * 1_000.0) as u16,
        ..GateReport::default()
    };
    let gate = SocketAddr::from(([10, 0, 0, 1], gate));
    levels.on_gate(at_ms(at), "register", gate, &report);
}

fn admit(levels: &mut EntryLevels, at: u64, route: &str, place: f64) -> Result<(), Shortage> {
    let (_, service, priority, _) = ROUTES
        .into_iter()
        .find(|(name, ..)| *name == route)
        .unwrap();
    let request = EntryRequest {
        route,
        service,
        priority,
        place,
    };
    levels.admit(at_ms(at), &request, &ranks())
}

fn is_let_in(levels: &mut EntryLevels, at: u64, route: &str, place: f64) -> bool {
    admit(levels, at, route, place).is_ok()
}

/// Two histories are offered for each settlement.
fn offer(levels: &mut EntryLevels) {
    for _ in 0..100 {
        offer_at(levels, 0);
    }
}

fn offer_at(levels: &mut EntryLevels, at: u64) {
    is_let_in(levels, at, "history", 0.0);
    is_let_in(levels, at, "history", 0.0);
    is_let_in(levels, at, "settle", 0.0);
}

/// The register has room for half of what is offered: all settlements, a third of
/// the load, and a quarter of the histories.
#[test]
fn the_less_important_are_refused_first() {
    let mut levels = levels();
    offer(&mut levels);
    tell(&mut levels, 0, 1, 0.5);
    assert!(is_let_in(&mut levels, 1, "settle", 0.99));
    assert!(is_let_in(&mut levels, 1, "history", 0.2));
    assert!(!is_let_in(&mut levels, 1, "history", 0.3));
}

#[test]
fn a_route_is_not_refused_for_a_service_that_it_does_not_lead_to() {
    let mut levels = levels();
    offer(&mut levels);
    tell(&mut levels, 0, 1, 0.02);
    assert!(is_let_in(&mut levels, 1, "upload", 0.99));
    assert!(!is_let_in(&mut levels, 1, "settle", 0.5));
}

/// Refused here, one of eight calls would end a whole request that was let in.
#[test]
fn calls_of_runs_under_way_are_let_in() {
    let mut levels = levels();
    offer(&mut levels);
    tell(&mut levels, 0, 1, 0.02);
    assert!(is_let_in(&mut levels, 1, "lookup", 0.99));
}

#[test]
fn the_gates_of_a_service_count_by_what_they_can_run() {
    let mut levels = levels();
    tell(&mut levels, 0, 1, 0.2);
    tell(&mut levels, 0, 2, 0.6);
    let (level, _) = levels.level(at_ms(1), "register").unwrap();
    assert!((level - 0.4).abs() < 0.01, "{level}");
}

/// A history makes eight calls at the register, where one takes 22 ms.
#[test]
fn a_request_weighs_the_slot_time_of_its_calls() {
    let mut levels = levels();
    tell(&mut levels, 0, 1, 0.5);
    let works = levels.work_at(at_ms(1), "history", "archive");
    let register = works.iter().find(|work| work.service == "register");
    let work = register.expect("histories lead to the register").work;
    assert!(work.abs_diff(Duration::from_millis(176)) < Duration::from_millis(1));
    assert!(levels.work_at(at_ms(1), "unheard", "archive").is_empty());
}

/// A backend server has joined and has run no call yet. Its gate tells no time, which isn't a call
/// that takes none: taken for that, requests would seem to need half of what they do.
#[test]
fn a_gate_that_has_run_no_call_tells_no_time() {
    let mut levels = levels();
    tell(&mut levels, 0, 1, 0.5);
    let joined = GateReport {
        limit_count: 30,
        work_us: 0,
        ..GateReport::default()
    };
    levels.on_gate(at_ms(0), "register", gate(2), &joined);
    let works = levels.work_at(at_ms(1), "history", "archive");
    let register = works.iter().find(|work| work.service == "register");
    let work = register.expect("histories lead to the register").work;
    assert!(work.abs_diff(Duration::from_millis(176)) < Duration::from_millis(1));
}

/// Why the last of a rank is refused.
fn refusal(levels: &mut EntryLevels, at: u64, route: &str) -> Shortage {
    admit(levels, at, route, 0.999).unwrap_err()
}

/// An engineer asks why a history was refused: three quarters of them are, and the
/// register has been short for ten seconds.
#[test]
fn a_refusal_tells_the_chance_and_how_long_the_shortage_lasts() {
    let mut levels = levels();
    for at in (0..=10_000).step_by(100) {
        offer_at(&mut levels, at);
        tell(&mut levels, at, 1, 0.5);
    }
    let shortage = refusal(&mut levels, 10_000, "history");
    assert!((shortage.chance - 0.25).abs() < 0.02, "{shortage:?}");
    assert!(shortage.lasts >= Duration::from_millis(9_900));
}

#[test]
fn a_shortage_that_was_over_begins_anew() {
    let mut levels = levels();
    offer(&mut levels);
    for (at, level) in [(0, 0.1), (5_000, 1.0), (6_000, 0.1)] {
        tell(&mut levels, at, 1, level);
        is_let_in(&mut levels, at, "history", 0.9);
    }
    tell(&mut levels, 6_300, 1, 0.1);
    let shortage = refusal(&mut levels, 6_300, "history");
    assert_eq!(shortage.lasts, Duration::from_millis(300));
}

/// Nobody reaches the register any more, and its last word was that it has no room.
/// Shutting requests out for good would keep anybody from finding out more.
#[test]
fn an_old_level_fades() {
    let mut levels = levels();
    offer(&mut levels);
    tell(&mut levels, 0, 1, 0.02);
    assert!(!is_let_in(&mut levels, 500, "history", 0.9));
    assert!(is_let_in(&mut levels, 2_100, "history", 0.9));
}

/// A node that has just started hasn't seen yet where a route leads. Its word must
/// not open the entries to what they have learnt to hold back.
#[test]
fn a_young_nodes_word_does_not_replace_what_is_known() {
    let mut levels = levels();
    offer(&mut levels);
    let news = RouteNews {
        is_from_outside: false,
        is_settled: false,
        leads_to: vec![demand("archive", 1.0)],
    };
    levels.on_route(at_ms(100), "history", "archive", gate(1), news);
    tell(&mut levels, 100, 1, 0.02);
    assert!(!is_let_in(&mut levels, 101, "history", 0.9));
}

/// What a gate of the service has learnt of uploads there.
fn tell_uploads(levels: &mut EntryLevels, number: u16, calls: f32, is_settled: bool) {
    let mut leads_to = vec![demand("survey", 1.0)];
    if calls > 0.0 {
        leads_to.push(demand("register", calls));
    }
    let news = RouteNews {
        is_from_outside: true,
        is_settled,
        leads_to,
    };
    levels.on_route(at_ms(0), "upload", "survey", gate(number), news);
}

fn calls_of_uploads(levels: &EntryLevels) -> f32 {
    let leads_to = levels.leads_to(at_ms(1), "upload", "survey").iter();
    let calls = leads_to.filter(|demand| demand.service == "register");
    calls.map(|demand| demand.calls).sum()
}

/// Uploads call nothing. At one host of ten their runs were taken to make the calls of others
/// that ran beside them. Told last, that host's word had uploads refused everywhere for a service
/// that they never reach.
#[test]
fn one_host_that_is_wrong_moves_nobody() {
    let mut levels = EntryLevels::default();
    for number in 1..=9 {
        tell_uploads(&mut levels, number, 0.0, true);
    }
    tell_uploads(&mut levels, 10, 9.4, true);
    assert_eq!(calls_of_uploads(&levels), 0.0);
}

#[test]
fn the_middle_of_what_hosts_say_counts() {
    let mut levels = EntryLevels::default();
    for (number, calls) in [(1, 1.7), (2, 3.9), (3, 6.8), (4, 3.4), (5, 3.6)] {
        tell_uploads(&mut levels, number, calls, true);
    }
    assert_eq!(calls_of_uploads(&levels), 3.6);
}

/// Hosts that have just started know nothing; that isn't the same as no calls, and doesn't count
/// beside hosts that have seen enough.
#[test]
fn hosts_that_know_nothing_yet_say_nothing() {
    let mut levels = EntryLevels::default();
    for number in 1..=4 {
        tell_uploads(&mut levels, number, 0.0, false);
    }
    tell_uploads(&mut levels, 5, 4.0, false);
    tell_uploads(&mut levels, 6, 2.0, false);
    assert_eq!(calls_of_uploads(&levels), 3.0);
    tell_uploads(&mut levels, 7, 8.0, true);
    assert_eq!(calls_of_uploads(&levels), 8.0);
}

/// The level swings around what there is room for, and dips below the share of the settlements
/// for three tenths of a second of each. Refused then, they would be refused beside histories that
/// are let in before and after.
#[test]
fn the_less_important_take_the_swings_of_a_level() {
    let mut levels = levels();
    let mut refused = BTreeMap::from([("settle", 0), ("history", 0)]);
    for step in 0..200 {
        let at = step * 20;
        offer_at(&mut levels, at);
        let is_dip = at % 1_000 >= 700;
        tell(&mut levels, at, 1, if is_dip { 0.25 } else { 0.55 });
        for route in ["settle", "history"] {
            let is_refused = !is_let_in(&mut levels, at, route, 0.9);
            *refused.get_mut(route).unwrap() += u32::from(is_refused);
        }
    }
    assert_eq!(refused["settle"], 0);
    assert!(refused["history"] > 100, "{refused:?}");
}

/// A shortage that lasts reaches the settlements after a second or two: they are refused when
/// the register has no room for all of them.
#[test]
fn a_shortage_that_lasts_reaches_the_important() {
    let mut levels = levels();
    for at in (0..3_000).step_by(20) {
        offer_at(&mut levels, at);
        tell(&mut levels, at, 1, 0.1);
    }
    assert!(!is_let_in(&mut levels, 3_000, "settle", 0.9));
    assert!(is_let_in(&mut levels, 3_000, "settle", 0.1));
}

/// A node of another version tells counts that no run can make. They are passed over: what is
/// known holds, and nobody is refused for them.
#[test]
fn news_that_makes_no_sense_is_passed_over() {
    let mut levels = levels();
    for calls in [f32::NAN, f32::INFINITY, -1.0, 1e30] {
        let news = RouteNews {
            is_from_outside: true,
            is_settled: true,
            leads_to: vec![demand("register", calls)],
        };
        assert!(!levels.on_route(at_ms(0), "upload", "survey", gate(9), news));
    }
    assert_eq!(calls_of_uploads(&levels), 0.0);
    offer(&mut levels);
    tell(&mut levels, 0, 1, 0.02);
    assert!(is_let_in(&mut levels, 1, "upload", 0.99));
}

/// A histories' call at the register runs eight times as long as one of the settlements: of the
/// room for half of the work they get what the settlements leave.
#[test]
fn a_route_counts_by_the_slot_time_of_its_calls() {
    let mut levels = EntryLevels::default();
    for (route, service, work_us) in [
        ("history", "archive", 176_000),
        ("settle", "settlement", 22_000),
    ] {
        let register = ServiceDemand {
            work_us,
            ..demand("register", 1.0)
        };
        let news = RouteNews {
            is_from_outside: true,
            is_settled: true,
            leads_to: vec![demand(service, 1.0), register],
        };
        assert!(levels.on_route(at_ms(0), route, service, gate(1), news));
    }
    for _ in 0..200 {
        is_let_in(&mut levels, 0, "history", 0.0);
        is_let_in(&mut levels, 0, "settle", 0.0);
    }
    tell(&mut levels, 0, 1, 0.5);
    assert!(is_let_in(&mut levels, 1, "settle", 0.99));
    assert!(is_let_in(&mut levels, 1, "history", 0.42));
    assert!(!is_let_in(&mut levels, 1, "history", 0.46));
}

/// A node tells a time that is over a thousand times as long as what the gates of the service
/// measure. It is passed over: nobody is refused for it.
#[test]
fn news_of_work_that_makes_no_sense_is_passed_over() {
    let mut levels = levels();
    tell(&mut levels, 0, 1, 1.0);
    let told = |work_us| RouteNews {
        is_from_outside: true,
        is_settled: true,
        leads_to: vec![ServiceDemand {
            work_us,
            ..demand("register", 8.0)
        }],
    };
    let gate = gate(2);
    assert!(!levels.on_route(at_ms(0), "history", "archive", gate, told(u32::MAX)));
    assert!(!levels.on_route(at_ms(0), "history", "archive", gate, told(177_000_000)));
    assert!(levels.on_route(at_ms(0), "history", "archive", gate, told(1_760_000)));
}

quickcheck! {
    /// Whatever other nodes tell of routes and levels: nothing ends the process, what is believed
    /// are counts, and uploads that two sound gates of three say to call nothing are let in.
    fn any_news_leaves_counts(
        told: Vec<(u8, u32, bool, bool)>,
        level_permille: u16,
        failed_permille: u16
    ) -> bool {
        let mut levels = levels();
        for number in 1..=2 {
            tell_uploads(&mut levels, number, 0.0, true);
        }
        for (route, calls_bits, is_settled, is_from_outside) in told {
            let (route, service, ..) = ROUTES[usize::from(route) % ROUTES.len()];
            let calls = f32::from_bits(calls_bits);
            let news = RouteNews {
                is_from_outside,
                is_settled,
                leads_to: vec![demand("register", calls)],
            };
            levels.on_route(at_ms(0), route, service, gate(3), news);
        }
        let report = GateReport {
            limit_count: 30,
            work_us: u32::MAX,
            level_permille,
            failed_permille,
            ..GateReport::default()
        };
        levels.on_gate(at_ms(1), "register", gate(4), &report);
        offer_at(&mut levels, 1);
        let all = ROUTES.iter().flat_map(|(route, ..)| levels.leads_to_all(at_ms(1), route));
        let are_counts = all.into_iter().all(|demand| demand.calls.is_finite() && demand.calls >= 0.0);
        are_counts && is_let_in(&mut levels, 1, "upload", 0.99)
    }
}
