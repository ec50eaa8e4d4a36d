//! Tests of the rate limits that all nodes share.

mod borrowers;
mod lender;
mod limit;
mod pool;
mod random_faults;

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::quota::QuotaLimit;

const LIMIT: QuotaLimit = QuotaLimit {
    rate_per_s: 40.0,
    depth_count: 60.0,
};

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Control address of a node.
fn node(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_003))
}
