//! The cost of a claim: time added to a request, claims per second, bytes on disk.
//!
//! The figures are printed but not checked. For figures worth keeping, run the test alone, in a
//! release build, with `MOTHPLANK_FULL` set and `--nocapture`.

mod env;
mod requests;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use env::{Plan, Signal, TestEnv, WAIT_TIMEOUT};
use requests::{Answer, Caller, Outcome, PipelineRequest, size};
use serde_json::{Value, json};

const ENTRIES: usize = 3;

/// The number of keys in the full size: few enough that no snapshot replaces the log meanwhile.
const KEYS: usize = 10_000;

/// The number of concurrent callers when the rate is measured.
const CALLERS: usize = 64;

/// The number of concurrent callers while members are stalled.
const STALLED_CALLERS: usize = 8;

/// How often and how long all members are stalled: longer than the 1.5 s after which an entry
/// leaves a member.
const STALLS: usize = 2;
const STALL: Duration = Duration::from_millis(2_000);

/// The kinds of requests: the pipeline, a label, and whether the request has an idempotency key.
const KINDS: [(&str, &str, bool); 3] =
    [("plain", "no claim", false), ("plain", "claim", true), ("book", "claim, once", true)];

/// Starts three members and three entries, with two pipelines whose only stage is repeatable in one
/// and not in the other.
fn start(deadline: Duration) -> TestEnv {
    let mut env = TestEnv::start(Plan { controls: 3, entries: ENTRIES, ..Plan::default() });
    let stage = |once: bool| {
        let stage =
            json!({"name": "book", "pool": "stock", "path": "/v1/book", "repeatable": !once});
        json!({"deadline": deadline.as_millis() as u64, "stages": [stage]})
    };
    env.document.base["pipelines"]["plain"] = stage(false);
    env.document.base["pipelines"]["book"] = stage(true);
    env.document.base["customers"]["yards"]["pipelines"] = json!(["plain", "book"]);
    let upstreams = env.document.base["pools"]["stock"]["upstreams"].as_object_mut().unwrap();
    upstreams.values_mut().for_each(|it| it["capacity"] = Value::from(64));
    let document = env.document.clone();
    env.apply(&document);
    env
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap().filter_map(Result::ok);
    files.filter_map(|it| it.metadata().ok()).filter(|it| it.is_file()).map(|it| it.len()).sum()
}

/// A request that was sent until it was complete.
struct Sent {
    /// The duration of the attempt that was complete.
    took: Duration,
    /// The number of refused attempts before.
    refused: usize,
}

/// Sends a request until it is complete. A 503 with the outcome `not-run` is allowed while members
/// are stalled. The request is then resent with the same key after the delay in the answer, so that
/// a refusal of a request that did run would show as a key that ran twice. Any other answer fails
/// the test.
fn send_until_complete(caller: &Caller, entry: SocketAddr, request: &PipelineRequest<'_>) -> Sent {
    let by = Instant::now() + WAIT_TIMEOUT;
    let mut refused = 0;
    loop {
        let sent = Instant::now();
        let answer = caller.send_blocking(entry, request);
        if answer.outcome == Outcome::Complete {
            return Sent { took: sent.elapsed(), refused };
        }
        assert!(is_refusal(&answer) && Instant::now() < by, "{answer:?}");
        refused += 1;
        let pause = answer.json()["retry_after_ms"].as_u64().expect("when to come back");
        thread::sleep(Duration::from_millis(pause));
    }
}

fn is_refusal(answer: &Answer) -> bool {
    answer.outcome == Outcome::NotRun && answer.status == 503
}

/// Returns the value that the share `share` of the times does not exceed, in milliseconds.
fn quantile(times: &[Duration], share: f64) -> f64 {
    let at = ((times.len() - 1) as f64 * share).round() as usize;
    times[at].as_secs_f64() * 1e3
}

/// Measures with one caller. The kinds take turns, so that other load on the machine affects all of
/// them equally.
fn measure_alone(env: &TestEnv, caller: &Caller, rounds: usize) {
    let mut times = [const { Vec::new() }; KINDS.len()];
    for round in 0..rounds {
        for (index, (pipeline, _, keyed)) in KINDS.iter().enumerate() {
            let marker = format!("alone-{index}-{round}");
            let key = keyed.then_some(marker.as_str());
            let entry = env.entry_address(round % ENTRIES + 1);
            let sent = send_until_complete(
                caller,
                entry,
                &PipelineRequest { key, ..PipelineRequest::new(pipeline, &marker) },
            );
            times[index].push(sent.took);
        }
    }
    for ((_, name, _), times) in KINDS.iter().zip(&mut times) {
        times.sort();
        let (median, high) = (quantile(times, 0.5), quantile(times, 0.99));
        eprintln!("{name}: median {median:.2} ms, p99 {high:.2} ms of {rounds}");
    }
}

/// Measures with [`CALLERS`] concurrent callers, each request with its own key.
fn measure_rate(env: &TestEnv, caller: &Caller, total: usize) {
    let before: Vec<u64> = (1..=3).map(|n| folder_bytes(&env.data_folder(n))).collect();
    let (next, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let times = Mutex::new(Vec::new());
    let begun = Instant::now();
    let run = || {
        loop {
            let i = next.fetch_add(1, Ordering::SeqCst);
            if i >= total {
                return;
            }
            let key = uuid::Uuid::now_v7().to_string();
            let entry = env.entry_address(i % ENTRIES + 1);
            let sent = send_until_complete(
                caller,
                entry,
                &PipelineRequest { key: Some(&key), ..PipelineRequest::new("book", "lot") },
            );
            refused.fetch_add(sent.refused, Ordering::SeqCst);
            times.lock().unwrap().push(sent.took);
        }
    };
    thread::scope(|scope| {
        (0..CALLERS).for_each(|_| {
            scope.spawn(run);
        });
    });
    let took = begun.elapsed().as_secs_f64();
    let mut times = times.into_inner().unwrap();
    times.sort();
    let (median, high) = (quantile(&times, 0.5), quantile(&times, 0.99));
    let rate = total as f64 / took;
    eprintln!(
        "{CALLERS} callers: {rate:.0} claims a second, median {median:.2} ms, \
         p99 {high:.2} ms of {total}, \
         {} refused and sent again",
        refused.load(Ordering::SeqCst)
    );
    for (n, before) in (1..=3).zip(before) {
        let grown = folder_bytes(&env.data_folder(n)) as f64 - before as f64;
        eprintln!("member {n}: {:.0} bytes of data folder a claim", grown / total as f64);
    }
}

#[test]
fn the_cost_of_a_claim() {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    eprintln!("load average before: {}", load.trim());
    let env = start(Duration::from_secs(5));
    let caller = Caller::open(env.runtime.handle().clone(), CALLERS);
    measure_alone(&env, &caller, size(100, 3_000));
    measure_rate(&env, &caller, size(500, KEYS));
    // The repeatable requests with a key are not counted: they may be hedged and so run twice.
    check_runs_once(&env, size(100, 3_000) + size(500, KEYS), |key| !key.starts_with("alone-1-"));
}

/// Checks that `keys` keys for which `counted` holds ran, each of them once.
fn check_runs_once(env: &TestEnv, keys: usize, counted: impl Fn(&str) -> bool) {
    let counts = ["stock-1", "stock-2"].map(|it| env.http.counts(env.standin_address(it)));
    let runs = counts.iter().flat_map(|it| it["runs"].as_object().unwrap());
    let once: Vec<_> = runs.filter(|(key, _)| counted(key)).collect();
    assert_eq!(once.len(), keys);
    assert!(once.iter().all(|(_, runs)| **runs == 1), "a key ran twice");
}

/// Guards against refusals that are not true. When the syncs of all three members take 1.5 to 2.0 s
/// at once (`the disk was slow to sync; heartbeats waited for it`), claims are refused with `the
/// session with control was interrupted after the request was claimed; nothing that may not be
/// repeated ran`, because entries leave a member that brings no confirmation of a quorum for 1.5 s.
/// Resent with the same key, such a request must run exactly once. Here all members are stopped for
/// as long.
#[test]
fn what_is_refused_while_members_stall_runs_once_when_sent_again() {
    let mut env = start(WAIT_TIMEOUT);
    let caller = Caller::open(env.runtime.handle().clone(), CALLERS);
    let entries: Vec<SocketAddr> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
    let (next, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let stalled = AtomicBool::new(true);
    let run = || {
        while stalled.load(Ordering::SeqCst) {
            let i = next.fetch_add(1, Ordering::SeqCst);
            let key = uuid::Uuid::now_v7().to_string();
            let request = PipelineRequest {
                key: Some(&key),
                deadline: WAIT_TIMEOUT,
                ..PipelineRequest::new("book", "lot")
            };
            let sent = send_until_complete(&caller, entries[i % ENTRIES], &request);
            refused.fetch_add(sent.refused, Ordering::SeqCst);
        }
    };
    thread::scope(|scope| {
        (0..STALLED_CALLERS).for_each(|_| {
            scope.spawn(run);
        });
        for _ in 0..STALLS {
            signal_members(&mut env, Signal::STOP);
            thread::sleep(STALL);
            signal_members(&mut env, Signal::CONT);
            thread::sleep(STALL / 4);
        }
        stalled.store(false, Ordering::SeqCst);
    });
    eprintln!("{} refused and sent again", refused.load(Ordering::SeqCst));
    check_runs_once(&env, next.load(Ordering::SeqCst), |_| true);
}

fn signal_members(env: &mut TestEnv, signal: Signal) {
    (1..=3).for_each(|n| env.signal(&format!("control-{n}"), signal));
}
