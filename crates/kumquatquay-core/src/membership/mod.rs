//! Membership and failure detection by a SWIM-like gossip protocol, in the own data centre and
//! across data centres.

mod bulk_sync;
mod byte_budget;
mod candidate;
mod controller;
mod data_centre_liveness;
mod data_centre_relay;
mod data_centre_view;
mod draining;
mod gossip;
mod gossip_queue;
mod member_table;
mod merge;
mod prober;
mod replay_windows;
mod seed_log;
mod sender;
mod state;
mod suspicion;
mod transmit_counts;

pub(crate) use candidate::Candidate;
pub(crate) use controller::{on_backend, on_bulk, on_datagram, on_seeds, on_tick};
pub(crate) use data_centre_view::DataCentreView;
pub(crate) use draining::{drain, has_stopped, on_stopping, undrain};
pub(crate) use member_table::MemberTable;
pub(crate) use seed_log::{on_log, owns};
pub(crate) use sender::{send_crash_rumours, send_other_rumours};
pub(crate) use state::Membership;
