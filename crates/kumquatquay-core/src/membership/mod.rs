//! Who is there, in this data centre and the others.

mod bulk_sync;
mod byte_budget;
mod candidate;
mod carrier;
mod controller;
mod data_centre_view;
mod far_silence;
mod gossip;
mod gossip_queue;
mod leaving;
mod member_table;
mod merge;
mod prober;
mod replay_windows;
mod seed_log;
mod sender;
mod state;
mod suspicion;
mod tellings;

pub(crate) use candidate::Candidate;
pub(crate) use controller::{on_backend, on_bulk, on_datagram, on_seeds, on_tick};
pub(crate) use data_centre_view::DataCentreView;
pub(crate) use leaving::{drain, on_stopping, undrain};
pub(crate) use member_table::MemberTable;
pub(crate) use seed_log::{on_log, owns};
pub(crate) use sender::send_others;
pub(crate) use state::Membership;
