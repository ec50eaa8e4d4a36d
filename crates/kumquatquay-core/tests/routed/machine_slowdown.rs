//! The slowdown of its machine that a backend server reports.

use kumquatquay_core::routed::MachineSlowdown;

use crate::at_ms;

#[test]
fn the_latest_slowdown_is_valid_for_a_second() {
    let mut slowdown = MachineSlowdown::default();
    assert_eq!(slowdown.ratio(at_ms(0)), None);
    slowdown.on_report(at_ms(100), 1.5);
    slowdown.on_report(at_ms(200), 2.5);
    assert_eq!(slowdown.ratio(at_ms(1_199)), Some(2.5));
    assert_eq!(slowdown.ratio(at_ms(1_200)), None);
}

/// A machine that reports that work takes a billion times as long, or no time at all, would divert
/// all calls to other backend servers or attract them. Such values are ignored, and the previous
/// one stays valid.
#[test]
fn an_implausible_slowdown_is_ignored() {
    let mut slowdown = MachineSlowdown::default();
    slowdown.on_report(at_ms(0), 1.25);
    for implausible in [0.0, -1.0, 0.001, 61.0, 1e9, f64::NAN, f64::INFINITY] {
        slowdown.on_report(at_ms(1), implausible);
        assert_eq!(slowdown.ratio(at_ms(2)), Some(1.25), "{implausible}");
    }
}
