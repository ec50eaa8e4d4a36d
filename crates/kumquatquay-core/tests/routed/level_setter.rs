//! How the level of a gate follows the load.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{GateState, LevelController};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// One gate with 30 slots, whose calls take 22 ms, and entries that hear its level
/// `delay_spans` tenths of a second later.
struct Loop {
    setter: LevelController,
    random: StdRng,
    levels: VecDeque<f64>,
    waiting: f64,
    span: u64,
}

const SLOTS: usize = 30;
const WORK_S: f64 = 0.022;

/// What a span was like.
struct Span {
    level: f64,
    /// Slots that did work, over all slots.
    used_ratio: f64,
    /// Calls that gave up waiting.
    lost: f64,
}

impl Loop {
    fn new(delay_spans: usize) -> Self {
        Self {
            setter: LevelController::default(),
            random: StdRng::seed_from_u64(3),
            levels: VecDeque::from(vec![1.0; delay_spans]),
            waiting: 0.0,
            span: 0,
        }
    }

    /// A tenth of a second in which callers offer `offered` times what the gate can
    /// run; a part of it, `free`, is not governed by the level.
    fn step(&mut self, offered: f64, free: f64) -> Span {
        let level = self.levels.pop_front().unwrap();
        let room = SLOTS as f64 * 0.1 / WORK_S;
        let mean = room * (offered * level + free);
        let arrivals = (mean + mean.sqrt() * self.random.random_range(-1.7..1.7)).max(0.0);
        for _ in 0..arrivals as u32 {
            self.setter
                .arrived(self.setter.level(), Duration::from_secs_f64(WORK_S));
        }
        let run = room.min(self.waiting + arrivals);
        let waiting = self.waiting + arrivals - run;
        // Calls wait for 0.3 s at most.
        self.waiting = waiting.min(3.0 * room);
        self.span += 1;
        self.setter.tick(
            at_ms(self.span * 100),
            GateState {
                slots: SLOTS as f64,
                waiting_work: Duration::from_secs_f64(WORK_S).mul_f64(self.waiting),
            },
        );
        self.levels.push_back(self.setter.level());
        Span {
            level: self.setter.level(),
            used_ratio: run / room,
            lost: waiting - self.waiting,
        }
    }

    fn run(&mut self, spans_count: usize, offered: f64, free: f64) -> Vec<Span> {
        (0..spans_count).map(|_| self.step(offered, free)).collect()
    }
}

fn mean(spans: &[Span], value: impl Fn(&Span) -> f64) -> f64 {
    spans.iter().map(value).sum::<f64>() / spans.len() as f64
}

macro_rules! settles {
    ($($name:ident: $offered:literal offered, $free:literal free, $delay:literal spans late;)*) => {
        $(
            /// The load stays at a height. After two seconds the slots are in use
            /// and nearly no call that was let in is lost.
            #[test]
            fn $name() {
                let mut gate = Loop::new($delay);
                gate.run(20, $offered, $free);
                let settled = gate.run(100, $offered, $free);
                let used = mean(&settled, |span| span.used_ratio);
                let lost = mean(&settled, |span| span.lost);
                let expected = 0.85_f64.min(0.97 * ($offered + $free));
                assert!(used >= expected, "used {used}");
                assert!(lost <= 1.0, "lost {lost} of 136 in a span");
            }
        )*
    };
}

settles! {
    a_light_load_is_let_in: 0.7 offered, 0.0 free, 4 spans late;
    a_load_near_the_room: 1.1 offered, 0.0 free, 4 spans late;
    twice_the_room: 2.2 offered, 0.0 free, 4 spans late;
    five_times_the_room: 5.0 offered, 0.0 free, 4 spans late;
    news_that_comes_late: 2.2 offered, 0.0 free, 8 spans late;
    news_that_comes_at_once: 2.2 offered, 0.0 free, 1 spans late;
    a_part_that_is_not_governed: 1.5 offered, 0.4 free, 4 spans late;
}

/// A surge of three seconds to 1.7 times the usual load ends. Within three seconds
/// all are let in again.
#[test]
fn it_opens_again_when_the_surge_is_over() {
    let mut gate = Loop::new(4);
    gate.run(50, 0.85, 0.0);
    gate.run(30, 1.45, 0.0);
    let after = gate.run(30, 0.8, 0.0);
    assert!(
        after.last().unwrap().level > 0.95,
        "{}",
        after.last().unwrap().level
    );
}

/// The level doesn't swing by more than the noise of arrivals while the load stays.
#[test]
fn it_does_not_swing() {
    let mut gate = Loop::new(4);
    gate.run(30, 2.2, 0.0);
    let settled = gate.run(200, 2.2, 0.0);
    let middle = mean(&settled, |span| span.level);
    let off = mean(&settled, |span| (span.level - middle).abs());
    assert!(off < 0.12 * middle, "off by {off} around {middle}");
}

/// A spike of eight times the room shuts nearly all out. When it is over, the slots stand
/// empty: two and a half seconds later nearly all are let in again.
#[test]
fn it_opens_soon_after_it_was_nearly_shut() {
    let mut gate = Loop::new(4);
    gate.run(50, 0.85, 0.0);
    gate.run(20, 8.0, 0.0);
    assert!(gate.setter.level() < 0.25, "{}", gate.setter.level());
    let after = gate.run(25, 0.8, 0.0);
    let level = after.last().unwrap().level;
    assert!(level > 0.9, "{level}");
}

/// A surge of twice the room comes at once. All that is let in until the level has fallen is
/// more than fits, and most of it is lost: after half a second the level is within a tenth of
/// what fits.
#[test]
fn the_level_falls_soon_when_a_surge_begins() {
    let mut gate = Loop::new(4);
    gate.run(30, 0.5, 0.0);
    let begun = gate.run(5, 2.0, 0.0);
    let level = begun.last().unwrap().level;
    assert!((0.3..=0.55).contains(&level), "{level}");
}
