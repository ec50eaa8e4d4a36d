//! Who waits beside a backend server, and who is refused.

use std::time::Duration;

use kumquatquay_core::routed::{Admission, BackendLoad, GateCall, HostGate, QueueOrder, RouteRun};
use quickcheck::quickcheck;

use crate::at_ms;

fn call(priority: u32, deadline: Duration) -> GateCall {
    GateCall {
        whole_priority: 0,
        priority,
        due: at_ms(150),
        deadline,
        work: Duration::from_millis(20),
    }
}

fn run(work_ms: u64) -> RouteRun<'static> {
    RouteRun {
        route: "call",
        work: Duration::from_millis(work_ms),
    }
}

/// A gate that lets `limit` calls run and has learnt that they take 20 ms.
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

/// A backend server of 30 slots is full, and the last of eight calls of a whole
/// request arrives. Turned away, it would end the request and waste the seven
/// before it. It waits and runs as soon as a slot is free.
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

/// Calls of three ranks wait; the slot that is freed goes to the most important
/// one, and among equals to the earliest.
#[test]
fn the_most_important_runs_first() {
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

/// Thirty calls wait for one slot, 0.6 s of work. A call that has 300 ms left
/// can't run in time; it is refused at once, so that its sender can go elsewhere,
/// and doesn't wait to be late.
#[test]
fn a_call_that_would_be_late_is_refused_at_once() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    for _ in 0..30 {
        gate.offer(at_ms(1), call(1, at_ms(60_000)), "patient");
    }
    assert_eq!(
        gate.offer(at_ms(1), call(1, at_ms(300)), "urgent"),
        Admission::Refuse("urgent")
    );
    // A more important one passes those that wait.
    assert!(matches!(
        gate.offer(at_ms(1), call(0, at_ms(300)), "vital"),
        Admission::Wait(_)
    ));
}

/// Calls of one rank wait: people's status lookups that are due in 150 ms, and calls
/// of runs under way that have 300. In the order of arrival the lookups would all be
/// late behind a queue that the others can afford to stand in.
#[test]
fn among_equals_what_is_due_first_runs_first() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    let due_at = |due_ms| GateCall {
        whole_priority: 0,
        priority: 1,
        due: at_ms(due_ms),
        deadline: at_ms(5_000),
        work: Duration::from_millis(20),
    };
    gate.offer(at_ms(1), due_at(301), "in a run");
    gate.offer(at_ms(2), due_at(152), "of a person");
    gate.ended(None);
    assert_eq!(gate.next(at_ms(3)), Some("of a person"));
}

/// A stall of a third of a second has made five calls late; two that can still be in time came after
/// them. Run in the order in which they are due, all seven are late.
#[test]
fn what_is_late_anyway_does_not_make_others_late() {
    let due_at = |due_ms| GateCall {
        due: at_ms(due_ms),
        ..call(1, at_ms(5_000))
    };
    let timely_count = |order| {
        let mut gate = gate(1).order(order);
        fill(&mut gate, 1);
        for due_ms in [300, 305, 310, 315, 320, 365, 385] {
            gate.offer(
                at_ms(1),
                due_at(due_ms),
                if due_ms > 320 { "fresh" } else { "late" },
            );
        }
        // The stall is over; each call runs for 20 ms.
        let ends = (330..).step_by(20).map(|began_ms| {
            gate.ended(None);
            (gate.next(at_ms(began_ms)), began_ms + 20)
        });
        let ended: Vec<_> = ends.take(7).collect();
        assert!(ended.iter().all(|(ticket, _)| ticket.is_some()), "all run");
        let fresh = ended.iter().filter(|(ticket, _)| *ticket == Some("fresh"));
        let due_ms = [365, 385];
        let timely = fresh
            .zip(due_ms)
            .filter(|((_, end_ms), due_ms)| end_ms <= due_ms);
        timely.count()
    };
    assert_eq!(timely_count(QueueOrder::EarliestDue), 0);
    assert_eq!(timely_count(QueueOrder::LateLast), 2);
}

/// A call that waits and has become late in the meantime is still found by its key.
#[test]
fn a_call_that_became_late_can_be_withdrawn() {
    let mut gate = gate(1);
    fill(&mut gate, 1);
    let Admission::Wait(key) = gate.offer(at_ms(1), call(1, at_ms(5_000)), "late") else {
        panic!("it waits");
    };
    gate.offer(
        at_ms(1),
        GateCall {
            due: at_ms(400),
            ..call(1, at_ms(5_000))
        },
        "fresh",
    );
    gate.ended(None);
    assert_eq!(gate.next(at_ms(200)), Some("fresh"));
    assert_eq!(gate.withdraw(key), Some("late"));
}

#[test]
fn a_call_whose_time_is_over_does_not_run() {
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
        panic!("it waits");
    };
    assert_eq!(gate.withdraw(key), Some("left"));
    gate.ended(None);
    assert_eq!(gate.next(at_ms(2)), None);
}

/// A node short of processor time reads answers late: of 78 calls that it counts,
/// the backend server has finished 12. Slots stand empty there while calls wait here,
/// and whole requests are refused for want of them.
#[test]
fn calls_on_their_way_take_no_slots() {
    let mut gate = gate(78);
    fill(&mut gate, 78);
    let told = BackendLoad {
        running_count: 66,
        waiting_count: 0,
    };
    for _ in 0..1_000 {
        gate.on_backend_load(told);
    }
    let mut more_count = 0;
    while gate.offer(at_ms(0), call(0, at_ms(10_000)), "more") == Admission::Run {
        more_count += 1;
    }
    assert!((11..=12).contains(&more_count), "{more_count}");
}

/// A backend server tells that it runs nothing, whatever it has. Believed, it would
/// get call after call until its own queue is full and it turns them away.
#[test]
fn a_load_that_misleads_fills_no_queue() {
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

/// Calls that wait in the backend server's own queue are there: none more is handed
/// over for them.
#[test]
fn calls_in_the_queue_of_the_backend_server_are_not_on_their_way() {
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
    fn the_least_important_goes_first(priorities: Vec<u8>) -> bool {
        let mut gate = HostGate::default();
        gate.set_limit_count(1);
        gate.offer(at_ms(0), call(0, at_ms(100_000)), 0);
        let mut waiting: Vec<u32> = Vec::new();
        for priority in priorities.into_iter().cycle().take(200) {
            let priority = u32::from(priority % 4);
            let gone = match gate.offer(at_ms(0), call(priority, at_ms(1_000_000)), priority) {
                Admission::Run => return false,
                Admission::Wait(_) => None,
                Admission::Evict(_, gone) => {
                    // All are of one size: one makes room for one.
                    if gone.len() != 1 {
                        return false;
                    }
                    gone.into_iter().next()
                }
                Admission::Refuse(gone) => Some(gone),
            };
            waiting.push(priority);
            if let Some(gone) = gone {
                let place = waiting.iter().rposition(|priority| *priority == gone).unwrap();
                waiting.remove(place);
                if waiting.iter().any(|stays| *stays > gone) {
                    return false;
                }
            }
        }
        true
    }
}

/// Nothing has run yet at a backend server that has just joined: its gate tells no time
/// in place of a guess, and after the first call the time of that one.
#[test]
fn the_time_of_a_call_is_told_once_one_has_ended() {
    let mut gate = HostGate::<&str>::default();
    gate.set_limit_count(4);
    assert_eq!(gate.report(at_ms(0), 1.0).work_us, 0);
    gate.ended(Some(run(22)));
    assert_eq!(gate.report(at_ms(0), 1.0).work_us, 22_000);
}

/// A service that is short has a queue of calls on one route, which searches made, and then
/// one that a registration made. In the order of their arrival the registration would lose its
/// call as often as any search; it is the next to run.
#[test]
fn calls_of_one_route_run_by_the_rank_of_the_whole_request() {
    let mut gate = HostGate::default();
    gate.set_limit_count(1);
    let of_whole = |whole_priority| GateCall {
        whole_priority,
        ..call(3, at_ms(10_000))
    };
    assert!(matches!(
        gate.offer(at_ms(0), of_whole(2), "runs"),
        Admission::Run
    ));
    for _ in 0..5 {
        assert!(matches!(
            gate.offer(at_ms(1), of_whole(2), "search"),
            Admission::Wait(_)
        ));
    }
    assert!(matches!(
        gate.offer(at_ms(2), of_whole(0), "registration"),
        Admission::Wait(_)
    ));
    gate.ended(None);
    assert_eq!(gate.next(at_ms(3)), Some("registration"));
}
