//! What the backend server of this host says of itself in its answers.

use std::time::Duration;

use kumquatquay_core::routed::{AdvertisedLimit, LimitChange};
use kumquatquay_wire::routed::CallHead;

use super::{interface::AnswerMarks, node::RoutedNode, run_here::admit_waiting};

/// Takes in what the answer to a run that began at `began` says of a rate limit and of a leaving.
pub(crate) fn on_notices(node: &RoutedNode, began: Duration, marks: &AnswerMarks) {
    let now = node.now();
    if marks.limit == AdvertisedLimit::Malformed {
        node.decisions.count("server_limit", "malformed");
        if node.decisions.has_line(now) {
            log::warn!(event = "server_limit_malformed";
                "a rate limit in an answer can't be read; what was known before holds");
        }
    }
    let mut gate = node.gate.borrow_mut();
    let change = gate.server_limit_mut().on_answer(now, began, marks.limit);
    drop(gate);
    if let Some(change) = change {
        on_change(node, change, "answer");
    }
    if marks.is_leaving {
        node.decisions.count("server_leaving", "answer");
    }
}

/// Takes in what the sender of a call was told of a rate limit.
pub(crate) fn on_known_limit(node: &RoutedNode, call: &CallHead<'_>) {
    let (Some(known), Some(life)) = (call.known_limit, &call.life) else {
        return;
    };
    let mut gate = node.gate.borrow_mut();
    let change = gate.server_limit_mut().on_told(node.now(), life, known);
    drop(gate);
    if let Some(change) = change {
        on_change(node, change, "caller");
    }
}

fn on_change(node: &RoutedNode, change: LimitChange, from: &'static str) {
    // Those that would wait too long now are sent elsewhere: dropped tickets tell them.
    let shed = node.gate.borrow_mut().shed(node.now());
    drop(shed);
    log_limit(node, change, from);
    admit_waiting(node);
}

fn log_limit(node: &RoutedNode, change: LimitChange, from: &'static str) {
    let why = match change {
        LimitChange {
            from_per_s: None, ..
        } => "began",
        LimitChange { to_per_s: None, .. } => "ended",
        _ => "changed",
    };
    node.decisions.count("server_limit", why);
    if node.decisions.has_line(node.now()) {
        let lives = node.lives.borrow();
        let life = lives.current().map(|current| current.life.to_string());
        let age = node.gate.borrow().server_limit().age(node.now());
        log::info!(event = "server_limit", life = life.unwrap_or_default(), what = why,
            was_per_s = change.from_per_s, per_s = change.to_per_s,
            from = from, age_ms = age.as_millis() as u64;
            "the backend server of this host advertises another rate limit");
    }
}
