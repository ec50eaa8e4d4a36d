//! Rate limits that all nodes share, even while they are cut off from each other.
//!
//! A quota applies to all nodes together, and requests arrive at any of them. If it were split
//! into equal parts permanently, requests would be refused by chance: a 78th of 43 requests a
//! second is one request in two seconds. If it were counted in one place, it would fail with that
//! place.
//!
//! Instead, each node owns an equal part of every quota and *lends* it, for a limited time, to
//! borrowers in its data centre, which admit requests on behalf of all nodes there:
//!
//! - [`Lender`] is the owner's side. What is lent can only be used by the borrower until the loan
//!   ends; the rest can be used by the owner. So the parts never add up to more than the quota,
//!   whichever nodes are cut off, killed, restarted or considered dead, and nodes needn't agree on
//!   the borrowers.
//! - [`QuotaPool`] is the borrower's side: token buckets that fill in proportion to what is lent.
//! - [`NodeQuotas`] combines both for one node, which uses what it doesn't lend.
//! - [`Borrowers`] selects the borrowers from the members that a node sees.
//!
//! The borrower counts the duration of a loan from the moment at which it *asked*, by its own
//! clock; the owner counts it from its answer, by its own clock. So a loan never ends earlier for
//! the owner than for the borrower. A node that starts owns nothing for a while, and its buckets
//! start empty, since it may have spent the tokens just before.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use kumquatquay_core::quota::{Lender, Loan, QuotaLimit, QuotaPool};
//! use kumquatquay_wire::routed::SliceSets;
//!
//! let second = Duration::from_secs(1);
//! let (mut lender, mut pool) = (Lender::new(Duration::ZERO), QuotaPool::default());
//! let borrower = "10.1.0.7:7003".parse().unwrap();
//! let now = 10 * second;
//! let granted = lender.lend(now, borrower, SliceSets::ALL);
//! let loan = Loan { granted, asked: now, nodes_count: 1 };
//! pool.set_loan(now, "10.1.0.8:7003".parse().unwrap(), loan);
//!
//! let limit = QuotaLimit { rate_per_s: 2.0, depth_count: 4.0 };
//! assert!(pool.try_take(now + second / 2, "north", limit).is_ok());
//! assert!(pool.try_take(now + second / 2, "north", limit).is_err());
//! ```

mod borrowers;
mod lender;
mod limit;
mod node_quotas;
mod pool;
mod slices;

pub use borrowers::Borrowers;
pub use lender::{LOAN_DURATION, Lender};
pub use limit::{QuotaLimit, QuotaTolerance};
pub use node_quotas::NodeQuotas;
pub use pool::{Loan, QuotaExceeded, QuotaPool};
pub use slices::slice_of;
