//! What a quota lets in.

use kumquatquay_wire::routed::Quota;

/// Part of the room for error that is used. The rest is left for requests that are counted
/// otherwise than here.
const USED_RATIO: f64 = 0.8;

/// By how much a quota may be passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Share of what a quota lets in within a window.
    pub overage_ratio: f64,
    /// Requests besides that share.
    pub extra_count: f64,
}

/// A bucket: how fast tokens come, and how many it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Tokens a second.
    pub rate_per_s: f64,
    /// Tokens that it holds.
    pub depth_count: f64,
}

impl QuotaLimit {
    /// The bucket of a quota.
    ///
    /// What keepers have doesn't follow at once where requests come in, and those that a quota
    /// allows must not be refused for that. So room for error is used, such that no window holds
    /// more than is allowed.
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
