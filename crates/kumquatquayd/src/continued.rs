//! Futures that go on when whoever awaits them has gone.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::runtime::Handle;

use crate::tasks::Tasks;

/// A future that is polled in place and, if it is dropped before its end, goes
/// on in a task of its own.
///
/// The HTTP library drops the future of a request when its sender has gone. A
/// non-idempotent operation must go on then, and the core alone decides what is
/// cancelled. Running each request in a task of its own from the beginning would
/// do the same, for the price of two more hand-overs between threads a request.
pub(crate) struct Continued<T: 'static> {
    future: Option<Pin<Box<dyn Future<Output = T> + Send>>>,
    on_gone: Option<Box<dyn FnOnce() + Send>>,
    tasks: Tasks,
}

impl<T: 'static> Continued<T> {
    /// Wraps a future; `on_gone` runs if it is dropped before its end.
    pub(crate) fn new(
        tasks: &Tasks,
        future: impl Future<Output = T> + Send + 'static,
        on_gone: impl FnOnce() + Send + 'static,
    ) -> Self {
        Self {
            future: Some(Box::pin(future)),
            on_gone: Some(Box::new(on_gone)),
            tasks: tasks.clone(),
        }
    }
}

impl<T: 'static> Future for Continued<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<T> {
        let Some(future) = self.future.as_mut() else {
            return Poll::Pending;
        };
        let poll = future.as_mut().poll(context);
        if poll.is_ready() {
            self.future = None;
            self.on_gone = None;
        }
        poll
    }
}

impl<T: 'static> Drop for Continued<T> {
    fn drop(&mut self) {
        if let Some(on_gone) = self.on_gone.take() {
            on_gone();
        }
        let Some(future) = self.future.take() else {
            return;
        };
        // Without a runtime the whole process is ending, and the request with it.
        if Handle::try_current().is_ok() {
            self.tasks.spawn(GoOn(future));
        }
    }
}

/// Polls a future to its end and drops what comes of it.
struct GoOn<T>(Pin<Box<dyn Future<Output = T> + Send>>);

impl<T> Future for GoOn<T> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context).map(drop)
    }
}
