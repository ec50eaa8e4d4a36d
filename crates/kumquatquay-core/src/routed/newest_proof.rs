//! Until when the configuration in force is known to have been the newest.

use std::time::Duration;

use kumquatquay_wire::routed::RouteVersion;

/// Proof that a configuration was the newest at some moment.
///
/// A key that was taken away must not be accepted for long, also by a node that hears of no
/// newer configuration, since it is cut off or was suspended. A version tells nothing of that.
/// So a node keeps the latest moment before which, as is proved, nothing newer than what it has
/// in force was confirmed.
///
/// The moment is that at which a question was *sent*: a read of the store that brought nothing
/// newer, or a question to another node, less the age that its own proof had there. What is
/// confirmed while the answer is on its way is not covered by it, however late the answer
/// comes; and no clocks of two hosts are compared.
///
/// All times are of one clock that also counts while the host is suspended. They may be
/// measured from any moment well before the node's start.
#[derive(Debug, Default)]
pub struct NewestProof {
    version: RouteVersion,
    /// Nothing newer than the version in force was confirmed before this.
    proven: Option<Duration>,
    /// The same, for a newer version that another node has.
    ahead: Option<(RouteVersion, Duration)>,
}

impl NewestProof {
    /// A configuration is in force now; a lower version changes nothing.
    pub fn applied(&mut self, version: RouteVersion) {
        self.version = self.version.max(version);
        if let Some((ahead, moment)) = self.ahead
            && ahead <= self.version
        {
            self.ahead = None;
            self.prove(moment);
        }
    }

    /// A read of the store that began at `asked` has ended, and all that it brought is in force
    /// or older.
    pub fn read(&mut self, asked: Duration) {
        self.prove(asked);
    }

    /// Another node, asked at `asked`, has this version in force, and a proof of this age.
    ///
    /// What makes no sense is passed over: a question from the future, a proof from before the
    /// clock began.
    pub fn told(
        &mut self,
        now: Duration,
        asked: Duration,
        version: RouteVersion,
        age: Option<Duration>,
    ) {
        let Some(moment) = age.and_then(|age| asked.checked_sub(age)) else {
            return;
        };
        if asked > now {
            return;
        }
        if version <= self.version {
            self.prove(moment);
        } else if self.ahead.is_none_or(|(_, known)| moment > known) {
            self.ahead = Some((version, moment));
        }
    }

    /// How long ago the configuration in force was the newest for sure.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_sub(proven))
    }

    /// Whether a key that the configuration in force doesn't know was not known to any that had
    /// been confirmed at this moment.
    pub fn covers(&self, moment: Duration) -> bool {
        self.proven.is_some_and(|proven| proven >= moment)
    }

    fn prove(&mut self, moment: Duration) {
        // Proofs come out of order.
        self.proven = self.proven.max(Some(moment));
    }
}
