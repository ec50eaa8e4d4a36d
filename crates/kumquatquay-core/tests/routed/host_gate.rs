//! Which calls run, wait or are refused at the gate beside a backend server.

use std::time::Duration;

use kumquatquay_core::routed::{
    Admission, BackendLoad, GateCall, HostGate, QueueOrder, RouteRunTime,
};
use quickcheck::quickcheck;

use crate::at_ms;

fn call(priority: u32, deadline: Duration) -> GateCall {
    GateCall {
        request_priority: 0,
        priority,
        soft_deadline: at_ms(150),
        deadline,
        run_time: Duration::from_millis(20),
    }
}

fn run(run_time_ms: u64) -> RouteRunTime<'static> {
    RouteRunTime {
        route: "call",
        run_time: Duration::from_millis(run_time_ms),
    }
}

/// A gate that allows `limit` concurrent calls and has learnt that a call runs for 20 ms.
fn gate(limit: usize) -> HostGate<&'static str> {
    let mut gate = HostGate::default();
    gate.set_limit_count(1);
    for _ in 0..400 {
        assert_eq!(
            gate.offer(at_ms(0), call(0, at_ms(10_000)), "learn"),
            Admission::Run
        );
        gate.ended(Some(run(20)));
    }
    gate.set_limit_count(limit);
    gate
}

fn fill(gate: &mut HostGate<&'static str>, count: usize) {
    for _ in 0..count {
        assert_eq!(
            gate.offer(at_ms(0), call(0, at_ms(10_000)), "running"),
            Admission::Run
        );
    }
}

/// The last of the eight calls of a request arrives while all 30 slots are in use. If it were
/// refused, the request would fail and the work of the seven calls before it would be wasted.
/// It is queued, and runs as soon as a slot is free.
#[test]
fn a_call_waits_for_a_slot() {
    let mut gate = gate(30);
    fill(&mut gate, 30);
    let admission = gate.offer(at_ms(1), call(2, at_ms(500)), "late");
    assert!(matches!(admission, Admission::Wait(_)), "{admission:?}");
    assert_eq!(gate.next(at_ms(2)), None);
    gate.ended(None);
    assert_eq!(gate.next(at_ms(3)), Some("late"));
}

/// Calls of three priorities wait. A freed slot goes to the most important call, and among
/// equals to the one that arrived first.
#[test]
fn the_most_important_call_runs_first() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    for (priority, ticket) in [(2, "low"), (0, "first"), (1, "middle"), (0, "second")] {
        let admission = gate.offer(at_ms(1), call(priority, at_ms(5_000)), ticket);
        assert!(matches!(admission, Admission::Wait(_)));
    }
    let order = [(); 4].map(|()| {
        gate.ended(None);
        gate.next(at_ms(2)).unwrap()
    });
    assert_eq!(order, ["first", "second", "middle", "low"]);
}

/// Thirty calls wait for one slot, which is 0.6 s of work. A call with a deadline in 300 ms
/// can't run in time. It is refused at once, so that its sender can try another backend server
/// while there is time.
#[test]
fn a_call_that_would_miss_its_deadline_is_refused_at_once() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    for _ in 0..30 {
        gate.offer(at_ms(1), call(1, at_ms(60_000)), "patient");
    }
    assert_eq!(
        gate.offer(at_ms(1), call(1, at_ms(300)), "urgent"),
        Admission::Refuse("urgent")
    );
    // A more important call is placed before those that wait.
    assert!(matches!(
        gate.offer(at_ms(1), call(0, at_ms(300)), "vital"),
        Admission::Wait(_)
    ));
}

/// Calls of one priority wait: status lookups by people, with a soft deadline in 150 ms, and calls
/// made by runs, with one in 300 ms. In order of arrival the lookups would all be late behind calls
/// that can afford to wait longer.
#[test]
fn among_equals_the_earliest_soft_deadline_runs_first() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    let with_soft_deadline = |soft_deadline_ms| GateCall {
        request_priority: 0,
        priority: 1,
        soft_deadline: at_ms(soft_deadline_ms),
        deadline: at_ms(5_000),
        run_time: Duration::from_millis(20),
    };
    gate.offer(at_ms(1), with_soft_deadline(301), "in a run");
    gate.offer(at_ms(2), with_soft_deadline(152), "of a person");
    gate.ended(None);
    assert_eq!(gate.next(at_ms(3)), Some("of a person"));
}

/// A stall of a third of a second has made five calls late; two that can still be in time
/// arrived after them. Run in the order of their soft deadlines, all seven are late. With late calls
/// moved behind the others, the two are in time.
#[test]
fn calls_that_are_late_anyway_do_not_make_others_late() {
    let with_soft_deadline = |soft_deadline_ms| GateCall {
        soft_deadline: at_ms(soft_deadline_ms),
        ..call(1, at_ms(5_000))
    };
    let timely_count = |order| {
        let mut gate = gate(1).order(order);
        fill(&mut gate, 1);
        for soft_deadline_ms in [300, 305, 310, 315, 320, 365, 385] {
            gate.offer(
                at_ms(1),
                with_soft_deadline(soft_deadline_ms),
                if soft_deadline_ms > 320 {
                    "fresh"
                } else {
                    "late"
                },
            );
        }
        // The stall is over; each call runs for 20 ms.
        let ends = (330..).step_by(20).map(|start_ms| {
            gate.ended(None);
            (gate.next(at_ms(start_ms)), start_ms + 20)
        });
        let ended: Vec<_> = ends.take(7).collect();
        assert!(ended.iter().all(|(ticket, _)| ticket.is_some()), "all run");
        let fresh = ended.iter().filter(|(ticket, _)| *ticket == Some("fresh"));
        let soft_deadline_ms = [365, 385];
        let timely = fresh
            .zip(soft_deadline_ms)
            .filter(|((_, end_ms), soft_deadline_ms)| end_ms <= soft_deadline_ms);
        timely.count()
    };
    assert_eq!(timely_count(QueueOrder::EarliestDeadline), 0);
    assert_eq!(timely_count(QueueOrder::LateLast), 2);
}

/// A call that has become late while it waited is still found by its key.
#[test]
fn a_call_that_became_late_can_be_withdrawn() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    let Admission::Wait(key) = gate.offer(at_ms(1), call(1, at_ms(5_000)), "late") else {
        panic!("the call should wait");
    };
    gate.offer(
        at_ms(1),
        GateCall {
            soft_deadline: at_ms(400),
            ..call(1, at_ms(5_000))
        },
        "fresh",
    );
    gate.ended(None);
    assert_eq!(gate.next(at_ms(200)), Some("fresh"));
    assert_eq!(gate.withdraw(key), Some("late"));
}

#[test]
fn a_call_past_its_deadline_does_not_run() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    gate.offer(at_ms(1), call(1, at_ms(100)), "late");
    gate.offer(at_ms(1), call(1, at_ms(5_000)), "patient");
    gate.ended(None);
    assert_eq!(gate.next(at_ms(200)), Some("patient"));
}

#[test]
fn a_withdrawn_call_does_not_run() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    let Admission::Wait(key) = gate.offer(at_ms(1), call(1, at_ms(5_000)), "left") else {
        panic!("the call should wait");
    };
    assert_eq!(gate.withdraw(key), Some("left"));
    gate.ended(None);
    assert_eq!(gate.next(at_ms(2)), None);
}

/// A node short of processor time reads answers late: the backend server has finished 12 of
/// the 78 calls that the node counts as running. If calls in transit took slots, 12 slots would
/// be idle while calls wait here, and requests would be refused for lack of slots.
#[test]
fn calls_in_transit_take_no_slots() {
    let mut gate = gate(78);
    fill(&mut gate, 78);
    let reported = BackendLoad {
        running_count: 66,
        waiting_count: 0,
    };
    for _ in 0..1_000 {
        gate.on_backend_load(reported);
    }
    let mut more_count = 0;
    while gate.offer(at_ms(0), call(0, at_ms(10_000)), "more") == Admission::Run {
        more_count += 1;
    }
    assert!((11..=12).contains(&more_count), "{more_count}");
}

/// A backend server always reports that it runs nothing. If all its calls were taken to be in
/// transit, it would get more of them until its own queue is full and it rejects them. The
/// allowance for calls in transit is a quarter of the limit at most.
#[test]
fn an_underreported_load_does_not_flood_the_backend_server() {
    let mut gate = gate(80);
    for _ in 0..10_000 {
        let admission = gate.offer(at_ms(0), call(0, at_ms(10_000)), "call");
        gate.on_backend_load(BackendLoad {
            running_count: 0,
            waiting_count: 0,
        });
        if admission != Admission::Run {
            break;
        }
    }
    assert_eq!(gate.report(at_ms(0), 1.0).running_count, 100);
}

/// Calls in the backend server's own queue have arrived there, so no further calls are forwarded in
/// their place.
#[test]
fn calls_queued_at_the_backend_server_are_not_in_transit() {
    let mut gate = gate(30);
    fill(&mut gate, 30);
    for _ in 0..1_000 {
        gate.on_backend_load(BackendLoad {
            running_count: 20,
            waiting_count: 10,
        });
    }
    let admission = gate.offer(at_ms(0), call(0, at_ms(10_000)), "more");
    assert!(matches!(admission, Admission::Wait(_)), "{admission:?}");
}

quickcheck! {
    /// No call is refused or evicted while a less important one stays in the queue.
    fn the_least_important_call_is_removed_first(priorities: Vec<u8>) -> bool {
        let mut gate = HostGate::default();
        gate.set_limit_count(1);
        gate.offer(at_ms(0), call(0, at_ms(100_000)), 0);
        let mut waiting: Vec<u32> = Vec::new();
        for priority in priorities.into_iter().cycle().take(200) {
            let priority = u32::from(priority % 4);
            let removed = match gate.offer(at_ms(0), call(priority, at_ms(1_000_000)), priority) {
                Admission::Run => return false,
                Admission::Wait(_) => None,
                Admission::Evict(_, removed) => {
                    // All calls have the same run time, so one evicted call is enough.
                    if removed.len() != 1 {
                        return false;
                    }
                    removed.into_iter().next()
                }
                Admission::Refuse(removed) => Some(removed),
            };
            waiting.push(priority);
            if let Some(removed) = removed {
                let position = waiting.iter().rposition(|priority| *priority == removed).unwrap();
                waiting.remove(position);
                if waiting.iter().any(|remaining| *remaining > removed) {
                    return false;
                }
            }
        }
        true
    }
}

/// A backend server that has just joined has run no call yet. Its gate reports a run time of 0,
/// which means unknown, instead of a guess; after the first call, it reports the time of that
/// one.
#[test]
fn the_run_time_is_reported_once_a_call_has_ended() {
    let mut gate = HostGate::<&str>::default();
    gate.set_limit_count(4);
    assert_eq!(gate.report(at_ms(0), 1.0).work_us, 0);
    gate.ended(Some(run(22)));
    assert_eq!(gate.report(at_ms(0), 1.0).work_us, 22_000);
}

/// At an overloaded service, calls of one route wait that were made for search requests, and
/// then one that was made for a registration, which is more important. In order of arrival the
/// registration would lose its call as often as a search. Instead, its call is the next to run.
#[test]
fn calls_of_one_route_run_by_the_priority_of_their_request() {
    let mut gate = HostGate::default();
    gate.set_limit_count(1);
    let call_for = |request_priority| GateCall {
        request_priority,
        ..call(3, at_ms(10_000))
    };
    assert!(matches!(
        gate.offer(at_ms(0), call_for(2), "runs"),
        Admission::Run
    ));
    for _ in 0..5 {
        assert!(matches!(
            gate.offer(at_ms(1), call_for(2), "search"),
            Admission::Wait(_)
        ));
    }
    assert!(matches!(
        gate.offer(at_ms(2), call_for(0), "registration"),
        Admission::Wait(_)
    ));
    gate.ended(None);
    assert_eq!(gate.next(at_ms(3)), Some("registration"));
}
