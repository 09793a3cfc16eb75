//! Control members with slow disks, restarted one after the other under load.

mod env;
mod requests;

use std::fs;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use env::{Plan, Signal, TestEnv, wait_until};
use requests::{Caller, Outcome, PipelineRequest, size};

const CONTROLS: usize = 3;
const ENTRIES: usize = 3;

/// The number of callers of each pipeline.
const CALLERS: usize = 3;

/// Sets the delay that is added to each sync of a member's disk; only debug builds read it.
fn slow_down(env: &TestEnv, member: usize, ms: u64) {
    fs::write(env.data_folder(member).join("sync-delay-ms"), ms.to_string()).unwrap();
}

fn restart(env: &mut TestEnv, member: usize) {
    let name = format!("control-{member}");
    env.signal(&name, Signal::TERM);
    assert_eq!(env.process(&name).wait_end(), Some(0), "{name}");
    env.start_control(member);
    env.wait_live(env.control_address(member));
    wait_until("the member to have caught up", || {
        env.status(member).is_some_and(|it| it["version"] == 2 && it["leader"].is_string())
    });
}

/// Guards against valid requests that are refused as stale, or fail after their claim, because
/// heartbeats and the confirmation of reads wait for slow disks.
#[test]
fn slow_disks_refuse_and_fail_nothing() {
    struct Case {
        name: &'static str,
        slow: &'static [usize],
        ms: u64,
    }
    let cases = [
        Case { name: "all at 0.3 s", slow: &[1, 2, 3], ms: 300 },
        Case { name: "all at 1 s", slow: &[1, 2, 3], ms: 1_000 },
        Case { name: "one at 3 s", slow: &[2], ms: 3_000 },
    ];
    let count = size(2, cases.len());
    let mut env = TestEnv::start(Plan { controls: CONTROLS, entries: ENTRIES, ..Plan::default() });
    for pipeline in ["appraise", "note"] {
        env.document.base["pipelines"][pipeline]["deadline"] = 20_000.into();
    }
    let document = env.document.clone();
    env.apply(&document);
    let caller = Caller::open(env.runtime.handle().clone(), 8);
    let next = AtomicUsize::new(0);
    for Case { name, slow, ms } in cases.into_iter().take(count) {
        slow.iter().for_each(|it| slow_down(&env, *it, ms));
        let (stop, done, faults) =
            (AtomicBool::new(false), AtomicUsize::new(0), Mutex::new(Vec::new()));
        let entries: Vec<_> = (1..=ENTRIES).map(|n| env.entry_address(n)).collect();
        let run = |pipeline: &str, at: usize| {
            while !stop.load(Ordering::SeqCst) {
                let marker = format!("lot-{}", next.fetch_add(1, Ordering::SeqCst));
                let key = (pipeline == "note").then_some(marker.as_str());
                let deadline = Duration::from_secs(20);
                let request =
                    PipelineRequest { key, deadline, ..PipelineRequest::new(pipeline, &marker) };
                let answer = caller.send_blocking(entries[at % ENTRIES], &request);
                if answer.outcome == Outcome::Complete {
                    done.fetch_add(1, Ordering::SeqCst);
                } else {
                    faults.lock().unwrap().push(format!("{pipeline} at entry {at}: {answer:?}"));
                }
            }
        };
        thread::scope(|scope| {
            for at in 0..CALLERS {
                let run = &run;
                scope.spawn(move || run("appraise", at));
                scope.spawn(move || run("note", at));
            }
            (1..=CONTROLS).for_each(|member| restart(&mut env, member));
            stop.store(true, Ordering::SeqCst);
        });
        slow.iter().for_each(|it| slow_down(&env, *it, 0));
        let faults = faults.into_inner().unwrap();
        let done = done.into_inner();
        eprintln!("{name}: {done} complete, {} not", faults.len());
        assert!(faults.is_empty(), "{name}: {done} complete; not complete: {faults:#?}");
    }
}
