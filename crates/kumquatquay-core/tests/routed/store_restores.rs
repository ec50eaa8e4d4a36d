//! A fleet whose store comes back from copies some seconds old.
//!
//! Each node reads the store, hears of its peers, and accepts keys by proofs. What must never be:
//! a node goes back to an older configuration, or accepts a key longer than the bound after a
//! configuration without it was confirmed, also one that the store lost. What should be: soon
//! after operators have written it again, all have the newest one and accept keys.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{
    EraChange, FreshnessProof, LogAnswer, LogPage, LogPosition, LogRead, LogStep, PeerProof,
    PollStep, PollerFleet, StorePoller, StoreReaders,
};
use kumquatquay_wire::routed::{RouteVersion, StoreEra};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// How long a key may be accepted after it was taken away, and how much sooner nodes stop.
const BOUND_MS: u64 = 5_000;
const MARGIN_MS: u64 = 100;

/// Time of a call at the store, the longest of one whose answer is late, and the time after which
/// one is given up.
const CALL_MS: u64 = 4;
const LATE_MS: u64 = 400;
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Time within which all is well again once operators have written again.
const RECOVERY_MS: u64 = 2_500;

/// Calls a second that the store takes of all nodes together.
const CALLS_PER_S: usize = 2_000;

/// Entries in the register that all nodes together make again in a second, at the most.
const ENTRIES_PER_S: usize = 700;

/// How often a node hears of another one, a millisecond.
const HEARD_PER_MS: f64 = 0.03;

const READERS_COUNT: usize = 6;

/// When the store comes back from a copy, and what comes with it.
#[derive(Clone, Copy, Debug)]
struct Return {
    at_ms: u64,
    /// Time before it in which the store answers nothing.
    away_ms: u64,
    /// Age of the copy.
    age_ms: u64,
    /// Time until operators have written again what was lost.
    rewrite_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Scene {
    nodes_count: usize,
    tick_ms: u64,
    returns: &'static [Return],
    /// Time between configurations, each of which takes a key away.
    change_ms: u64,
    /// Nodes that reach nobody for two seconds from a moment soon after each return.
    cut_count: usize,
    /// Whether nodes do without eras, as if the store told none.
    ignores_eras: bool,
    /// Whether the store tells an era from its first return on only.
    tells_late: bool,
}

const ONE: Return = Return {
    at_ms: 10_000,
    away_ms: 600,
    age_ms: 3_000,
    rewrite_ms: 800,
};

const SCENE: Scene = Scene {
    nodes_count: 40,
    tick_ms: 2,
    returns: &[ONE],
    change_ms: 700,
    cut_count: 6,
    ignores_eras: false,
    tells_late: false,
};

/// A configuration as it was confirmed first.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    version: RouteVersion,
    at_ms: u64,
}

#[derive(Debug, Default)]
struct Store {
    era: StoreEra,
    /// Versions by offset, and when each was written.
    log: Vec<Confirmed>,
    confirmed: Vec<Confirmed>,
    lost: VecDeque<Confirmed>,
}

/// A call as it is answered.
#[derive(Clone, Debug)]
struct Answered {
    at_ms: u64,
    answer: LogAnswer,
    versions: Vec<RouteVersion>,
}

impl Store {
    fn is_away(scene: &Scene, now_ms: u64) -> bool {
        let mut returns = scene.returns.iter();
        returns.any(|back| (back.at_ms - back.away_ms..back.at_ms).contains(&now_ms))
    }

    fn act(&mut self, scene: &Scene, now_ms: u64) {
        for back in scene.returns {
            if back.at_ms == now_ms {
                let copied_ms = now_ms - back.age_ms;
                let kept_count = self
                    .log
                    .partition_point(|written| written.at_ms <= copied_ms);
                self.lost.extend(self.log.split_off(kept_count));
                self.era += 1;
            }
            if back.at_ms + back.rewrite_ms == now_ms {
                let again = std::mem::take(&mut self.lost).into_iter();
                self.log.extend(again.map(|lost| Confirmed {
                    at_ms: now_ms,
                    ..lost
                }));
            }
        }
        // The last one is confirmed right before the store goes away.
        let is_last = |back: &Return| now_ms + scene.tick_ms == back.at_ms - back.away_ms;
        let is_due = now_ms.is_multiple_of(scene.change_ms) || scene.returns.iter().any(is_last);
        if is_due && !Self::is_away(scene, now_ms) && self.lost.is_empty() {
            let version = self.confirmed.len() as RouteVersion + 1;
            let confirmed = Confirmed {
                version,
                at_ms: now_ms,
            };
            self.log.push(confirmed);
            self.confirmed.push(confirmed);
        }
    }

    fn answer(&self, step: &LogStep, at_ms: u64) -> Answered {
        let end = self.log.len() as u64;
        let (page, versions) = match step {
            LogStep::Newest { .. } => {
                let newest = self.log.last().map(|written| written.version);
                let page = LogPage::Newest {
                    next_after: None,
                    end,
                };
                (page, newest.into_iter().collect())
            }
            LogStep::Records { from, .. } if *from > end => (
                LogPage::OffsetUnavailable {
                    oldest_offset: Some(0),
                },
                Vec::new(),
            ),
            LogStep::Records { from, .. } => {
                let records = &self.log[*from as usize..];
                let offsets_count = records.len() as u64;
                let versions = records.iter().map(|written| written.version).collect();
                (LogPage::Records { offsets_count, end }, versions)
            }
            LogStep::Done { .. } | LogStep::Outdated => unreachable!("no call"),
        };
        let answer = LogAnswer {
            era: Some(self.era),
            page,
        };
        Answered {
            at_ms,
            answer,
            versions,
        }
    }
}

struct Read {
    read: LogRead,
    began_ms: u64,
    called_ms: u64,
    /// Until when the store may hold the call.
    held_until_ms: u64,
    is_lost: bool,
    answered: Option<Answered>,
    newest: RouteVersion,
}

struct Node {
    follower: StorePoller,
    proof: FreshnessProof,
    position: LogPosition,
    reads: Vec<Read>,
    in_force: RouteVersion,
    waits_until: Duration,
    cut_ms: std::ops::Range<u64>,
}

struct Fleet {
    scene: Scene,
    store: Store,
    nodes: Vec<Node>,
    random: StdRng,
    calls_ms: Vec<u64>,
    findings: Vec<String>,
}

fn moment(ms: u64) -> Duration {
    at_ms(60_000 + ms)
}

impl Fleet {
    fn new(scene: Scene, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..scene.nodes_count).map(|place| {
            let back = scene.returns[random.random_range(0..scene.returns.len())];
            let from_ms = back.at_ms + random.random_range(0..1_200);
            let is_cut = place + scene.cut_count >= scene.nodes_count;
            let until_ms = if is_cut {
                from_ms + BOUND_MS + 2_000
            } else {
                0
            };
            Node {
                follower: StorePoller::new(Duration::ZERO, random.random())
                    .with_proof_bound(at_ms(BOUND_MS)),
                proof: FreshnessProof::default(),
                position: LogPosition::default(),
                reads: Vec::new(),
                in_force: 0,
                waits_until: Duration::ZERO,
                cut_ms: from_ms..until_ms,
            }
        });
        Self {
            nodes: nodes.collect(),
            scene,
            store: Store::default(),
            random,
            calls_ms: Vec::new(),
            findings: Vec::new(),
        }
    }

    fn run(&mut self, until_ms: u64) {
        for now_ms in (0..until_ms).step_by(self.scene.tick_ms as usize) {
            self.store.act(&self.scene, now_ms);
            for place in 0..self.nodes.len() {
                self.end_calls(place, now_ms);
                self.begin_reads(place, now_ms);
                if self
                    .random
                    .random_bool(HEARD_PER_MS * self.scene.tick_ms as f64)
                {
                    let peer = self.random.random_range(0..self.nodes.len());
                    self.tell(place, peer, now_ms);
                }
                self.judge(place, now_ms);
            }
        }
    }

    fn is_cut(&self, place: usize, now_ms: u64) -> bool {
        self.nodes[place].cut_ms.contains(&now_ms)
    }

    fn era_of(&self, era: Option<StoreEra>) -> Option<StoreEra> {
        let is_told = !self.scene.tells_late || era > Some(0);
        era.filter(|_| is_told && !self.scene.ignores_eras)
    }

    fn begin_reads(&mut self, place: usize, now_ms: u64) {
        let fleet = PollerFleet {
            nodes_count: self.scene.nodes_count,
            readers: StoreReaders {
                is_reader: place < READERS_COUNT,
                count: READERS_COUNT,
            },
        };
        while self.nodes[place].waits_until <= at_ms(now_ms) {
            let node = &mut self.nodes[place];
            match node.follower.step(at_ms(now_ms), fleet) {
                PollStep::Wait { until } => node.waits_until = until,
                PollStep::AskReader => self.ask(place, now_ms),
                PollStep::Read { hold } => {
                    let is_proof_due = node.follower.is_proof_due(at_ms(now_ms));
                    let mut read = Read {
                        read: node.position.begin(),
                        began_ms: now_ms,
                        called_ms: now_ms,
                        held_until_ms: now_ms + hold.as_millis() as u64,
                        is_lost: false,
                        answered: None,
                        newest: 0,
                    };
                    self.call(place, now_ms, &mut read);
                    self.nodes[place].reads.push(read);
                    if is_proof_due {
                        self.ask(place, now_ms);
                    }
                }
            }
        }
    }

    fn ask(&mut self, place: usize, now_ms: u64) {
        let reader = self.random.random_range(0..READERS_COUNT);
        let any = self.random.random_range(0..self.nodes.len());
        self.tell(place, reader, now_ms);
        self.tell(place, any, now_ms);
    }

    fn call(&mut self, place: usize, now_ms: u64, read: &mut Read) {
        self.calls_ms.push(now_ms);
        read.called_ms = now_ms;
        read.answered = None;
        read.is_lost = self.is_cut(place, now_ms);
    }

    fn end_calls(&mut self, place: usize, now_ms: u64) {
        let mut reads = std::mem::take(&mut self.nodes[place].reads);
        let mut kept = Vec::new();
        while let Some(mut read) = reads.pop() {
            if self.go_on(place, now_ms, &mut read) {
                kept.push(read);
            } else if self.nodes[place]
                .follower
                .time_since_answer(at_ms(now_ms))
                .is_zero()
            {
                // It was answered, so the others are dropped.
                return;
            }
        }
        self.nodes[place].reads = kept;
    }

    /// Goes on with a read; `false` if it has ended.
    fn go_on(&mut self, place: usize, now_ms: u64, read: &mut Read) -> bool {
        let is_away = Store::is_away(&self.scene, now_ms);
        if read.answered.is_none() {
            read.is_lost |= is_away || self.is_cut(place, now_ms);
            self.let_store_answer(now_ms, read);
        }
        let is_over = now_ms >= read.held_until_ms.max(read.called_ms) + CALL_TIMEOUT_MS;
        let due = read.answered.take_if(|answered| now_ms >= answered.at_ms);
        if let Some(answered) = due.filter(|_| !is_away && !self.is_cut(place, now_ms)) {
            return self.on_answer(place, now_ms, read, answered);
        }
        if is_over {
            self.nodes[place].follower.on_failure(at_ms(now_ms));
            self.nodes[place].waits_until = at_ms(now_ms);
        }
        !is_over
    }

    fn let_store_answer(&mut self, now_ms: u64, read: &mut Read) {
        let step = read.read.step();
        let may_wait = matches!(step, LogStep::Records { may_hold: true, .. });
        let answered = self.store.answer(&step, now_ms);
        let has_none = answered.versions.is_empty()
            && !matches!(answered.answer.page, LogPage::OffsetUnavailable { .. });
        let is_held = may_wait && has_none && now_ms < read.held_until_ms;
        if read.is_lost || now_ms < read.called_ms + CALL_MS / 2 || is_held {
            return;
        }
        let way_ms = if self.random.random_bool(0.05) {
            self.random.random_range(0..LATE_MS)
        } else {
            CALL_MS / 2
        };
        read.answered = Some(Answered {
            at_ms: now_ms + way_ms,
            ..answered
        });
    }

    fn on_answer(
        &mut self,
        place: usize,
        now_ms: u64,
        read: &mut Read,
        answered: Answered,
    ) -> bool {
        let era = self.era_of(answered.answer.era);
        let answer = LogAnswer {
            era,
            ..answered.answer
        };
        let news = self.nodes[place].follower.on_store_era(at_ms(now_ms), era);
        self.on_era(place, now_ms, news, era);
        let before = read.read.step();
        read.read.on_answer(&mut self.nodes[place].position, answer);
        let after = read.read.step();
        if matches!(after, LogStep::Newest { .. }) {
            // What it read before is of the era before.
            read.newest = 0;
            self.apply(place, answered.versions.iter().copied().max().unwrap_or(0));
        } else {
            let newest = answered.versions.iter().copied().max().unwrap_or(0);
            read.newest = read.newest.max(newest);
            self.apply(place, newest);
        }
        assert!(before != LogStep::Outdated);
        let node = &mut self.nodes[place];
        match after {
            LogStep::Newest { .. } | LogStep::Records { .. } => {
                self.call(place, now_ms, read);
                return true;
            }
            LogStep::Outdated => node.follower.on_failure(at_ms(now_ms)),
            LogStep::Done { era, is_complete } => {
                node.follower.on_answer(at_ms(now_ms), read.newest > 0);
                node.proof.on_store_version(era, read.newest);
                if is_complete {
                    node.proof.on_store_read(moment(read.began_ms), era);
                }
            }
        }
        node.waits_until = at_ms(now_ms);
        self.learn(place, now_ms);
        false
    }

    fn apply(&mut self, place: usize, version: RouteVersion) {
        let node = &mut self.nodes[place];
        if version > node.in_force {
            node.in_force = version;
            node.proof.on_applied(version);
        }
    }

    fn on_era(&mut self, place: usize, now_ms: u64, news: EraChange, era: Option<StoreEra>) {
        let node = &mut self.nodes[place];
        if let (EraChange::Restored { .. }, Some(era)) = (news, era) {
            node.proof.on_store_restored(moment(now_ms), era);
            node.waits_until = at_ms(now_ms);
        }
    }

    fn learn(&mut self, place: usize, now_ms: u64) {
        let node = &mut self.nodes[place];
        if let Some(age) = node.proof.age(moment(now_ms)) {
            node.follower.on_proof(at_ms(now_ms).saturating_sub(age));
        }
    }

    /// A node hears of a peer that it asked a moment before.
    fn tell(&mut self, place: usize, peer: usize, now_ms: u64) {
        if place == peer || self.is_cut(place, now_ms) || self.is_cut(peer, now_ms) {
            return;
        }
        let from = &self.nodes[peer];
        let era = from.follower.era();
        let answers_count = from.follower.answers_count();
        let told = PeerProof {
            asked: moment(now_ms.saturating_sub(CALL_MS)),
            version: from.in_force,
            age: from.proof.age(moment(now_ms)),
            era,
        };
        let node = &mut self.nodes[place];
        let news = node
            .follower
            .on_peer_state(at_ms(now_ms), era, answers_count);
        self.on_era(place, now_ms, news, era);
        self.nodes[place].proof.on_peer_proof(moment(now_ms), told);
        self.apply(place, told.version);
        self.learn(place, now_ms);
    }

    fn judge(&mut self, place: usize, now_ms: u64) {
        let node = &self.nodes[place];
        let age = node.proof.age(moment(now_ms));
        let accepts = age.is_some_and(|age| age < at_ms(BOUND_MS - MARGIN_MS));
        let confirmed = &self.store.confirmed;
        let due_count = confirmed.partition_point(|confirmed| confirmed.at_ms + BOUND_MS < now_ms);
        if accepts && node.in_force < due_count as RouteVersion {
            self.findings
                .push(format!("{place} accepts an old key at {now_ms}"));
        }
        let is_settled = self.scene.returns.iter().all(|back| {
            let well_ms = back.at_ms + back.rewrite_ms + RECOVERY_MS;
            !(back.at_ms - back.away_ms..well_ms).contains(&now_ms)
        });
        let was_cut =
            self.is_cut(place, now_ms) || self.is_cut(place, now_ms.saturating_sub(RECOVERY_MS));
        if now_ms > RECOVERY_MS && is_settled && !was_cut {
            if !accepts {
                self.findings
                    .push(format!("{place} refuses keys at {now_ms}"));
            }
            let newest = confirmed.partition_point(|confirmed| confirmed.at_ms + 1_000 < now_ms);
            if node.in_force < newest as RouteVersion {
                self.findings.push(format!("{place} is behind at {now_ms}"));
            }
        }
    }

    /// The most calls that began in one second, from a moment on.
    fn most_calls_per_s(&self, from_ms: u64) -> usize {
        let calls: Vec<u64> = { self.calls_ms.iter().copied() }
            .filter(|call| *call >= from_ms)
            .collect();
        let in_a_second = |(place, first): (usize, &u64)| {
            calls[place..].partition_point(|call| *call < first + 1_000)
        };
        calls
            .iter()
            .enumerate()
            .map(in_a_second)
            .max()
            .unwrap_or_default()
    }
}

/// Names each scene in which no key is accepted for too long and all is well soon after.
macro_rules! no_return_is_noticed_by_callers {
    ($($name:ident: $scene:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..6 {
                let mut fleet = Fleet::new($scene, seed);
                fleet.run(20_000);
                let findings = &fleet.findings;
                assert!(findings.is_empty(), "seed {seed}: {:?}", &findings[..findings.len().min(5)]);
            }
        }
    )*};
}

no_return_is_noticed_by_callers! {
    from_a_copy_three_seconds_old: SCENE;
    from_a_copy_of_a_moment_ago: Scene { returns: &[Return { age_ms: 650, ..ONE }], ..SCENE };
    without_time_away: Scene { returns: &[Return { away_ms: 4, ..ONE }], ..SCENE };
    rewritten_at_once: Scene { returns: &[Return { rewrite_ms: 0, ..ONE }], ..SCENE };
    again_and_again: Scene {
        returns: &[
            Return { at_ms: 6_000, ..ONE },
            Return { at_ms: 7_400, away_ms: 200, ..ONE },
            Return { at_ms: 9_000, away_ms: 60, age_ms: 1_000, ..ONE },
            Return { at_ms: 12_000, away_ms: 2_000, age_ms: 2_500, ..ONE },
        ],
        ..SCENE
    };
    with_changes_in_quick_succession: Scene { change_ms: 60, ..SCENE };
    that_brings_the_first_era: Scene { tells_late: true, ..SCENE };
    with_nobody_cut_off: Scene { cut_count: 0, ..SCENE };
}

/// The same nodes, if they take no notice of eras: a read after the return proves what it can't
/// know, and the model shows it.
#[test]
fn nodes_without_eras_accept_keys_that_were_taken_away() {
    let scene = Scene {
        ignores_eras: true,
        ..SCENE
    };
    let accepts = |seed| {
        let mut fleet = Fleet::new(scene, seed);
        fleet.run(20_000);
        fleet
            .findings
            .iter()
            .any(|finding| finding.contains("old key"))
    };
    assert!((0..6).any(accepts));
}

/// Names each return that a fleet of 5,100 sees. Only its readers read anew at once, and nodes whose
/// proofs grow old read one by one. Beside these calls all nodes enter themselves again.
macro_rules! five_thousand_nodes_pay_little {
    ($($name:ident: $returned:expr;)*) => {$(
        #[test]
        fn $name() {
            let scene = Scene {
                nodes_count: 5_100,
                tick_ms: 20,
                returns: &[$returned],
                cut_count: 0,
                change_ms: 1_000,
                ..SCENE
            };
            let mut fleet = Fleet::new(scene, 1);
            fleet.run(18_000);
            let most = fleet.most_calls_per_s(ONE.at_ms - $returned.away_ms);
            assert!(most <= CALLS_PER_S - ENTRIES_PER_S, "{most}");
        }
    )*};
}

five_thousand_nodes_pay_little! {
    for_a_return_after_a_moment: ONE;
    for_a_return_after_four_seconds: Return { away_ms: 4_000, ..ONE };
}
