//! Tasks that run the calls of other nodes, one after the other.
//!
//! A new task takes an allocation of some kilobytes; one that has run a call waits for the next
//! one instead.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::Notify;

use super::{link_server::ServedCall, node::RoutedNode};

/// Tasks that are kept while there is nothing to run.
const KEPT_COUNT: usize = 16;

/// The tasks that wait for a call.
#[derive(Debug, Default)]
pub(crate) struct CallWorkers {
    idle: RefCell<Vec<Rc<CallWorker>>>,
}

/// One of the tasks.
#[derive(Debug, Default)]
struct CallWorker {
    next: RefCell<Option<ServedCall>>,
    wake: Notify,
}

impl CallWorker {
    /// The call that it is to run next.
    async fn next(&self) -> ServedCall {
        loop {
            if let Some(call) = self.next.borrow_mut().take() {
                return call;
            }
            self.wake.notified().await;
        }
    }
}

/// Runs a call, in a task that has nothing to do or in a new one.
pub(super) fn run_on_worker(node: &Rc<RoutedNode>, call: ServedCall) {
    let idle = node.call_workers.idle.borrow_mut().pop();
    let is_new = idle.is_none();
    let runner = idle.unwrap_or_default();
    runner.next.replace(Some(call));
    if is_new {
        node.tasks.spawn_local(run_calls(Rc::clone(node), runner));
    } else {
        runner.wake.notify_one();
    }
}

async fn run_calls(node: Rc<RoutedNode>, runner: Rc<CallWorker>) {
    loop {
        runner.next().await.run(&node).await;
        let mut idle = node.call_workers.idle.borrow_mut();
        if idle.len() >= KEPT_COUNT {
            return;
        }
        idle.push(Rc::clone(&runner));
    }
}
