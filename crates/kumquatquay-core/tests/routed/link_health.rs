//! When a link counts as silent.

use std::time::Duration;

use kumquatquay_core::routed::{LinkAction, LinkHealth};

use crate::at_ms;

const INTERVAL: Duration = Duration::from_millis(50);

/// Looks at a link every interval from `from_ms` until something is to be done.
fn next_step(health: &mut LinkHealth, from_ms: u64, is_waited_for: bool) -> (u64, LinkAction) {
    let mut now_ms = from_ms;
    loop {
        let step = health.check(at_ms(now_ms), INTERVAL, is_waited_for);
        if step != LinkAction::Keep {
            return (now_ms, step);
        }
        now_ms += 50;
    }
}

/// A network part fails in the middle of traffic. Calls that were sent get no answer,
/// and each further one would hang as well: the link is avoided after 350 ms, and given
/// up only when a host that was paused would have answered.
#[test]
fn a_link_that_went_silent_is_avoided_soon_and_given_up_late() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_call_sent(at_ms(10));
    health.on_frame(at_ms(20), true);
    assert_eq!(next_step(&mut health, 50, true), (250, LinkAction::Ping));
    assert_eq!(next_step(&mut health, 300, true), (400, LinkAction::Avoid));
    assert!(health.is_silent());
    let mut now_ms = 450;
    while health.check(at_ms(now_ms), INTERVAL, true) == LinkAction::Avoid {
        now_ms += 50;
    }
    assert_eq!(now_ms, 1_850);
}

/// The peer answers the question: its backend server is only slow.
#[test]
fn a_peer_that_answers_the_question_is_not_silent() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_call_sent(at_ms(0));
    for round in 0..20 {
        let (asked_ms, step) = next_step(&mut health, 50 + round * 300, true);
        assert_eq!(step, LinkAction::Ping);
        health.on_frame(at_ms(asked_ms + 20), true);
        assert!(!health.is_silent());
    }
}

/// A call goes over a link that had no traffic for a while. That nothing came before
/// the call says nothing of the peer.
#[test]
fn quiet_before_the_call_does_not_count() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_frame(at_ms(100), false);
    health.on_call_sent(at_ms(1_200));
    assert_eq!(
        next_step(&mut health, 1_200, true),
        (1_400, LinkAction::Ping)
    );
}

/// This node stood still for a second, after it had asked. All peers have answered in
/// that time, but the answers are not read yet: none of them is silent.
#[test]
fn a_pause_of_this_node_makes_no_peer_silent() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_call_sent(at_ms(0));
    assert_eq!(next_step(&mut health, 50, true), (200, LinkAction::Ping));
    assert_eq!(health.check(at_ms(1_200), INTERVAL, true), LinkAction::Keep);
    assert!(!health.is_silent());
    health.on_frame(at_ms(1_201), true);
    assert_eq!(health.check(at_ms(1_250), INTERVAL, true), LinkAction::Keep);
}

/// A data centre far away answers after 60 ms. A link to it is not silent before ten
/// times that, and a sign of life ends the suspicion.
#[test]
fn a_far_peer_is_given_ten_round_trips() {
    let mut health = LinkHealth::new(at_ms(0));
    let mut now_ms = 0;
    for _ in 0..30 {
        health.on_call_sent(at_ms(now_ms));
        let (asked_ms, _) = next_step(&mut health, now_ms + 50, true);
        now_ms = asked_ms + 60;
        health.on_frame(at_ms(now_ms), true);
    }
    let (asked_ms, _) = next_step(&mut health, now_ms + 50, true);
    let (avoided_ms, step) = next_step(&mut health, asked_ms + 50, true);
    assert_eq!(step, LinkAction::Avoid);
    assert_eq!(avoided_ms - asked_ms, 600);
    health.on_frame(at_ms(avoided_ms + 10), true);
    assert!(!health.is_silent());
}
