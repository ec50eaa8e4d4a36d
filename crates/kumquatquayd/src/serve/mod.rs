//! The listeners and what happens to a request on each.

mod call_driver;
mod egress;
mod entry;
mod listener;
mod operator;
mod peer;
mod request_parts;
mod server_context;
mod work_driver;

pub(crate) use listener::{Listener, ListenerStop};
pub(crate) use server_context::{BackendAddress, ServerContext};

pub(crate) use egress::serve as serve_egress;
pub(crate) use entry::serve as serve_entry;
pub(crate) use operator::serve as serve_operator;
pub(crate) use peer::serve as serve_peer;
