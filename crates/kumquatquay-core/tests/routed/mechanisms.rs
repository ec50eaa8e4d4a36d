//! The switches and names of mechanisms.

use kumquatquay_core::routed::{Mechanism, Mechanisms};

#[test]
fn each_mechanism_has_its_own_name_and_switch() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
        let all = Mechanisms::default().with(Mechanism::OFF_BY_DEFAULT);
        let without = all.without([mechanism]);
        for other in Mechanism::ALL {
            assert!(all.is_on(other));
            assert_eq!(without.is_on(other), other != mechanism);
            let is_off_by_default = Mechanism::OFF_BY_DEFAULT.contains(&other);
            assert_eq!(Mechanisms::default().is_on(other), !is_off_by_default);
        }
    }
}

#[test]
fn the_error_for_an_unknown_name_lists_the_known_ones() {
    let error = "levels".parse::<Mechanism>().unwrap_err().to_string();
    assert!(
        error.contains("levels") && error.contains("entry-levels"),
        "{error}"
    );
}
