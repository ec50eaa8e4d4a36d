//! Errors of decoding bytes from another process.

use derive_more::{Display, Error};

/// Why a frame, header or datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum WireError {
    /// Longer than the limit of its type.
    #[display("longer than its limit")]
    TooLong,
    /// Shorter than the authentication code alone.
    #[display("cut short")]
    Truncated,
    /// Not valid base64url.
    #[display("not base64url text")]
    NotText,
    /// The authentication code doesn't match.
    #[display("authentication failed")]
    Forged,
    /// Not a value of the expected type.
    #[display("not a value of this protocol version")]
    Malformed,
}
