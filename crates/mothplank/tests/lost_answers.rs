//! Answers that are lost on their way, and VMs that do not answer, as commands meet them.

mod env;

use env::{Document, Plan, Signal, TestEnv, wait_until};
use serde_json::json;
use standins::proxy::{Cut, Way};

/// Silences answers, so that what is asked arrives and what is answered does not.
const NO_ANSWERS: Cut = Cut { way: Way::Down, scope: standins::proxy::Scope::All };

fn changed(env: &TestEnv) -> Document {
    let mut document = env.document.clone();
    document.base["policy"] = json!({"retries": 0.2});
    document
}

// Symptom: an operator whose answer was lost sends the change again and is told of a conflict
// with themselves, or makes it twice.
// Sequence: apply reaches a member; its answer is swallowed; apply sends the same change to
// another address.
// Cause looked for: the resend is taken for another change.
#[test]
fn a_change_whose_answer_is_lost_is_made_once() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let proxy = env.proxy(env.control_address(1));
    proxy.cut(NO_ANSWERS);
    let (base, _) = changed(&env).write(&env.data_folder(1).with_extension("files"));
    let members = format!("{},{}", proxy.address(), env.control_address(1));
    let base = base.to_str().unwrap();
    let applied = env.run_ok(&["apply", base, "--based-on", "1", "--control", &members]);
    assert_eq!((&applied["outcome"], &applied["version"]), (&json!("accepted"), &json!(2)));
    let trail = env.run_ok(&["audit"]);
    let changes = trail.as_array().unwrap().iter().filter(|it| it["kind"] == "change");
    assert_eq!(changes.count(), 2, "{trail}");
}

// Symptom: one pallet is sold twice.
// Sequence: a caller's stock note runs at one entry; the answer is swallowed; the caller resends
// to the other entry.
// Cause looked for: the other entry does not find the claim, or the caller draws another key.
#[test]
fn a_note_whose_answer_is_lost_runs_once() {
    let env = TestEnv::start(Plan::default());
    let proxy = env.proxy(env.entry_address(1));
    proxy.cut(NO_ANSWERS);
    let entries = format!("{},{}", proxy.address(), env.entry_address(2));
    let call = ["call", "note", "--entry", &entries, "--idempotency-key", "note-1"];
    let answer = env.run_ok(&[&call[..], &["--deadline-ms", "1000"]].concat());
    assert_eq!(answer["outcome"], "complete", "{answer}");
    let runs: u64 = ["stock-1", "stock-2"]
        .iter()
        .map(|it| env.http.counts(env.standin_address(it))["runs"].clone())
        .flat_map(|it| it.as_object().cloned().unwrap_or_default())
        .filter_map(|(_, runs)| runs.as_u64())
        .sum();
    assert_eq!(runs, 1);
}

// Symptom: an operator takes a version for in force that one entry does not have.
// Sequence: an entry stands still; a change is applied and waited for; the entry goes on.
// Cause looked for: an entry that says nothing is left out of the account.
#[test]
fn apply_names_the_entry_that_lacks_the_version() {
    let mut env = TestEnv::start(Plan::default());
    env.signal("entry-2", Signal::STOP);
    let (base, _) = changed(&env).write(&env.data_folder(1).with_extension("files"));
    let apply = ["apply", base.to_str().unwrap(), "--wait", "--wait-ms", "1000"];
    let (code, applied) = env.run(&apply);
    assert_eq!((code, &applied["outcome"]), (8, &json!("accepted")), "{applied}");
    let missing = applied["missing"].as_array().unwrap();
    assert_eq!(missing.len(), 1, "{applied}");
    assert!(missing[0].as_str().unwrap().starts_with("vm-2 "), "{applied}");
    env.signal("entry-2", Signal::CONT);
    wait_until("the entry has the version", || {
        let status = env.run_ok(&["status"]);
        status["entries"].as_array().unwrap().iter().all(|it| it["version"] == 2)
    });
}

// Symptom: a script takes a change for refused that is made later.
// Sequence: two of three members are killed; an operator applies; a member comes back.
// Cause looked for: without a quorum a change is said not to run although it may yet commit.
#[test]
fn without_a_quorum_a_change_is_not_called_refused() {
    let mut env = TestEnv::start(Plan { controls: 3, entries: 1, ..Plan::default() });
    let leader = env.wait_leader(&[1, 2, 3]);
    let others: Vec<usize> = (1..=3).filter(|it| *it != leader).collect();
    for other in &others {
        env.kill(&format!("control-{other}"));
    }
    let (base, _) = changed(&env).write(&env.data_folder(1).with_extension("files"));
    let id = uuid::Uuid::new_v4().to_string();
    let apply =
        ["apply", base.to_str().unwrap(), "--based-on", "1", "--change-id", &id, "--within-ms"];
    let (code, _) = env.run(&[&apply[..], &["4000"]].concat());
    assert!([5, 6].contains(&code), "exit code {code}");
    env.control(others[0]);
    let applied = env.run_ok(&[&apply[..], &["60000"]].concat());
    assert_eq!((&applied["outcome"], &applied["version"]), (&json!("accepted"), &json!(2)));
}
