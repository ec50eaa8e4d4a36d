//! Exchange over TCP of state that is too large for datagrams.

mod bulk_answer;
mod bulk_request;
mod data_centre_members;

pub use bulk_answer::BulkAnswer;
pub use bulk_request::BulkRequest;
pub use data_centre_members::{DataCentreDigest, DataCentreMembers};

use serde::{Serialize, de::DeserializeOwned};

use crate::WireError;

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a wire type always encodes into memory")
}

/// Decodes a value; trailing bytes are an error.
///
/// A forged length can't exhaust memory, since `serde` limits the capacity that it reserves
/// before the elements are decoded.
fn decode<T: DeserializeOwned>(bytes: &[u8], limit_bytes: usize) -> Result<T, WireError> {
    if bytes.len() > limit_bytes {
        return Err(WireError::TooLong);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(WireError::Malformed),
    }
}
