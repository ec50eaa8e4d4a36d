//! Detects that the backend server of this host has died.

use std::{io, rc::Rc, time::Duration};

use kumquatquay_core::{BackendInput, routed::LifeState};
use tokio::net::TcpStream;

use super::{gate_slot::withdraw_waiting, node::RoutedNode};

/// Pause between a broken run and the check whether the backend server lives. All connections of one
/// that has died break meanwhile.
const CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Pause after a check, so that a backend server that breaks many connections is not checked for each.
const NEXT_CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a check. The backend server is on this host, and accepts or refuses at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a new connection has to stay open. What listens in place of a backend server that has died
/// closes it at once.
const OPEN_TIME: Duration = Duration::from_millis(20);

/// What a check of the backend server shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    Accepts,
    Refuses,
    /// It accepts a connection and closes it.
    Closes,
}

/// Checks after each broken run whether the backend server lives.
///
/// A request that crashes it comes again within a second. Without the check the death would be noticed
/// with the next call for this server, and other gates would run the request until then.
pub(crate) async fn check_after_broken_runs(node: Rc<RoutedNode>) {
    loop {
        node.run_broken.notified().await;
        let broken_at = node.now();
        tokio::time::sleep(CHECK_PAUSE).await;
        if node.lives.borrow().current().is_none() || node.backend.has_open_idle_connection() {
            continue;
        }
        node.metrics.count("backend_check", "after_broken_run");
        let result = check(&node).await;
        // An overloaded backend server closes new connections too, but answers on others.
        let has_answered = node.last_answer_at.get() >= broken_at;
        match result {
            CheckResult::Refuses => on_backend_died(&node, "connection refused after a broken run"),
            CheckResult::Closes if !has_answered => {
                let why = "it closes all connections";
                end_life(&node, BackendInput::ClosesConnections, why);
            }
            CheckResult::Closes | CheckResult::Accepts => {}
        }
        tokio::time::sleep(NEXT_CHECK_PAUSE).await;
    }
}

async fn check(node: &RoutedNode) -> CheckResult {
    let connect = TcpStream::connect(node.settings.backend);
    match tokio::time::timeout(CHECK_TIMEOUT, connect).await {
        Ok(Ok(stream)) if is_closed_soon(&stream).await => CheckResult::Closes,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => CheckResult::Refuses,
        Ok(Ok(_) | Err(_)) | Err(_) => CheckResult::Accepts,
    }
}

/// Whether a connection on which nothing was sent becomes readable: only its end makes it so.
async fn is_closed_soon(stream: &TcpStream) -> bool {
    let readable = tokio::time::timeout(OPEN_TIME, stream.readable()).await;
    readable.is_ok()
}

/// Announces to the membership that the backend server of this host has died, until it reports again.
/// What ran there is suspected of it.
pub(crate) fn on_backend_died(node: &RoutedNode, why: &str) {
    end_life(node, BackendInput::Died, why);
}

/// Announces that the backend server gives no answers, until it reports again. What ran there is suspected
/// once another life reports.
pub(crate) fn on_backend_unresponsive(node: &RoutedNode, why: &str) {
    end_life(node, BackendInput::Unresponsive, why);
}

fn end_life(node: &RoutedNode, input: BackendInput, why: &str) {
    if !node.lives.borrow_mut().on_dead() {
        return;
    }
    log::warn!(event = "backend_dead"; "the backend server is considered dead: {why}");
    if matches!(input, BackendInput::Died) {
        node.last_life.take();
    }
    node.engine.handle(input);
    node.crash_recorded.notify_one();
    withdraw_waiting(node);
}

/// Concludes from a report of another life that the one before has died, if that did not say that it
/// leaves. It may have started anew before a connection to it was refused.
pub(crate) fn on_reported_life(node: &RoutedNode) {
    let lives = node.lives.borrow();
    let Some(current) = lives.current() else {
        return;
    };
    let last = node.last_life.replace(Some(current.life.clone()));
    let has_died =
        last.is_some_and(|last| !last.may_equal(&current.life) && !lives.is_leaving(&last));
    if has_died && current.state == LifeState::Serving {
        drop(lives);
        log::warn!(event = "backend_replaced";
            "another life of the backend server reports, and the one before did not leave");
        node.engine.handle(BackendInput::Died);
        node.crash_recorded.notify_one();
    }
}
