//! Decisions for calls on configured routes.
//!
//! A [`RouteConfiguration`] sends calls by host and path to services, with a
//! timeout, a priority and a number of attempts each. This module decides where
//! each call goes, who waits, who is refused and what is sent once more. It needs
//! no network: the daemon carries the bytes and tells the time.

mod backend_lives;
mod host_gate;
mod retry_window;
mod route_table;
mod split;
mod target_table;

pub use backend_lives::{BackendLives, LifeReport, LifeState};
pub use host_gate::{Admission, HostGate, WaitKey};
pub use retry_window::RetryWindow;
pub use route_table::{RouteTable, TableRoute};
pub use split::Split;
pub use target_table::{Choice, Target, TargetEnded, TargetTable};
