//! Requests that may not be repeated, resent to any entry while entries, members and services fail.

mod env;
mod requests;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use env::{Plan, Signal, TestEnv, wait_for, wait_until};
use futures_util::future::join_all;
use rand::RngExt;
use requests::{Attempt, Behavior, Caller, History, Outcome, PipelineRequest, Run, Stock, size};
use serde_json::json;
use standins::proxy::{Cut, Direction, Scope};

const ENTRIES: usize = 3;
const CALLERS: usize = 48;

/// The maximum number of attempts for one key while faults are injected.
const MAX_SENDS: usize = 10;

/// How long a process is stopped or cut off: longer than the time after which a silent entry counts
/// as lost, so that it loses its claims.
const LONG_FAULT: Duration = Duration::from_secs(7);

/// The duration of faults that end before an entry counts as lost.
const SHORT_FAULT: Duration = Duration::from_secs(2);

/// The deadline of an attempt while faults are injected.
const FAULT_DEADLINE: Duration = Duration::from_millis(1_500);

/// A fault and its repair.
#[derive(Clone, Copy, Debug)]
enum Step {
    KillEntry,
    FreezeEntry(Duration),
    CutEntry(Scope),
    KillLeader,
    FreezeLeader(Duration),
    CutLeader,
    RefuseStock,
}

const STEPS: [Step; 9] = [
    Step::KillEntry,
    Step::FreezeEntry(LONG_FAULT),
    Step::RefuseStock,
    Step::KillLeader,
    Step::CutEntry(Scope::All),
    Step::FreezeLeader(SHORT_FAULT),
    Step::CutLeader,
    Step::CutEntry(Scope::Open),
    Step::FreezeEntry(SHORT_FAULT),
];

/// The state of the test.
struct Trial {
    env: TestEnv,
    caller: Caller,
    entries: Vec<SocketAddr>,
    stocks: [Stock; 2],
    history: History,
    keys: usize,
    /// The number of keys that may begin.
    open: AtomicUsize,
    next: AtomicUsize,
    done: AtomicUsize,
}

impl Trial {
    fn open(keys: usize) -> Self {
        let plan = Plan { controls: 3, entries: ENTRIES, proxied: true, ..Plan::default() };
        let mut env = TestEnv::start(plan);
        let runtime = env.runtime.handle().clone();
        let stocks = [0, 1].map(|_| Stock::spawn(&runtime, env.ports.reserve()));
        let book =
            json!({"name": "book", "pool": "stock", "path": "/v1/book", "repeatable": false});
        for (i, stock) in stocks.iter().enumerate() {
            let upstream = &mut env.document.base["pools"]["stock"]["upstreams"];
            upstream[format!("stock-{}", i + 1)]["address"] = json!(stock.address());
        }
        env.document.base["pipelines"]["book"] = json!({"deadline": 10_000, "stages": [book]});
        env.document.base["pipelines"]["note"]["deadline"] = 10_000.into();
        env.document.base["customers"]["yards"]["pipelines"] = json!(["book", "note"]);
        let document = env.document.clone();
        env.apply(&document);
        Self {
            caller: Caller::open(runtime, 0),
            entries: (1..=ENTRIES).map(|n| env.entry_address(n)).collect(),
            env,
            stocks,
            history: History::default(),
            keys,
            open: AtomicUsize::new(0),
            next: AtomicUsize::new(0),
            done: AtomicUsize::new(0),
        }
    }
}

/// The part of the state that callers share.
struct Callers<'a> {
    caller: &'a Caller,
    entries: &'a [SocketAddr],
    history: &'a History,
}

impl Callers<'_> {
    /// Sends a request once to a random entry and records the attempt.
    async fn send(&self, key: &str, pipeline: &str, deadline: Duration) -> Outcome {
        let entry = rand::rng().random_range(0..self.entries.len());
        let request =
            PipelineRequest { key: Some(key), deadline, ..PipelineRequest::new(pipeline, key) };
        let sent = Instant::now();
        let answer = self.caller.send(self.entries[entry], &request).await;
        let outcome = answer.outcome;
        let attempt = Attempt { entry: entry + 1, sent, ended: Instant::now(), answer };
        self.history.record(key, attempt);
        outcome
    }

    /// Sends a key up to [`MAX_SENDS`] times, sometimes three at once, and also after its first
    /// answer.
    async fn resend(&self, key: &str, pipeline: &str) {
        let max_sends = rand::rng().random_range(2..=MAX_SENDS);
        let (mut sent, mut complete) = (0, 0);
        while sent < max_sends && complete < 3 {
            let at_once = if rand::rng().random_bool(0.2) { 3.min(max_sends - sent) } else { 1 };
            let attempts = (0..at_once).map(|_| self.send(key, pipeline, FAULT_DEADLINE));
            let outcomes = join_all(attempts).await;
            sent += at_once;
            complete += outcomes.iter().filter(|it| **it == Outcome::Complete).count();
            let pause = rand::rng().random_range(0..150);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

fn key_and_pipeline(i: usize) -> (String, &'static str) {
    (format!("key-{i}"), if i.is_multiple_of(2) { "book" } else { "note" })
}

/// Guards against a stock note that is booked twice, or that is booked or can never be booked after
/// the caller was told that it did not run. Callers resend each key up to ten times to any entry,
/// sometimes three at once, while entries and the leader are killed, stopped for longer than the
/// time after which they count as lost, and cut off from the others, and while the service answers
/// late, closes connections, fails, declines calls and refuses connections. The fault would be a
/// claim that is taken over, granted twice, released too early or never released, a stopped entry
/// that continues with a claim that others consider lost, or an answer that is given before it is
/// stored.
#[test]
fn a_key_runs_at_most_once_whatever_fails() {
    let trial = Trial::open(size(300, 5_000));
    let Trial { env, caller, entries, stocks, history, keys, open, next, done } = trial;
    let mut env = env;
    let runtime = env.runtime.handle().clone();
    let callers = Callers { caller: &caller, entries: &entries, history: &history };
    let set = |behavior: Behavior| stocks.iter().for_each(|it| it.set_behavior(behavior));
    let ran = || stocks.iter().map(|it| it.runs().len()).sum::<usize>();
    set(FAULTY);
    thread::scope(|scope| {
        let work = || {
            loop {
                let i = next.fetch_add(1, Ordering::SeqCst);
                if i >= keys {
                    return;
                }
                wait_until("its turn", || open.load(Ordering::SeqCst) > i);
                let (key, pipeline) = key_and_pipeline(i);
                runtime.block_on(callers.resend(&key, pipeline));
                done.fetch_add(1, Ordering::SeqCst);
            }
        };
        (0..CALLERS).for_each(|_| {
            scope.spawn(work);
        });
        let (mut victims, rounds) = (1.., STEPS.len() * (keys / 300).clamp(1, 4));
        for round in 0..rounds {
            let share = keys * (round + 1) / rounds;
            let before = ran();
            let step = STEPS[round % STEPS.len()];
            // Half of the keys of this step begin only while the service refuses connections, so
            // that some callers are certainly told that their request did not run.
            let held = if matches!(step, Step::RefuseStock) { keys / rounds / 2 } else { 0 };
            open.store(share - held, Ordering::SeqCst);
            // The fault happens while claims are granted and calls are in flight.
            wait_until("calls of these keys", || ran() >= before + keys / rounds / 4);
            let victim = victims.next().unwrap_or(1) % ENTRIES + 1;
            let begin = || open.store(share, Ordering::SeqCst);
            inject(&mut env, step, victim, &set, begin);
            // The next fault happens while the last keys of this one are still in progress.
            let behind = CALLERS / 2;
            wait_until("the keys of this fault", || done.load(Ordering::SeqCst) + behind >= share);
        }
    });
    set(Behavior::default());
    (1..=ENTRIES).for_each(|n| env.wait_ready(env.entry_address(n)));
    resend_until_final(&env, &callers, keys);
    let runs: Vec<Run> = stocks.iter().flat_map(Stock::runs).collect();
    eprintln!("{keys} keys, {} runs: {:#?}", runs.len(), history.count_outcomes());
    history.verify(&runs);
    check_refused_keys(&history, &runs, keys);
}

/// The behavior of the service while faults are injected.
const FAULTY: Behavior = Behavior {
    late: Duration::from_millis(400),
    late_share: 0.4,
    cut: 0.05,
    error: 0.05,
    decline: 0.05,
    refuse: false,
};

/// Injects a fault and repairs it; `begin` allows the rest of the keys of this step to begin.
fn inject(
    env: &mut TestEnv,
    step: Step,
    victim: usize,
    set: &impl Fn(Behavior),
    begin: impl FnOnce(),
) {
    let entry = format!("entry-{victim}");
    let members = [1, 2, 3];
    match step {
        Step::KillEntry => {
            env.kill(&entry);
            env.start_entry(victim);
            env.wait_ready(env.entry_address(victim));
        }
        Step::FreezeEntry(time) => freeze(env, &entry, time),
        Step::CutEntry(scope) => {
            let cut = Cut { way: Direction::Both, scope };
            members.iter().filter(|to| **to != victim).for_each(|to| {
                env.link(victim, *to).cut(cut);
                env.link(*to, victim).cut(cut);
            });
            thread::sleep(LONG_FAULT);
            heal(env);
        }
        Step::KillLeader => {
            let leader = env.wait_leader(&members);
            env.kill(&format!("control-{leader}"));
            let others: Vec<_> = members.into_iter().filter(|it| *it != leader).collect();
            env.wait_leader(&others);
            env.start_control(leader);
            env.wait_live(env.control_address(leader));
        }
        Step::FreezeLeader(time) => {
            let leader = env.wait_leader(&members);
            freeze(env, &format!("control-{leader}"), time);
        }
        Step::CutLeader => {
            let leader = env.wait_leader(&members);
            let others: Vec<_> = members.into_iter().filter(|it| *it != leader).collect();
            others.iter().for_each(|to| {
                env.link(leader, *to).cut(Cut { way: Direction::Both, scope: Scope::All });
                env.link(*to, leader).cut(Cut { way: Direction::Both, scope: Scope::All });
            });
            env.wait_leader(&others);
            thread::sleep(SHORT_FAULT);
            heal(env);
        }
        Step::RefuseStock => {
            set(Behavior { refuse: true, ..FAULTY });
            begin();
            thread::sleep(SHORT_FAULT);
            set(FAULTY);
        }
    }
}

fn freeze(env: &mut TestEnv, process: &str, time: Duration) {
    env.signal(process, Signal::STOP);
    thread::sleep(time);
    env.signal(process, Signal::CONT);
}

fn heal(env: &TestEnv) {
    for from in 1..=3 {
        (1..=3).filter(|to| *to != from).for_each(|to| env.link(from, to).heal());
    }
}

/// Returns whether an answer is final, so that a resend cannot change it.
fn is_final(it: &Attempt) -> bool {
    let reason = it.answer.reason();
    match it.answer.outcome {
        Outcome::Complete => true,
        Outcome::Unknown => matches!(reason.as_str(), "owner-lost" | "call-lost" | "deadline"),
        // A request that failed before the call may run again with the same key; one that ran may
        // not.
        Outcome::Failed => !it.answer.json()["detail"].to_string().contains("send it again"),
        Outcome::NotRun | Outcome::NoAnswer => false,
    }
}

/// Resends every key until its answer is final.
fn resend_until_final(env: &TestEnv, callers: &Callers<'_>, keys: usize) {
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::SeqCst);
                    if i >= keys {
                        return;
                    }
                    let (key, pipeline) = key_and_pipeline(i);
                    let mut last_answer = String::new();
                    wait_for(&format!("a final answer to {key}"), || {
                        let deadline = Duration::from_secs(10);
                        env.runtime.block_on(callers.send(&key, pipeline, deadline));
                        let last = callers.history.attempts(&key).pop()?;
                        let ends = is_final(&last);
                        print_changed_answer(&key, &last, &mut last_answer);
                        ends.then_some(())
                    });
                }
            });
        }
    });
}

/// Prints an answer that is not final and differs from the previous one. If no answer ever becomes
/// final, these lines show why.
fn print_changed_answer(key: &str, last: &Attempt, last_answer: &mut String) {
    let now = format!("{:?} {} {}", last.answer.outcome, last.answer.status, last.answer.reason());
    if now != *last_answer && !is_final(last) {
        eprintln!("{key}, entry {}: {now}: {}", last.entry, last.answer.json()["detail"]);
    }
    *last_answer = now;
}

/// Checks that every key that was once answered `not-run` either ran afterwards, or ended with a
/// final answer `unknown` to some attempt.
fn check_refused_keys(history: &History, runs: &[Run], keys: usize) {
    let ran: BTreeSet<&str> = runs.iter().map(|it| it.key.as_str()).collect();
    let mut told = 0;
    for (key, _) in (0..keys).map(key_and_pipeline) {
        let attempts = history.attempts(&key);
        if !attempts.iter().any(|it| it.answer.outcome == Outcome::NotRun) {
            continue;
        }
        told += 1;
        let lost = attempts.iter().any(|it| it.answer.outcome == Outcome::Unknown && is_final(it));
        assert!(ran.contains(key.as_str()) || lost, "{key} can never run: {attempts:#?}");
    }
    eprintln!("{told} keys were told that they did not run");
    assert!(told > 0, "no key was told that it did not run");
}
