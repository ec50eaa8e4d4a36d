//! Properties over random faults, bytes and orders.

use std::collections::BTreeMap;

use kumquatquay_core::{Input, LogInput, LogRecord, Policy};
use kumquatquay_wire::{
    ControlBody, Crash, Datagram, OperatorCommand, OperatorReply, Outcome, QuarantineRecord, Rumour,
};
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::support::{Backend, Event, LogMode, Mesh, Request, control_of};

const KEYS_COUNT: usize = 4;

const SEED: u64 = 20_261_202;

/// The same cases in every run.
fn seeded(size: usize, tests_count: u64) -> QuickCheck {
    let random = Gen::from_size_and_seed(size, SEED);
    QuickCheck::new().rng(random).tests(tests_count)
}

/// What happens next, drawn from two bytes.
fn act(mesh: &mut Mesh, ids: &[String], what: u8, which: u8) {
    let host = usize::from(which) % mesh.hosts.len();
    let key = usize::from(which / 8) % KEYS_COUNT;
    match what % 16 {
        0..=2 => {
            mesh.send(host, keyed(mesh, key));
        }
        3 | 4 => {
            let body = format!("issued{key}");
            let id = Some(ids[key].clone());
            mesh.send(
                host,
                Request {
                    id,
                    ..Request::filing(&body)
                },
            );
        }
        5..=9 => happen(mesh, usize::from(which)),
        10 => mesh.advance(u64::from(which) * 20),
        11 => mesh.replace(host),
        12 => {
            let modes = [
                LogMode::Up,
                LogMode::Down,
                LogMode::LosesAnswers,
                LogMode::Silent,
            ];
            mesh.log_mode = modes[usize::from(which) % 4];
        }
        13 => {
            let modes = [
                Backend::Answers,
                Backend::LosesAnswers,
                Backend::Fails,
                Backend::Refuses,
                Backend::Holds,
            ];
            mesh.hosts[host].backend = modes[usize::from(which / 8) % 5];
        }
        14 => {
            let other = (host + 1) % mesh.hosts.len();
            mesh.cuts = [(host.min(other), host.max(other))].into();
        }
        _ => {
            mesh.cuts.clear();
            mesh.hosts[host].is_paused = !mesh.hosts[host].is_paused;
        }
    }
}

fn keyed(mesh: &Mesh, key: usize) -> Request {
    let now_ms = mesh.now_ms;
    Request {
        key: Some(mesh.key(&format!("k{key}"), now_ms)),
        ..Request::filing(&format!("keyed{key}"))
    }
}

/// Any pending event may be next; an append may be copied and land again later.
fn happen(mesh: &mut Mesh, which: usize) {
    if mesh.pending.is_empty() {
        return;
    }
    let place = which % mesh.pending.len();
    if let (Event::Append { stream, record, .. }, true) =
        (&mesh.pending[place], which.is_multiple_of(3))
    {
        let copy = Event::LateAppend {
            stream: stream.clone(),
            record: record.clone(),
        };
        mesh.pending.push(copy);
    }
    mesh.happen(place);
}

/// Three nodes, eight operations, any faults in any order: no operation runs
/// twice, nobody is told that one did not run that had, and every send ends.
fn holds_under(acts: Vec<(u8, u8)>) -> TestResult {
    let mut mesh = Mesh::new(&["a", "a", "b"], Policy::all());
    let ids: Vec<String> = (0..KEYS_COUNT)
        .map(|key| mesh.issue(key % 3, "foreman"))
        .collect();
    let mut seen_count = 0;
    for (what, which) in acts {
        act(&mut mesh, &ids, what, which);
        for (send, ending) in mesh.told_since(seen_count) {
            let body = mesh.body_of(send);
            if ending.outcome() == Outcome::NotRun && mesh.runs_of(&body) > 0 {
                return TestResult::error(format!("{body} ran, send {send} is told {ending}"));
            }
        }
        seen_count = mesh.ended.len();
    }
    mesh.log_mode = LogMode::Up;
    mesh.cuts.clear();
    for host in 0..mesh.hosts.len() {
        mesh.hosts[host].is_paused = false;
        mesh.answer_held(host);
        mesh.hosts[host].backend = Backend::Answers;
    }
    mesh.settle();
    mesh.advance_by(15_000, 500);
    let mut counts = BTreeMap::new();
    for (body, _) in &mesh.runs {
        *counts.entry(body).or_insert(0) += 1;
    }
    if counts.values().any(|count| *count > 1) {
        return TestResult::error(format!("ran twice: {counts:?}"));
    }
    if mesh.endings.len() != mesh.sends_count {
        return TestResult::error("a send got no ending");
    }
    TestResult::passed()
}

#[test]
fn no_operation_runs_twice_under_random_faults() {
    seeded(80, 600).quickcheck(holds_under as fn(Vec<(u8, u8)>) -> TestResult);
}

/// Any text in place of an issued id is refused, and a changed id too.
fn refuses_forged_ids(place: usize, byte: u8, text: String) -> bool {
    let mut mesh = Mesh::new(&["a"], Policy::all());
    let id = mesh.issue(0, "foreman");
    let mut changed = id.clone().into_bytes();
    let place = place % changed.len();
    changed[place] = byte;
    let changed = String::from_utf8_lossy(&changed).into_owned();
    for forged in [changed, text] {
        if forged == id {
            continue;
        }
        let id = Some(forged);
        let send = mesh.send(
            0,
            Request {
                id,
                ..Request::filing("royalty")
            },
        );
        mesh.settle();
        if mesh.endings[&send].outcome() != Outcome::NotRun {
            return false;
        }
    }
    mesh.runs.is_empty()
}

#[test]
fn forged_ids_run_nothing() {
    seeded(40, 100).quickcheck(refuses_forged_ids as fn(usize, u8, String) -> bool);
}

/// Records that others append to a claim stream, whole or cut, change nothing.
fn ignores_foreign_records(records: Vec<Vec<u8>>, cut: usize) -> bool {
    let mut mesh = Mesh::new(&["a"], Policy::all());
    let request = keyed(&mesh, 0);
    mesh.send(0, request.clone());
    mesh.settle_uncontended();
    mesh.settle_claim(0);
    let stream = mesh
        .log
        .streams
        .keys()
        .next()
        .expect("a claim was appended")
        .clone();
    let genuine = mesh.log.streams[&stream][0].bytes.clone();
    let cut = genuine[..cut % genuine.len()].to_vec();
    for record in records.into_iter().chain([cut]) {
        mesh.log.append(&stream, 0, record);
    }
    mesh.settle();
    mesh.runs.len() == 1
}

#[test]
fn foreign_records_in_a_claim_stream_change_nothing() {
    let check: fn(Vec<Vec<u8>>, usize) -> bool = ignores_foreign_records;
    seeded(40, 100).quickcheck(check);
}

/// An answer of the log that nobody waits for changes nothing.
#[test]
fn late_answers_of_the_log_are_ignored() {
    let mut mesh = Mesh::new(&["a"], Policy::all());
    let record = LogRecord {
        offset: 7,
        appended_unix_ms: 0,
        bytes: Vec::new(),
    };
    let late = [
        LogInput::Appended {
            append: 99,
            offset: 7,
        },
        LogInput::AppendOutcomeUnknown { append: 99 },
        LogInput::Read {
            read: 99,
            stream: String::from("claims-1"),
            records: vec![record],
            oldest_offset: 7,
            next_offset: 8,
            era: None,
        },
    ];
    for input in late {
        mesh.give(0, Input::Log(input));
    }
    mesh.send(0, keyed(&mesh, 0));
    mesh.settle();
    assert_eq!(mesh.runs.len(), 1);
}

fn record_of(seed: u8) -> QuarantineRecord {
    let crash = |id: u64| Crash {
        id,
        service: String::from("settlement"),
        score_milli: 500,
        is_cleared: (u64::from(seed) >> id) & 1 == 1,
    };
    let first = u64::from(seed % 3);
    QuarantineRecord {
        fingerprint: u64::from(seed / 64),
        crashes: vec![crash(first), crash(first + 1)],
        ran_at: Vec::new(),
        remaining_ms: 60_000,
    }
}

fn listed_after(records: &[QuarantineRecord]) -> Vec<(u64, usize)> {
    let mut mesh = Mesh::new(&["a"], Policy::all());
    for (place, record) in records.iter().enumerate() {
        let datagram = Datagram {
            sender: control_of(100),
            incarnation: 1,
            sequence: place as u64 + 1,
            body: ControlBody::Gossip,
            rumours: vec![Rumour::Quarantine(record.clone())],
        };
        mesh.give(0, Input::Datagram(datagram));
    }
    let reply = mesh.operate(0, OperatorCommand::QuarantineList);
    let OperatorReply::Quarantine { records } = reply else {
        panic!("a node lists its quarantine");
    };
    let mut listed: Vec<_> = records
        .iter()
        .map(|record| (record.fingerprint, record.evidence().crashes_count))
        .collect();
    listed.sort_unstable();
    listed
}

/// News of crashes give the same quarantine in every order, however often they
/// are told.
fn order_does_not_matter(seeds: Vec<u8>) -> bool {
    let records: Vec<_> = seeds.iter().map(|seed| record_of(*seed)).collect();
    let mut reversed = records.clone();
    reversed.reverse();
    let twice: Vec<_> = records.iter().chain(&records).cloned().collect();
    let listed = listed_after(&records);
    listed == listed_after(&reversed) && listed == listed_after(&twice)
}

#[test]
fn news_of_crashes_commute() {
    seeded(20, 100).quickcheck(order_does_not_matter as fn(Vec<u8>) -> bool);
}
