//! The members of one data centre, as this node sees them.

use std::net::SocketAddr;

use kumquatquay_wire::TableDigest;

/// The members of one data centre, as this node sees them.
#[derive(Clone, Debug, Default)]
pub(crate) struct DataCentreView {
    /// Control addresses of all members that are not gone, sorted.
    live: Vec<SocketAddr>,
    /// Digest of those members: the XOR of the digests of their records.
    digest: TableDigest,
}

impl DataCentreView {
    pub(crate) fn live(&self) -> &[SocketAddr] {
        &self.live
    }

    pub(crate) fn digest(&self) -> TableDigest {
        self.digest
    }

    pub(super) fn add(&mut self, control: SocketAddr, digest: TableDigest) {
        if let Err(index) = self.live.binary_search(&control) {
            self.live.insert(index, control);
            self.digest ^= digest;
        }
    }

    pub(super) fn remove(&mut self, control: SocketAddr, digest: TableDigest) {
        if let Ok(index) = self.live.binary_search(&control) {
            self.live.remove(index);
            self.digest ^= digest;
        }
    }
}
