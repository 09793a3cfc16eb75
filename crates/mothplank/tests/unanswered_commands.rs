//! The commands when answers are lost in the network or VMs do not answer.

mod env;

use env::{Document, Plan, Signal, TestEnv, wait_until};
use serde_json::json;
use standins::proxy::{Cut, Direction};

/// Drops all answers, so that requests arrive but their answers do not.
const NO_ANSWERS: Cut = Cut { way: Direction::Down, scope: standins::proxy::Scope::All };

fn changed_document(env: &TestEnv) -> Document {
    let mut document = env.document.clone();
    document.base["policy"] = json!({"retries": 0.2});
    document
}

/// Guards against a resent change that conflicts with itself or is made twice: the answer of a
/// member is lost, `apply` sends the same change to another address, and the resend must not be
/// taken for another change.
#[test]
fn a_change_whose_answer_is_lost_is_made_once() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let proxy = env.start_proxy(env.control_address(1));
    proxy.cut(NO_ANSWERS);
    let (base, _) = changed_document(&env).write(&env.data_folder(1).with_extension("files"));
    let members = format!("{},{}", proxy.address(), env.control_address(1));
    let base = base.to_str().unwrap();
    let applied = env.run_ok(&["apply", base, "--based-on", "1", "--control", &members]);
    assert_eq!((&applied["outcome"], &applied["version"]), (&json!("accepted"), &json!(2)));
    let trail = env.run_ok(&["audit"]);
    let changes = trail.as_array().unwrap().iter().filter(|it| it["kind"] == "change");
    assert_eq!(changes.count(), 2, "{trail}");
}

/// Guards against a pallet that is sold twice: a stock note runs at one entry, the answer is lost,
/// and the caller resends to the other entry. That entry must find the claim, and the caller must
/// use the same key.
#[test]
fn a_note_whose_answer_is_lost_runs_once() {
    let env = TestEnv::start(Plan::default());
    let proxy = env.start_proxy(env.entry_address(1));
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

/// Guards against `apply --wait` reporting a version as in force everywhere although one entry does
/// not have it: an entry is stopped while a change is applied, and an entry that does not report
/// must not be left out.
#[test]
fn apply_names_the_entry_that_lacks_the_version() {
    let mut env = TestEnv::start(Plan::default());
    env.signal("entry-2", Signal::STOP);
    let (base, _) = changed_document(&env).write(&env.data_folder(1).with_extension("files"));
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

/// Guards against a change that is reported as refused but made later: two of three members are
/// killed, an operator applies a change, and one member returns. Without a quorum a change must not
/// be reported as refused, because it may still be committed.
#[test]
fn without_a_quorum_a_change_is_not_called_refused() {
    let mut env = TestEnv::start(Plan { controls: 3, entries: 1, ..Plan::default() });
    let leader = env.wait_leader(&[1, 2, 3]);
    let others: Vec<usize> = (1..=3).filter(|it| *it != leader).collect();
    for other in &others {
        env.kill(&format!("control-{other}"));
    }
    let (base, _) = changed_document(&env).write(&env.data_folder(1).with_extension("files"));
    let id = uuid::Uuid::new_v4().to_string();
    let apply =
        ["apply", base.to_str().unwrap(), "--based-on", "1", "--change-id", &id, "--within-ms"];
    let (code, _) = env.run(&[&apply[..], &["4000"]].concat());
    assert!([5, 6].contains(&code), "exit code {code}");
    env.start_control(others[0]);
    let applied = env.run_ok(&[&apply[..], &["60000"]].concat());
    assert_eq!((&applied["outcome"], &applied["version"]), (&json!("accepted"), &json!(2)));
}
