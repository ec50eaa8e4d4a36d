//! Switching mechanisms off.

use kumquatquay_core::routed::{Mechanism, Mechanisms};

#[test]
fn each_has_a_name_and_a_switch_of_its_own() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
        let all = Mechanisms::default().with(Mechanism::OFF_BY_DEFAULT);
        let without = all.without([mechanism]);
        for other in Mechanism::ALL {
            assert!(all.is_on(other));
            assert_eq!(without.is_on(other), other != mechanism);
            let is_trial = Mechanism::OFF_BY_DEFAULT.contains(&other);
            assert_eq!(Mechanisms::default().is_on(other), !is_trial);
        }
    }
}

#[test]
fn an_unknown_name_is_told_with_those_that_there_are() {
    let error = "levels".parse::<Mechanism>().unwrap_err().to_string();
    assert!(
        error.contains("levels") && error.contains("entry-levels"),
        "{error}"
    );
}
