//! A rolling restart of all entries and control members under load.

mod env;
mod requests;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use env::{Plan, Signal, TestEnv, wait_until};
use requests::{Answer, Balancer, Caller, Outcome, PipelineRequest, size};
use serde_json::json;

const ENTRIES: usize = 3;
const CONTROLS: usize = 3;

/// The number of callers for each kind of request.
const CALLERS: usize = 4;

/// The number of tokens of a long answer.
const TOKENS: u64 = 16;

/// How long an entry keeps serving until the balancer notices, in milliseconds: much longer than
/// the balancer takes, even on a busy machine.
const NOTICE_MS: u64 = 2_000;

/// The kinds of requests that are in flight all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Short,
    Note,
    Long,
    LongStream,
}

const KINDS: [Kind; 4] = [Kind::Short, Kind::Note, Kind::Long, Kind::LongStream];

impl Kind {
    fn request(self, marker: &str) -> PipelineRequest<'_> {
        let deadline = Duration::from_secs(10);
        let long = matches!(self, Kind::Long | Kind::LongStream);
        let pipeline = if long { "long" } else { "appraise" };
        match self {
            Kind::Note => PipelineRequest {
                key: Some(marker),
                deadline,
                ..PipelineRequest::new("note", marker)
            },
            _ => PipelineRequest {
                deadline,
                stream: self == Kind::LongStream,
                ..PipelineRequest::new(pipeline, marker)
            },
        }
    }
}

fn is_complete(kind: Kind, marker: &str, answer: &Answer) -> bool {
    let tokens = if kind == Kind::LongStream { TOKENS as usize } else { 0 };
    let own = standins::marker::has_only(&answer.json()["output"].to_string(), marker);
    answer.outcome == Outcome::Complete && own && answer.tokens.len() == tokens
}

/// Starts an environment with an additional slow engine for long answers.
fn start() -> TestEnv {
    let plan = Plan { controls: CONTROLS, entries: ENTRIES, notice: NOTICE_MS, ..Plan::default() };
    let mut env = TestEnv::start(plan);
    // 16 tokens take 3 s, or nearly 7 s in the full size.
    let token = size(190_000, 420_000).to_string();
    let args = ["engine", "--first-us", "2000", "--token-us", &token, "--capacity", "64"];
    let address = env.start_standin("slow-1", &args);
    env.document.upstream("slow", "generate", "slow-1", address);
    let base = &mut env.document.base;
    base["pools"]["slow"]["upstreams"]["slow-1"]["capacity"] = 64.into();
    let expected = size(3_000, 6_700);
    let stage = json!({"name": "long", "pool": "slow", "tokens": TOKENS, "expected": expected});
    base["pipelines"]["long"] = json!({"deadline": 10_000, "stages": [stage]});
    base["pipelines"]["appraise"]["deadline"] = 10_000.into();
    base["pipelines"]["note"]["deadline"] = 10_000.into();
    base["customers"]["yards"]["pipelines"] = json!(["appraise", "long", "note"]);
    let document = env.document.clone();
    env.apply(&document);
    env
}

/// Guards against answers that are lost when the system is restarted. Each entry and each control
/// member in turn gets SIGTERM and is started again after it has exited, while short, keyed, long
/// and streamed requests arrive through a balancer without pause. An entry must not refuse requests
/// before the balancer has noticed, exit before its last byte is sent, or close a connection that
/// carries a request, and a leader must not leave without handing leadership over.
#[test]
fn a_rolling_restart_cuts_and_fails_nothing() {
    let mut env = start();
    let entries: Vec<_> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
    let balancer = Balancer::spawn(&env.http, &entries);
    let caller = Caller::open(env.runtime.handle().clone(), 8);
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    let complete = Mutex::new(BTreeMap::<Kind, usize>::new());
    let faults = Mutex::new(Vec::new());
    let run = |kind: Kind| {
        while !stop.load(Ordering::SeqCst) {
            let marker = format!("lot-{}", next.fetch_add(1, Ordering::SeqCst));
            let entry = balancer.next();
            let answer = caller.send_blocking(entry, &kind.request(&marker));
            if is_complete(kind, &marker, &answer) {
                *complete.lock().unwrap().entry(kind).or_default() += 1;
            } else {
                faults.lock().unwrap().push(format!("{kind:?} at {entry}: {answer:?}"));
            }
        }
    };
    let count = |kind: Kind| complete.lock().unwrap().get(&kind).copied().unwrap_or_default();
    let wait_for_load = |what: &str| {
        // Waits until at least one request of every kind has ended, so that each process gets
        // SIGTERM under load.
        let before = KINDS.map(count);
        wait_until(what, || {
            let failed = !faults.lock().unwrap().is_empty();
            failed || KINDS.iter().zip(before).all(|(kind, old)| count(*kind) > old)
        });
    };
    thread::scope(|scope| {
        for kind in KINDS {
            (0..CALLERS).for_each(|_| {
                scope.spawn(move || run(kind));
            });
        }
        for n in 1..=ENTRIES {
            wait_for_load("the load before an entry leaves");
            let name = format!("entry-{n}");
            env.signal(&name, Signal::TERM);
            assert_eq!(env.process(&name).wait_end(), Some(0), "{name}");
            env.start_entry(n);
            env.wait_ready(env.entry_address(n));
        }
        for n in 1..=CONTROLS {
            wait_for_load("the load before a member leaves");
            let name = format!("control-{n}");
            env.signal(&name, Signal::TERM);
            assert_eq!(env.process(&name).wait_end(), Some(0), "{name}");
            env.start_control(n);
            env.wait_live(env.control_address(n));
            wait_until("the member to have caught up", || {
                env.status(n).is_some_and(|it| it["version"] == 2 && it["leader"].is_string())
            });
        }
        wait_for_load("the load after the last restart");
        stop.store(true, Ordering::SeqCst);
    });
    let faults = faults.into_inner().unwrap();
    let complete = complete.into_inner().unwrap();
    eprintln!("complete: {complete:?}, not: {}", faults.len());
    assert!(faults.is_empty(), "not complete: {faults:#?}");
}
