//! A call passes from the node where it arrives to the gate of a backend server.

use std::time::{Duration, SystemTime};

use kumquatquay_core::{
    Announcement, BackendInput, CallArrived, CallInput, CallOrigin, Input, Moment, Node,
    NodeSettings, Output, WorkInput,
};
use kumquatquay_wire::{MemberState, MeshKey, RequestContext};

fn moment() -> Moment {
    Moment {
        monotonic: Duration::from_secs(1),
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
    }
}

fn node() -> Node {
    Node::new(
        NodeSettings::new(
            "hall-a",
            "127.0.0.1:7000".parse().unwrap(),
            "127.0.0.1:7001".parse().unwrap(),
            MeshKey::from_secret("secret"),
        )
        .random_seed(7),
    )
}

fn announced() -> Node {
    let mut node = node();
    let announcement = Announcement {
        life: None,
        service: String::from("archive"),
        address: "127.0.0.1:8000".parse().unwrap(),
        slots_count: 1,
        connections_count: 10,
        state: MemberState::Serving,
    };
    node.handle(moment(), BackendInput::Announced(announcement).into());
    node
}

fn call(service: &str) -> Input {
    Input::Call(CallInput::Arrived(CallArrived {
        call: 1,
        origin: CallOrigin::Outside {
            caller: String::from("foreman"),
            trace: 5,
        },
        service: String::from(service),
        method: String::from("GET"),
        path: String::from("/pits/7"),
        query: None,
        body_digest: None,
        is_replayable: true,
        time_allowed: Some(Duration::from_secs(2)),
        idempotency_key: None,
        operation_id: None,
        is_resend: false,
    }))
}

fn started(outputs: &[Output]) -> RequestContext {
    let mut contexts = outputs.iter().filter_map(|output| match output {
        Output::StartAttempt(start) => Some(start.context.clone()),
        _ => None,
    });
    contexts.next().expect("an attempt starts")
}

#[test]
fn a_call_reaches_the_gate_and_runs() {
    let mut node = announced();
    let context = started(&node.handle(moment(), call("archive")));
    let outputs = node.handle(
        moment(),
        Input::Work(WorkInput::Arrived { work: 2, context }),
    );
    assert!(matches!(outputs[..], [Output::RunWork(_)]), "{outputs:?}");
}

#[test]
fn an_unknown_service_is_refused_as_not_run() {
    let mut node = announced();
    let outputs = node.handle(moment(), call("nowhere"));
    assert!(
        matches!(outputs[..], [Output::FinishCall { .. }]),
        "{outputs:?}"
    );
}
