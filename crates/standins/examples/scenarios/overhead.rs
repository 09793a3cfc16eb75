//! What an entry adds to one stage's call, and how many one-stage requests it takes a second.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use standins::load::{
    AttemptResult, Baseline, BaselineStage, CallerRequest, Class, DirectTransport, EntryTransport,
    Transport,
};
use standins::stage::{self, Stage};
use tokio::task::JoinSet;
use types::{Millis, PoolKind, Priority, Rate, StepError, StepResult};

use crate::common::hash;
use crate::document::key;
use crate::processes::Processes;
use crate::say;

/// The rate at which the time added is measured, each way, in requests a second.
const RATE: u64 = 500;
/// How long that goes on.
const SPAN: Duration = Duration::from_secs(10);
/// How many callers send without a pause to find the greatest rate.
const CALLERS: usize = 64;
/// How many replicas the stage has.
const REPLICAS: usize = 4;

/// Measures both and prints them.
pub(crate) async fn run(binary: &Path, out: &Path) -> StepResult<()> {
    let mut stages = Vec::new();
    for _ in 0..REPLICAS {
        let config = stage::Config { capacity: 256, ..stage::Config::default() };
        stages.push(stage::spawn(config).await?);
    }
    let processes = Processes::start(binary, out, &document(&stages)).await?;
    let entries = Arc::new(EntryTransport::open(&processes.entries()[..1])?);
    let class = Arc::new(class());
    let direct = Arc::new(DirectTransport::open(&baseline(&stages), std::slice::from_ref(&class))?);
    tokio::time::sleep(Duration::from_secs(1)).await;
    paced(&direct, &class, Duration::from_secs(1)).await?;
    paced(&entries, &class, Duration::from_secs(1)).await?;
    let both = tokio::join!(paced(&direct, &class, SPAN), paced(&entries, &class, SPAN));
    let (alone, through) = (both.0?, both.1?);
    let at = |it: &Histogram<u64>, quantile| it.value_at_quantile(quantile) as f64 / 1e3;
    for quantile in [0.5, 0.9, 0.99] {
        let (alone, through) = (at(&alone, quantile), at(&through, quantile));
        let added = through - alone;
        say(&format!(
            "{RATE}/s, quantile {quantile}: direct {alone:.3} ms, entry {through:.3} ms, \
             added {added:.3} ms"
        ));
    }
    let rate = flat_out(&direct, &class).await;
    say(&format!("direct, {CALLERS} callers: {rate:.0} requests/s"));
    let rate = flat_out(&entries, &class).await;
    say(&format!("one entry, four threads, {CALLERS} callers: {rate:.0} requests/s"));
    say(&processes.usage());
    Ok(())
}

/// Sends at an even pace and returns the times from the intended sending, in microseconds.
async fn paced<P: Transport>(
    path: &Arc<P>,
    class: &Arc<Class>,
    span: Duration,
) -> StepResult<Histogram<u64>> {
    let start = Instant::now();
    let total = RATE * span.as_millis() as u64 / 1_000;
    let mut tasks = JoinSet::new();
    for number in 0..total {
        let due = start + Duration::from_secs(1) * number as u32 / RATE as u32;
        tokio::time::sleep_until(due.into()).await;
        let (path, caller_request) = (path.clone(), caller_request(class, number));
        tasks.spawn(async move {
            let sent = Instant::now();
            (path.send(caller_request).await, sent.elapsed())
        });
    }
    let mut times = Histogram::new_with_max(60_000_000, 3)
        .map_err(|e| StepError::new("create histogram", e))?;
    while let Some(Ok((attempt, time))) = tasks.join_next().await {
        if !matches!(attempt, AttemptResult::Complete(_)) {
            return Err(StepError::new("measure", format!("{attempt:?}")));
        }
        times.saturating_record(time.as_micros() as u64);
    }
    Ok(times)
}

/// Returns the completed requests a second when callers send without a pause.
async fn flat_out<P: Transport>(path: &Arc<P>, class: &Arc<Class>) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS {
        let (path, class, done) = (path.clone(), class.clone(), done.clone());
        tasks.spawn(async move {
            for number in 0.. {
                let caller_request = caller_request(&class, (caller as u64) << 32 | number);
                if matches!(path.send(caller_request).await, AttemptResult::Complete(_)) {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    let start = Instant::now();
    tokio::time::sleep(SPAN / 2).await;
    let rate = done.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
    tasks.shutdown().await;
    rate
}

fn caller_request(class: &Arc<Class>, number: u64) -> CallerRequest {
    CallerRequest {
        class: class.clone(),
        marker: format!("m{number}"),
        budget: class.deadline.into(),
    }
}

fn class() -> Class {
    Class {
        name: "one".to_owned(),
        pipeline: "one".parse().expect("a valid name"),
        key: key("one"),
        priority: Priority(0),
        rate: Rate(RATE as f64),
        bursts: Vec::new(),
        deadline: Millis(5_000),
        tokens: 0,
        padding: 200,
        once: false,
        stream: false,
    }
}

fn document(stages: &[Stage]) -> String {
    let upstream = |address: SocketAddr| {
        json!({
            "address": address, "site": "north", "vm": format!("host-{}", address.port()),
            "capacity": 256, "reports": true,
        })
    };
    let upstreams =
        stages.iter().map(|it| (format!("u{}", it.address().port()), upstream(it.address())));
    let upstreams: std::collections::BTreeMap<_, _> = upstreams.collect();
    let site = |domain: &str| json!({"region": "one", "domain": domain});
    json!({
        "sites": {"north": site("a"), "middle": site("b"), "south": site("c")},
        "pools": {"one": {"kind": "encode", "upstreams": upstreams}},
        "pipelines": {"one": {"stages": [{"name": "one", "pool": "one", "expected": 1}], "deadline": 5_000}},
        "customers": {"one": {"keys": [hash(&key("one"))], "priority": 0, "pipelines": ["one"]}},
    })
    .to_string()
}

fn baseline(stages: &[Stage]) -> Baseline {
    let hop = BaselineStage {
        name: "one".to_owned(),
        kind: PoolKind::Encode,
        upstreams: stages.iter().map(Stage::address).collect(),
        path: None,
    };
    let pipelines = [("one".parse().expect("a valid name"), vec![hop])].into_iter().collect();
    Baseline { pipelines, attempts: 1, timeout: Millis(0) }
}
