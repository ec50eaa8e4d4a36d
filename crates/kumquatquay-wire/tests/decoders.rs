//! Every decoder refuses what is cut short, forged, too long or malformed, and
//! none of it makes a node panic or take memory that the sender merely names.

#[path = "support/values.rs"]
mod values;

use arbitrary::Unstructured;
use kumquatquay_wire::{
    AnswerContext, BulkAnswer, BulkRequest, ControlBody, Datagram, MeshKey, RequestContext,
    WireError,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde::{Serialize, Serializer, ser::SerializeTuple};

const PURPOSE: &str = "control datagram";

/// Bytes from which a value is made; long enough for every field to vary.
#[derive(Clone, Debug)]
struct Seed(Vec<u8>);

impl Arbitrary for Seed {
    fn arbitrary(random: &mut Gen) -> Self {
        Self((0..2_000).map(|_| u8::arbitrary(random)).collect())
    }
}

/// Bytes that encode as themselves, without a length in front.
struct Raw(Vec<u8>);

impl Serialize for Raw {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in &self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

fn key() -> MeshKey {
    MeshKey::from_secret("secret")
}

fn datagram(seed: &Seed) -> Datagram {
    values::datagram(&mut Unstructured::new(&seed.0)).expect("the seed is long enough")
}

/// A datagram that is not too long.
fn short_datagram(seed: &Seed) -> Datagram {
    let mut datagram = datagram(seed);
    while datagram.size_bytes() > Datagram::LIMIT_BYTES {
        datagram.rumours.pop();
        if datagram.rumours.is_empty() {
            datagram.body = ControlBody::Gossip;
        }
    }
    datagram
}

fn check(property: fn(Seed) -> bool) {
    let random = Gen::from_size_and_seed(100, 7);
    QuickCheck::new()
        .rng(random)
        .tests(300)
        .quickcheck(property);
}

macro_rules! properties {
    ($($(#[$doc:meta])* $name:ident($seed:ident) $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property($seed: Seed) -> bool $body
            check(property);
        }
    )*};
}

properties! {
    a_datagram_comes_out_as_it_went_in(seed) {
        let datagram = short_datagram(&seed);
        let bytes = datagram.to_bytes(&key());
        bytes.len() == datagram.size_bytes()
            && Datagram::from_bytes(&bytes, &key()) == Ok(datagram)
    }

    a_datagram_cut_short_anywhere_is_refused(seed) {
        let bytes = short_datagram(&seed).to_bytes(&key());
        (0..bytes.len()).all(|length| Datagram::from_bytes(&bytes[..length], &key()).is_err())
    }

    a_datagram_with_any_bit_changed_is_forged(seed) {
        let bytes = short_datagram(&seed).to_bytes(&key());
        (0..bytes.len() * 8).all(|bit| {
            let mut changed = bytes.clone();
            changed[bit / 8] ^= 1 << (bit % 8);
            Datagram::from_bytes(&changed, &key()) == Err(WireError::Forged)
        })
    }

    a_datagram_of_another_mesh_is_forged(seed) {
        let bytes = short_datagram(&seed).to_bytes(&MeshKey::from_secret("another"));
        Datagram::from_bytes(&bytes, &key()) == Err(WireError::Forged)
    }

    a_datagram_with_bytes_left_over_is_malformed(seed) {
        let datagram = short_datagram(&seed);
        if datagram.size_bytes() == Datagram::LIMIT_BYTES {
            return true;
        }
        let bytes = key().seal(PURPOSE, &(datagram, 7_u8));
        Datagram::from_bytes(&bytes, &key()) == Err(WireError::Malformed)
    }

    any_sealed_bytes_are_a_datagram_or_malformed(seed) {
        let bytes = key().seal(PURPOSE, &Raw(seed.0[..200].to_vec()));
        match Datagram::from_bytes(&bytes, &key()) {
            Ok(datagram) => datagram.size_bytes() <= bytes.len(),
            Err(error) => error == WireError::Malformed,
        }
    }

    a_datagram_is_no_header_and_the_other_way_round(seed) {
        let text = key().seal_text(PURPOSE, &short_datagram(&seed));
        RequestContext::from_header(&text, &key()).is_err()
            && AnswerContext::from_header(&text, &key()).is_err()
    }

    any_text_as_a_header_is_refused(seed) {
        let text = String::from_utf8_lossy(&seed.0);
        RequestContext::from_header(&text, &key()).is_err()
            && AnswerContext::from_header(&text, &key()).is_err()
    }

    any_sealed_bytes_as_a_header_are_a_context_or_malformed(seed) {
        let raw = Raw(seed.0[..120].to_vec());
        let request = key().seal_text(RequestContext::HEADER, &raw);
        let answer = key().seal_text(AnswerContext::HEADER, &raw);
        let request = RequestContext::from_header(&request, &key());
        let answer = AnswerContext::from_header(&answer, &key());
        matches!(request, Ok(_) | Err(WireError::Malformed))
            && matches!(answer, Ok(_) | Err(WireError::Malformed))
    }

    bulk_state_comes_out_as_it_went_in(seed) {
        let mut bytes = Unstructured::new(&seed.0);
        let question = values::question(&mut bytes).unwrap();
        let answer = values::answer(&mut bytes).unwrap_or(BulkAnswer::Members {
            data_centres: Vec::new(),
        });
        BulkRequest::from_bytes(&question.to_bytes()) == Ok(question)
            && BulkAnswer::from_bytes(&answer.to_bytes()) == Ok(answer)
    }

    bulk_state_with_bytes_left_over_is_malformed(seed) {
        let mut bytes = values::answer(&mut Unstructured::new(&seed.0)).unwrap().to_bytes();
        bytes.push(0);
        BulkAnswer::from_bytes(&bytes) == Err(WireError::Malformed)
    }

    bulk_state_cut_short_anywhere_is_malformed(seed) {
        let bytes = values::answer(&mut Unstructured::new(&seed.0)).unwrap().to_bytes();
        (0..bytes.len()).all(|length| {
            BulkAnswer::from_bytes(&bytes[..length]) == Err(WireError::Malformed)
        })
    }
}

/// A sender names a collection of 2^64 - 1 elements and sends none. Were room
/// made for them ahead, one datagram would end the process.
#[test]
fn a_collection_longer_than_its_bytes_is_malformed() {
    let mut datagram = short_datagram(&Seed(vec![0; 2_000]));
    datagram.rumours.clear();
    let mut body = key()
        .seal(PURPOSE, &datagram)
        .split_off(MeshKey::CODE_BYTES);
    assert_eq!(
        body.pop(),
        Some(0),
        "the length of the empty collection is last"
    );
    body.extend([0xff; 9]);
    body.push(0x01);
    let bytes = key().seal(PURPOSE, &Raw(body));
    assert_eq!(
        Datagram::from_bytes(&bytes, &key()),
        Err(WireError::Malformed)
    );

    let mut question = vec![0];
    question.extend([0xff; 9]);
    question.push(0x01);
    let refused = BulkRequest::from_bytes(&question);
    assert_eq!(refused, Err(WireError::Malformed));
    assert_eq!(BulkAnswer::from_bytes(&question), Err(WireError::Malformed));
}

/// Length is looked at before the authentication code, so that long forgeries
/// cost a receiver nothing.
#[test]
fn what_is_too_long_is_refused_by_its_length() {
    let long = vec![0; Datagram::LIMIT_BYTES + 1];
    assert_eq!(Datagram::from_bytes(&long, &key()), Err(WireError::TooLong));
    let long = vec![0; BulkRequest::LIMIT_BYTES + 1];
    assert_eq!(BulkRequest::from_bytes(&long), Err(WireError::TooLong));
    let long = vec![0; BulkAnswer::LIMIT_BYTES + 1];
    assert_eq!(BulkAnswer::from_bytes(&long), Err(WireError::TooLong));
    let long = "A".repeat(64 * 1024);
    let refused = RequestContext::from_header(&long, &key());
    assert_eq!(refused, Err(WireError::TooLong));
    let refused = AnswerContext::from_header(&long, &key());
    assert_eq!(refused, Err(WireError::TooLong));
}
