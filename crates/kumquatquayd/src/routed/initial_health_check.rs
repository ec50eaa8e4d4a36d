//! Health checks of the backend server of this host while the node starts.

use std::{rc::Rc, time::Duration};

use kumquatquay_core::routed::{LifeReport, LifeState, Mechanism};
use kumquatquay_wire::BackendLife;

use super::{
    health_check::{HealthAnswer, check_health},
    node::RoutedNode,
    reports::on_backend_changed,
    server_notices::on_health_check_limit,
};

/// Pauses before the checks. Backend servers report every second or two, so a few checks in the
/// first second make a node operational one second earlier on average. Each is a small request.
const CHECK_PAUSES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];

/// Checks the health of the backend server a few times, until the node knows its state.
///
/// A node may be restarted while its backend server keeps running, or all nodes may be killed at
/// once. Until the next report arrives, no calls reach that backend server: a service with three of
/// them loses a third of its capacity for that time.
pub(crate) async fn check_backend_at_start(node: Rc<RoutedNode>) {
    if !node.is_on(Mechanism::InitialHealthCheck) {
        return;
    }
    for pause in CHECK_PAUSES {
        tokio::time::sleep(pause).await;
        if node.lives.borrow().current().is_some() {
            return;
        }
        if let Some(answer) = check_health(&node).await
            && let Some(report) = report_of(&node, &answer)
        {
            apply(&node, report, &answer);
            return;
        }
    }
}

/// Report that stands for a passed health check, if that states the id and the slots.
fn report_of(node: &RoutedNode, answer: &HealthAnswer) -> Option<LifeReport> {
    let instance = answer.instance.clone().filter(|_| answer.is_healthy)?;
    Some(LifeReport {
        life: BackendLife::without_start(instance),
        service: node.settings.service.clone(),
        slots_count: answer.slots_count.filter(|slots| *slots > 0)?,
        state: LifeState::Serving,
        sequence: 0,
        warm_up_left: Duration::ZERO,
    })
}

fn apply(node: &RoutedNode, report: LifeReport, answer: &HealthAnswer) {
    let mut lives = node.lives.borrow_mut();
    let life = report.life.clone();
    // A shutdown notice may have come after the backend server wrote its answer.
    if lives.current().is_some() || lives.has_left(&life.instance) {
        return;
    }
    let applied = lives.on_report(node.now(), report);
    drop(lives);
    if applied == Ok(true) {
        node.metrics.count("report", "first_look");
        on_backend_changed(node);
        on_health_check_limit(node, &life, answer.limit);
    }
}
