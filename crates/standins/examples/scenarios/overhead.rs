//! Measures the latency that an entry adds to a stage call, and the throughput of one entry for
//! requests with one stage.

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

use crate::common::key_hash;
use crate::document::key;
use crate::print_line;
use crate::processes::Processes;

/// The rate in requests per second, over each of the two transports, at which latency is measured.
const REQUESTS_PER_SECOND: u64 = 500;
/// The duration of the latency measurement.
const SPAN: Duration = Duration::from_secs(10);
/// The number of callers that send without pauses to measure the throughput.
const CALLER_COUNT: usize = 64;
/// The number of replicas of the stage.
const REPLICA_COUNT: usize = 4;

/// Measures latency and throughput and prints them.
pub(crate) async fn run(binary: &Path, out: &Path) -> StepResult<()> {
    let mut stages = Vec::new();
    for _ in 0..REPLICA_COUNT {
        let config = stage::Config { capacity: 256, ..stage::Config::default() };
        stages.push(stage::spawn(config).await?);
    }
    let processes = Processes::start(binary, out, &document(&stages)).await?;
    let entries = Arc::new(EntryTransport::open(&processes.entries()[..1])?);
    let class = Arc::new(class());
    let direct = Arc::new(DirectTransport::open(&baseline(&stages), std::slice::from_ref(&class))?);
    tokio::time::sleep(Duration::from_secs(1)).await;
    measure_latency(&direct, &class, Duration::from_secs(1)).await?;
    measure_latency(&entries, &class, Duration::from_secs(1)).await?;
    let both = tokio::join!(
        measure_latency(&direct, &class, SPAN),
        measure_latency(&entries, &class, SPAN)
    );
    let (direct_times, entry_times) = (both.0?, both.1?);
    let quantile_ms = |it: &Histogram<u64>, quantile| it.value_at_quantile(quantile) as f64 / 1e3;
    for quantile in [0.5, 0.9, 0.99] {
        let (direct_ms, entry_ms) =
            (quantile_ms(&direct_times, quantile), quantile_ms(&entry_times, quantile));
        let added = entry_ms - direct_ms;
        print_line(&format!(
            "{REQUESTS_PER_SECOND}/s, quantile {quantile}: direct {direct_ms:.3} ms, \
             entry {entry_ms:.3} ms, \
             added {added:.3} ms"
        ));
    }
    let rate = measure_throughput(&direct, &class).await;
    print_line(&format!("direct, {CALLER_COUNT} callers: {rate:.0} requests/s"));
    let rate = measure_throughput(&entries, &class).await;
    print_line(&format!("one entry, four threads, {CALLER_COUNT} callers: {rate:.0} requests/s"));
    print_line(&processes.usage());
    Ok(())
}

/// Sends requests at a constant rate and returns the time that each took, in microseconds.
async fn measure_latency<P: Transport>(
    transport: &Arc<P>,
    class: &Arc<Class>,
    span: Duration,
) -> StepResult<Histogram<u64>> {
    let start = Instant::now();
    let total = REQUESTS_PER_SECOND * span.as_millis() as u64 / 1_000;
    let mut tasks = JoinSet::new();
    for number in 0..total {
        let due = start + Duration::from_secs(1) * number as u32 / REQUESTS_PER_SECOND as u32;
        tokio::time::sleep_until(due.into()).await;
        let (transport, request) = (transport.clone(), new_request(class, number));
        tasks.spawn(async move {
            let sent = Instant::now();
            (transport.send(request).await, sent.elapsed())
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

/// Returns the completed requests per second when callers send without pauses.
async fn measure_throughput<P: Transport>(transport: &Arc<P>, class: &Arc<Class>) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        let (transport, class, done) = (transport.clone(), class.clone(), done.clone());
        tasks.spawn(async move {
            for number in 0.. {
                let request = new_request(&class, (caller as u64) << 32 | number);
                if matches!(transport.send(request).await, AttemptResult::Complete(_)) {
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

fn new_request(class: &Arc<Class>, number: u64) -> CallerRequest {
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
        rate: Rate(REQUESTS_PER_SECOND as f64),
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
        "pipelines": {"one": {
            "stages": [{"name": "one", "pool": "one", "expected": 1}], "deadline": 5_000,
        }},
        "customers": {"one": {"keys": [key_hash(&key("one"))], "priority": 0, "pipelines": ["one"]}},
    })
    .to_string()
}

fn baseline(stages: &[Stage]) -> Baseline {
    let stage = BaselineStage {
        name: "one".to_owned(),
        kind: PoolKind::Encode,
        upstreams: stages.iter().map(Stage::address).collect(),
        path: None,
    };
    let pipelines = [("one".parse().expect("a valid name"), vec![stage])].into_iter().collect();
    Baseline { pipelines, attempts: 1, timeout: Millis(0) }
}
