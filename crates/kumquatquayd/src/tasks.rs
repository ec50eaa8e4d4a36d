//! The tasks of one node, which end together.

use std::{
    future::{Future, poll_fn},
    pin::{Pin, pin},
    task::Poll,
};

use tokio_util::sync::CancellationToken;

/// The tasks of one node.
///
/// A node inside another program must be able to end as a process does: when it
/// is stopped, its connections and exchanges end with it, so that the other side
/// learns of it at once and not when a deadline runs out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    ended: CancellationToken,
}

impl Tasks {
    /// Runs a task until it is done or the node ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(until_ended(Box::pin(task), self.ended.clone()));
    }

    /// [`Tasks::spawn`], for a task that stays on this thread.
    pub(crate) fn spawn_local(&self, task: impl Future<Output = ()> + 'static) {
        tokio::task::spawn_local(until_ended(Box::pin(task), self.ended.clone()));
    }

    /// Ends all tasks.
    pub(crate) fn end(&self) {
        self.ended.cancel();
    }
}

/// Runs a task until it is done or the end comes.
///
/// The wait for the end is begun once: each time that the task is woken, only a flag is looked
/// at. Most tasks are calls and connections, and they are woken for each message.
///
/// The task is boxed, since this future would hold it twice: as it was passed, and pinned.
async fn until_ended<F>(mut task: Pin<Box<F>>, ended: CancellationToken)
where
    F: Future<Output = ()>,
{
    let mut end = pin!(ended.cancelled());
    let mut is_waiting = false;
    poll_fn(|context| {
        if task.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        if is_waiting && !ended.is_cancelled() {
            return Poll::Pending;
        }
        is_waiting = true;
        end.as_mut().poll(context)
    })
    .await;
}
