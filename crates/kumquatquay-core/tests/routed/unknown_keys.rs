//! The cache of keys that belong to no workspace.

use std::time::Duration;

use kumquatquay_core::routed::UnknownKeys;
use kumquatquay_wire::routed::KeyDigest;

use crate::at_ms;

fn key(number: u32) -> KeyDigest {
    KeyDigest::of(&number.to_le_bytes())
}

#[test]
fn a_key_is_remembered_for_thirty_seconds() {
    let mut keys = UnknownKeys::default();
    keys.insert(at_ms(0), key(1));
    assert!(keys.contains(at_ms(29_000), key(1)));
    assert!(!keys.contains(at_ms(31_000), key(1)));
    assert!(!keys.contains(at_ms(0), key(2)));
}

/// A caller tries 20,000 keys. The number of remembered keys stays bounded, and the latest key is
/// among them.
#[test]
fn the_number_of_remembered_keys_is_bounded() {
    let mut keys = UnknownKeys::default();
    for number in 0..20_000 {
        keys.insert(Duration::from_micros(u64::from(number)), key(number));
    }
    let now = at_ms(20);
    let remembered = (0..20_000).filter(|number| keys.contains(now, key(*number)));
    assert!(remembered.count() <= 1_024);
    assert!(keys.contains(now, key(19_999)));
}
