//! Tests of the token bucket of a quota.

use kumquatquay_core::quota::{QuotaLimit, QuotaTolerance};
use kumquatquay_wire::routed::Quota;
use quickcheck::quickcheck;

#[test]
fn without_tolerance_the_limit_equals_the_quota() {
    let quota = Quota {
        rate_per_s: 40.0,
        burst_count: 60.0,
    };
    let limit = QuotaLimit::of(quota, None);
    assert_eq!((limit.rate_per_s, limit.depth_count), (40.0, 60.0));
}

/// With a burst of zero, a bucket would never hold a whole token, and the quota would admit
/// nothing.
#[test]
fn a_quota_without_a_burst_admits_requests() {
    let quota = Quota {
        rate_per_s: 40.0,
        burst_count: 0.0,
    };
    assert_eq!(QuotaLimit::of(quota, None).depth_count, 1.0);
}

quickcheck! {
    /// Whatever quota and tolerance operators set, a full bucket and the tokens that are added
    /// within a window don't exceed what may be admitted within that window.
    fn the_tolerance_is_never_exceeded(rate: u16, burst: u16, extra: u8, window_s: u8) -> bool {
        let quota = Quota {
            rate_per_s: f64::from(rate),
            burst_count: f64::from(burst),
        };
        let tolerance = QuotaTolerance {
            overage_ratio: 0.1,
            extra_count: f64::from(extra) + 2.0,
        };
        let limit = QuotaLimit::of(quota, Some(tolerance));
        let window_s = f64::from(window_s);
        let most = limit.rate_per_s * window_s + limit.depth_count;
        let allowed = (quota.rate_per_s * window_s + quota.burst_count)
            * (1.0 + tolerance.overage_ratio)
            + tolerance.extra_count;
        most <= allowed
    }
}
