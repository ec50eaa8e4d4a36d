//! What a backend server tells of the pace of its machine.

use kumquatquay_core::routed::MachineSlowdown;

use crate::at_ms;

#[test]
fn the_newest_pace_is_known_for_a_second() {
    let mut pace = MachineSlowdown::default();
    assert_eq!(pace.ratio(at_ms(0)), None);
    pace.on_report(at_ms(100), 1.5);
    pace.on_report(at_ms(200), 2.5);
    assert_eq!(pace.ratio(at_ms(1_199)), Some(2.5));
    assert_eq!(pace.ratio(at_ms(1_200)), None);
}

/// A machine that tells that it works a million times slower, or in no time, would send all
/// calls elsewhere or to itself. Such figures are passed over; what was told before holds.
#[test]
fn a_senseless_pace_is_passed_over() {
    let mut pace = MachineSlowdown::default();
    pace.on_report(at_ms(0), 1.25);
    for senseless in [0.0, -1.0, 0.001, 61.0, 1e9, f64::NAN, f64::INFINITY] {
        pace.on_report(at_ms(1), senseless);
        assert_eq!(pace.ratio(at_ms(2)), Some(1.25), "{senseless}");
    }
}
