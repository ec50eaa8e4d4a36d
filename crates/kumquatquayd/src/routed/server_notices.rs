//! What the backend server of this host says of itself in its answers.

use std::time::Duration;

use kumquatquay_core::routed::{AdvertisedLimit, LimitChange};

use super::{interface::AnswerMarks, node::RoutedNode};

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
        log_limit(node, change);
    }
    if marks.is_leaving {
        node.decisions.count("server_leaving", "answer");
    }
}

fn log_limit(node: &RoutedNode, change: LimitChange) {
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
        log::info!(event = "server_limit", life = life.unwrap_or_default(), what = why,
            from_per_s = change.from_per_s, to_per_s = change.to_per_s;
            "the backend server of this host advertises another rate limit");
    }
}
