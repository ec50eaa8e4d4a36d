//! Table of the members that this node knows.

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

/// Table of the members that this node knows, including itself.
///
/// The indexes by service and by data centre are updated with each change, so that no call scans
/// the table.
#[derive(Debug)]
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    own: SocketAddr,
    own_data_centre: DataCentreName,
    views: BTreeMap<DataCentreName, DataCentreView>,
    services: BTreeMap<ServiceName, ServiceMembers>,
    /// Members of the own data centre that were declared gone, rather than leaving by
    /// themselves.
    declared_gone_local: BTreeSet<SocketAddr>,
    live_version: u64,
    gone_count: usize,
    last_changed_at: Duration,
}

/// Record of a member, with what this node derives from it.
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

/// How this node received a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// By gossip, or changed by this node itself: the state of the member is recent.
    Gossip,
    /// From a full table: the member may have been in this state for long.
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

    /// All members, including this node and those that are gone.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Record of one member.
    pub(crate) fn get(&self, control: SocketAddr) -> Option<&MemberRecord> {
        self.members.get(&control).map(|member| &member.record)
    }

    /// When a member began to take calls, if it does; zero if it took calls before this node
    /// knew of it.
    pub(crate) fn takes_calls_since(&self, control: SocketAddr) -> Option<Duration> {
        let member = self.members.get(&control)?;
        takes_calls(member.record.state).then_some(member.takes_calls_since)
    }

    /// This node's own record.
    pub(crate) fn own(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Whether this host is draining or gone, and so takes no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.own().state >= MemberState::Draining
    }

    /// Members that take calls of a service, those of the own data centre first.
    pub(crate) fn candidates(&self, service: &str) -> &[Candidate] {
        let members = self.services.get(service);
        members.map_or(&[], |members| &members.candidates)
    }

    /// Number that grows when a member joins or leaves.
    pub(super) fn live_version(&self) -> u64 {
        self.live_version
    }

    /// When the state, revision or incarnation of any member last changed here.
    pub(crate) fn last_changed_at(&self) -> Duration {
        self.last_changed_at
    }

    /// When the state, revision or incarnation of one member last changed here.
    pub(super) fn member_changed_at(&self, control: SocketAddr) -> Option<Duration> {
        self.members.get(&control).map(|member| member.changed_at)
    }

    /// Members of the own data centre that were declared gone, and may still be alive.
    pub(super) fn declared_gone_local(&self) -> &BTreeSet<SocketAddr> {
        &self.declared_gone_local
    }

    /// View of the own data centre.
    pub(crate) fn own_view(&self) -> &DataCentreView {
        &self.views[&self.own_data_centre]
    }

    /// Views of all data centres that this node has known; views may be empty.
    pub(crate) fn views(&self) -> impl Iterator<Item = (&DataCentreName, &DataCentreView)> {
        self.views.iter()
    }

    /// View of one data centre.
    pub(crate) fn view(&self, data_centre: &DataCentreName) -> Option<&DataCentreView> {
        self.views.get(data_centre)
    }

    /// Digest of all members that are not gone.
    pub(crate) fn digest(&self) -> TableDigest {
        let digests = self.views.values().map(DataCentreView::digest);
        digests.fold(0, |all, digest| all ^ digest)
    }

    /// Number of members that are not gone.
    pub(crate) fn live_count(&self) -> usize {
        self.members.len() - self.gone_count
    }

    /// Number of members that are gone and still in the table.
    pub(crate) fn gone_count(&self) -> usize {
        self.gone_count
    }

    /// Removes members that have been gone for `lifetime`, and the longest gone of those beyond
    /// `limit_count`.
    pub(super) fn remove_gone(&mut self, now: Duration, lifetime: Duration, limit_count: usize) {
        let members = self.members.values();
        let gone = members.filter(|member| member.record.state == MemberState::Gone);
        let mut gone: Vec<_> = gone
            .map(|member| (member.changed_at, member.record.control))
            .filter(|(_, control)| *control != self.own)
            .collect();
        gone.sort_unstable();
        let excess_count = gone.len().saturating_sub(limit_count);
        for (index, (changed, control)) in gone.into_iter().enumerate() {
            if index < excess_count || now >= changed + lifetime {
                self.remove(control, &mut BTreeSet::new());
            }
        }
    }

    /// Removes all members of a data centre.
    pub(super) fn remove_data_centre(&mut self, data_centre: &DataCentreName) {
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

    /// Replaces the record of a member.
    pub(crate) fn put(&mut self, now: Duration, record: MemberRecord, source: RecordSource) {
        self.put_all(now, vec![record], source);
    }

    /// [`MemberTable::put`] for many records, with one rebuild per affected service.
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

    /// Changes this node's own record and increments its revision.
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
