//! Hands inputs to the core and its outputs to whoever waits for them.

#[expect(clippy::module_inception, reason = "the type names the module")]
mod engine;
mod events;
mod waiters;

pub(crate) use engine::Engine;
pub(crate) use events::{CallEvent, Effect, WorkEvent};
