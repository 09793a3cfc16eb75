//! What a claim costs: time added to a request, claims a second, bytes on disk.
//!
//! The figures are printed and not judged. For figures worth keeping run it alone, in a release
//! build, with `MOTHPLANK_FULL` set and `--nocapture`.

mod env;
mod requests;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use env::{PATIENCE, Plan, Signal, TestEnv};
use requests::{Answer, Ask, Caller, Said, size};
use serde_json::{Value, json};

const ENTRIES: usize = 3;

/// Keys in the full size: few enough that no snapshot replaces the log meanwhile.
const KEYS: usize = 10_000;

/// Callers at once where the rate is measured.
const CALLERS: usize = 64;

/// Callers at once while members are stalled.
const STALLED_CALLERS: usize = 8;

/// How often and how long all members are stalled: beyond the 1.5 s after which entries leave one.
const STALLS: usize = 2;
const STALL: Duration = Duration::from_millis(2_000);

/// The ways in which the one stage is asked for.
const KINDS: [(&str, &str, bool); 3] =
    [("plain", "no claim", false), ("plain", "claim", true), ("book", "claim, once", true)];

/// Starts three members and three entries, and one stage with and without repetition.
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

fn bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap().filter_map(Result::ok);
    files.filter_map(|it| it.metadata().ok()).filter(|it| it.is_file()).map(|it| it.len()).sum()
}

/// A request that is sent until it is complete.
struct Sent {
    /// How long the sending took that was answered.
    took: Duration,
    /// How often it was refused before.
    refused: usize,
}

/// Sends a request until it is complete. A truthful "not run" is allowed while members are stalled: it
/// says when to come back, and the same key is sent again, so that a refusal of what did run shows as a
/// key that ran twice. Any other answer is a fault.
fn complete(caller: &Caller, entry: SocketAddr, ask: &Ask<'_>) -> Sent {
    let by = Instant::now() + PATIENCE;
    let mut refused = 0;
    loop {
        let sent = Instant::now();
        let answer = caller.call(entry, ask);
        if answer.said == Said::Complete {
            return Sent { took: sent.elapsed(), refused };
        }
        assert!(is_refusal(&answer) && Instant::now() < by, "{answer:?}");
        refused += 1;
        let pause = answer.json()["retry_after_ms"].as_u64().expect("when to come back");
        thread::sleep(Duration::from_millis(pause));
    }
}

fn is_refusal(answer: &Answer) -> bool {
    answer.said == Said::NotRun && answer.status == 503
}

/// Returns the value that the share `share` of the times does not exceed, in milliseconds.
fn quantile(times: &[Duration], share: f64) -> f64 {
    let at = ((times.len() - 1) as f64 * share).round() as usize;
    times[at].as_secs_f64() * 1e3
}

/// One caller; the kinds take turns, so that whatever else the machine does hits them alike.
fn time_alone(env: &TestEnv, caller: &Caller, rounds: usize) {
    let mut times = [const { Vec::new() }; KINDS.len()];
    for round in 0..rounds {
        for (index, (pipeline, _, keyed)) in KINDS.iter().enumerate() {
            let marker = format!("alone-{index}-{round}");
            let key = keyed.then_some(marker.as_str());
            let entry = env.entry_address(round % ENTRIES + 1);
            let sent = complete(caller, entry, &Ask { key, ..Ask::new(pipeline, &marker) });
            times[index].push(sent.took);
        }
    }
    for ((_, name, _), times) in KINDS.iter().zip(&mut times) {
        times.sort();
        let (median, high) = (quantile(times, 0.5), quantile(times, 0.99));
        eprintln!("{name}: median {median:.2} ms, p99 {high:.2} ms of {rounds}");
    }
}

/// [`CALLERS`] at once, each request under its own key.
fn rate(env: &TestEnv, caller: &Caller, total: usize) {
    let before: Vec<u64> = (1..=3).map(|n| bytes(&env.data_folder(n))).collect();
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
            let sent = complete(caller, entry, &Ask { key: Some(&key), ..Ask::new("book", "lot") });
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
    let a_second = total as f64 / took;
    eprintln!(
        "{CALLERS} callers: {a_second:.0} claims a second, median {median:.2} ms, p99 {high:.2} ms of {total}, \
         {} refused and sent again",
        refused.load(Ordering::SeqCst)
    );
    for (n, before) in (1..=3).zip(before) {
        let grown = bytes(&env.data_folder(n)) as f64 - before as f64;
        eprintln!("member {n}: {:.0} bytes of data folder a claim", grown / total as f64);
    }
}

#[test]
fn the_cost_of_a_claim() {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    eprintln!("load average before: {}", load.trim());
    let env = start(Duration::from_secs(5));
    let caller = Caller::open(env.runtime.handle().clone(), CALLERS);
    time_alone(&env, &caller, size(100, 3_000));
    rate(&env, &caller, size(500, KEYS));
    // What may be repeated may also be hedged.
    once(&env, size(100, 3_000) + size(500, KEYS), |key| !key.starts_with("alone-1-"));
}

/// Checks that so many keys ran, each of them once.
fn once(env: &TestEnv, keys: usize, counted: impl Fn(&str) -> bool) {
    let counts = ["stock-1", "stock-2"].map(|it| env.http.counts(env.standin_address(it)));
    let runs = counts.iter().flat_map(|it| it["runs"].as_object().unwrap());
    let once: Vec<_> = runs.filter(|(key, _)| counted(key)).collect();
    assert_eq!(once.len(), keys);
    assert!(once.iter().all(|(_, runs)| **runs == 1), "a key ran twice");
}

/// While claims were measured, some were refused with `the session with control was interrupted after
/// the request was claimed; nothing that may not be repeated ran`. The syncs of all three members had
/// taken 1.5 to 2.0 s at once (`the disk was slow to sync; heartbeats waited for it`), and entries leave
/// a member that brings no quorum's confirmation for 1.5 s. The refusal is true: sent again with the same key the
/// request runs, and runs once. Here the members are stopped for as long.
#[test]
fn what_is_refused_while_members_stall_runs_once_when_sent_again() {
    let mut env = start(PATIENCE);
    let caller = Caller::open(env.runtime.handle().clone(), CALLERS);
    let entries: Vec<SocketAddr> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
    let (next, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let stalled = AtomicBool::new(true);
    let run = || {
        while stalled.load(Ordering::SeqCst) {
            let i = next.fetch_add(1, Ordering::SeqCst);
            let key = uuid::Uuid::now_v7().to_string();
            let ask = Ask { key: Some(&key), deadline: PATIENCE, ..Ask::new("book", "lot") };
            let sent = complete(&caller, entries[i % ENTRIES], &ask);
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
    once(&env, next.load(Ordering::SeqCst), |_| true);
}

fn signal_members(env: &mut TestEnv, signal: Signal) {
    (1..=3).for_each(|n| env.signal(&format!("control-{n}"), signal));
}
