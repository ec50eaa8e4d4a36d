//! Tests of the selection of the nodes to which quotas are lent.

use std::net::SocketAddr;

use kumquatquay_core::quota::Borrowers;
use kumquatquay_wire::{
    MemberRecord, MemberState,
    routed::{HALVES_COUNT, SLICES_COUNT, SliceSets},
};

use crate::node;

fn member(number: usize, data_centre: &str) -> MemberRecord {
    MemberRecord {
        control: node(number),
        peer: peer(number),
        data_centre: String::from(data_centre),
        service: None,
        life: None,
        incarnation: 1,
        revision: 0,
        state: MemberState::Serving,
        is_suspect: false,
        slots_count: 10,
    }
}

/// Address at which a node accepts calls.
fn peer(number: usize) -> SocketAddr {
    SocketAddr::new(node(number).ip(), 7_002)
}

/// Nodes that are spread evenly over three data centres.
fn fleet(nodes_count: usize) -> Vec<MemberRecord> {
    let names = ["hall-a", "hall-b", "hall-c"];
    (0..nodes_count)
        .map(|number| member(number, names[number % 3]))
        .collect()
}

#[test]
fn each_slice_of_each_half_has_one_borrower_in_one_view() {
    for nodes_count in [1, 2, 6, 78, 300, 5_100] {
        let fleet = fleet(nodes_count);
        let borrowers = Borrowers::from_members("hall-a", fleet.iter());
        for half in 0..HALVES_COUNT {
            for slice in 0..SLICES_COUNT {
                let borrowing = fleet.iter().filter(|member| {
                    let borrowed = borrowers.borrowed_by(member.control);
                    borrowed.has(half, slice)
                });
                assert_eq!(borrowing.count(), 1, "{nodes_count} {half} {slice}");
            }
        }
    }
}

/// The borrower of the second half has tokens for data centres that need more than their nodes
/// own, so all data centres must ask the same one. The borrower of the first half is in the data
/// centre that asks.
#[test]
fn the_first_half_has_local_borrowers_and_the_second_shared_ones() {
    let fleet = fleet(78);
    let in_a = Borrowers::from_members("hall-a", fleet.iter());
    let in_b = Borrowers::from_members("hall-b", fleet.iter());
    assert_ne!(in_a.borrower(0, 3), in_b.borrower(0, 3));
    assert_eq!(in_a.borrower(1, 3), in_b.borrower(1, 3));
}

/// In a fleet of thousands of nodes, a borrower shared by all data centres would need links to all
/// other nodes.
#[test]
fn in_a_large_fleet_all_borrowers_are_local() {
    let fleet = fleet(5_100);
    let in_a = Borrowers::from_members("hall-a", fleet.iter());
    let borrowing = fleet.iter().filter(|member| {
        let borrowed = in_a.borrowed_by(member.control);
        !borrowed.is_empty() && member.data_centre != "hall-a"
    });
    assert_eq!(borrowing.count(), 0);
}

#[test]
fn a_node_that_is_gone_is_no_borrower() {
    let mut fleet = fleet(6);
    let first = Borrowers::from_members("hall-a", fleet.iter())
        .borrower(0, 0)
        .unwrap();
    let gone = fleet.iter_mut().find(|member| member.peer == first);
    gone.unwrap().state = MemberState::Gone;
    let second = Borrowers::from_members("hall-a", fleet.iter()).borrower(0, 0);
    assert!(second.is_some_and(|second| second != first));
}

#[test]
fn nodes_of_other_data_centres_are_asked_for_the_second_half_only() {
    assert_eq!(
        Borrowers::requested_from(SliceSets::ALL, true),
        SliceSets::ALL
    );
    let far = Borrowers::requested_from(SliceSets::ALL, false);
    assert_eq!(far, SliceSets::ALL.of_half(1));
}

/// Borrowers are refreshed a few times a second, and ranks are recomputed only when the members
/// have changed. If a change were missed, a node that left, came back or moved its listener for
/// calls would keep its former rank or address.
#[test]
fn ranks_are_recomputed_exactly_when_the_members_change() {
    let mut fleet = fleet(300);
    let mut borrowers = Borrowers::default();
    assert!(borrowers.refresh("hall-a", fleet.iter()));
    assert!(!borrowers.refresh("hall-a", fleet.iter()));
    for number in (0..fleet.len()).step_by(23) {
        let changes: [fn(&mut MemberRecord); 4] = [
            |member| member.is_suspect = true,
            |member| member.is_suspect = false,
            |member| member.state = MemberState::Gone,
            |member| member.peer.set_port(9_999),
        ];
        for change in changes {
            change(&mut fleet[number]);
            borrowers.refresh("hall-a", fleet.iter());
            assert_eq!(
                borrowers,
                Borrowers::from_members("hall-a", fleet.iter()),
                "{number}"
            );
        }
        fleet[number].state = MemberState::Serving;
    }
}
