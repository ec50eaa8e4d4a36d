//! `experiment`: named experiments.

use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use kumquatquay_experiments::{
    catalogue,
    config_spread::run_spread,
    engine::run_arm,
    overhead::{OverheadSettings, run_overhead},
    report::{ExperimentReport, measures_table, to_markdown},
    scenario::{Arm, Scenario},
};

use kumquatquay_standins::LogFault;

use crate::{ExitStatus, exit_status::Failure};

/// Most seeds of one call.
const SEEDS_LIMIT_COUNT: u64 = 20;

pub(crate) fn command() -> Command {
    Command::new("experiment")
        .about("Run a named experiment on loopback, with its arms in one run")
        .long_about(
            "Run a named experiment in this process. The last line that --json prints is \
             one JSON object with the measures of each arm. Exits with 1 if a promise was \
             broken.",
        )
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the experiments"))
        .subcommand(report_command())
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .help("The experiment"),
        )
        .arg(super::seed_argument())
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("COUNT")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..=SEEDS_LIMIT_COUNT))
                .help("Runs with seeds that follow each other; prints medians and ranges"),
        )
        .arg(
            Arg::new("arm")
                .long("arm")
                .value_name("ARM")
                .action(ArgAction::Append)
                .value_parser(|text: &str| arm_of(text))
                .help("Only this arm: none, gate, gate-levels or all; may be repeated"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object on the last line"),
        )
        .after_help(
            "Examples:\n  kumquatquay experiment list\n  \
             kumquatquay experiment deep-slowdown --seed 1 --seeds 3 --json",
        )
}

fn arm_of(text: &str) -> Result<Arm, String> {
    let names = Arm::ALL.map(|arm| arm.to_string()).join(", ");
    text.parse().map_err(|_| format!("the arms are {names}"))
}

fn report_command() -> Command {
    Command::new("report")
        .about("Render the JSON of an experiment as Markdown, with a plot beside it")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File whose last line is the JSON"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write goodput over time as SVG"),
        )
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    match matches.subcommand() {
        Some(("list", _)) => {
            list();
            Ok(ExitStatus::Done)
        }
        Some(("report", matches)) => render(matches),
        _ => run_named(matches).await,
    }
}

fn list() {
    println!(
        "{:<18} time added to a call by two nodes",
        catalogue::OVERHEAD
    );
    println!(
        "{:<18} time until a change is in force everywhere",
        catalogue::CONFIG_SPREAD
    );
    for scenario in catalogue::scenarios() {
        println!("{:<18} {}", scenario.name, scenario.summary);
    }
}

async fn run_named(matches: &ArgMatches) -> Result<ExitStatus> {
    let name = matches.get_one::<String>("name").expect("clap requires it");
    let seed = super::seed_of(matches);
    let seeds_count = *matches.get_one::<u64>("seeds").expect("it has a default");
    let report = match name.as_str() {
        catalogue::OVERHEAD => measure_overhead(seed, seeds_count).await?,
        catalogue::CONFIG_SPREAD => measure_spread(seed, seeds_count).await?,
        _ => {
            let scenario = catalogue::get_scenario(name).ok_or_else(|| unknown(name))?;
            run_scenario(matches, scenario, seed, seeds_count).await?
        }
    };
    if matches.get_flag("json") || super::is_json(matches) {
        println!("{}", report.to_json());
    } else {
        print!("{}", measures_table(&report));
    }
    if report.is_kept {
        return Ok(ExitStatus::Done);
    }
    eprintln!("error: a promise was broken");
    Ok(ExitStatus::Failed)
}

fn unknown(name: &str) -> Failure {
    let message = format!("no experiment is named {name}; see `kumquatquay experiment list`");
    Failure::new(ExitStatus::Usage, message)
}

async fn measure_overhead(seed: u64, seeds_count: u64) -> Result<ExperimentReport> {
    let mut runs = Vec::new();
    for seed in seed..seed + seeds_count {
        let settings = OverheadSettings {
            pairs_count: 5000,
            calls_count: 8000,
            seed,
        };
        runs.push(serde_json::to_value(run_overhead(settings).await?)?);
    }
    let mut report = ExperimentReport::new(catalogue::OVERHEAD, seed, seeds_count);
    report.add_values(Arm::All.to_string(), &runs);
    Ok(report)
}

/// The arms are states of the log.
async fn measure_spread(seed: u64, seeds_count: u64) -> Result<ExperimentReport> {
    let slow = LogFault::Slow(Duration::from_millis(500));
    let mut report = ExperimentReport::new(catalogue::CONFIG_SPREAD, seed, seeds_count);
    for (arm, fault) in [("log-up", LogFault::None), ("log-slow", slow)] {
        let mut runs = Vec::new();
        for seed in seed..seed + seeds_count {
            let run = run_spread(seed, fault).await?;
            report.is_kept &= run.reverts == 0;
            runs.push(serde_json::to_value(run)?);
        }
        report.add_values(arm, &runs);
    }
    Ok(report)
}

/// Runs the arms one after the other for each seed, so that slow changes of
/// the machine hit all of them.
async fn run_scenario(
    matches: &ArgMatches,
    scenario: Scenario,
    seed: u64,
    seeds_count: u64,
) -> Result<ExperimentReport> {
    let chosen = matches.get_many::<Arm>("arm");
    let arms: Vec<Arm> = chosen.map_or(scenario.arms.clone(), |arms| arms.copied().collect());
    let mut runs = vec![Vec::new(); arms.len()];
    for seed in seed..seed + seeds_count {
        for (arm, runs) in arms.iter().zip(&mut runs) {
            eprintln!("{}: arm {arm}, seed {seed}", scenario.name);
            runs.push(run_arm(&scenario, *arm, seed, &|_, _| {}).await?.report);
        }
    }
    let mut report = ExperimentReport::new(&scenario.name, seed, seeds_count);
    for (arm, runs) in arms.iter().zip(&runs) {
        report.add_arm(arm.to_string(), runs);
    }
    Ok(report)
}

fn render(matches: &ArgMatches) -> Result<ExitStatus> {
    let file = matches
        .get_one::<PathBuf>("file")
        .expect("clap requires it");
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("{} can't be read", file.display()))?;
    let last = text.lines().last().unwrap_or_default();
    let report: ExperimentReport = serde_json::from_str(last)
        .wrap_err_with(|| format!("the last line of {} is no report", file.display()))?;
    print!("{}", to_markdown(&report));
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        report.write_plot(path)?;
    }
    Ok(ExitStatus::Done)
}
