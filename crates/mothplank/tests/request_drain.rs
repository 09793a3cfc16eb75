//! A rolling restart of every process under load.

mod env;
mod requests;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use env::{Plan, Signal, TestEnv, wait_until};
use requests::{Answer, Ask, Balancer, Caller, Said, size};
use serde_json::json;

const ENTRIES: usize = 3;
const CONTROLS: usize = 3;

/// Callers of each kind of request.
const CALLERS: usize = 4;

/// Tokens of a long answer.
const TOKENS: u64 = 16;

/// How long an entry keeps serving while the balancer notices, in ms: far longer than the balancer
/// takes, also where the machine is busy.
const NOTICE: u64 = 2_000;

/// The kinds of requests that are under way all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Short,
    Note,
    Long,
    LongStream,
}

const KINDS: [Kind; 4] = [Kind::Short, Kind::Note, Kind::Long, Kind::LongStream];

impl Kind {
    fn ask(self, marker: &str) -> Ask<'_> {
        let deadline = Duration::from_secs(10);
        let long = matches!(self, Kind::Long | Kind::LongStream);
        let pipeline = if long { "long" } else { "appraise" };
        match self {
            Kind::Note => Ask { key: Some(marker), deadline, ..Ask::new("note", marker) },
            _ => Ask { deadline, stream: self == Kind::LongStream, ..Ask::new(pipeline, marker) },
        }
    }
}

fn is_whole(kind: Kind, marker: &str, answer: &Answer) -> bool {
    let tokens = if kind == Kind::LongStream { TOKENS as usize } else { 0 };
    let own = standins::marker::has_only(&answer.json()["output"].to_string(), marker);
    answer.said == Said::Complete && own && answer.tokens.len() == tokens
}

/// Starts an environment with a slow engine of its own for long answers.
fn start() -> TestEnv {
    let plan = Plan { controls: CONTROLS, entries: ENTRIES, notice: NOTICE, ..Plan::default() };
    let mut env = TestEnv::start(plan);
    // 16 tokens take 3 s, or nearly 7 s in the full size.
    let token = size(190_000, 420_000).to_string();
    let args = ["engine", "--first-us", "2000", "--token-us", &token, "--capacity", "64"];
    let address = env.standin("slow-1", &args);
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

// Symptom: callers lose answers whenever an operator restarts the system.
// Sequence: SIGTERM to each entry and each control member in turn, each started again once it has
// ended, while short, keyed, long and streamed requests come through a balancer without pause.
// Cause looked for: an entry refuses before the balancer has noticed, ends before its last byte, or
// closes a connection that carries a request; a leader leaves without handing over.
#[test]
fn a_rolling_restart_cuts_and_fails_nothing() {
    let mut env = start();
    let entries: Vec<_> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
    let balancer = Balancer::spawn(&env.http, &entries);
    let caller = Caller::open(env.runtime.handle().clone(), 8);
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    let whole = Mutex::new(BTreeMap::<Kind, usize>::new());
    let faults = Mutex::new(Vec::new());
    let run = |kind: Kind| {
        while !stop.load(Ordering::SeqCst) {
            let marker = format!("lot-{}", next.fetch_add(1, Ordering::SeqCst));
            let entry = balancer.next();
            let answer = caller.call(entry, &kind.ask(&marker));
            if is_whole(kind, &marker, &answer) {
                *whole.lock().unwrap().entry(kind).or_default() += 1;
            } else {
                faults.lock().unwrap().push(format!("{kind:?} at {entry}: {answer:?}"));
            }
        }
    };
    let count = |kind: Kind| whole.lock().unwrap().get(&kind).copied().unwrap_or_default();
    let more = |what: &str| {
        // Every kind has ended and begun anew, so that each process is asked to leave under load.
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
            more("the load before an entry leaves");
            let name = format!("entry-{n}");
            env.signal(&name, Signal::TERM);
            assert_eq!(env.process(&name).wait_end(), Some(0), "{name}");
            env.entry(n);
            env.wait_ready(env.entry_address(n));
        }
        for n in 1..=CONTROLS {
            more("the load before a member leaves");
            let name = format!("control-{n}");
            env.signal(&name, Signal::TERM);
            assert_eq!(env.process(&name).wait_end(), Some(0), "{name}");
            env.control(n);
            env.wait_live(env.control_address(n));
            wait_until("the member to have caught up", || {
                env.status(n).is_some_and(|it| it["version"] == 2 && it["leader"].is_string())
            });
        }
        more("the load after the last restart");
        stop.store(true, Ordering::SeqCst);
    });
    let faults = faults.into_inner().unwrap();
    let whole = whole.into_inner().unwrap();
    eprintln!("whole: {whole:?}, not: {}", faults.len());
    assert!(faults.is_empty(), "not whole: {faults:#?}");
}
