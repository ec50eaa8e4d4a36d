//! Which backend server a call goes to.

use std::{collections::BTreeMap, net::SocketAddr};

use kumquatquay_core::routed::{TargetEnded, TargetTable};
use kumquatquay_wire::{
    BackendLife, MemberRecord, MemberState,
    routed::{GateReport, RateReport},
};
use rand::{SeedableRng, rngs::StdRng};

use crate::at_ms;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn member(host: u8, data_centre: &str, state: MemberState) -> MemberRecord {
    MemberRecord {
        control: address(host),
        peer: address(host),
        data_centre: String::from(data_centre),
        service: Some(String::from("archive")),
        life: Some(BackendLife::untold(format!("life-{host}"))),
        incarnation: 1,
        revision: 0,
        state,
        is_suspect: false,
        slots_count: 10,
    }
}

fn report(running_count: u32, work_ms: u32) -> GateReport {
    GateReport {
        running_count,
        waiting_count: 0,
        limit_count: 10,
        work_us: work_ms * 1_000,
        level_permille: 1_000,
        failed_permille: 0,
        pace_permille: 0,
        rate: None,
    }
}

/// Hosts 1 and 2 in the own data centre, 3 in another one.
fn table() -> (TargetTable, StdRng) {
    let members = [
        member(1, "near", MemberState::Serving),
        member(2, "near", MemberState::Serving),
        member(3, "far", MemberState::Serving),
    ];
    let mut table = TargetTable::default();
    table.rebuild("near", members.iter());
    (table, StdRng::seed_from_u64(1))
}

fn tell(table: &mut TargetTable, host: u8, how: TargetEnded, report: GateReport) {
    table.ended(at_ms(0), address(host), how, Some(report));
}

/// Sends `count` calls that all end at once, and counts where they went.
fn spread(table: &mut TargetTable, random: &mut StdRng, count: usize) -> BTreeMap<u8, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let choice = table
            .choose(at_ms(0), "archive", &[], false, random)
            .unwrap();
        table.ended(at_ms(0), choice.control, TargetEnded::GivenUp, None);
        let SocketAddr::V4(control) = choice.control else {
            panic!("an IPv4 address");
        };
        *counts.entry(control.ip().octets()[3]).or_default() += 1;
    }
    counts
}

#[test]
fn calls_stay_in_the_own_data_centre_while_there_is_room() {
    let (mut table, mut random) = table();
    let counts = spread(&mut table, &mut random, 100);
    assert_eq!(counts.get(&3), None);
}

#[test]
fn calls_spill_over_when_the_own_data_centre_is_full() {
    let (mut table, mut random) = table();
    for host in [1, 2] {
        tell(&mut table, host, TargetEnded::Answered, report(25, 20));
    }
    tell(&mut table, 3, TargetEnded::Answered, report(2, 20));
    let counts = spread(&mut table, &mut random, 5);
    assert_eq!(counts.get(&3), Some(&5));
}

/// One server needs 16 ms for a call and is nearly full, the other 38 ms and is half
/// empty. Sent to the fast one, calls queue there, its gate tells that the service has
/// no room, and whole requests are refused beside idle slots.
#[test]
fn a_slow_server_is_filled_before_a_fast_one_has_a_queue() {
    let (mut table, mut random) = table();
    tell(&mut table, 1, TargetEnded::Answered, report(10, 16));
    tell(&mut table, 2, TargetEnded::Answered, report(5, 38));
    let counts = spread(&mut table, &mut random, 2);
    assert_eq!(counts.get(&1), None);
}

/// Both have a queue: the shorter one is joined, whatever the speeds.
#[test]
fn among_crowded_servers_the_emptier_is_chosen() {
    let (mut table, mut random) = table();
    tell(&mut table, 1, TargetEnded::Answered, report(20, 16));
    tell(&mut table, 2, TargetEnded::Answered, report(11, 38));
    let counts = spread(&mut table, &mut random, 2);
    assert_eq!(counts.get(&1), None);
}

/// With room on both sides a call goes where it is answered first.
#[test]
fn a_fast_server_with_room_goes_before_a_slow_one() {
    let (mut table, mut random) = table();
    tell(&mut table, 1, TargetEnded::Answered, report(6, 16));
    tell(&mut table, 2, TargetEnded::Answered, report(1, 38));
    let counts = spread(&mut table, &mut random, 1);
    assert_eq!(counts.get(&1), Some(&1));
}

#[test]
fn a_host_that_fails_is_chosen_last() {
    let (mut table, mut random) = table();
    for _ in 0..20 {
        tell(&mut table, 1, TargetEnded::Failed, report(1, 20));
    }
    tell(&mut table, 2, TargetEnded::Answered, report(5, 20));
    let counts = spread(&mut table, &mut random, 3);
    assert_eq!(counts.get(&1), None);
}

/// The link to a host is lost. Calls that tried it again and again would each wait
/// for the connection's timeout; one that tries it after a pause finds out.
#[test]
fn a_host_whose_link_was_lost_is_left_out_for_a_while() {
    let (mut table, mut random) = table();
    table.ended(at_ms(0), address(1), TargetEnded::Lost, None);
    let excluded = [address(2), address(3)];
    assert_eq!(
        table.choose(at_ms(100), "archive", &excluded, false, &mut random),
        None
    );
    let choice = table.choose(at_ms(400), "archive", &excluded, false, &mut random);
    assert_eq!(choice.unwrap().control, address(1));
}

#[test]
fn what_drains_gets_nothing() {
    let mut table = TargetTable::default();
    let members = [member(1, "near", MemberState::Draining)];
    table.rebuild("near", members.iter());
    let mut random = StdRng::seed_from_u64(1);
    assert_eq!(
        table.choose(at_ms(0), "archive", &[], false, &mut random),
        None
    );
}

/// A backend server was replaced at the same address. What was learnt of the one
/// before, here that its link was lost, says nothing of the new one.
#[test]
fn a_new_life_begins_with_nothing_known() {
    let (mut table, mut random) = table();
    table.ended(at_ms(0), address(1), TargetEnded::Lost, None);
    let mut replaced = member(1, "near", MemberState::Serving);
    replaced.life = Some(BackendLife::untold("new"));
    table.rebuild("near", [replaced].iter());
    let choice = table
        .choose(at_ms(1), "archive", &[], false, &mut random)
        .unwrap();
    assert_eq!(choice.life, Some(BackendLife::untold("new")));
}

/// A backend server joins a service whose others run calls in 22 ms, with some under way.
/// Nothing is known of it; it is empty, so it gets the next calls and tells its own time.
#[test]
fn a_backend_server_that_has_joined_is_called_at_once() {
    let (mut table, mut random) = table();
    for host in [1, 2] {
        table.ended(
            at_ms(0),
            address(host),
            TargetEnded::Answered,
            Some(report(4, 22)),
        );
    }
    let members: Vec<MemberRecord> = [1, 2, 4]
        .map(|host| member(host, "near", MemberState::Serving))
        .into();
    table.rebuild("near", members.iter());
    let mut calls_count = 0;
    for call in 0..30 {
        let choice = table
            .choose(at_ms(call), "archive", &[], false, &mut random)
            .unwrap();
        calls_count += u32::from(choice.control == address(4));
        let report = (choice.control != address(4)).then(|| report(4, 22));
        table.ended(at_ms(call), choice.control, TargetEnded::Answered, report);
    }
    assert!(calls_count >= 10, "{calls_count} of 30");
}

/// The link to a host goes silent. It gets no calls until it has answered, however long
/// that takes, and then at once; a host that isn't known is not waited for.
#[test]
fn a_host_that_cannot_be_reached_gets_no_calls_until_it_answers() {
    let (mut table, mut random) = table();
    assert!(table.lost(address(1)));
    assert!(!table.lost(address(99)));
    for call in 0..50 {
        let choice = table.choose(at_ms(call * 200), "archive", &[], false, &mut random);
        assert_ne!(choice.unwrap().control, address(1));
    }
    table.reached(address(1));
    let excluded = [address(2), address(3)];
    let choice = table.choose(at_ms(10_000), "archive", &excluded, false, &mut random);
    assert_eq!(choice.unwrap().control, address(1));
}

/// The only backend server of the own data centre turns twelve times slower, and has room.
/// Each call to it would run into its timeout: calls go to the other data centre, and come
/// back when it is well again.
#[test]
fn a_near_backend_server_that_turned_slow_is_passed_by() {
    let (mut table, mut random) = table();
    let members = [
        member(1, "near", MemberState::Serving),
        member(3, "far", MemberState::Serving),
    ];
    table.rebuild("near", members.iter());
    let mut choose_with = |work_ms| {
        table.ended(
            at_ms(0),
            address(3),
            TargetEnded::Answered,
            Some(report(2, 100)),
        );
        table.ended(
            at_ms(0),
            address(1),
            TargetEnded::Answered,
            Some(report(3, work_ms)),
        );
        let choice = table
            .choose(at_ms(1), "archive", &[], false, &mut random)
            .unwrap();
        table.ended(at_ms(1), choice.control, TargetEnded::GivenUp, None);
        choice.control
    };
    assert_eq!(choose_with(200), address(1));
    assert_eq!(choose_with(1_200), address(3));
    assert_eq!(choose_with(100), address(1));
}

/// Eight hosts, none near.
fn eight() -> (TargetTable, StdRng) {
    let members = (1..=8).map(|host| member(host, "far", MemberState::Serving));
    let members: Vec<MemberRecord> = members.collect();
    let mut table = TargetTable::default();
    table.rebuild("near", members.iter());
    (table, StdRng::seed_from_u64(7))
}

/// The gate of a host tells its work and the share of runs that fail there.
fn tell_failures(table: &mut TargetTable, host: u8, work_ms: u32, failed_ratio: f64) {
    let failed_permille = (failed_ratio * 1_000.0) as u16;
    let report = GateReport {
        failed_permille,
        ..report(2, work_ms)
    };
    tell(table, host, TargetEnded::Answered, report);
}

/// One backend server of eight fails each run, and says that it is well. It looks idle, and
/// a run of eight calls needs all of them: with an eighth of the calls going there, a third of
/// the requests is left. It gets one call in some hundreds, which shows when it is well.
#[test]
fn a_server_that_fails_out_of_line_is_left_nearly_alone() {
    let (mut table, mut random) = eight();
    for host in 2..=8 {
        tell_failures(&mut table, host, 44, 0.02);
    }
    tell_failures(&mut table, 1, 44, 0.9);
    assert!(table.is_out_of_line("archive", address(1)));
    let mut calls_count = 0;
    for _ in 0..20_000 {
        let choice = table.choose(at_ms(0), "archive", &[], true, &mut random);
        let control = choice.unwrap().control;
        calls_count += u32::from(control == address(1));
        table.ended(at_ms(0), control, TargetEnded::GivenUp, None);
    }
    assert!((10..=100).contains(&calls_count), "{calls_count} of 20000");
    tell_failures(&mut table, 1, 44, 0.05);
    assert!(!table.is_out_of_line("archive", address(1)));
}

/// What may run once at most is never a trial.
#[test]
fn no_call_that_may_run_once_tries_a_failing_server() {
    let (mut table, mut random) = eight();
    tell_failures(&mut table, 1, 44, 0.9);
    for _ in 0..5_000 {
        let choice = table.choose(at_ms(0), "archive", &[], false, &mut random);
        let control = choice.unwrap().control;
        assert_ne!(control, address(1));
        table.ended(at_ms(0), control, TargetEnded::GivenUp, None);
    }
}

/// Most of a service fails: the cause isn't theirs. Left out, their load would press on the
/// others.
#[test]
fn a_service_that_fails_everywhere_is_not_left_alone() {
    let (mut table, _) = eight();
    for host in 1..=6 {
        tell_failures(&mut table, host, 44, 0.8);
    }
    assert!((1..=8).all(|host| !table.is_out_of_line("archive", address(host))));
}

/// Three of eight fail: a third of the service is two.
#[test]
fn a_third_of_a_service_is_left_alone_at_the_most() {
    let (mut table, _) = eight();
    for host in 1..=3 {
        tell_failures(&mut table, host, 44, 0.8);
    }
    let out = (1..=8).filter(|host| table.is_out_of_line("archive", address(*host)));
    assert_eq!(out.count(), 2);
}

/// Only the failing one is left to ask.
#[test]
fn a_failing_server_is_asked_where_there_is_no_other() {
    let (mut table, mut random) = eight();
    tell_failures(&mut table, 1, 44, 0.9);
    let excluded: Vec<SocketAddr> = (2..=8).map(address).collect();
    let choice = table.choose(at_ms(0), "archive", &excluded, false, &mut random);
    assert_eq!(choice.unwrap().control, address(1));
}

/// A report of a backend server that takes so many calls a second, and the next in so long.
fn limited_report(per_s: f64, wait_ms: u32) -> GateReport {
    GateReport {
        rate: Some(RateReport {
            limit_milli_per_s: (per_s * 1_000.0) as u64,
            wait_ms,
        }),
        ..report(0, 100)
    }
}

/// The nearest backend server takes two calls a second and looks empty. Judged by its slots it would
/// be asked for each call; judged by its limit it gets one, and the others go past it.
#[test]
fn calls_go_past_a_server_that_takes_few_a_second() {
    let (mut table, mut random) = table();
    for host in [1, 2, 3] {
        tell(&mut table, host, TargetEnded::Answered, report(2, 100));
    }
    let told = limited_report(2.0, 400);
    tell(&mut table, 1, TargetEnded::Answered, told);
    let counts = spread(&mut table, &mut random, 100);
    assert!(counts.get(&1).is_none_or(|count| *count <= 5), "{counts:?}");
}

/// A server that has refused a call for its limit isn't asked again before it takes the next one, and
/// while all have refused, callers learn why at once.
#[test]
fn a_server_that_takes_no_more_is_left_out_until_it_does() {
    let (mut table, mut random) = table();
    for host in [1, 2, 3] {
        let told = limited_report(2.0, 400);
        tell(&mut table, host, TargetEnded::Limited, told);
    }
    let mut choose = |ms| table.choose(at_ms(ms), "archive", &[], false, &mut random);
    assert_eq!(choose(399), None);
    assert!(choose(400).is_some());
    assert!(table.is_limited(at_ms(399), "archive"));
    assert!(!table.is_limited(at_ms(400), "archive"));
}

/// The node beside a limited backend server is gone for a while and starts anew. It knows of no
/// limit, and a refusal of its own tells none; the caller's word goes with the next call.
#[test]
fn a_limit_goes_with_calls_to_a_node_that_starts_anew() {
    let (mut table, mut random) = table();
    let of_host = |table: &mut TargetTable, random: &mut StdRng, ms| {
        let excluded = [address(2), address(3)];
        table.choose(at_ms(ms), "archive", &excluded, false, random)
    };
    assert_eq!(
        of_host(&mut table, &mut random, 0).unwrap().known_limit,
        None
    );
    let life = BackendLife::untold("life-1");
    // The answer comes when the host is no target any more.
    let others = [2, 3].map(|host| member(host, "near", MemberState::Serving));
    table.rebuild("near", others.iter());
    table.on_limit(at_ms(0), &life, limited_report(1.6, 0).rate);
    let all = [1, 2, 3].map(|host| member(host, "near", MemberState::Serving));
    table.rebuild("near", all.iter());
    tell(&mut table, 1, TargetEnded::Full, report(0, 100));
    let known = of_host(&mut table, &mut random, 2_500).unwrap().known_limit;
    let known = known.unwrap();
    assert_eq!((known.limit_milli_per_s, known.age_ms), (1_600, 2_500));
    // The backend server answers without one.
    table.on_limit(at_ms(0), &life, None);
    assert_eq!(
        of_host(&mut table, &mut random, 0).unwrap().known_limit,
        None
    );
}

/// A backend server has told this host that it leaves, and the node beside it, which starts anew, has
/// a late report and tells that it serves. Nothing goes there from here, until its next life.
#[test]
fn a_server_that_told_its_leaving_is_called_no_more() {
    let (mut table, mut random) = table();
    let members = |born_unix_ms: Option<u64>| {
        let mut members = [1, 2, 3].map(|host| member(host, "near", MemberState::Serving));
        let life = members[0].life.as_mut().unwrap();
        life.born_unix_ms = born_unix_ms;
        members
    };
    let life = BackendLife {
        born_unix_ms: Some(7),
        ..BackendLife::untold("life-1")
    };
    assert!(table.on_leaving(at_ms(0), &life));
    assert!(!table.on_leaving(at_ms(0), &life));
    for born in [Some(7), None] {
        table.rebuild("near", [].into_iter());
        table.rebuild("near", members(born).iter());
        let counts = spread(&mut table, &mut random, 100);
        assert_eq!(counts.get(&1), None, "{born:?}");
    }
    table.rebuild("near", members(Some(8)).iter());
    let counts = spread(&mut table, &mut random, 100);
    assert!(counts.contains_key(&1));
}
