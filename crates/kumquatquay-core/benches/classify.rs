//! What it costs to classify a call by the intents in force, and to take in a
//! change, with as many services as a large deployment has.

#![allow(
    missing_docs,
    reason = "the macro of criterion makes an undocumented function"
)]

use std::{
    hint::black_box,
    time::{Duration, SystemTime},
};

use criterion::{Criterion, criterion_group, criterion_main};
use kumquatquay_core::{Input, LogInput, LogRecord, Moment, Node, NodeSettings, Output};
use kumquatquay_wire::{
    ConfigurationChange, ConfigurationRecord, Intent, IntentChange, MeshKey, Priority, RoutePattern,
};

const SERVICES_COUNT: u64 = 430;
const CALLERS_COUNT: usize = 10;

fn moment(ms: u64) -> Moment {
    let since_start = Duration::from_millis(ms);
    Moment {
        monotonic: since_start,
        wall: SystemTime::UNIX_EPOCH + since_start,
    }
}

fn intent(service: u64) -> Intent {
    let mut intent = Intent::new(format!("service-{service}"));
    for caller in 0..CALLERS_COUNT {
        intent = intent.priority(Priority::caller(format!("caller-{caller}")));
    }
    intent
        .priority(Priority::any_caller().route("GET", "/status"))
        .limit("survey-bot", 50)
        .idempotency(RoutePattern::new("POST", "/settlements"), false)
}

fn record(key: &MeshKey, offset: u64) -> LogRecord {
    let service = offset % SERVICES_COUNT;
    let change = ConfigurationChange {
        id: offset,
        intents: vec![IntentChange {
            service: format!("service-{service}"),
            base: offset.checked_sub(SERVICES_COUNT),
            intent: Some(intent(service)),
        }],
        operator: String::from("mei"),
        confirmed_unix_ms: 0,
    };
    LogRecord {
        offset,
        appended_unix_ms: 0,
        bytes: ConfigurationRecord::Change(change).to_bytes(key),
    }
}

/// A node that follows the log and asks for the record at `offset`.
fn asks(node: &mut Node, ms: u64) -> Option<u64> {
    let outputs = node.handle(moment(ms), Input::Tick);
    outputs.into_iter().find_map(|output| match output {
        Output::Read { read, stream, .. } if stream == ConfigurationRecord::STREAM => Some(read),
        _ => None,
    })
}

fn give(node: &mut Node, ms: u64, read: u64, records: Vec<LogRecord>, next_offset: u64) {
    let input = LogInput::Read {
        read,
        stream: String::from(ConfigurationRecord::STREAM),
        records,
        oldest_offset: 0,
        next_offset,
        era: None,
    };
    node.handle(moment(ms), input.into());
}

fn node_with_intents(key: &MeshKey) -> (Node, u64) {
    let mut node = Node::new(
        NodeSettings::new(
            "hall-a",
            "127.0.0.1:7000".parse().unwrap(),
            "127.0.0.1:7001".parse().unwrap(),
            key.clone(),
        )
        .random_seed(7),
    );
    let mut ms = 1_000;
    let read = loop {
        ms += 10;
        if let Some(read) = asks(&mut node, ms) {
            break read;
        }
    };
    let records = (0..SERVICES_COUNT).map(|offset| record(key, offset));
    give(&mut node, ms, read, records.collect(), SERVICES_COUNT);
    assert_eq!(node.configuration_version(), Some(SERVICES_COUNT - 1));
    (node, ms)
}

fn classify(criterion: &mut Criterion) {
    let key = MeshKey::from_secret("secret");
    let (node, _) = node_with_intents(&key);
    let mut group = criterion.benchmark_group("classify");
    group.bench_function("named caller", |bencher| {
        bencher.iter(|| {
            node.class_of(
                black_box("caller-7"),
                "service-200",
                "POST",
                "/settlements/7",
            )
        });
    });
    group.bench_function("any caller", |bencher| {
        bencher.iter(|| node.class_of(black_box("somebody"), "service-200", "GET", "/status"));
    });
    group.bench_function("service without intent", |bencher| {
        bencher.iter(|| node.class_of(black_box("somebody"), "service-999", "GET", "/status"));
    });
    group.finish();
}

fn take_in(criterion: &mut Criterion) {
    let key = MeshKey::from_secret("secret");
    let (mut node, mut ms) = node_with_intents(&key);
    let mut offset = SERVICES_COUNT;
    criterion.bench_function("take in a change", |bencher| {
        bencher.iter(|| {
            let read = loop {
                ms += 10;
                if let Some(read) = asks(&mut node, ms) {
                    break read;
                }
            };
            give(&mut node, ms, read, vec![record(&key, offset)], offset + 1);
            offset += 1;
        });
    });
    assert_eq!(node.configuration_version(), Some(offset - 1));
}

criterion_group!(benches, classify, take_in);
criterion_main!(benches);
