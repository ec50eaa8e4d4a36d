//! `load`: open-loop load on a node or a backend server.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use eyre::Result;
use kumquatquay_experiments::{
    load::{
        ArrivalPlan, Caller, Generator, LatencyReport, LatencyTable, LoadClass, LoadPhase,
        OperationNaming, Sample,
    },
    report::Table,
};
use serde::Serialize;

use crate::{ExitStatus, exit_status::Failure};

/// Longest load.
const DURATION_LIMIT_S: u64 = 600;

/// Most arrivals a second.
const RATE_LIMIT_PER_S: f64 = 20_000.0;

pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Send open-loop load to an address on this host")
        .long_about(
            "Send requests at random times that don't wait for answers. Latency counts \
             from the time at which a request was to be sent, to a millisecond. The \
             address has to be on loopback.",
        )
        .arg(
            Arg::new("target")
                .long("target")
                .required(true)
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .help("Entry of a node, or a backend server"),
        )
        .arg(number("rate-per-s", "RATE", "50", "Arrivals a second"))
        .arg(number("duration-s", "SECONDS", "10", "How long"))
        .arg(number(
            "timeout-ms",
            "MILLISECONDS",
            "1000",
            "How long each request waits",
        ))
        .arg(text("service", "SERVICE", "Service to call").required(true))
        .arg(text("caller", "NAME", "Caller to be").default_value("load"))
        .arg(
            text(
                "filing",
                "NAMING",
                "Send filings that must not run twice, named so",
            )
            .value_parser(PossibleValuesParser::new(["unnamed", "issued", "own-key"])),
        )
        .arg(super::seed_argument())
        .after_help(
            "Example:\n  kumquatquay load --target 127.0.0.1:7700 --service pitwatch \
             --caller inspector --rate-per-s 50 --duration-s 10",
        )
}

fn number(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    text(name, value, help)
        .default_value(default)
        .value_parser(value_parser!(f64))
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// What the load showed.
#[derive(Debug, Serialize)]
struct LoadReport {
    sent_count: usize,
    endings_count: BTreeMap<String, u64>,
    good_latency: LatencyReport,
    foreign_answers: usize,
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    let target: SocketAddr = *matches.get_one("target").expect("clap requires it");
    let phase = phase_of(matches, target)?;
    let classes = vec![class_of(matches)];
    let ledger = Arc::default();
    let generator = Generator::new(
        Caller::new(vec![target], Arc::clone(&ledger)),
        classes.clone(),
    );
    let plan = ArrivalPlan::new(&classes, &[phase], super::seed_of(matches));
    let samples = generator.run(&plan, |_| {}).await;
    let report = LoadReport {
        sent_count: samples.len(),
        endings_count: endings_of(&samples),
        good_latency: good_latency(&samples),
        foreign_answers: ledger.report().foreign_answers,
    };
    print(matches, &report);
    Ok(if report.foreign_answers == 0 {
        ExitStatus::Done
    } else {
        ExitStatus::Failed
    })
}

/// Checks all bounds and reports what is wrong together.
fn phase_of(matches: &ArgMatches, target: SocketAddr) -> Result<LoadPhase> {
    let duration_s = number_of(matches, "duration-s");
    let rate_per_s = number_of(matches, "rate-per-s");
    let timeout_ms = number_of(matches, "timeout-ms");
    let mut findings = Vec::new();
    if !target.ip().is_loopback() {
        findings.push(format!("--target: {target} is not on loopback"));
    }
    if !(duration_s > 0.0 && duration_s <= DURATION_LIMIT_S as f64) {
        findings.push(format!(
            "--duration-s: give more than 0 and at most {DURATION_LIMIT_S}"
        ));
    }
    if !(rate_per_s > 0.0 && rate_per_s <= RATE_LIMIT_PER_S) {
        findings.push(format!(
            "--rate-per-s: give more than 0 and at most {RATE_LIMIT_PER_S}"
        ));
    }
    if !(timeout_ms >= 1.0 && timeout_ms <= DURATION_LIMIT_S as f64 * 1000.0) {
        findings.push(format!(
            "--timeout-ms: give 1 to {}",
            DURATION_LIMIT_S * 1000
        ));
    }
    if !findings.is_empty() {
        return Err(Failure::new(ExitStatus::Usage, findings.join("; ")).into());
    }
    Ok(LoadPhase {
        duration: Duration::from_secs_f64(duration_s),
        load_factor: 1.0,
    })
}

fn class_of(matches: &ArgMatches) -> LoadClass {
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let class = LoadClass::new(text("caller"), text("service"))
        .rate_per_s(number_of(matches, "rate-per-s"))
        .timeout(Duration::from_secs_f64(
            number_of(matches, "timeout-ms") / 1000.0,
        ));
    match text("filing").as_str() {
        "unnamed" => class.filing(OperationNaming::Unnamed),
        "issued" => class.filing(OperationNaming::Issued),
        "own-key" => class.filing(OperationNaming::OwnKey),
        _ => class,
    }
}

fn number_of(matches: &ArgMatches, name: &str) -> f64 {
    *matches.get_one(name).expect("it has a default")
}

fn endings_of(samples: &[Sample]) -> BTreeMap<String, u64> {
    let mut endings = BTreeMap::new();
    for sample in samples {
        let name = match &sample.reason {
            Some(reason) => format!("{:?} ({reason})", sample.ending),
            None => format!("{:?}", sample.ending),
        };
        *endings.entry(name.to_lowercase()).or_default() += 1;
    }
    endings
}

fn good_latency(samples: &[Sample]) -> LatencyReport {
    let good = samples.iter().filter(|sample| sample.is_good());
    good.map(|sample| sample.latency)
        .collect::<LatencyTable>()
        .report()
}

fn print(matches: &ArgMatches, report: &LoadReport) {
    if super::is_json(matches) {
        let json = serde_json::to_string(report).expect("a report is always JSON");
        println!("{json}");
        return;
    }
    let mut table = Table::new(["ending", "requests"]);
    for (ending, count) in &report.endings_count {
        table.row([ending.clone(), count.to_string()]);
    }
    print!("{table}");
    let latency = report.good_latency;
    println!(
        "latency of good ones: p50 {} ms, p90 {} ms, p99 {} ms, p99.9 {} ms, longest {} ms",
        latency.p50_ms, latency.p90_ms, latency.p99_ms, latency.p999_ms, latency.max_ms
    );
    if report.foreign_answers > 0 {
        eprintln!(
            "error: {} answers were not the caller's own",
            report.foreign_answers
        );
    }
}
