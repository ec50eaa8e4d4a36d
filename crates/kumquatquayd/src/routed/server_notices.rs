//! Shutdown notices and rate limits that the backend server of this host announces in its answers.

use std::{borrow::Cow, rc::Rc, time::Duration};

use kumquatquay_core::routed::{AdvertisedRateLimit, RateLimitChange};
use kumquatquay_wire::{
    BackendLife,
    routed::{CallHead, KnownLimit},
};

use super::{
    gate_slot::admit_waiting, interface::AnswerMetadata, node::RoutedNode,
    reported_shutdowns::keep_in_background, reports::on_backend_changed,
};

/// Applies the shutdown notice and the rate limit in the answer to a run that started at
/// `started_at`.
pub(crate) fn on_notices(
    node: &Rc<RoutedNode>,
    call: &CallHead<'_>,
    started_at: Duration,
    metadata: &AnswerMetadata,
) {
    let Some(life) = answering_life(node, call) else {
        return;
    };
    if metadata.is_leaving {
        on_leaving(node, &life);
    }
    on_answer_limit(node, &life, started_at, metadata.limit);
}

/// The life that answered a call: the current one, unless the call was addressed to another id.
///
/// A caller may know another start of the same id than this node.
fn answering_life<'a>(node: &RoutedNode, call: &'a CallHead<'_>) -> Option<Cow<'a, BackendLife>> {
    let lives = node.lives.borrow();
    let current = lives.current().map(|current| &current.life);
    match (&call.life, current) {
        (Some(life), Some(current)) if life.instance != current.instance => {
            Some(Cow::Borrowed(life))
        }
        (Some(life), None) => Some(Cow::Borrowed(life)),
        (_, Some(current)) => Some(Cow::Owned(current.clone())),
        (None, None) => None,
    }
}

/// Handles a shutdown notice in an answer like one in a report: all hosts are notified, and no
/// calls are forwarded once the drain time is over, whatever later reports say.
fn on_leaving(node: &Rc<RoutedNode>, life: &BackendLife) {
    let mut lives = node.lives.borrow_mut();
    if lives.knows_leave(&BackendLife::without_start(&life.instance)) {
        return;
    }
    lives.on_leave_in_answer(node.now(), &life.instance);
    drop(lives);
    node.metrics.count("server_leaving", "answer");
    log::info!(event = "server_leaving", life:% = life, from = "answer";
        "backend server of this host announced its shutdown");
    on_backend_changed(node);
    // An answer tells the id alone, whatever start is known here.
    keep_in_background(node, BackendLife::without_start(&life.instance));
}

fn on_answer_limit(
    node: &RoutedNode,
    life: &BackendLife,
    started_at: Duration,
    limit: AdvertisedRateLimit,
) {
    let now = node.now();
    if limit == AdvertisedRateLimit::Malformed {
        node.metrics.count("server_limit", "malformed");
        if node.metrics.take_log_permit(now) {
            log::warn!(event = "server_limit_malformed", life:% = life;
                "ignored a malformed rate limit in an answer; the previous one still applies");
        }
    }
    let mut gate = node.gate.borrow_mut();
    let change = gate
        .rate_limit_mut()
        .on_answer(now, life, started_at, limit);
    drop(gate);
    on_limit_change(node, life, change, "answer");
}

/// Applies the rate limit of which the sender of a call knows.
pub(crate) fn on_known_limit(node: &RoutedNode, call: &CallHead<'_>) {
    if let (Some(known), Some(life)) = (call.known_limit, &call.life) {
        on_reported_limit(node, life, known, "caller");
    }
}

/// Applies the rate limit in the answer to a health check. It counts as reported by a caller, since
/// answers to calls may state a limit even if health checks state none.
pub(crate) fn on_health_check_limit(
    node: &RoutedNode,
    life: &BackendLife,
    limit: AdvertisedRateLimit,
) {
    if let AdvertisedRateLimit::PerSecond(per_s) = limit {
        let known = KnownLimit::reported_now(per_s);
        on_reported_limit(node, life, known, "health_check");
    }
}

fn on_reported_limit(node: &RoutedNode, life: &BackendLife, known: KnownLimit, from: &'static str) {
    let mut gate = node.gate.borrow_mut();
    let change = gate
        .rate_limit_mut()
        .on_caller_report(node.now(), life, known);
    drop(gate);
    on_limit_change(node, life, change, from);
}

fn on_limit_change(
    node: &RoutedNode,
    life: &BackendLife,
    change: Option<RateLimitChange>,
    from: &'static str,
) {
    let Some(change) = change else {
        return;
    };
    // Calls that would now wait too long are sent to other nodes: they learn of it from their
    // dropped permits.
    let shed = node.gate.borrow_mut().shed(node.now());
    drop(shed);
    log_change(node, life, change, from);
    admit_waiting(node);
}

fn rate_text(per_s: Option<f64>) -> String {
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
            was_per_s = rate_text(change.from_per_s), per_s = rate_text(change.to_per_s),
            from = from, age_ms = age.as_millis() as u64;
            "rate limit of the backend server of this host changed");
    }
}
