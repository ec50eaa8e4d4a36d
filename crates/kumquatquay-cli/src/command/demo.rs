//! `demo`: two deployments in one process, with and without control.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};
use kumquatquay_experiments::{
    demo::{DemoResult, demo_table, run_demo},
    load::Progress,
    report::{Curve, write_plot},
    scenario::Arm,
};

use crate::ExitStatus;

pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Run two small deployments through a surge, with and without control")
        .long_about(
            "Run the log, two deployments and their nodes on loopback in this process. \
             Load is normal, surges to twice what the deepest service can run, and is \
             normal again; first with all control switched off, then with all of it.\n\n\
             Exits with 1 if a promise was broken: an answer that was not the caller's \
             own, an operation that ran twice, or a request that ran after its caller \
             was told that it did not.",
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write goodput over time as SVG"),
        )
        .arg(super::seed_argument())
        .after_help("Example:\n  kumquatquay demo --plot surge.svg")
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    let seed = super::seed_of(matches);
    let bar = progress_bar();
    let watch = |arm: Arm, progress: Progress| {
        bar.set_message(format!("control: {arm}"));
        bar.set_length(progress.total.as_millis() as u64);
        bar.set_position(progress.elapsed.as_millis() as u64);
    };
    let result = run_demo(seed, &watch).await?;
    bar.finish_and_clear();
    print!("{}", demo_table(&result));
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot(path, &result)?;
    }
    if result.is_kept() {
        return Ok(ExitStatus::Done);
    }
    eprintln!("error: a promise was broken");
    Ok(ExitStatus::Failed)
}

/// Shows only on a terminal.
fn progress_bar() -> ProgressBar {
    let style = ProgressStyle::with_template("{msg:20} [{bar:40}] {percent:>3} %");
    let style = style.expect("the template is a constant");
    ProgressBar::new(1).with_style(style)
}

fn plot(path: &Path, result: &DemoResult) -> Result<()> {
    let Some(first) = result.arms.first() else {
        return Ok(());
    };
    let of_first = result
        .arms
        .iter()
        .filter(|arm| arm.deployment == first.deployment);
    let curves = of_first.map(|arm| Curve {
        name: format!("control: {}", arm.arm),
        points: arm.report.series.clone(),
    });
    let title = format!("{}: a surge to twice the capacity", first.deployment);
    write_plot(path, &title, &curves.collect::<Vec<_>>())?;
    println!("wrote {}", path.display());
    Ok(())
}
