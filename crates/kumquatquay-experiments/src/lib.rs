//! Experiments: deployments of nodes and stand-ins in one process, the load
//! on them, and what is measured.
//!
//! - [`load`]: open-loop load
//! - [`overhead`]: the time that two nodes add to a call
//! - [`report`]: results as JSON, tables and plots
//! - [`scenario`]: what an experiment consists of, declared
//! - [`catalogue`]: the named experiments
//! - [`config_spread`]: how fast a change is in force everywhere
//! - [`demo`]: the demonstration
//! - [`engine`]: running a scenario
//! - [`measure`]: from samples to measures

#![forbid(unsafe_code)]

pub mod catalogue;
pub mod config_spread;
pub mod demo;
pub mod engine;
pub mod load;
pub mod measure;
pub mod overhead;
pub mod report;
pub mod scenario;
