//! A fuzz target over all decoders, run here on seeded bytes.
//!
//! [`fuzz`] takes any bytes, as a fuzzing engine gives them; on the stable
//! toolchain a fixed stream of them takes the engine's place.

#[path = "support/values.rs"]
mod values;

use arbitrary::{Result, Unstructured};
use kumquatquay_wire::{
    AnswerContext, BulkAnswer, BulkRequest, ConfigurationAnswer, ConfigurationRecord,
    ConfigurationRequest, Datagram, MeshKey, RequestContext, WireError,
};

/// Inputs of one run.
const INPUTS_COUNT: u64 = 20_000;

/// Length of an input.
const INPUT_BYTES: usize = 600;

/// What came of one input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Whole,
    Changed,
    Raw,
}

/// Decodes something that the bytes describe: a whole value, one with changes,
/// or the bytes themselves. Panics if a decoder does, or takes what it must not.
fn fuzz(data: &[u8]) -> Result<Verdict> {
    let key = MeshKey::from_secret("secret");
    let mut bytes = Unstructured::new(data);
    match bytes.int_in_range(0..=2)? {
        0 => whole(&mut bytes, &key),
        1 => changed(&mut bytes, &key),
        _ => raw(&mut bytes, &key),
    }
}

fn whole(bytes: &mut Unstructured<'_>, key: &MeshKey) -> Result<Verdict> {
    let datagram = values::datagram(bytes)?;
    let sealed = datagram.to_bytes(key);
    let opened = Datagram::from_bytes(&sealed, key);
    if sealed.len() > Datagram::LIMIT_BYTES {
        assert_eq!(opened, Err(WireError::TooLong));
    } else {
        assert_eq!(opened, Ok(datagram));
    }
    let question = values::question(bytes)?;
    let answer = values::answer(bytes)?;
    assert_eq!(BulkRequest::from_bytes(&question.to_bytes()), Ok(question));
    assert_eq!(BulkAnswer::from_bytes(&answer.to_bytes()), Ok(answer));
    Ok(Verdict::Whole)
}

fn changed(bytes: &mut Unstructured<'_>, key: &MeshKey) -> Result<Verdict> {
    let datagram = values::datagram(bytes)?;
    let original = datagram.to_bytes(key);
    let mut sealed = original.clone();
    for _ in 0..bytes.int_in_range(1..=4)? {
        let place = bytes.choose_index(sealed.len())?;
        match bytes.int_in_range(0..=3)? {
            0 => sealed[place] ^= 1 << bytes.int_in_range(0..=7)?,
            1 => sealed.truncate(place.max(1)),
            2 => sealed.insert(place, bytes.arbitrary()?),
            _ => sealed.extend(bytes.bytes(4)?),
        }
    }
    if sealed != original {
        assert!(Datagram::from_bytes(&sealed, key).is_err());
    }
    Ok(Verdict::Changed)
}

fn raw(bytes: &mut Unstructured<'_>, key: &MeshKey) -> Result<Verdict> {
    let rest = bytes.bytes(bytes.len())?;
    assert!(Datagram::from_bytes(rest, key).is_err());
    let text = String::from_utf8_lossy(rest);
    assert!(RequestContext::from_header(&text, key).is_err());
    assert!(AnswerContext::from_header(&text, key).is_err());
    assert!(ConfigurationRecord::from_bytes(rest, key).is_err());
    if let Ok(question) = ConfigurationRequest::from_bytes(rest) {
        assert!(question.to_bytes().len() <= rest.len());
    }
    if let Ok(answer) = ConfigurationAnswer::from_bytes(rest) {
        assert!(answer.to_bytes().len() <= rest.len());
    }
    if let Ok(question) = BulkRequest::from_bytes(rest) {
        assert!(question.to_bytes().len() <= rest.len());
    }
    if let Ok(answer) = BulkAnswer::from_bytes(rest) {
        assert!(answer.to_bytes().len() <= rest.len());
    }
    Ok(Verdict::Raw)
}

#[test]
fn no_input_gets_past_a_decoder() {
    let mut hasher = blake3::Hasher::new();
    hasher.update(b"inputs of the decoders");
    let mut stream = hasher.finalize_xof();
    let mut verdicts = Vec::new();
    for _ in 0..INPUTS_COUNT {
        let mut data = [0; INPUT_BYTES];
        stream.fill(&mut data);
        verdicts.extend(fuzz(&data));
    }
    for verdict in [Verdict::Whole, Verdict::Changed, Verdict::Raw] {
        let count = verdicts.iter().filter(|found| **found == verdict).count();
        assert!(count > 1_000, "{count} inputs only were {verdict:?}");
    }
}
