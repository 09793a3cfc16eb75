//! Open connections that go silent for good while new connections work.

mod env;
mod requests;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use env::{Plan, TestEnv, wait_until};
use requests::{Answer, Caller, Outcome, PipelineRequest, size};
use serde_json::json;
use standins::proxy::{Cut, Proxy};

const CALLERS: usize = 16;

/// The time after a cut in which requests are not counted.
const UNCOUNTED: Duration = Duration::from_secs(1);

/// The minimum share of the counted requests that must complete within their deadline.
const MIN_COMPLETE_SHARE: f64 = 0.99;

/// A request that has ended.
struct Ended {
    sent: Instant,
    complete: bool,
    why: String,
}

/// Sends requests without pause from [`CALLERS`] callers, calls `cut` once `warm` requests have
/// ended, and checks how many of those sent more than [`UNCOUNTED`] later complete in time.
fn measure(env: &TestEnv, pipeline: &str, cut: impl FnOnce()) {
    let (warm, counted) = (size(400, 4_000), size(1_000, 10_000));
    let caller = Caller::open(env.runtime.handle().clone(), 4);
    let entries: Vec<_> = (1..=env.plan.entries).map(|n| env.entry_address(n)).collect();
    let (ended, next, stop) =
        (Mutex::new(Vec::<Ended>::new()), AtomicUsize::new(0), AtomicBool::new(false));
    let run = || {
        while !stop.load(Ordering::SeqCst) {
            let i = next.fetch_add(1, Ordering::SeqCst);
            let marker = format!("lot-{i}");
            let key = (pipeline == "note").then_some(marker.as_str());
            let request = PipelineRequest { key, ..PipelineRequest::new(pipeline, &marker) };
            let sent = Instant::now();
            let answer: Answer = caller.send_blocking(entries[i % entries.len()], &request);
            let complete =
                answer.outcome == Outcome::Complete && sent.elapsed() <= request.deadline;
            let why = format!("{:?} {} {}", answer.outcome, answer.status, answer.reason());
            ended.lock().unwrap().push(Ended { sent, complete, why });
        }
    };
    let since = |at: Instant| ended.lock().unwrap().iter().filter(|it| it.sent > at).count();
    let cut_at = thread::scope(|scope| {
        (0..CALLERS).for_each(|_| {
            scope.spawn(run);
        });
        wait_until("the load before the cut", || ended.lock().unwrap().len() >= warm);
        let cut_at = Instant::now();
        cut();
        wait_until("the load after the cut", || {
            Instant::now() > cut_at + UNCOUNTED && since(cut_at + UNCOUNTED) >= counted
        });
        stop.store(true, Ordering::SeqCst);
        cut_at
    });
    let ended = ended.into_inner().unwrap();
    let share = |from: Instant, to: Instant| {
        let span: Vec<&Ended> = ended.iter().filter(|it| it.sent >= from && it.sent < to).collect();
        let complete = span.iter().filter(|it| it.complete).count();
        (complete, span.len())
    };
    let (before, first) = (share(ended[0].sent, cut_at), share(cut_at, cut_at + UNCOUNTED));
    let (complete, all) = share(cut_at + UNCOUNTED, Instant::now());
    eprintln!(
        "complete: before {before:?}, in the first second {first:?}, after ({complete}, {all})"
    );
    let late: Vec<&str> = ended
        .iter()
        .filter(|it| it.sent >= cut_at + UNCOUNTED && !it.complete)
        .map(|it| it.why.as_str())
        .collect();
    assert!(complete as f64 >= MIN_COMPLETE_SHARE * all as f64, "{complete} of {all}: {late:#?}");
}

/// Guards against calls to upstreams that hang until their deadline, as seen after a restart of a
/// firewall: all open connections from entries to upstreams go silent, neither closed nor answered,
/// while new ones work. An entry must neither trust a kept connection until the deadline nor wait
/// again for each further silent one.
#[test]
fn silent_upstream_connections_cost_less_than_a_deadline() {
    let mut env = TestEnv::start(Plan::default());
    let mut proxies: Vec<Proxy> = Vec::new();
    for pool in ["encoders", "retrievers", "rerankers", "engines", "stock"] {
        for i in 1..=2 {
            let name = format!("{pool}-{i}");
            let proxy = env.start_proxy(env.standin_address(&name));
            env.document.base["pools"][pool]["upstreams"][&name]["address"] =
                json!(proxy.address());
            proxies.push(proxy);
        }
    }
    let document = env.document.clone();
    env.apply(&document);
    measure(&env, "appraise", || proxies.iter().for_each(|it| it.cut(Cut::default())));
    assert!(proxies.iter().any(|it| it.counts().swallowed > 0), "nothing was cut");
}

/// Guards against requests with an idempotency key that hang, or are refused for lack of a quorum,
/// after a restart of a firewall although every process works: all open connections between entries
/// and members, and between members, go silent while new ones work. A session must not trust its
/// connection for longer than a request can wait.
#[test]
fn silent_control_connections_cost_less_than_a_deadline() {
    let plan = Plan { controls: 3, proxied: true, ..Plan::default() };
    let env = TestEnv::start(plan);
    let pairs = (1..=3).flat_map(|from| (1..=3).map(move |to| (from, to)));
    let links: Vec<_> = pairs.filter(|(from, to)| from != to).collect();
    measure(&env, "note", || {
        links.iter().for_each(|(from, to)| env.link(*from, *to).cut(Cut::default()))
    });
    let swallowed: u64 =
        links.iter().map(|(from, to)| env.link(*from, *to).counts().swallowed).sum();
    assert!(swallowed > 0, "nothing was cut");
}
