//! A limit that many nodes share, also while they are cut off from each other.
//!
//! A quota holds for all nodes together, and requests come in at any of them. Split into equal
//! parts for good it refuses by chance: a 78th of 43 requests a second is one request in two
//! seconds. Counted in one place it ends with that place.
//!
//! Here each node owns an equal part of every quota and *lends* it, for a bounded time, to
//! keepers in its data centre, who let requests in for all nodes there:
//!
//! - [`Lender`] is the owner's side. What is lent counts for the keeper alone until the loan is
//!   over; what isn't counts for the owner. So the parts never add up to more than the whole,
//!   whoever is cut off, killed, started again or taken for dead, and nobody has to agree on who
//!   the keepers are.
//! - [`QuotaPool`] is the keeper's side: tokens that grow with what is lent to it.
//! - [`NodeQuotas`] puts both together for one node: what isn't lent counts for its owner.
//! - [`Borrowers`] ranks the nodes, as each node sees them for itself.
//!
//! A loan runs from the moment at which the keeper *asked*, by the keeper's clock, and to a
//! moment that the owner counts from its answer, by the owner's clock; the second is never the
//! earlier one. A node that starts owns nothing for a while and its tokens start at none: it
//! could have spent them just before.
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
//! let keeper = "10.1.0.7:7003".parse().unwrap();
//! let now = 10 * second;
//! let granted = lender.lend(now, keeper, SliceSets::ALL);
//! pool.set_loan(now, "10.1.0.8:7003".parse().unwrap(), Loan { granted, asked: now, nodes_count: 1 });
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
