//! Scripted scenarios, in `scenarios/`.

use std::{collections::BTreeMap, fmt::Write as _};

use crate::support::{Backend, LogMode, Mesh, Request};
use datadriven::TestCase;
use kumquatquay_core::{Input, Policy};
use kumquatquay_wire::{OperatorCommand, OperatorReply};

/// One scenario under way.
#[derive(Default)]
struct Scenario {
    mesh: Option<Mesh>,
    keys: BTreeMap<String, String>,
    told_count: usize,
    told_runs_count: usize,
}

impl Scenario {
    fn command(&mut self, case: &TestCase) -> String {
        let arguments = Arguments(case);
        if case.directive == "mesh" {
            let data_centres = &case.args["data-centres"];
            let data_centres: Vec<&str> = data_centres.iter().map(String::as_str).collect();
            self.mesh = Some(Mesh::new(&data_centres, Policy::all()));
            self.keys.clear();
            (self.told_count, self.told_runs_count) = (0, 0);
            return String::from("ok\n");
        }
        let mut said = String::new();
        let mesh = self.mesh.as_mut().expect("a mesh comes first");
        let node = || arguments.number("node").expect("node=") as usize;
        match case.directive.as_str() {
            "issue" => {
                let caller = arguments.text("caller").unwrap_or("foreman");
                let id = mesh.issue(node(), caller);
                self.keys.insert(arguments.text("id").unwrap().into(), id);
            }
            "send" => {
                let request = request(mesh, &mut self.keys, &arguments);
                let times = arguments.number("times").unwrap_or(1);
                for _ in 0..times {
                    mesh.send(node(), request.clone());
                }
                if !arguments.has("together") {
                    mesh.settle();
                }
            }
            "send-many" => {
                let count = arguments.number("count").unwrap();
                let request = request(mesh, &mut self.keys, &arguments);
                for number in 0..count {
                    let body = format!("{}{number}", request.body);
                    mesh.send(
                        node(),
                        Request {
                            body,
                            ..request.clone()
                        },
                    );
                    mesh.settle();
                }
                said += &self.summary();
                return said;
            }
            "quarantine-count" => {
                let listed = quarantine(mesh, node());
                let suspects_count = listed.matches("suspect").count();
                writeln!(said, "{suspects_count} suspects").unwrap();
            }
            "settle" => mesh.settle(),
            "advance" => mesh.advance(arguments.number("ms").unwrap()),
            "log" => {
                mesh.log_mode = match arguments.text("mode").unwrap() {
                    "up" => LogMode::Up,
                    "down" => LogMode::Down,
                    "loses-answers" => LogMode::LosesAnswers,
                    "silent" => LogMode::Silent,
                    "delays" => LogMode::Delays,
                    other => panic!("unknown mode {other}"),
                }
            }
            "delay-calls" => mesh.hosts[node()].is_deaf = true,
            "deliver-calls" => {
                mesh.hosts[node()].is_deaf = false;
                mesh.settle();
            }
            "land" => mesh.land(),
            "tick" => {
                mesh.give(node(), Input::Tick);
                mesh.settle();
            }
            "append-junk" => mesh.append_junk(),
            "come-back" => {
                mesh.log
                    .come_back_without(arguments.number("lost").unwrap() as usize);
            }
            "expire-log" => mesh.log.expire(),
            "cut-log" => {
                mesh.log_cuts.insert(node());
            }
            "cut" => {
                let (one, other) = (node(), arguments.number("from").unwrap() as usize);
                mesh.cuts.insert((one.min(other), one.max(other)));
            }
            "heal" => {
                mesh.cuts.clear();
                mesh.log_cuts.clear();
            }
            "backend" => {
                mesh.hosts[node()].backend = match arguments.text("mode").unwrap() {
                    "answers" => Backend::Answers,
                    "loses-answers" => Backend::LosesAnswers,
                    "fails" => Backend::Fails,
                    "refuses" => Backend::Refuses,
                    "holds" => Backend::Holds,
                    other => panic!("unknown mode {other}"),
                }
            }
            "answer" => {
                mesh.answer_held(node());
                mesh.settle();
            }
            "notice-deaths" => mesh.notice_after_ms = arguments.number("after-ms").unwrap(),
            "tell-deaths-first" => mesh.tells_deaths_first = true,
            "poison" => mesh.poison = arguments.text("body").map(String::from),
            "pause" => mesh.hosts[node()].is_paused = true,
            "wake" => {
                mesh.hosts[node()].is_paused = false;
                mesh.settle();
            }
            "settle-claim" => {
                mesh.settle_claim(node());
                mesh.hosts[node()].is_paused = true;
            }
            "kill" => {
                mesh.kill(node());
                mesh.settle();
            }
            "replace" => {
                mesh.replace(node());
                mesh.settle();
            }
            "quarantine" => said += &quarantine(mesh, node()),
            "release" => said += &release(mesh, node()),
            "crashes" => writeln!(said, "{} backend servers died", mesh.crashes_count()).unwrap(),
            "appends" => writeln!(said, "{} appends", mesh.log.appends_count).unwrap(),
            other => panic!("unknown directive {other}"),
        }
        self.tell(&mut said);
        said
    }

    /// Says how many sends ended in which way since the last command.
    fn summary(&mut self) -> String {
        let Some(mesh) = &self.mesh else {
            return String::new();
        };
        let mut counts = BTreeMap::new();
        for (_, ending) in mesh.told_since(self.told_count) {
            *counts.entry(ending.outcome().to_string()).or_insert(0) += 1;
        }
        let runs_count = mesh.runs.len() - self.told_runs_count;
        self.told_count = mesh.ended.len();
        self.told_runs_count = mesh.runs.len();
        format!("{runs_count} runs, endings {counts:?}\n")
    }

    /// Says which sends ended and what ran since the last command.
    fn tell(&mut self, said: &mut String) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        for (body, host) in &mesh.runs[self.told_runs_count..] {
            writeln!(said, "{body} runs at {host}").unwrap();
        }
        self.told_runs_count = mesh.runs.len();
        for (send, ending) in mesh.told_since(self.told_count) {
            writeln!(said, "send {send}: {ending}").unwrap();
        }
        self.told_count = mesh.ended.len();
        if said.is_empty() {
            said.push_str("ok\n");
        }
    }
}

/// Arguments of a command.
struct Arguments<'a>(&'a TestCase);

impl Arguments<'_> {
    fn text(&self, name: &str) -> Option<&str> {
        self.0.args.get(name)?.first().map(String::as_str)
    }

    fn number(&self, name: &str) -> Option<u64> {
        let text = self.text(name)?;
        Some(
            text.parse()
                .unwrap_or_else(|_| panic!("{name} is no number: {text}")),
        )
    }

    fn has(&self, name: &str) -> bool {
        self.0.args.contains_key(name)
    }
}

fn request(mesh: &Mesh, keys: &mut BTreeMap<String, String>, arguments: &Arguments<'_>) -> Request {
    let age_ms = arguments.number("age-ms").unwrap_or_default();
    let key = arguments.text("key").map(|name| {
        let made = || mesh.key(name, age_ms);
        keys.entry(String::from(name)).or_insert_with(made).clone()
    });
    let id = arguments.text("id").map(|name| {
        let made = || String::from(name);
        keys.entry(String::from(name)).or_insert_with(made).clone()
    });
    let mut request = Request::filing(arguments.text("body").unwrap_or("filing"));
    request.key = arguments.text("raw-key").map(String::from).or(key);
    request.id = id;
    request.caller = arguments.text("caller").unwrap_or("foreman").into();
    request.method = arguments.text("method").unwrap_or("POST").into();
    request.time_allowed_ms = arguments.number("ms").unwrap_or(2_000);
    request
}

fn quarantine(mesh: &mut Mesh, node: usize) -> String {
    let OperatorReply::Quarantine { records } = mesh.operate(node, OperatorCommand::QuarantineList)
    else {
        panic!("a node lists its quarantine");
    };
    let mut said = String::new();
    for record in records {
        let state = if record.evidence().is_quarantined() {
            "quarantined"
        } else {
            "suspect"
        };
        let evidence = record.evidence();
        let (crashes, score) = (evidence.crashes_count, evidence.score_milli);
        writeln!(said, "{state} crashes={crashes} score={score}").unwrap();
    }
    if said.is_empty() {
        said.push_str("none\n");
    }
    said
}

/// Releases the first quarantined request.
fn release(mesh: &mut Mesh, node: usize) -> String {
    let OperatorReply::Quarantine { records } = mesh.operate(node, OperatorCommand::QuarantineList)
    else {
        panic!("a node lists its quarantine");
    };
    let record = records.first().expect("something is quarantined");
    let reply = mesh.operate(
        node,
        OperatorCommand::QuarantineRelease {
            service: String::from(record.services()[0]),
            fingerprint: record.fingerprint,
        },
    );
    match reply {
        OperatorReply::Done { .. } => String::from("released\n"),
        other => format!("{other:?}\n"),
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/operations/scenarios", |file| {
        let mut scenario = Scenario::default();
        file.run(|case| scenario.command(case));
    });
}
