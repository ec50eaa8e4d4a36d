//! A host that leaves finishes what it has and takes nothing new.

use std::time::{Duration, SystemTime};

use kumquatquay_core::{
    Announcement, AttemptEnded, AttemptResult, BackendInput, CallArrived, CallEnding, CallInput,
    CallOrigin, Input, Moment, Node, NodeSettings, Output, RefusalReason, StartAttempt, WorkInput,
    WorkResult,
};
use kumquatquay_wire::{MemberState, MeshKey, Outcome};

const SECOND: Duration = Duration::from_secs(1);

/// A node, its clock, and what it told its host.
struct Host {
    node: Node,
    now: Duration,
    outputs: Vec<Output>,
}

impl Host {
    fn new() -> Self {
        let mut host = Self {
            node: Node::new(
                NodeSettings::new(
                    "hall-a",
                    "127.0.0.1:7000".parse().unwrap(),
                    "127.0.0.1:7001".parse().unwrap(),
                    MeshKey::from_secret("secret"),
                )
                .random_seed(7),
            ),
            now: SECOND,
            outputs: Vec::new(),
        };
        host.announce(MemberState::Serving);
        host
    }

    fn announce(&mut self, state: MemberState) {
        let announcement = Announcement {
            life: None,
            service: String::from("archive"),
            address: "127.0.0.1:8000".parse().unwrap(),
            slots_count: 2,
            connections_count: 10,
            state,
        };
        self.handle(BackendInput::Announced(announcement).into());
    }

    fn handle(&mut self, input: Input) {
        let moment = Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + self.now,
        };
        self.outputs.extend(self.node.handle(moment, input));
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Node::TICK_INTERVAL;
            self.handle(Input::Tick);
        }
    }

    /// A call from outside that comes out at this host's own backend server.
    fn call(&mut self) -> StartAttempt {
        self.arrive();
        let mut starts = self.outputs.iter().filter_map(|output| match output {
            Output::StartAttempt(start) => Some(start.clone()),
            _ => None,
        });
        starts.next().expect("an attempt starts")
    }

    fn arrive(&mut self) {
        self.handle(Input::Call(CallInput::Arrived(CallArrived {
            call: 1,
            origin: CallOrigin::Outside {
                caller: String::from("foreman"),
                trace: 5,
            },
            service: String::from("archive"),
            method: String::from("GET"),
            path: String::from("/pits/7"),
            query: None,
            body_digest: None,
            is_replayable: true,
            time_allowed: Some(20 * SECOND),
            idempotency_key: None,
            operation_id: None,
            is_resend: false,
        })));
    }

    fn work(&mut self, work: u64, start: &StartAttempt) {
        let context = start.context.clone();
        self.handle(Input::Work(WorkInput::Arrived { work, context }));
    }

    fn stopped(&self) -> Option<usize> {
        self.outputs.iter().find_map(|output| match output {
            Output::StopNow { aborted_count } => Some(*aborted_count),
            _ => None,
        })
    }

    /// Calls that were refused, with reason and outcome.
    fn refused_calls(&self) -> Vec<(u64, RefusalReason, Outcome)> {
        let refused = self.outputs.iter().filter_map(|output| match output {
            Output::FinishCall {
                call,
                ending: CallEnding::Refuse(refusal),
            } => Some((*call, refusal.reason, refusal.outcome)),
            _ => None,
        });
        refused.collect()
    }

    /// Work that was refused because this host leaves, as not run.
    fn refused_work(&self) -> Vec<u64> {
        let refused = self.outputs.iter().filter_map(|output| match output {
            Output::RefuseWork {
                work,
                refusal,
                context,
            } => {
                let told = (refusal.reason, refusal.outcome, context.is_leaving);
                assert_eq!(told, (RefusalReason::Leaving, Outcome::NotRun, true));
                Some(*work)
            }
            _ => None,
        });
        refused.collect()
    }

    fn is_noted(&self, event: &str) -> bool {
        self.outputs.iter().any(|output| match output {
            Output::Note(note) => note.event == event,
            _ => false,
        })
    }
}

/// SIGTERM during a long upload. The host gets the signal while its backend
/// server reads a body. The node stays until the answer is out, and is then gone
/// without having cut anything.
#[test]
fn a_stop_waits_for_work_under_way() {
    let mut host = Host::new();
    let start = host.call();
    host.work(2, &start);
    host.handle(Input::Stopping { grace: 30 * SECOND });
    host.run(10 * SECOND);
    assert_eq!(host.stopped(), None, "the upload is still under way");

    let result = WorkResult::Answered {
        status: 200,
        says_not_run: false,
    };
    host.handle(Input::Work(WorkInput::Answered { work: 2, result }));
    host.handle(Input::Work(WorkInput::Finished { work: 2 }));
    host.handle(Input::Call(CallInput::AttemptEnded(AttemptEnded {
        call: start.call,
        attempt: start.attempt,
        result: AttemptResult::NotSent,
    })));
    host.run(2 * SECOND);
    assert_eq!(host.stopped(), Some(0));
    assert!(!host.is_noted("grace_ran_out"));
}

/// An upload that never ends. The grace bounds the stop, and the log says what
/// was cut off.
#[test]
fn a_grace_that_runs_out_is_logged() {
    let mut host = Host::new();
    let start = host.call();
    host.work(2, &start);
    host.handle(Input::Stopping { grace: 5 * SECOND });
    host.run(4 * SECOND);
    assert_eq!(host.stopped(), None);
    host.run(2 * SECOND);
    assert_eq!(host.stopped(), Some(2), "the call and its work");
    assert!(host.is_noted("grace_ran_out"));
}

/// A node that has not heard yet sends work to a host that leaves. The host says
/// that it did not run it and why, so that it is tried elsewhere; were it run, the
/// stop would cut it off.
#[test]
fn late_work_is_refused_as_not_run() {
    let mut host = Host::new();
    let start = host.call();
    host.handle(Input::Stopping { grace: 5 * SECOND });
    host.work(3, &start);
    assert_eq!(host.refused_work(), [3]);
}

/// The backend server announces every second that it serves, also while its host
/// stops. That must not bring the host new work.
#[test]
fn an_announcement_does_not_take_back_a_stop() {
    let mut host = Host::new();
    host.handle(Input::Stopping { grace: 5 * SECOND });
    host.announce(MemberState::Serving);
    let own = host.node.member("127.0.0.1:7000".parse().unwrap());
    assert_eq!(own.unwrap().state, MemberState::Draining);
}

/// A host with nothing under way stays a moment, so that who has not heard yet
/// gets a "leaving" answer, and stops well within its grace.
#[test]
fn an_idle_host_stops_after_the_news_is_out() {
    let mut host = Host::new();
    host.handle(Input::Stopping { grace: 30 * SECOND });
    host.run(SECOND);
    assert_eq!(host.stopped(), None);
    host.run(2 * SECOND);
    assert_eq!(host.stopped(), Some(0));
}

/// Guards against calls that end without an answer when the grace is over: one that may run is told so.
#[test]
fn a_call_under_way_is_answered_when_the_grace_is_over() {
    let mut host = Host::new();
    let start = host.call();
    host.work(2, &start);
    host.handle(Input::Stopping { grace: 5 * SECOND });
    host.run(6 * SECOND);
    assert_eq!(
        host.refused_calls(),
        [(start.call, RefusalReason::Broken, Outcome::Unknown)]
    );
}

/// Guards against work of other nodes that waits in the queue until the node ends, and whose outcome nobody knows then.
#[test]
fn queued_work_is_refused_when_the_grace_is_over() {
    let mut host = Host::new();
    let start = host.call();
    for work in 2..10 {
        host.work(work, &start);
    }
    let mut started = host.outputs.iter().filter_map(|output| match output {
        Output::RunWork(run) => Some(run.work),
        _ => None,
    });
    let is_started: Vec<u64> = started.by_ref().collect();
    host.handle(Input::Stopping { grace: 5 * SECOND });
    host.run(6 * SECOND);
    let mut all = [is_started, host.refused_work()].concat();
    all.sort_unstable();
    assert_eq!(all, Vec::from_iter(2..10));
}

/// Guards against calls that are read after the stop is complete, and end with the node.
#[test]
fn a_call_after_the_stop_is_refused_as_not_run() {
    let mut host = Host::new();
    host.handle(Input::Stopping { grace: 5 * SECOND });
    host.run(6 * SECOND);
    host.outputs.clear();
    host.arrive();
    assert_eq!(
        host.refused_calls(),
        [(1, RefusalReason::Leaving, Outcome::NotRun)]
    );
}
