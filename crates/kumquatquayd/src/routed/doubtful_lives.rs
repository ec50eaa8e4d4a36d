//! Asks the backend server of this host whether it accepts calls where what was reported of it
//! contradicts a shutdown notice.

use std::{rc::Rc, time::Duration};

use kumquatquay_wire::BackendLife;

use super::{health_check::check_health, node::RoutedNode, reports::on_backend_changed};

/// Pause before a check that got no answer is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Asks the backend server in the background which life accepts calls, if only it knows after a
/// shutdown notice.
pub(super) fn ask_after_notice(node: &Rc<RoutedNode>) {
    let life = node.lives.borrow().life_to_ask().cloned();
    if let Some(life) = life {
        ask_if_doubtful(node, life);
    }
}

/// Asks the backend server in the background whether a life accepts calls, if only it knows.
pub(super) fn ask_if_doubtful(node: &Rc<RoutedNode>, life: BackendLife) {
    if !node.lives.borrow().needs_health_check(&life) {
        return;
    }
    let mut doubtful = node.doubtful_lives.borrow_mut();
    let is_asking = !doubtful.is_empty();
    doubtful.retain(|known| *known != life);
    doubtful.push(life);
    if !is_asking {
        node.tasks.spawn_local(resolve_doubts(Rc::clone(node)));
    }
}

/// Asks until the backend server has answered for all lives that are in doubt.
///
/// A late report may be the last one: the process that left sends none any more. So a check that
/// can't be made yet, or gets no answer, is repeated.
async fn resolve_doubts(node: Rc<RoutedNode>) {
    while forget_resolved(&node) {
        if !ask(&node).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Removes the lives about which nothing is left to ask. Returns whether there are others.
fn forget_resolved(node: &RoutedNode) -> bool {
    let lives = node.lives.borrow();
    let mut doubtful = node.doubtful_lives.borrow_mut();
    doubtful.retain(|life| lives.needs_health_check(life));
    !doubtful.is_empty()
}

/// Asks once, and applies the answer to the lives that are in doubt. Returns whether there was an answer.
async fn ask(node: &RoutedNode) -> bool {
    let asked = node.doubtful_lives.borrow().clone();
    let notices_count = node.lives.borrow().notices_count();
    let Some(answer) = check_health(node).await else {
        return false;
    };
    if node.lives.borrow().notices_count() != notices_count {
        return false;
    }
    let healthy = answer.instance.filter(|_| answer.is_healthy);
    let (confirmed, refuted): (Vec<_>, Vec<_>) = asked
        .iter()
        .partition(|life| healthy.as_ref() == Some(&life.instance));
    // One of them runs: the start that was reported last.
    if let Some(life) = confirmed.last() {
        on_verdict(node, life, true);
    }
    for life in refuted {
        on_verdict(node, life, false);
    }
    let mut doubtful = node.doubtful_lives.borrow_mut();
    doubtful.retain(|life| !asked.contains(life));
    true
}

fn on_verdict(node: &RoutedNode, life: &BackendLife, is_healthy: bool) {
    let mut lives = node.lives.borrow_mut();
    let has_changed = if is_healthy {
        lives.on_healthy(life)
    } else {
        lives.on_unhealthy(life)
    };
    drop(lives);
    let what = if is_healthy { "confirmed" } else { "doubted" };
    node.metrics.count("report", what);
    log::info!(event = "backend_asked", life:% = life, what = what, has_changed = has_changed;
        "asked the backend server, since a report contradicts a shutdown notice");
    if has_changed {
        on_backend_changed(node);
    }
}
