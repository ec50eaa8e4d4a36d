//! Hosts the decisions of one node without any socket.
//!
//! A host feeds inputs with the moment at which they happened and carries out
//! the outputs. Here a backend server announces itself, a call arrives, and the
//! node says where to send it.

use std::time::{Duration, SystemTime};

use kumquatquay::{
    core::{
        Announcement, BackendInput, CallArrived, CallInput, CallOrigin, Input, Moment, Node,
        NodeSettings, Output,
    },
    wire::{MemberState, MeshKey},
};

fn main() {
    let mut node = Node::new(settings());
    let now = Moment {
        monotonic: Duration::from_secs(1),
        wall: SystemTime::now(),
    };
    node.handle(now, BackendInput::Announced(announcement()).into());
    for output in node.handle(now, Input::Call(CallInput::Arrived(call()))) {
        if let Output::StartAttempt(start) = output {
            println!(
                "send the call to {} within {:?}",
                start.target, start.timeout
            );
        }
    }
}

fn settings() -> NodeSettings {
    NodeSettings::new(
        "hall-a",
        "127.0.0.1:7003".parse().expect("an address"),
        "127.0.0.1:7002".parse().expect("an address"),
        MeshKey::from_secret("a secret of sixteen bytes or more"),
    )
    .random_seed(7)
}

fn announcement() -> Announcement {
    Announcement {
        life: None,
        service: String::from("archive"),
        address: "127.0.0.1:8080".parse().expect("an address"),
        slots_count: 90,
        connections_count: 650,
        state: MemberState::Serving,
    }
}

fn call() -> CallArrived {
    CallArrived {
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
        time_allowed: Some(Duration::from_secs(2)),
        idempotency_key: None,
        operation_id: None,
        is_resend: false,
    }
}
