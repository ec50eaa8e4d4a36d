//! Datagrams and bulk exchanges between nodes.

mod bulk;
mod datagrams;

pub(crate) use bulk::{Ask, serve as serve_bulk};
pub(crate) use datagrams::receive;
