//! Encodings of the configuration: whole, or refused.

use kumquatquay_wire::{
    CallerProof, ConfigurationAnswer, ConfigurationChange, ConfigurationRecord,
    ConfigurationRequest, ConfigurationSnapshot, Intent, IntentChange, MeshKey, Priority,
    RoutePattern, SealedPlan, WireError,
};
use quickcheck::quickcheck;

fn key() -> MeshKey {
    MeshKey::from_secret("secret")
}

fn change() -> ConfigurationChange {
    let intent = Intent::new("settlement")
        .priority(Priority::caller("foreman").route("POST", "/settlements"))
        .limit("survey-bot", 50)
        .idempotency(RoutePattern::new("*", "/search"), true);
    ConfigurationChange {
        id: 7,
        intents: vec![IntentChange {
            service: String::from("settlement"),
            base: Some(3),
            intent: Some(intent),
        }],
        operator: String::from("mei"),
        confirmed_unix_ms: 1_000,
    }
}

#[test]
fn a_record_comes_back_as_it_was() {
    let records = [
        ConfigurationRecord::Change(change()),
        ConfigurationRecord::Snapshot(ConfigurationSnapshot::default()),
    ];
    for record in records {
        let bytes = record.to_bytes(&key());
        assert_eq!(ConfigurationRecord::from_bytes(&bytes, &key()), Ok(record));
    }
}

#[test]
fn a_plan_comes_back_as_it_was() {
    let text = SealedPlan::to_text(&change(), &key());
    assert_eq!(SealedPlan::from_text(&text, &key()), Ok(change()));
}

/// Somebody writes to the stream without the mesh's secret.
#[test]
fn a_record_under_another_key_is_refused() {
    let bytes = ConfigurationRecord::Change(change()).to_bytes(&MeshKey::from_secret("other"));
    assert_eq!(
        ConfigurationRecord::from_bytes(&bytes, &key()),
        Err(WireError::Forged)
    );
}

/// A plan's bytes in the stream are no confirmation: each use has its purpose.
#[test]
fn a_plan_is_no_record() {
    let bytes = key().seal("configuration plan", &change());
    assert_eq!(
        ConfigurationRecord::from_bytes(&bytes, &key()),
        Err(WireError::Forged)
    );
}

#[test]
fn a_record_that_is_too_long_is_refused() {
    let bytes = vec![0; ConfigurationRecord::LIMIT_BYTES + 1];
    assert_eq!(
        ConfigurationRecord::from_bytes(&bytes, &key()),
        Err(WireError::TooLong)
    );
}

quickcheck! {
    fn a_changed_byte_is_found(place: usize, flip: u8) -> bool {
        let mut bytes = ConfigurationRecord::Change(change()).to_bytes(&key());
        let place = place % bytes.len();
        bytes[place] ^= flip.max(1);
        ConfigurationRecord::from_bytes(&bytes, &key()).is_err()
    }

    fn any_text_is_read_or_refused(text: String) -> bool {
        SealedPlan::from_text(&text, &key()).is_err()
    }

    fn any_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        let _ = ConfigurationRequest::from_bytes(&bytes);
        let _ = ConfigurationAnswer::from_bytes(&bytes);
        ConfigurationRecord::from_bytes(&bytes, &key()).is_err()
    }

    fn a_proof_holds_for_its_name_alone(name: String, other: String) -> bool {
        let proof = CallerProof::of(&key(), &name);
        let is_other = name != other && CallerProof::check(&key(), &other, &proof);
        CallerProof::check(&key(), &name, &proof) && !is_other && !proof.contains('.')
    }

    fn a_route_matches_whole_segments(segment: String) -> bool {
        let route = RoutePattern::new("*", "/pits");
        let longer = format!("/pits{segment}");
        let is_below = segment.is_empty() || segment.starts_with('/');
        route.matches("GET", &longer) == is_below && route.matches("GET", "/pits/7")
    }
}
