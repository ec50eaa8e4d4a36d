//! Which nodes keep quotas.

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

/// Where a node takes calls.
fn peer(number: usize) -> SocketAddr {
    SocketAddr::new(node(number).ip(), 7_002)
}

/// Nodes of three data centres, by turns.
fn fleet(nodes_count: usize) -> Vec<MemberRecord> {
    let names = ["hall-a", "hall-b", "hall-c"];
    (0..nodes_count)
        .map(|number| member(number, names[number % 3]))
        .collect()
}

#[test]
fn each_slice_of_each_half_has_one_keeper_in_one_view() {
    for nodes_count in [1, 2, 6, 78, 300, 5_100] {
        let fleet = fleet(nodes_count);
        let keepers = Borrowers::from_members("hall-a", fleet.iter());
        for half in 0..HALVES_COUNT {
            for slice in 0..SLICES_COUNT {
                let kept = fleet.iter().filter(|member| {
                    let kept = keepers.borrowed_by(member.control);
                    kept.has(half, slice)
                });
                assert_eq!(kept.count(), 1, "{nodes_count} {half} {slice}");
            }
        }
    }
}

/// The keeper of the second half has tokens for data centres that need more than they own, so all
/// must ask the same one; that of the first half is near.
#[test]
fn the_first_half_is_kept_near_and_the_second_together() {
    let fleet = fleet(78);
    let in_a = Borrowers::from_members("hall-a", fleet.iter());
    let in_b = Borrowers::from_members("hall-b", fleet.iter());
    assert_ne!(in_a.borrower(0, 3), in_b.borrower(0, 3));
    assert_eq!(in_a.borrower(1, 3), in_b.borrower(1, 3));
}

/// In a fleet of thousands no node keeps links to all others for its quotas.
#[test]
fn in_a_large_fleet_all_is_kept_near() {
    let fleet = fleet(5_100);
    let in_a = Borrowers::from_members("hall-a", fleet.iter());
    let kept = fleet.iter().filter(|member| {
        let kept = in_a.borrowed_by(member.control);
        !kept.is_empty() && member.data_centre != "hall-a"
    });
    assert_eq!(kept.count(), 0);
}

#[test]
fn a_keeper_that_is_gone_is_none() {
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
fn nodes_that_are_far_are_asked_for_the_second_half_alone() {
    assert_eq!(
        Borrowers::requested_from(SliceSets::ALL, true),
        SliceSets::ALL
    );
    let far = Borrowers::requested_from(SliceSets::ALL, false);
    assert_eq!(far, SliceSets::ALL.of_half(1));
}

/// A fleet that stays as it is looked at a few times a second; a node that leaves, comes back, or
/// moves its listener for calls must be seen at the next look all the same.
#[test]
fn ranks_follow_each_change_of_the_members_and_nothing_else() {
    let mut fleet = fleet(300);
    let mut keepers = Borrowers::default();
    assert!(keepers.refresh("hall-a", fleet.iter()));
    assert!(!keepers.refresh("hall-a", fleet.iter()));
    for number in (0..fleet.len()).step_by(23) {
        let changes: [fn(&mut MemberRecord); 4] = [
            |member| member.is_suspect = true,
            |member| member.is_suspect = false,
            |member| member.state = MemberState::Gone,
            |member| member.peer.set_port(9_999),
        ];
        for change in changes {
            change(&mut fleet[number]);
            keepers.refresh("hall-a", fleet.iter());
            assert_eq!(
                keepers,
                Borrowers::from_members("hall-a", fleet.iter()),
                "{number}"
            );
        }
        fleet[number].state = MemberState::Serving;
    }
}
