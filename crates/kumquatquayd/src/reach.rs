//! Which addresses a node can reach.

use std::{fmt, future::pending, net::SocketAddr, sync::Arc};

/// Decides whether a node's network reaches an address.
///
/// A node in production reaches whatever its host does. Experiments and tests
/// cut nodes off from each other on one host, where no cable can be pulled: what
/// is sent to an address that is not reached is lost without a word, as in a
/// network partition.
#[derive(Clone)]
pub struct Reach(Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>);

impl Reach {
    /// Reaches the addresses for which the function says so, when it is asked.
    pub fn new(reaches: impl Fn(SocketAddr) -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(reaches))
    }

    /// Whether the address is reached now.
    pub(crate) fn reaches(&self, address: SocketAddr) -> bool {
        (self.0)(address)
    }

    /// Returns at once if the address is reached, else never: whoever waits
    /// learns of the loss by its own timeout.
    pub(crate) async fn wait_for(&self, address: SocketAddr) {
        if !self.reaches(address) {
            pending::<()>().await;
        }
    }
}

/// Reaches everything.
impl Default for Reach {
    fn default() -> Self {
        Self::new(|_| true)
    }
}

impl fmt::Debug for Reach {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Reach(..)")
    }
}
