//! Tests of the selection of the nodes that read the store on behalf of all.

use std::net::SocketAddr;

use kumquatquay_core::routed::StoreReaders;
use kumquatquay_wire::{MemberRecord, MemberState};

fn member(data_centre: u8, host: u8, state: MemberState) -> MemberRecord {
    let control = SocketAddr::from(([10, data_centre, 0, host], 7_000));
    MemberRecord {
        control,
        peer: control,
        data_centre: format!("hall-{data_centre}"),
        service: None,
        life: None,
        incarnation: 1,
        revision: 0,
        state,
        is_suspect: false,
        slots_count: 10,
    }
}

/// `hosts_count` hosts in each of five data centres.
fn fleet(hosts_count: u8) -> Vec<MemberRecord> {
    let hosts =
        (0..5).flat_map(|data_centre| (0..hosts_count).map(move |host| (data_centre, host)));
    hosts
        .map(|(data_centre, host)| member(data_centre, host, MemberState::Serving))
        .collect()
}

fn readers_of(members: &[MemberRecord]) -> Vec<&MemberRecord> {
    let reads = |member: &&MemberRecord| {
        StoreReaders::select(member.control, &member.data_centre, members.iter()).is_reader
    };
    members.iter().filter(reads).collect()
}

#[test]
fn each_data_centre_has_two_readers_at_any_size() {
    for hosts_count in [3, 19, 200] {
        let members = fleet(hosts_count);
        let readers = readers_of(&members);
        assert_eq!(readers.len(), 10);
        for data_centre in 0..5 {
            let name = format!("hall-{data_centre}");
            let local = readers.iter().filter(|reader| reader.data_centre == name);
            assert_eq!(local.count(), 2);
        }
        let first = &members[0];
        let known = StoreReaders::select(first.control, &first.data_centre, members.iter());
        assert_eq!(known.count, 10);
    }
}

#[test]
fn the_readers_of_a_data_centre_are_its_nodes_that_read() {
    let members = fleet(19);
    let local = StoreReaders::in_data_centre("hall-3", members.iter());
    let readers = readers_of(&members).into_iter();
    let readers: Vec<SocketAddr> = readers
        .filter(|reader| reader.data_centre == "hall-3")
        .map(|reader| reader.control)
        .collect();
    assert_eq!(local.len(), 2);
    assert!(local.iter().all(|reader| readers.contains(&reader.control)));
}

/// The readers of all data centres are gone, draining or suspected to be dead. Others become
/// readers in their place.
#[test]
fn unavailable_readers_are_replaced() {
    let mut members = fleet(10);
    let first: Vec<SocketAddr> = readers_of(&members)
        .into_iter()
        .map(|reader| reader.control)
        .collect();
    for (index, member) in members.iter_mut().enumerate() {
        if first.contains(&member.control) {
            match index % 3 {
                0 => member.state = MemberState::Gone,
                1 => member.state = MemberState::Draining,
                _ => member.is_suspect = true,
            }
        }
    }
    let serving =
        |member: &&&MemberRecord| member.state == MemberState::Serving && !member.is_suspect;
    let readers = readers_of(&members);
    assert_eq!(readers.iter().filter(serving).count(), 10);
}

/// A node that has just started knows no other node, so it reads for itself.
#[test]
fn a_node_that_knows_no_other_node_is_a_reader() {
    let own = member(1, 1, MemberState::Idle);
    let known = StoreReaders::select(own.control, &own.data_centre, [].into_iter());
    assert!(known.is_reader);
    assert_eq!(known.count, 1);
}
