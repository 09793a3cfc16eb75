//! Runs the scenarios of docs/MEASUREMENTS.md in real time, with mothplank's processes on loopback
//! and fake upstreams, and runs the baseline policy under the same load.
//!
//! `cargo run --release -p mothplank-standins --example scenarios -- --binary PATH`

mod cases;
#[path = "../common/mod.rs"]
mod common;
mod document;
mod overhead;
mod processes;
mod result_row;
mod sizes;
mod upstreams;

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use standins::load::{self, Policy, Report, Scenario};
use tokio::time::sleep_until;
use types::{Millis, StepResult};

use cases::{Case, Event};
use processes::Processes;
use result_row::ResultRow;
use sizes::Size;
use upstreams::Upstreams;

/// The time in which fakes finish calls in flight before their work is counted.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The time in which the entries learn about all upstreams before the load starts.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

#[tokio::main]
async fn main() -> StepResult<()> {
    env_logger::init();
    let args = command().get_matches();
    let binary = args.get_one::<PathBuf>("binary");
    let out = args.get_one::<PathBuf>("out").cloned().unwrap_or_else(|| "target/scenarios".into());
    std::fs::create_dir_all(&out).map_err(|e| types::StepError::new("create folder", e))?;
    if args.get_flag("overhead") {
        let Some(binary) = binary else {
            return Err(types::StepError::new("read arguments", "--overhead needs --binary"));
        };
        return overhead::run(binary, &out).await;
    }
    print_line(&ResultRow::header());
    for size in Size::ALL.iter().filter(|it| chosen(&args, "size", it.name)) {
        for case in cases::all(size).iter().filter(|it| chosen(&args, "only", it.name)) {
            if let Some(binary) = binary.filter(|_| chosen(&args, "policy", "mothplank")) {
                print_line(&mothplank(binary, &out, size, case).await?);
            }
            if chosen(&args, "policy", "baseline") {
                print_line(&baseline(&out, size, case).await?);
            }
        }
    }
    Ok(())
}

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let path = || value_parser!(PathBuf);
    Command::new("scenarios")
        .about("Runs the load scenarios, each under mothplank and under the baseline")
        .arg(
            option("binary", "The mothplank program; without it only the baseline runs")
                .value_parser(path()),
        )
        .arg(option("out", "The folder for CSV and SVG files and logs").value_parser(path()))
        .arg(option("only", "Cases, by name").value_delimiter(','))
        .arg(option("size", "association or utility").value_delimiter(','))
        .arg(option("policy", "mothplank or baseline").value_delimiter(','))
        .arg(
            option("overhead", "Measure only what an entry adds to a call")
                .action(clap::ArgAction::SetTrue),
        )
}

fn chosen(args: &ArgMatches, option: &str, name: &str) -> bool {
    let Some(mut names) = args.get_many::<String>(option) else { return true };
    names.any(|it| it == name)
}

#[allow(clippy::print_stdout)]
fn print_line(line: &str) {
    println!("{line}");
}

/// Runs a case under mothplank and returns its row of the table.
async fn mothplank(binary: &Path, out: &Path, size: &Size, case: &Case) -> StepResult<String> {
    let upstreams = Upstreams::spawn(size).await?;
    let text = document::build(size, &upstreams);
    let processes = Processes::start(binary, out, &text).await?;
    tokio::time::sleep(WARM_UP_TIME).await;
    let mut scenario = scenario(size, case, "mothplank");
    scenario.entries = processes.entries().to_vec();
    let report = run_with_events(&scenario, case, &upstreams, Some(&processes)).await?;
    print_line(&processes.usage());
    print_line(&processes.request_counts().await);
    write_results(&report, out, size, case, &upstreams).await
}

/// Runs a case under the baseline policy and returns its row of the table.
async fn baseline(out: &Path, size: &Size, case: &Case) -> StepResult<String> {
    let upstreams = Upstreams::spawn(size).await?;
    let mut scenario = scenario(size, case, "baseline");
    scenario.policy = Policy::Baseline(document::baseline(size, &upstreams));
    let report = run_with_events(&scenario, case, &upstreams, None).await?;
    write_results(&report, out, size, case, &upstreams).await
}

fn scenario(size: &Size, case: &Case, policy: &str) -> Scenario {
    Scenario {
        name: format!("{}-{}-{policy}", size.name, case.name),
        length: Millis(cases::LENGTH.as_millis() as u64),
        drain: Millis(6_000),
        seed: 11,
        entries: Vec::new(),
        classes: case.classes.clone(),
        pause: Millis(100),
        policy: Policy::Mothplank,
    }
}

/// Runs the load and applies the events of the case at their times.
async fn run_with_events(
    scenario: &Scenario,
    case: &Case,
    upstreams: &Upstreams,
    processes: Option<&Processes>,
) -> StepResult<Report> {
    let start = Instant::now();
    let events = async {
        for (at, event) in &case.events {
            sleep_until((start + *at).into()).await;
            apply_event(event, upstreams, processes);
        }
    };
    let (report, ()) = tokio::join!(load::run(scenario), events);
    report
}

fn apply_event(event: &Event, upstreams: &Upstreams, processes: Option<&Processes>) {
    match event {
        Event::Faults(set, faults) => upstreams.set_faults(set, faults),
        Event::CutDigest => processes.into_iter().for_each(Processes::cut),
        Event::HealDigest => processes.into_iter().for_each(Processes::heal),
    }
}

async fn write_results(
    report: &Report,
    out: &Path,
    size: &Size,
    case: &Case,
    upstreams: &Upstreams,
) -> StepResult<String> {
    tokio::time::sleep(SETTLE_TIME).await;
    report.write(out)?;
    Ok(ResultRow::new(report, size, case, upstreams).row())
}
