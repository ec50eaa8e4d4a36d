//! What a node knows of the members depends on the news it heard, not on their
//! order or number.
//!
//! Gossip repeats and reorders. If order mattered, nodes that heard the same news
//! would disagree for good, and every digest would differ.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use kumquatquay_core::{Input, Moment, Node, NodeSettings};
use kumquatquay_wire::{ControlBody, Datagram, MemberRecord, MemberState, MeshKey, Rumour};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// News of a few members, in two orders.
#[derive(Clone, Debug)]
struct News {
    records: Vec<MemberRecord>,
    order: Vec<usize>,
}

impl Arbitrary for News {
    fn arbitrary(random: &mut Gen) -> Self {
        let records: Vec<MemberRecord> = (0..20).map(|_| record(random)).collect();
        let order = (0..60).map(|_| usize::arbitrary(random) % records.len());
        let order = order.chain(0..records.len()).collect();
        Self { records, order }
    }
}

/// A record of one of four members; its content follows from its rank, as only
/// the member itself writes it.
fn record(random: &mut Gen) -> MemberRecord {
    let member = u8::arbitrary(random) % 4;
    let revision = u32::arbitrary(random) % 4;
    let is_gone = u8::arbitrary(random).is_multiple_of(4);
    let states = [
        MemberState::Idle,
        MemberState::Serving,
        MemberState::Draining,
    ];
    MemberRecord {
        control: SocketAddr::from(([10, 0, 0, member + 1], 7000)),
        peer: SocketAddr::from(([10, 0, 0, member + 1], 7001)),
        data_centre: String::from(if member < 2 { "hall-a" } else { "hall-b" }),
        service: Some(String::from("archive")),
        life: None,
        incarnation: 1 + u64::arbitrary(random) % 3,
        revision,
        state: if is_gone {
            MemberState::Gone
        } else {
            states[revision as usize % states.len()]
        },
        is_suspect: is_gone,
        slots_count: revision,
    }
}

fn moment() -> Moment {
    Moment {
        monotonic: Duration::from_secs(100),
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
    }
}

fn node() -> Node {
    Node::new(
        NodeSettings::new(
            "hall-a",
            "10.0.0.100:7000".parse().unwrap(),
            "10.0.0.100:7001".parse().unwrap(),
            MeshKey::from_secret("secret"),
        )
        .random_seed(7),
    )
}

fn news(sequence: u64, record: &MemberRecord) -> Input {
    Input::Datagram(Datagram {
        sender: "10.0.0.101:7000".parse().unwrap(),
        incarnation: 1,
        sequence,
        body: ControlBody::Gossip,
        rumours: vec![Rumour::Member(record.clone())],
    })
}

fn heard<'a>(records: impl IntoIterator<Item = &'a MemberRecord>) -> Node {
    let mut node = node();
    for (sequence, record) in (1..).zip(records) {
        node.handle(moment(), news(sequence, record));
    }
    node
}

fn members(node: &Node) -> Vec<MemberRecord> {
    let hosts = (1..=4).map(|member| SocketAddr::from(([10, 0, 0, member], 7000)));
    hosts
        .filter_map(|host| node.member(host).cloned())
        .collect()
}

fn check(property: fn(News) -> bool) {
    let random = Gen::from_size_and_seed(100, 11);
    QuickCheck::new()
        .rng(random)
        .tests(500)
        .quickcheck(property);
}

#[test]
fn order_and_repetition_make_no_difference() {
    fn property(news: News) -> bool {
        let once = heard(&news.records);
        let mixed = heard(news.order.iter().map(|place| &news.records[*place]));
        members(&once) == members(&mixed) && once.members_digest() == mixed.members_digest()
    }
    check(property);
}

#[test]
fn what_counts_is_the_highest_rank() {
    fn property(news: News) -> bool {
        let node = heard(&news.records);
        members(&node).iter().all(|known| {
            let same = news
                .records
                .iter()
                .filter(|record| record.control == known.control);
            same.map(MemberRecord::rank).max() == Some(known.rank())
        })
    }
    check(property);
}

/// The same datagram a second time, or after 200 later ones, changes nothing.
#[test]
fn a_datagram_is_taken_in_once() {
    fn property(news: News) -> bool {
        let inputs = (1..)
            .zip(&news.records)
            .map(|(sequence, record)| self::news(sequence, record));
        let inputs: Vec<Input> = inputs.collect();
        let mut node = node();
        for input in &inputs {
            node.handle(moment(), input.clone());
        }
        let later = (21..221).map(|sequence| self::news(sequence, &news.records[0]));
        for input in later {
            node.handle(moment(), input);
        }
        let before = node
            .counters()
            .get(kumquatquay_core::Counter::DatagramsReplayed);
        for input in &inputs {
            node.handle(moment(), input.clone());
        }
        let after = node
            .counters()
            .get(kumquatquay_core::Counter::DatagramsReplayed);
        before == 0 && after == inputs.len() as u64
    }
    check(property);
}
