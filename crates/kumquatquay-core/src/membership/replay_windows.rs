//! Replay protection for datagrams.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{Datagram, Incarnation, Sequence};

/// Replay windows of all senders.
#[derive(Debug, Default)]
pub(crate) struct ReplayWindows {
    windows: BTreeMap<SocketAddr, ReplayWindow>,
}

/// Whether a datagram is accepted, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// Not seen before.
    Fresh,
    /// Seen before, or so old that its sequence number is below the window.
    Replayed,
    /// From an earlier incarnation of the sender.
    OldIncarnation,
}

/// Window of the newest sequence numbers of one sender.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest: Sequence,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    seen: u128,
    last_seen: Duration,
}

impl ReplayWindows {
    /// Senders that have a window; above it, the one silent for longest is evicted.
    ///
    /// Only nodes of the mesh can add a sender, since datagrams are authenticated. An attacker
    /// who evicts a sender by replays can then only replay old rumours, which change nothing:
    /// a record is merged only if it ranks above the known one.
    const LIMIT_COUNT: usize = 16_384;

    /// Checks a datagram and records its sequence number.
    pub(super) fn check(&mut self, now: Duration, datagram: &Datagram) -> Freshness {
        let sender = datagram.sender;
        let Some(window) = self.windows.get_mut(&sender) else {
            self.evict_if_full();
            self.windows
                .insert(sender, ReplayWindow::new(now, datagram));
            return Freshness::Fresh;
        };
        if datagram.incarnation < window.incarnation {
            return Freshness::OldIncarnation;
        }
        if datagram.incarnation > window.incarnation {
            *window = ReplayWindow::new(now, datagram);
            return Freshness::Fresh;
        }
        window.check(now, datagram.sequence)
    }

    fn evict_if_full(&mut self) {
        if self.windows.len() < Self::LIMIT_COUNT {
            return;
        }
        let silent = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.last_seen);
        if let Some((&sender, _)) = silent {
            self.windows.remove(&sender);
        }
    }
}

impl ReplayWindow {
    fn new(now: Duration, datagram: &Datagram) -> Self {
        Self {
            incarnation: datagram.incarnation,
            highest: datagram.sequence,
            seen: 1,
            last_seen: now,
        }
    }

    fn check(&mut self, now: Duration, sequence: Sequence) -> Freshness {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            let shift = u32::try_from(ahead).unwrap_or(u32::MAX);
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = sequence;
            self.last_seen = now;
            return Freshness::Fresh;
        }
        let behind = self.highest - sequence;
        if behind >= u64::from(u128::BITS) {
            return Freshness::Replayed;
        }
        let bit = 1_u128 << behind;
        if self.seen & bit != 0 {
            return Freshness::Replayed;
        }
        self.seen |= bit;
        Freshness::Fresh
    }
}
