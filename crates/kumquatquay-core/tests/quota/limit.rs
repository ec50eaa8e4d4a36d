//! What a quota lets in.

use kumquatquay_core::quota::{QuotaLimit, QuotaTolerance};
use kumquatquay_wire::routed::Quota;
use quickcheck::quickcheck;

#[test]
fn without_room_for_error_a_quota_is_what_it_says() {
    let quota = Quota {
        rate_per_s: 40.0,
        burst_count: 60.0,
    };
    let limit = QuotaLimit::of(quota, None);
    assert_eq!((limit.rate_per_s, limit.depth_count), (40.0, 60.0));
}

/// A quota without a burst would let nothing in: a bucket that never holds a whole token.
#[test]
fn a_quota_without_a_burst_lets_requests_in() {
    let quota = Quota {
        rate_per_s: 40.0,
        burst_count: 0.0,
    };
    assert_eq!(QuotaLimit::of(quota, None).depth_count, 1.0);
}

quickcheck! {
    /// Whatever operators set, a full bucket and what comes in a window stay within what may pass.
    fn the_room_for_error_is_never_passed(rate: u16, burst: u16, extra: u8, window_s: u8) -> bool {
        let quota = Quota {
            rate_per_s: f64::from(rate),
            burst_count: f64::from(burst),
        };
        let slack = QuotaTolerance {
            overage_ratio: 0.1,
            extra_count: f64::from(extra) + 2.0,
        };
        let limit = QuotaLimit::of(quota, Some(slack));
        let window_s = f64::from(window_s);
        let most = limit.rate_per_s * window_s + limit.depth_count;
        let allowed = (quota.rate_per_s * window_s + quota.burst_count)
            * (1.0 + slack.overage_ratio)
            + slack.extra_count;
        most <= allowed
    }
}
