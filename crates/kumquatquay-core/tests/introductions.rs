//! Nodes that find each other through a register of addresses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use kumquatquay_core::{Input, Moment, Node, NodeSettings, Output};
use kumquatquay_wire::{MemberState, MeshKey};

/// Nodes whose datagrams arrive at once.
struct Nodes {
    nodes: BTreeMap<SocketAddr, Node>,
    now: Duration,
}

fn control(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

impl Nodes {
    fn new() -> Self {
        Self {
            nodes: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn start(&mut self, number: u16, data_centre: &str) {
        let key = MeshKey::from_secret("");
        let settings = NodeSettings::new(data_centre, control(number), control(number), key)
            .random_seed(u64::from(number));
        self.nodes.insert(control(number), Node::new(settings));
    }

    /// Hands an input to a node and carries what it and others send.
    fn handle(&mut self, at: SocketAddr, input: Input) {
        let mut inputs = vec![(at, input)];
        while let Some((at, input)) = inputs.pop() {
            let now = Moment {
                monotonic: self.now,
                wall: SystemTime::UNIX_EPOCH + self.now,
            };
            let Some(node) = self.nodes.get_mut(&at) else {
                continue;
            };
            for output in node.handle(now, input) {
                if let Output::Send { to, datagram } = output {
                    inputs.push((to, Input::Datagram(datagram)));
                }
            }
        }
    }

    fn read_register(&mut self, number: u16, register: &[u16]) {
        self.now += Duration::from_millis(400);
        let others = register.iter().filter(|other| **other != number);
        let others = others.map(|other| control(*other)).collect();
        self.handle(control(number), Input::Seeds(others));
    }

    fn known_count(&self, number: u16) -> usize {
        let members = self.nodes[&control(number)].members();
        members
            .filter(|member| member.state != MemberState::Gone)
            .count()
    }
}

/// All nodes start at the same moment. Each has entered itself before it reads the
/// register, so the last one to read finds all, the first one perhaps none. After
/// the last one all know each other, over data centres too, though nobody probed.
#[test]
fn nodes_that_start_together_know_each_other() {
    let mut nodes = Nodes::new();
    let numbers: Vec<u16> = (1..=16).collect();
    for number in &numbers {
        nodes.start(
            *number,
            ["hall-a", "hall-b", "hall-c"][usize::from(*number) % 3],
        );
    }
    for (entered, number) in numbers.iter().enumerate() {
        nodes.read_register(*number, &numbers[..entered]);
    }
    for number in &numbers {
        assert_eq!(nodes.known_count(*number), 16, "node {number}");
    }
}

/// The register still holds 300 hosts that were removed, and they come before the
/// two that live. A node that tried the first ones each time would stay alone.
#[test]
fn entries_of_removed_hosts_do_not_keep_a_node_alone() {
    let mut nodes = Nodes::new();
    nodes.start(1_000, "hall-a");
    nodes.start(1_001, "hall-a");
    let register: Vec<u16> = (1..=300).chain([1_000, 1_001]).collect();
    for _ in 0..20 {
        nodes.read_register(1_001, &register);
    }
    assert_eq!(nodes.known_count(1_001), 2);
}
