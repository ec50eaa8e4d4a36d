//! State that is too large for datagrams, asked for and answered over TCP.

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

/// Decodes a whole value; bytes that are left over are an error.
///
/// A forged length can't exhaust memory: `serde` reserves no more than a fixed
/// amount ahead of the elements that are really there.
fn decode<T: DeserializeOwned>(bytes: &[u8], limit_bytes: usize) -> Result<T, WireError> {
    if bytes.len() > limit_bytes {
        return Err(WireError::TooLong);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(WireError::Malformed),
    }
}
