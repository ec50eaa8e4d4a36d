//! Sizes of encoded values.

use serde::Serialize;

/// Computes the encoded size of a value in bytes, without encoding it.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).expect("a wire type always encodes")
}
