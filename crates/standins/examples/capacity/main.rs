//! Measures the figures of docs/CAPACITY.md: the CPU time, memory and traffic that control costs
//! each process on loopback, at several numbers of entries, upstreams and customers.
//!
//! `cargo run --release -p mothplank-standins --example capacity -- --binary PATH`

mod cluster;
#[path = "../common/mod.rs"]
mod common;
mod http;
mod sample;
mod service;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use types::StepResult;

use cluster::Cluster;
use sample::Sample;

/// The time between the start of a cluster and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The number of changes whose time to come into force is measured.
const CHANGE_COUNT: u64 = 5;

/// The requests per second at each entry with `--load`: 2,300 per second over 380 nodes.
pub(crate) const REQUESTS_PER_SECOND: f64 = 6.0;

/// The sizes of one cluster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    /// The number of entry processes.
    pub(crate) entries: usize,
    /// The number of upstreams in the stage pool.
    pub(crate) upstreams: usize,
    /// The number of customers.
    pub(crate) customers: usize,
    /// Whether requests are sent.
    pub(crate) load: bool,
    /// The number of token streams open at once through each entry.
    pub(crate) streams: usize,
}

#[tokio::main]
async fn main() -> StepResult<()> {
    env_logger::init();
    let args = command().get_matches();
    let values = |name: &str| args.get_many::<usize>(name).unwrap_or_default().copied();
    let seconds = Duration::from_secs(args.get_one::<u64>("seconds").copied().unwrap_or(20));
    http::print_line(Sample::header());
    for entries in values("entries") {
        for upstreams in values("upstreams") {
            for customers in values("customers") {
                let load = args.get_flag("load");
                for streams in values("streams") {
                    let sizes = Sizes { entries, upstreams, customers, load, streams };
                    run(&args, sizes, seconds).await?;
                }
            }
        }
    }
    Ok(())
}

async fn run(args: &ArgMatches, sizes: Sizes, seconds: Duration) -> StepResult<()> {
    let binary = args.get_one::<PathBuf>("binary").expect("clap requires it");
    let cluster = Cluster::start(binary, sizes).await?;
    let callers = sizes.load.then(|| cluster.call(SETTLE_TIME + seconds));
    let tokens = cluster.stream(SETTLE_TIME + seconds);
    tokio::time::sleep(SETTLE_TIME).await;
    let before = cluster.usages().await?;
    let from = Instant::now();
    tokio::time::sleep(seconds).await;
    let after = cluster.usages().await?;
    let took = from.elapsed().as_secs_f64();
    let answered = match callers {
        Some(callers) => callers.await.unwrap_or(0),
        None => 0,
    };
    let tokens = tokens.await.unwrap_or(0);
    let mut in_force = Vec::new();
    for number in 1..=CHANGE_COUNT {
        in_force.push(cluster.change(number).await?);
    }
    let sample = Sample { sizes, before, after, seconds: took, answered, tokens, in_force };
    http::print_line(&sample.row());
    Ok(())
}

fn command() -> Command {
    let counts = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_delimiter(',')
            .value_parser(value_parser!(usize))
            .default_value(default)
    };
    let path = value_parser!(PathBuf);
    Command::new("capacity")
        .about("Measures what control costs at several sizes")
        .arg(Arg::new("binary").long("binary").required(true).value_parser(path))
        .arg(counts("entries", "Numbers of entries", "8"))
        .arg(counts("upstreams", "Numbers of upstreams", "20"))
        .arg(counts("customers", "Numbers of customers", "5"))
        .arg(counts("streams", "Numbers of token streams at once through each entry", "0"))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("How long each size is measured")
                .value_parser(value_parser!(u64)),
        )
        .arg(Arg::new("load").long("load").help("Send requests").action(clap::ArgAction::SetTrue))
}
