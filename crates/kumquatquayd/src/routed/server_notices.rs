//! What the backend server of this host says of itself in its answers.

use std::{borrow::Cow, time::Duration};

use kumquatquay_core::routed::{AdvertisedRateLimit, RateLimitChange};
use kumquatquay_wire::{
    BackendLife,
    routed::{CallHead, KnownLimit},
};

use super::{
    interface::AnswerMetadata, local_run::admit_waiting, node::RoutedNode,
    reports::on_backend_changed,
};

/// Takes in what the answer to a run that began at `began` says of a leaving and a rate limit.
pub(crate) fn on_notices(
    node: &RoutedNode,
    call: &CallHead<'_>,
    began: Duration,
    metadata: &AnswerMetadata,
) {
    let Some(life) = life_of(node, call) else {
        return;
    };
    if metadata.is_leaving {
        on_leaving(node, &life);
    }
    on_limit(node, &life, began, metadata.limit);
}

/// The life that answers a call: the one that was meant, or else the one that is there.
fn life_of<'a>(node: &RoutedNode, call: &'a CallHead<'_>) -> Option<Cow<'a, BackendLife>> {
    if let Some(life) = &call.life {
        return Some(Cow::Borrowed(life));
    }
    let lives = node.lives.borrow();
    let current = lives.current();
    current.map(|current| Cow::Owned(current.life.clone()))
}

/// A leaving that an answer tells is the same as one that a report tells: all hosts are told, and
/// nothing is handed over once the drain is over, whatever later reports say.
fn on_leaving(node: &RoutedNode, life: &BackendLife) {
    let mut lives = node.lives.borrow_mut();
    if lives.is_leaving(life) {
        return;
    }
    lives.on_leave(node.now(), life);
    drop(lives);
    node.metrics.count("server_leaving", "answer");
    log::info!(event = "server_leaving", life:% = life, from = "answer";
        "the backend server of this host says that it leaves");
    on_backend_changed(node);
}

fn on_limit(node: &RoutedNode, life: &BackendLife, began: Duration, limit: AdvertisedRateLimit) {
    let now = node.now();
    if limit == AdvertisedRateLimit::Malformed {
        node.metrics.count("server_limit", "malformed");
        if node.metrics.take_log_permit(now) {
            log::warn!(event = "server_limit_malformed", life:% = life;
                "a rate limit in an answer can't be read; what was known before holds");
        }
    }
    let mut gate = node.gate.borrow_mut();
    let change = gate.rate_limit_mut().on_answer(now, life, began, limit);
    drop(gate);
    on_change(node, life, change, "answer");
}

/// Takes in what the sender of a call was told of a rate limit.
pub(crate) fn on_known_limit(node: &RoutedNode, call: &CallHead<'_>) {
    if let (Some(known), Some(life)) = (call.known_limit, &call.life) {
        on_told(node, life, known, "caller");
    }
}

/// Takes in the rate limit that a health check tells. One that it doesn't tell may be told by
/// answers to calls all the same, so it counts as a caller's word.
pub(crate) fn on_health_check_limit(
    node: &RoutedNode,
    life: &BackendLife,
    limit: AdvertisedRateLimit,
) {
    if let AdvertisedRateLimit::PerSecond(per_s) = limit {
        let known = KnownLimit::told_now(per_s);
        on_told(node, life, known, "health_check");
    }
}

fn on_told(node: &RoutedNode, life: &BackendLife, known: KnownLimit, from: &'static str) {
    let mut gate = node.gate.borrow_mut();
    let change = gate
        .rate_limit_mut()
        .on_caller_report(node.now(), life, known);
    drop(gate);
    on_change(node, life, change, from);
}

fn on_change(
    node: &RoutedNode,
    life: &BackendLife,
    change: Option<RateLimitChange>,
    from: &'static str,
) {
    let Some(change) = change else {
        return;
    };
    // Those that would wait too long now are sent elsewhere: dropped tickets tell them.
    let shed = node.gate.borrow_mut().shed(node.now());
    drop(shed);
    log_change(node, life, change, from);
    admit_waiting(node);
}

fn text_of(per_s: Option<f64>) -> String {
    per_s.map_or_else(|| String::from("none"), |per_s| per_s.to_string())
}

fn log_change(node: &RoutedNode, life: &BackendLife, change: RateLimitChange, from: &'static str) {
    let what = match (change.from_per_s, change.to_per_s) {
        (None, _) => "began",
        (_, None) => "ended",
        _ => "changed",
    };
    node.metrics.count("server_limit", what);
    let now = node.now();
    if node.metrics.take_log_permit(now) {
        let age = node.gate.borrow().rate_limit().age(now);
        log::info!(event = "server_limit", life:% = life, what = what,
            was_per_s = text_of(change.from_per_s), per_s = text_of(change.to_per_s),
            from = from, age_ms = age.as_millis() as u64;
            "the backend server of this host advertises another rate limit");
    }
}
