//! The members that this node knows of.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{DataCentreName, MemberRecord, MemberState, ServiceName, TableDigest};

use super::{
    candidate::{Candidate, takes_calls},
    data_centre_view::DataCentreView,
};
use crate::NodeSettings;

/// The members that this node knows of, itself included.
///
/// Lookups for a service or a data centre are kept up to date at each change,
/// so that no call pays for a scan.
#[derive(Debug)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    own: SocketAddr,
    own_data_centre: DataCentreName,
    views: BTreeMap<DataCentreName, DataCentreView>,
    services: BTreeMap<ServiceName, ServiceMembers>,
    /// Members of the own data centre that were declared gone by others.
    declared_gone_local: BTreeSet<SocketAddr>,
    live_version: u64,
    gone_count: usize,
    last_changed_at: Duration,
}

/// One member and what this node adds to its record.
#[derive(Debug)]
struct Member {
    record: MemberRecord,
    digest: TableDigest,
    takes_calls_since: Duration,
    /// When the state, revision or incarnation last changed here.
    changed_at: Duration,
}

/// Members that take calls of one service.
#[derive(Debug, Default)]
struct ServiceMembers {
    controls: BTreeSet<SocketAddr>,
    candidates: Vec<Candidate>,
}

/// How this node came to know a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// As news: the member does now what it did not do before.
    Gossip,
    /// From a whole table: the member may have done so for long.
    Table,
}

impl MemberTable {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let mut table = Self {
            members: BTreeMap::new(),
            own: settings.control,
            own_data_centre: settings.data_centre.clone(),
            views: BTreeMap::new(),
            services: BTreeMap::new(),
            declared_gone_local: BTreeSet::new(),
            live_version: 0,
            gone_count: 0,
            last_changed_at: Duration::ZERO,
        };
        table.put(Duration::ZERO, own_record(settings), RecordSource::Gossip);
        table
    }

    /// All members, this node and those that are gone included.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// One member.
    pub(crate) fn get(&self, control: SocketAddr) -> Option<&MemberRecord> {
        self.members.get(&control).map(|member| &member.record)
    }

    /// Since when a member takes calls, if it does; zero if it did so before this
    /// node knew it.
    pub(crate) fn takes_calls_since(&self, control: SocketAddr) -> Option<Duration> {
        let member = self.members.get(&control)?;
        takes_calls(member.record.state).then_some(member.takes_calls_since)
    }

    /// This node's own record.
    pub(crate) fn own(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Whether this host takes no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.own().state >= MemberState::Draining
    }

    /// Members that take calls of a service, those of the own data centre first.
    pub(crate) fn candidates(&self, service: &ServiceName) -> &[Candidate] {
        let members = self.services.get(service);
        members.map_or(&[], |members| &members.candidates)
    }

    /// Grows when a member comes or goes.
    pub(super) fn live_version(&self) -> u64 {
        self.live_version
    }

    /// When a member's state, revision or incarnation last changed here.
    pub(crate) fn last_changed_at(&self) -> Duration {
        self.last_changed_at
    }

    /// When one member last changed here.
    pub(super) fn member_changed_at(&self, control: SocketAddr) -> Option<Duration> {
        self.members.get(&control).map(|member| member.changed_at)
    }

    /// Members of the own data centre that were declared gone and may be alive.
    pub(super) fn declared_gone_local(&self) -> &BTreeSet<SocketAddr> {
        &self.declared_gone_local
    }

    /// The own data centre.
    pub(crate) fn own_view(&self) -> &DataCentreView {
        &self.views[&self.own_data_centre]
    }

    /// All data centres with members that are not gone.
    pub(crate) fn views(&self) -> impl Iterator<Item = (&DataCentreName, &DataCentreView)> {
        self.views.iter()
    }

    /// One data centre.
    pub(crate) fn view(&self, data_centre: &DataCentreName) -> Option<&DataCentreView> {
        self.views.get(data_centre)
    }

    /// Digest of all members that are not gone.
    pub(crate) fn digest(&self) -> TableDigest {
        let digests = self.views.values().map(DataCentreView::digest);
        digests.fold(0, |all, digest| all ^ digest)
    }

    /// Members that are not gone.
    pub(crate) fn live_count(&self) -> usize {
        self.members.len() - self.gone_count
    }

    /// Members that are gone and still remembered.
    pub(crate) fn gone_count(&self) -> usize {
        self.gone_count
    }

    /// Forgets members that have been gone for long, and the longest gone of
    /// those above the cap.
    pub(super) fn forget_gone(&mut self, now: Duration, lifetime: Duration, limit_count: usize) {
        let members = self.members.values();
        let gone = members.filter(|member| member.record.state == MemberState::Gone);
        let mut gone: Vec<_> = gone
            .map(|member| (member.changed_at, member.record.control))
            .filter(|(_, control)| *control != self.own)
            .collect();
        gone.sort_unstable();
        let excess_count = gone.len().saturating_sub(limit_count);
        for (place, (changed, control)) in gone.into_iter().enumerate() {
            if place < excess_count || now >= changed + lifetime {
                self.remove(control, &mut BTreeSet::new());
            }
        }
    }

    /// Forgets all members of a data centre.
    pub(super) fn forget_data_centre(&mut self, data_centre: &DataCentreName) {
        let members = self.members.values();
        let there = members.filter(|member| member.record.data_centre == *data_centre);
        let there: Vec<SocketAddr> = there.map(|member| member.record.control).collect();
        let mut affected_services = BTreeSet::new();
        for control in there {
            self.remove(control, &mut affected_services);
        }
        self.live_version += 1;
        for service in affected_services {
            self.rebuild_candidates(&service);
        }
    }

    /// Takes a record in place of the one that is known.
    pub(crate) fn put(&mut self, now: Duration, record: MemberRecord, source: RecordSource) {
        self.put_all(now, vec![record], source);
    }

    /// [`MemberTable::put`] for many records at the cost of one look at each service.
    pub(crate) fn put_all(
        &mut self,
        now: Duration,
        records: Vec<MemberRecord>,
        source: RecordSource,
    ) {
        let mut affected_services = BTreeSet::new();
        for record in records {
            self.put_record(now, record, source, &mut affected_services);
        }
        for service in affected_services {
            self.rebuild_candidates(&service);
        }
    }

    fn put_record(
        &mut self,
        now: Duration,
        record: MemberRecord,
        source: RecordSource,
        affected_services: &mut BTreeSet<ServiceName>,
    ) {
        let old = self.remove(record.control, affected_services);
        let member = Member {
            digest: record.digest(),
            takes_calls_since: takes_calls_since(old.as_ref(), &record, now, source),
            changed_at: changed_at(old.as_ref(), &record, now),
            record,
        };
        if is_live(old.as_ref()) != is_live(Some(&member)) {
            self.live_version += 1;
        }
        self.last_changed_at = self.last_changed_at.max(member.changed_at);
        self.insert(member, affected_services);
    }

    fn insert(&mut self, member: Member, affected_services: &mut BTreeSet<ServiceName>) {
        let record = &member.record;
        if record.state == MemberState::Gone {
            self.gone_count += 1;
            if record.is_suspect && record.data_centre == self.own_data_centre {
                self.declared_gone_local.insert(record.control);
            }
        } else {
            let view = self.views.entry(record.data_centre.clone()).or_default();
            view.add(record.control, member.digest);
        }
        if let (Some(service), true) = (&record.service, takes_calls(record.state)) {
            let members = self.services.entry(service.clone()).or_default();
            members.controls.insert(record.control);
            affected_services.insert(service.clone());
        }
        self.members.insert(record.control, member);
    }

    fn remove(
        &mut self,
        control: SocketAddr,
        affected_services: &mut BTreeSet<ServiceName>,
    ) -> Option<Member> {
        let member = self.members.remove(&control)?;
        let record = &member.record;
        if record.state == MemberState::Gone {
            self.gone_count -= 1;
            self.declared_gone_local.remove(&control);
        } else if let Some(view) = self.views.get_mut(&record.data_centre) {
            view.remove(control, member.digest);
        }
        if let Some(service) = &record.service
            && let Some(members) = self.services.get_mut(service)
            && members.controls.remove(&control)
        {
            affected_services.insert(service.clone());
        }
        Some(member)
    }

    fn rebuild_candidates(&mut self, service: &ServiceName) {
        let Some(members) = self.services.get_mut(service) else {
            return;
        };
        if members.controls.is_empty() {
            self.services.remove(service);
            return;
        }
        let known = members
            .controls
            .iter()
            .map(|control| &self.members[control]);
        let own = &self.own_data_centre;
        let mut candidates: Vec<Candidate> = known
            .map(|member| Candidate::new(&member.record, member.takes_calls_since, own))
            .collect();
        candidates.sort_by_key(|candidate| (!candidate.is_own_data_centre, candidate.control));
        members.candidates = candidates;
    }

    /// Changes this node's own record and numbers the change.
    pub(crate) fn change_own(&mut self, now: Duration, change: impl FnOnce(&mut MemberRecord)) {
        let mut record = self.own().clone();
        change(&mut record);
        record.revision += 1;
        self.put(now, record, RecordSource::Gossip);
    }
}

fn own_record(settings: &NodeSettings) -> MemberRecord {
    MemberRecord {
        control: settings.control,
        peer: settings.peer,
        data_centre: settings.data_centre.clone(),
        service: None,
        life: None,
        incarnation: settings.incarnation,
        revision: 0,
        state: MemberState::Idle,
        is_suspect: false,
        slots_count: 0,
    }
}

fn takes_calls_since(
    old: Option<&Member>,
    record: &MemberRecord,
    now: Duration,
    source: RecordSource,
) -> Duration {
    let same_life = old.filter(|old| {
        takes_calls(old.record.state)
            && old.record.incarnation == record.incarnation
            && old.record.service == record.service
    });
    match (same_life, source) {
        (Some(old), _) => old.takes_calls_since,
        (None, RecordSource::Gossip) => now,
        (None, RecordSource::Table) => Duration::ZERO,
    }
}

fn changed_at(old: Option<&Member>, record: &MemberRecord, now: Duration) -> Duration {
    let key = |record: &MemberRecord| (record.incarnation, record.revision, record.state);
    match old {
        Some(old) if key(&old.record) == key(record) => old.changed_at,
        _ => now,
    }
}

fn is_live(member: Option<&Member>) -> bool {
    member.is_some_and(|member| member.record.state != MemberState::Gone)
}
