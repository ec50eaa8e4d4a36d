//! Keeps shutdown notices for the nodes of other hosts, which may restart meanwhile.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

use kumquatquay_wire::{BackendLife, Incarnation, MemberRecord, MemberState};

/// Nodes that keep a notice, of which as many as possible are in the data centre of the host.
const KEEPERS_COUNT: usize = 3;

/// Of them, those in the data centre of the host while there are others.
const LOCAL_KEEPERS_COUNT: usize = 2;

/// How long a notice is kept: backend servers go on for seconds after it, and reports that they
/// sent before arrive seconds late.
const LIFETIME: Duration = Duration::from_secs(300);

/// Maximum number of lives of one host that are kept: a late notice of an earlier life must not
/// replace that of the last one.
const LIVES_LIMIT_COUNT: usize = 4;

/// Maximum number of hosts of which a notice is kept.
const HOSTS_LIMIT_COUNT: usize = 1_024;

/// Shutdown notices of backend servers on other hosts.
///
/// The node beside a backend server acknowledges its shutdown notice. If that node restarts while
/// the backend server still runs, a late report would make it send calls again. So a few nodes keep
/// the notice, and tell it to each later process of that node.
#[derive(Debug, Default)]
pub struct KeptShutdowns {
    hosts: BTreeMap<SocketAddr, KeptLives>,
}

#[derive(Debug, Default)]
struct KeptLives {
    /// Lives that leave, the last one first.
    lives: Vec<BackendLife>,
    kept_at: Duration,
    /// Incarnation of the host's node that knows of it.
    told: Incarnation,
}

impl KeptShutdowns {
    /// Keeps the notice of a life for the host with this control address, whose node has this
    /// incarnation and knows of it.
    pub fn keep(
        &mut self,
        now: Duration,
        host: SocketAddr,
        life: BackendLife,
        incarnation: Incarnation,
    ) {
        self.hosts.retain(|_, kept| now < kept.kept_at + LIFETIME);
        if self.hosts.len() >= HOSTS_LIMIT_COUNT {
            let oldest = self.hosts.iter().min_by_key(|(_, kept)| kept.kept_at);
            if let Some(oldest) = oldest.map(|(host, _)| *host) {
                self.hosts.remove(&oldest);
            }
        }
        let kept = self.hosts.entry(host).or_default();
        kept_first(&mut kept.lives, life);
        kept.kept_at = now;
        kept.told = kept.told.max(incarnation);
    }

    /// The lives of whose leaving the node of a host is to be told, if a later process of it runs
    /// now. They are returned once for each incarnation.
    pub fn take_due(
        &mut self,
        now: Duration,
        host: SocketAddr,
        incarnation: Incarnation,
    ) -> Vec<BackendLife> {
        let kept = self.hosts.get_mut(&host);
        let is_due =
            |kept: &&mut KeptLives| incarnation > kept.told && now < kept.kept_at + LIFETIME;
        let Some(kept) = kept.filter(is_due) else {
            return Vec::new();
        };
        kept.told = incarnation;
        kept.lives.clone()
    }

    /// Whether no notice is kept.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Puts a life in front of those that are kept, and drops the oldest beyond the limit.
pub fn kept_first(lives: &mut Vec<BackendLife>, life: BackendLife) {
    lives.retain(|kept| *kept != life);
    lives.insert(0, life);
    lives.truncate(LIVES_LIMIT_COUNT);
}

/// Link addresses of the nodes that keep the notices of a host: those that follow it by their
/// control addresses, most of them in its data centre and one elsewhere.
pub fn select_keepers<'a>(
    own: SocketAddr,
    own_data_centre: &str,
    members: impl Iterator<Item = &'a MemberRecord>,
) -> Vec<SocketAddr> {
    let mut local = BTreeMap::new();
    let mut remote = BTreeMap::new();
    for member in members {
        if member.control == own || member.state == MemberState::Gone {
            continue;
        }
        let nodes = if member.data_centre == own_data_centre {
            &mut local
        } else {
            &mut remote
        };
        nodes.insert(member.control, member.peer);
    }
    let local: Vec<_> = followers(own, &local).collect();
    let remote: Vec<_> = followers(own, &remote).collect();
    let local_count = local.len().min(LOCAL_KEEPERS_COUNT);
    let (first, spare) = local.split_at(local_count);
    let chosen = first.iter().chain(remote.first());
    let chosen = chosen.chain(spare).chain(remote.iter().skip(1));
    chosen.take(KEEPERS_COUNT).copied().collect()
}

/// The nodes after an address, then those from the lowest one on.
fn followers(
    own: SocketAddr,
    nodes: &BTreeMap<SocketAddr, SocketAddr>,
) -> impl Iterator<Item = SocketAddr> {
    let after = nodes.range((Excluded(own), Unbounded));
    let before = nodes.range(..own);
    after.chain(before).map(|(_, peer)| *peer)
}
