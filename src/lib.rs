//! Overload control for service call graphs, as a library to embed.
//!
//! This crate re-exports the parts that make up a node, so that another
//! program can host the decisions on its own sockets, timers and clocks:
//!
//! - [`core`]: the decisions, free of I/O, threads and clocks
//! - [`wire`]: the types that cross between processes, and their codecs
//!
//! The daemon `kumquatquayd` and the operators' tool `kumquatquay` are built
//! from the same parts.

#![forbid(unsafe_code)]

pub use kumquatquay_core as core;
pub use kumquatquay_wire as wire;
