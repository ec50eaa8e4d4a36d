//! Worker tasks that run the calls of other nodes.
//!
//! A new task needs an allocation of several kilobytes, so a task that has run a call is reused for
//! the next one.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::Notify;

use super::{link_server::ServedCall, node::RoutedNode};

/// Idle worker tasks, at most.
const IDLE_LIMIT_COUNT: usize = 16;

/// The idle worker tasks.
#[derive(Debug, Default)]
pub(crate) struct CallWorkers {
    idle: RefCell<Vec<Rc<CallWorker>>>,
}

/// A worker task.
#[derive(Debug, Default)]
struct CallWorker {
    next: RefCell<Option<ServedCall>>,
    wake: Notify,
}

impl CallWorker {
    /// Waits for the next call.
    async fn next(&self) -> ServedCall {
        loop {
            if let Some(call) = self.next.borrow_mut().take() {
                return call;
            }
            self.wake.notified().await;
        }
    }
}

/// Runs a call in an idle worker task, or in a new one if none is idle.
pub(super) fn run_on_worker(node: &Rc<RoutedNode>, call: ServedCall) {
    let idle = node.call_workers.idle.borrow_mut().pop();
    let is_new = idle.is_none();
    let worker = idle.unwrap_or_default();
    worker.next.replace(Some(call));
    if is_new {
        node.tasks.spawn_local(run_worker(Rc::clone(node), worker));
    } else {
        worker.wake.notify_one();
    }
}

async fn run_worker(node: Rc<RoutedNode>, worker: Rc<CallWorker>) {
    loop {
        worker.next().await.run(&node).await;
        let mut idle = node.call_workers.idle.borrow_mut();
        if idle.len() >= IDLE_LIMIT_COUNT {
            return;
        }
        idle.push(Rc::clone(&worker));
    }
}
