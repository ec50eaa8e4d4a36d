//! The tasks of one node, which end together.

use std::future::Future;

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
        let ended = self.ended.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = ended.cancelled() => {}
            }
        });
    }

    /// [`Tasks::spawn`], for a task that stays on this thread.
    pub(crate) fn spawn_local(&self, task: impl Future<Output = ()> + 'static) {
        let ended = self.ended.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = task => {}
                () = ended.cancelled() => {}
            }
        });
    }

    /// Ends all tasks.
    pub(crate) fn end(&self) {
        self.ended.cancel();
    }
}
