//! Tests of the detection of links that no longer respond.

use std::time::Duration;

use kumquatquay_core::routed::{LinkAction, LinkHealth};

use crate::at_ms;

const INTERVAL: Duration = Duration::from_millis(50);

/// Checks a link every interval from `from_ms` until there is an action to take.
fn next_action(
    health: &mut LinkHealth,
    from_ms: u64,
    has_pending_calls: bool,
) -> (u64, LinkAction) {
    let mut now_ms = from_ms;
    loop {
        let action = health.check(at_ms(now_ms), INTERVAL, has_pending_calls);
        if action != LinkAction::Keep {
            return (now_ms, action);
        }
        now_ms += 50;
    }
}

/// A network component fails while calls are in progress. They get no answer, and further calls
/// would hang as well. So new calls avoid the link after about 350 ms, and it is closed only after
/// a time in which a host that was merely paused would have answered.
#[test]
fn a_silent_link_is_avoided_soon_and_closed_late() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_call_sent(at_ms(10));
    health.on_frame(at_ms(20), true);
    assert_eq!(next_action(&mut health, 50, true), (250, LinkAction::Ping));
    assert_eq!(
        next_action(&mut health, 300, true),
        (400, LinkAction::Avoid)
    );
    assert!(health.is_silent());
    let mut now_ms = 450;
    while health.check(at_ms(now_ms), INTERVAL, true) == LinkAction::Avoid {
        now_ms += 50;
    }
    assert_eq!(now_ms, 1_850);
}

/// The peer answers each ping: only its backend server is slow.
#[test]
fn a_peer_that_answers_pings_is_not_silent() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_call_sent(at_ms(0));
    for round in 0..20 {
        let (pinged_ms, action) = next_action(&mut health, 50 + round * 300, true);
        assert_eq!(action, LinkAction::Ping);
        health.on_frame(at_ms(pinged_ms + 20), true);
        assert!(!health.is_silent());
    }
}

/// A call is sent on a link that had no traffic for a while. The time without frames before the
/// call says nothing about the peer.
#[test]
fn idle_time_before_a_call_does_not_count() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_frame(at_ms(100), false);
    health.on_call_sent(at_ms(1_200));
    assert_eq!(
        next_action(&mut health, 1_200, true),
        (1_400, LinkAction::Ping)
    );
}

/// This node was stalled for a second after it had sent pings. All peers have answered meanwhile,
/// but the answers haven't been read yet, so none of the peers is silent.
#[test]
fn a_stall_of_this_node_makes_no_peer_silent() {
    let mut health = LinkHealth::new(at_ms(0));
    health.on_call_sent(at_ms(0));
    assert_eq!(next_action(&mut health, 50, true), (200, LinkAction::Ping));
    assert_eq!(health.check(at_ms(1_200), INTERVAL, true), LinkAction::Keep);
    assert!(!health.is_silent());
    health.on_frame(at_ms(1_201), true);
    assert_eq!(health.check(at_ms(1_250), INTERVAL, true), LinkAction::Keep);
}

/// A distant data centre answers after 60 ms. A link to it counts as silent only after ten times
/// that without an answer to a ping, and no longer once a frame has come from the peer.
#[test]
fn a_distant_peer_has_ten_round_trips_to_answer() {
    let mut health = LinkHealth::new(at_ms(0));
    let mut now_ms = 0;
    for _ in 0..30 {
        health.on_call_sent(at_ms(now_ms));
        let (pinged_ms, _) = next_action(&mut health, now_ms + 50, true);
        now_ms = pinged_ms + 60;
        health.on_frame(at_ms(now_ms), true);
    }
    let (pinged_ms, _) = next_action(&mut health, now_ms + 50, true);
    let (avoided_ms, action) = next_action(&mut health, pinged_ms + 50, true);
    assert_eq!(action, LinkAction::Avoid);
    assert_eq!(avoided_ms - pinged_ms, 600);
    health.on_frame(at_ms(avoided_ms + 10), true);
    assert!(!health.is_silent());
}
