//! Token bucket of a quota.

use kumquatquay_wire::routed::Quota;

/// Share of the tolerance that is used. The rest is for requests that others count differently
/// than this node.
const USED_RATIO: f64 = 0.8;

/// Tolerance by which a quota may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Excess as a share of what the quota admits within a window.
    pub overage_ratio: f64,
    /// Requests in addition to that share.
    pub extra_count: f64,
}

/// Rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Tokens that the bucket holds at most.
    pub depth_count: f64,
}

impl QuotaLimit {
    /// The bucket of a quota, extended by a tolerance.
    ///
    /// The parts that borrowers hold don't immediately follow the place at which requests arrive,
    /// and requests within the quota must not be refused because of that. So part of the tolerance
    /// is used, such that no window admits more than is allowed.
    pub fn of(quota: Quota, slack: Option<QuotaTolerance>) -> Self {
        let Some(slack) = slack else {
            return Self {
                rate_per_s: quota.rate_per_s,
                depth_count: quota.burst_count.max(1.0),
            };
        };
        let factor = 1.0 + USED_RATIO * slack.overage_ratio;
        Self {
            rate_per_s: quota.rate_per_s * factor,
            depth_count: quota.burst_count * factor + USED_RATIO * slack.extra_count,
        }
    }
}
