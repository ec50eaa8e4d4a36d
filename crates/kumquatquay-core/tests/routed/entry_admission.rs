//! Which root requests are admitted at the entry.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_core::routed::{EntryAdmission, EntryRequest, Shortage};
use kumquatquay_wire::routed::{GateReport, RouteEstimate, ServiceDemand};
use quickcheck::quickcheck;

use crate::at_ms;

const ROUTES: [(&str, &str, u32, bool); 4] = [
    ("history", "archive", 2, true),
    ("settle", "settlement", 0, true),
    ("upload", "survey", 1, true),
    ("lookup", "register", 1, false),
];

fn priorities() -> BTreeMap<String, u32> {
    let priorities = ROUTES.map(|(route, _, priority, _)| (String::from(route), priority));
    BTreeMap::from(priorities)
}

/// A demand for calls at a service whose run time no gate has reported.
fn demand(service: &str, calls: f32) -> ServiceDemand {
    ServiceDemand {
        service: String::from(service),
        calls,
        work_us: 0,
    }
}

/// History and settlement requests make eight calls each at the register, uploads none.
fn admission() -> EntryAdmission {
    let mut admission = EntryAdmission::default();
    for (route, service, _, is_from_outside) in ROUTES {
        let mut demands = vec![demand(service, 1.0)];
        if route == "history" || route == "settle" {
            demands.push(demand("register", 8.0));
        }
        let update = RouteEstimate {
            is_from_outside,
            is_settled: true,
            demands,
        };
        admission.on_route_update(at_ms(0), route, service, gate(1), update);
    }
    admission
}

fn gate(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], number))
}

fn report_level(admission: &mut EntryAdmission, now_ms: u64, gate: u16, level: f64) {
    let report = GateReport {
        limit_count: 30,
        work_us: 22_000,
        level_permille: (level * 1_000.0) as u16,
        ..GateReport::default()
    };
    let gate = SocketAddr::from(([10, 0, 0, 1], gate));
    admission.on_gate(at_ms(now_ms), "register", gate, &report);
}

fn admit(
    admission: &mut EntryAdmission,
    now_ms: u64,
    route: &str,
    tie_breaker: f64,
) -> Result<(), Shortage> {
    let (_, service, priority, _) = ROUTES
        .into_iter()
        .find(|(name, ..)| *name == route)
        .unwrap();
    let request = EntryRequest {
        route,
        service,
        priority,
        tie_breaker,
    };
    admission.admit(at_ms(now_ms), &request, &priorities())
}

fn is_admitted(admission: &mut EntryAdmission, now_ms: u64, route: &str, tie_breaker: f64) -> bool {
    admit(admission, now_ms, route, tie_breaker).is_ok()
}

/// Offers two history requests for each settlement.
fn offer(admission: &mut EntryAdmission) {
    for _ in 0..100 {
        offer_at(admission, 0);
    }
}

fn offer_at(admission: &mut EntryAdmission, now_ms: u64) {
    is_admitted(admission, now_ms, "history", 0.0);
    is_admitted(admission, now_ms, "history", 0.0);
    is_admitted(admission, now_ms, "settle", 0.0);
}

/// The register has room for half of the offered load: for all settlements, which are a third of
/// it, and for a quarter of the history requests.
#[test]
fn the_least_important_requests_are_refused_first() {
    let mut admission = admission();
    offer(&mut admission);
    report_level(&mut admission, 0, 1, 0.5);
    assert!(is_admitted(&mut admission, 1, "settle", 0.99));
    assert!(is_admitted(&mut admission, 1, "history", 0.2));
    assert!(!is_admitted(&mut admission, 1, "history", 0.3));
}

#[test]
fn a_route_is_not_refused_for_a_service_that_it_does_not_reach() {
    let mut admission = admission();
    offer(&mut admission);
    report_level(&mut admission, 0, 1, 0.02);
    assert!(is_admitted(&mut admission, 1, "upload", 0.99));
    assert!(!is_admitted(&mut admission, 1, "settle", 0.5));
}

/// Refusing one of its eight calls would fail a request that was already admitted.
#[test]
fn calls_of_admitted_requests_are_admitted() {
    let mut admission = admission();
    offer(&mut admission);
    report_level(&mut admission, 0, 1, 0.02);
    assert!(is_admitted(&mut admission, 1, "lookup", 0.99));
}

/// Gates are weighted by the calls that they can run, which are as many for both here.
#[test]
fn the_level_of_a_service_is_the_weighted_mean_of_its_gates() {
    let mut admission = admission();
    report_level(&mut admission, 0, 1, 0.2);
    report_level(&mut admission, 0, 2, 0.6);
    let (level, _) = admission.level(at_ms(1), "register").unwrap();
    assert!((level - 0.4).abs() < 0.01, "{level}");
}

/// A history request makes eight calls at the register, which take 22 ms each.
#[test]
fn the_work_of_a_request_is_the_slot_time_of_its_calls() {
    let mut admission = admission();
    report_level(&mut admission, 0, 1, 0.5);
    let works = admission.work_by_service(at_ms(1), "history", "archive");
    let register = works.iter().find(|work| work.service == "register");
    let work = register.expect("history requests reach the register").work;
    assert!(work.abs_diff(Duration::from_millis(176)) < Duration::from_millis(1));
    assert!(
        admission
            .work_by_service(at_ms(1), "unheard", "archive")
            .is_empty()
    );
}

/// A backend server has joined and has run no call yet. Its gate reports a run time of 0, which
/// means unknown. Averaged as a time, it would halve the slot time that requests seem to need.
#[test]
fn an_unknown_run_time_does_not_count_as_zero() {
    let mut admission = admission();
    report_level(&mut admission, 0, 1, 0.5);
    let joined = GateReport {
        limit_count: 30,
        work_us: 0,
        ..GateReport::default()
    };
    admission.on_gate(at_ms(0), "register", gate(2), &joined);
    let works = admission.work_by_service(at_ms(1), "history", "archive");
    let register = works.iter().find(|work| work.service == "register");
    let work = register.expect("history requests reach the register").work;
    assert!(work.abs_diff(Duration::from_millis(176)) < Duration::from_millis(1));
}

/// Why the request that is refused first among those of its priority isn't admitted.
fn refusal(admission: &mut EntryAdmission, now_ms: u64, route: &str) -> Shortage {
    admit(admission, now_ms, route, 0.999).unwrap_err()
}

/// A refusal has what an engineer needs to explain it: three quarters of the history requests
/// are refused, and the register has been overloaded for ten seconds.
#[test]
fn a_refusal_has_the_admission_probability_and_the_duration() {
    let mut admission = admission();
    for now_ms in (0..=10_000).step_by(100) {
        offer_at(&mut admission, now_ms);
        report_level(&mut admission, now_ms, 1, 0.5);
    }
    let shortage = refusal(&mut admission, 10_000, "history");
    assert!(
        (shortage.admission_probability - 0.25).abs() < 0.02,
        "{shortage:?}"
    );
    assert!(shortage.duration >= Duration::from_millis(9_900));
}

/// The duration of a shortage doesn't include an earlier one that had ended.
#[test]
fn an_ended_shortage_does_not_count_towards_the_next_one() {
    let mut admission = admission();
    offer(&mut admission);
    for (now_ms, level) in [(0, 0.1), (5_000, 1.0), (6_000, 0.1)] {
        report_level(&mut admission, now_ms, 1, level);
        is_admitted(&mut admission, now_ms, "history", 0.9);
    }
    report_level(&mut admission, 6_300, 1, 0.1);
    let shortage = refusal(&mut admission, 6_300, "history");
    assert_eq!(shortage.duration, Duration::from_millis(300));
}

/// No node reaches the register any more, and its last report was that it has no room. If
/// requests were refused for good, no node could find out whether that still holds.
#[test]
fn an_old_level_expires() {
    let mut admission = admission();
    offer(&mut admission);
    report_level(&mut admission, 0, 1, 0.02);
    assert!(!is_admitted(&mut admission, 500, "history", 0.9));
    assert!(is_admitted(&mut admission, 2_100, "history", 0.9));
}

/// A node that has just started hasn't seen yet which services a route reaches. Its update must
/// not make entries admit what they have learnt to refuse.
#[test]
fn an_update_of_a_restarted_node_does_not_replace_its_settled_one() {
    let mut admission = admission();
    offer(&mut admission);
    let update = RouteEstimate {
        is_from_outside: false,
        is_settled: false,
        demands: vec![demand("archive", 1.0)],
    };
    admission.on_route_update(at_ms(100), "history", "archive", gate(1), update);
    report_level(&mut admission, 100, 1, 0.02);
    assert!(!is_admitted(&mut admission, 101, "history", 0.9));
}

/// A gate of the survey service reports the calls that an upload makes at the register.
fn report_uploads(admission: &mut EntryAdmission, number: u16, calls: f32, is_settled: bool) {
    let mut demands = vec![demand("survey", 1.0)];
    if calls > 0.0 {
        demands.push(demand("register", calls));
    }
    let update = RouteEstimate {
        is_from_outside: true,
        is_settled,
        demands,
    };
    admission.on_route_update(at_ms(0), "upload", "survey", gate(number), update);
}

fn calls_of_uploads(admission: &EntryAdmission) -> f32 {
    let demands = admission.demands(at_ms(1), "upload", "survey").iter();
    let calls = demands.filter(|demand| demand.service == "register");
    calls.map(|demand| demand.calls).sum()
}

/// Uploads make no calls. One host of ten has attributed calls to them that other runs made at
/// the same time. If the last update counted, uploads would be refused everywhere for a service
/// that they never reach.
#[test]
fn the_wrong_update_of_one_host_has_no_effect() {
    let mut admission = EntryAdmission::default();
    for number in 1..=9 {
        report_uploads(&mut admission, number, 0.0, true);
    }
    report_uploads(&mut admission, 10, 9.4, true);
    assert_eq!(calls_of_uploads(&admission), 0.0);
}

#[test]
fn the_median_of_the_hosts_counts() {
    let mut admission = EntryAdmission::default();
    for (number, calls) in [(1, 1.7), (2, 3.9), (3, 6.8), (4, 3.4), (5, 3.6)] {
        report_uploads(&mut admission, number, calls, true);
    }
    assert_eq!(calls_of_uploads(&admission), 3.6);
}

/// Hosts that have just started have seen no calls yet, which isn't the same as a route that makes
/// none: without a settled host, only those that have seen calls count. Beside a settled host,
/// none of them counts.
#[test]
fn hosts_that_have_seen_no_calls_yet_do_not_count() {
    let mut admission = EntryAdmission::default();
    for number in 1..=4 {
        report_uploads(&mut admission, number, 0.0, false);
    }
    report_uploads(&mut admission, 5, 4.0, false);
    report_uploads(&mut admission, 6, 2.0, false);
    assert_eq!(calls_of_uploads(&admission), 3.0);
    report_uploads(&mut admission, 7, 8.0, true);
    assert_eq!(calls_of_uploads(&admission), 8.0);
}

/// The level oscillates around the room that there is, and in 300 ms of each second it is below
/// the share of the settlements. They must not be refused then, since history requests, which are
/// less important, are admitted before and after.
#[test]
fn short_dips_of_a_level_affect_only_the_least_important() {
    let mut admission = admission();
    let mut refused = BTreeMap::from([("settle", 0), ("history", 0)]);
    for step in 0..200 {
        let now_ms = step * 20;
        offer_at(&mut admission, now_ms);
        let is_dip = now_ms % 1_000 >= 700;
        report_level(&mut admission, now_ms, 1, if is_dip { 0.25 } else { 0.55 });
        for route in ["settle", "history"] {
            let is_refused = !is_admitted(&mut admission, now_ms, route, 0.9);
            *refused.get_mut(route).unwrap() += u32::from(is_refused);
        }
    }
    assert_eq!(refused["settle"], 0);
    assert!(refused["history"] > 100, "{refused:?}");
}

/// A lasting shortage also affects the settlements after a second or two: some are refused when
/// the register has no room for all of them.
#[test]
fn a_lasting_shortage_affects_the_most_important() {
    let mut admission = admission();
    for now_ms in (0..3_000).step_by(20) {
        offer_at(&mut admission, now_ms);
        report_level(&mut admission, now_ms, 1, 0.1);
    }
    assert!(!is_admitted(&mut admission, 3_000, "settle", 0.9));
    assert!(is_admitted(&mut admission, 3_000, "settle", 0.1));
}

/// A node of another version reports call counts that no run can have. The update is ignored:
/// what is known stays, and no request is refused for it.
#[test]
fn an_update_with_impossible_counts_is_ignored() {
    let mut admission = admission();
    for calls in [f32::NAN, f32::INFINITY, -1.0, 1e30] {
        let update = RouteEstimate {
            is_from_outside: true,
            is_settled: true,
            demands: vec![demand("register", calls)],
        };
        assert!(!admission.on_route_update(at_ms(0), "upload", "survey", gate(9), update));
    }
    assert_eq!(calls_of_uploads(&admission), 0.0);
    offer(&mut admission);
    report_level(&mut admission, 0, 1, 0.02);
    assert!(is_admitted(&mut admission, 1, "upload", 0.99));
}

/// The call of a history request at the register runs eight times as long as that of a
/// settlement. There is room for half of the work, of which the history requests get what the
/// settlements leave.
#[test]
fn the_load_of_a_route_is_the_slot_time_of_its_calls() {
    let mut admission = EntryAdmission::default();
    for (route, service, work_us) in [
        ("history", "archive", 176_000),
        ("settle", "settlement", 22_000),
    ] {
        let register = ServiceDemand {
            work_us,
            ..demand("register", 1.0)
        };
        let update = RouteEstimate {
            is_from_outside: true,
            is_settled: true,
            demands: vec![demand(service, 1.0), register],
        };
        assert!(admission.on_route_update(at_ms(0), route, service, gate(1), update));
    }
    for _ in 0..200 {
        is_admitted(&mut admission, 0, "history", 0.0);
        is_admitted(&mut admission, 0, "settle", 0.0);
    }
    report_level(&mut admission, 0, 1, 0.5);
    assert!(is_admitted(&mut admission, 1, "settle", 0.99));
    assert!(is_admitted(&mut admission, 1, "history", 0.42));
    assert!(!is_admitted(&mut admission, 1, "history", 0.46));
}

/// A node reports a run time of over a thousand times the mean of the service's gates. The
/// update is ignored: no request is refused for it.
#[test]
fn an_update_with_an_impossible_run_time_is_ignored() {
    let mut admission = admission();
    report_level(&mut admission, 0, 1, 1.0);
    let update = |work_us| RouteEstimate {
        is_from_outside: true,
        is_settled: true,
        demands: vec![ServiceDemand {
            work_us,
            ..demand("register", 8.0)
        }],
    };
    let gate = gate(2);
    assert!(!admission.on_route_update(at_ms(0), "history", "archive", gate, update(u32::MAX)));
    assert!(!admission.on_route_update(at_ms(0), "history", "archive", gate, update(177_000_000)));
    assert!(admission.on_route_update(at_ms(0), "history", "archive", gate, update(1_760_000)));
}

quickcheck! {
    /// Whatever other nodes report of routes and levels: nothing panics, the call counts that are
    /// used are finite and not negative, and uploads are admitted, as two of three gates report that
    /// they make no calls.
    fn any_update_leaves_valid_counts(
        updates: Vec<(u8, u32, bool, bool)>,
        level_permille: u16,
        failed_permille: u16
    ) -> bool {
        let mut admission = admission();
        for number in 1..=2 {
            report_uploads(&mut admission, number, 0.0, true);
        }
        for (route, calls_bits, is_settled, is_from_outside) in updates {
            let (route, service, ..) = ROUTES[usize::from(route) % ROUTES.len()];
            let calls = f32::from_bits(calls_bits);
            let update = RouteEstimate {
                is_from_outside,
                is_settled,
                demands: vec![demand("register", calls)],
            };
            admission.on_route_update(at_ms(0), route, service, gate(3), update);
        }
        let report = GateReport {
            limit_count: 30,
            work_us: u32::MAX,
            level_permille,
            failed_permille,
            ..GateReport::default()
        };
        admission.on_gate(at_ms(1), "register", gate(4), &report);
        offer_at(&mut admission, 1);
        let all = ROUTES.iter().flat_map(|(route, ..)| admission.all_demands(at_ms(1), route));
        let are_valid = all.into_iter().all(|demand| demand.calls.is_finite() && demand.calls >= 0.0);
        are_valid && is_admitted(&mut admission, 1, "upload", 0.99)
    }
}
