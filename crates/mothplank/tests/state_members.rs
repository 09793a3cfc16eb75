//! Control members that fall behind, are all killed at once, or lose their data folders.

mod env;
mod history;

use std::sync::Arc;
use std::time::Duration;

use env::{Plan, TestEnv, wait_for, wait_until};
use history::{
    Answer, InForce, Operator, Record, VersionMonitor, audit_trail, check_all, check_resent,
    wait_members_applied,
};
use serde_json::Value;

const MEMBERS: [usize; 3] = [1, 2, 3];

/// The number of changes made while a member is down.
const MISSED_CHANGES: u64 = 500;

/// The time in which no leader may be elected. A fault shows in the first elections, which begin
/// within a second; a correct cluster passes however slow it is.
const NO_LEADER_SPAN: Duration = Duration::from_secs(4);

/// Starts a cluster of three members with small logs, and one entry.
fn start() -> (TestEnv, Arc<Record>, VersionMonitor) {
    let plan = Plan { controls: 3, entries: 1, log_size: Some(16 << 10), ..Plan::default() };
    let mut env = TestEnv::open(plan);
    env.start_controls();
    env.init();
    env.wait_voters(3);
    env.start_entry(1);
    let monitor = VersionMonitor::start(&env);
    (env, Arc::default(), monitor)
}

/// Makes changes at `members` one after the other, each based on the version before.
fn make_changes(
    env: &TestEnv,
    record: &Arc<Record>,
    members: &[usize],
    numbers: std::ops::Range<u64>,
) {
    let mut operator = Operator::new(env, 0, members, record);
    let mut base = operator.read().version;
    for change in numbers {
        match operator.change(change, base) {
            Answer::Accepted(version) => base = version,
            // The operator ignored the answer.
            Answer::Lost => base = operator.read().version,
            Answer::Conflict(winner) => panic!("change {change} lost against {winner:?}"),
        }
    }
}

fn kill(env: &mut TestEnv, n: usize) {
    env.kill(&format!("control-{n}"));
}

fn others(n: usize) -> Vec<usize> {
    MEMBERS.into_iter().filter(|it| *it != n).collect()
}

/// Returns the node ids of a VM's members of this kind, as the leader lists them.
fn node_ids(env: &TestEnv, n: usize, kind: &str) -> Vec<String> {
    let all: Vec<Value> = MEMBERS.iter().filter_map(|it| env.status(*it)).collect();
    let rows = all.iter().filter(|it| it["role"] == "leader");
    let rows = rows.filter_map(|it| it["members"].as_array()).flatten();
    let rows = rows.filter(|it| it["vm"] == format!("vm-{n}") && it["kind"] == kind);
    rows.filter_map(|it| it["node"].as_str().map(str::to_owned)).collect()
}

/// Kills a member, deletes its data folder and restarts it; waits until it is a voter under a new
/// node id, which is returned.
fn replace_data_folder(env: &mut TestEnv, n: usize) -> String {
    let old = wait_for("the voter", || node_ids(env, n, "voter").pop());
    kill(env, n);
    std::fs::remove_dir_all(env.data_folder(n)).unwrap();
    env.start_control(n);
    let new = wait_for("the member to be a voter again", || {
        let voters = node_ids(env, n, "voter");
        let own = env.status(n)?["node"].as_str()?.to_owned();
        assert_ne!(own, old, "the empty folder has the id of the lost one");
        (voters == [own.clone()]).then_some(own)
    });
    let joined =
        |log: String| log.lines().any(|it| it.contains("joins as learner") && it.contains(&new));
    wait_until("the leader to log that it joined as a learner", || {
        others(n).into_iter().any(|it| joined(env.process(&format!("control-{it}")).log()))
    });
    new
}

/// Guards against a restarted member that misses changes, and against members that lose changes,
/// answers or the audit trail when all of them are killed. A member is down for 500 changes while
/// the others repeatedly compact their logs into snapshots; then all members are killed and
/// restarted. The fault would be state that is kept in memory or in the log but not in the
/// snapshot.
#[test]
fn a_member_catches_up_by_snapshot_and_all_killed_lose_nothing() {
    let (mut env, record, monitor) = start();
    make_changes(&env, &record, &MEMBERS, 1..10);
    let away = others(env.wait_leader(&MEMBERS))[0];
    wait_members_applied(&env, 9);
    let log = |env: &mut TestEnv| env.process(&format!("control-{away}")).log();
    let before = log(&mut env).matches("installed a snapshot").count();
    kill(&mut env, away);
    make_changes(&env, &record, &others(away), 10..10 + MISSED_CHANGES);
    env.start_control(away);
    wait_members_applied(&env, 9 + MISSED_CHANGES);
    let after = log(&mut env).matches("installed a snapshot").count();
    assert!(after > before, "it caught up without a snapshot");
    let trails: Vec<Vec<Value>> = MEMBERS.iter().map(|it| audit_trail(&env, *it)).collect();
    for n in MEMBERS {
        kill(&mut env, n);
    }
    env.start_controls();
    env.wait_leader(&MEMBERS);
    wait_members_applied(&env, 9 + MISSED_CHANGES);
    for (n, before) in MEMBERS.iter().zip(trails) {
        let after = audit_trail(&env, *n);
        assert_eq!(after[..before.len()], before[..], "the audit trail of member {n}");
    }
    check_all(&env, &record, monitor);
}

/// Guards against a cluster that cannot commit, or has lost accepted changes, after a member got an
/// empty data folder: as soon as that member is a voter again, the leader dies. The fault would be
/// a learner that becomes a voter before it has the log, or one VM that counts as two members.
#[test]
fn a_lost_folder_is_repaired_and_a_second_loss_is_survived() {
    let (mut env, record, monitor) = start();
    make_changes(&env, &record, &MEMBERS, 1..60);
    let lost = others(env.wait_leader(&MEMBERS))[0];
    replace_data_folder(&mut env, lost);
    // After the leader's death, the member with the new folder is needed for a quorum.
    let dead = env.wait_leader(&MEMBERS);
    kill(&mut env, dead);
    let left = others(dead);
    make_changes(&env, &record, &left, 60..90);
    let seen = Operator::new(&env, 0, &left, &record).read();
    assert_eq!(seen, InForce { version: 89, change: 89 });
    check_resent(&env, &record, &left);
    env.start_control(dead);
    check_all(&env, &record, monitor);
}

/// Guards against lost accepted changes: member C is down while A and B commit changes, then A goes
/// down too and B loses its folder, so that only C, which misses the changes, and the empty B are
/// left. If B voted under the id of its lost folder, C would become the leader with a quorum that
/// has none of the changes.
#[test]
fn an_empty_folder_does_not_vote_for_a_member_that_is_behind() {
    let (mut env, record, monitor) = start();
    make_changes(&env, &record, &MEMBERS, 1..6);
    wait_members_applied(&env, 5);
    let a = env.wait_leader(&MEMBERS);
    let (b, c) = (others(a)[0], others(a)[1]);
    kill(&mut env, c);
    make_changes(&env, &record, &[a, b], 6..40);
    kill(&mut env, a);
    kill(&mut env, b);
    std::fs::remove_dir_all(env.data_folder(b)).unwrap();
    env.start_control(b);
    env.start_control(c);
    wait_until("the empty member to ask to join", || {
        env.process(&format!("control-{b}")).log().contains("asks to join the cluster")
    });
    let leads = |n: usize| env.status(n).is_some_and(|it| it["role"] == "leader");
    let end = std::time::Instant::now() + NO_LEADER_SPAN;
    while std::time::Instant::now() < end {
        assert!(!leads(b) && !leads(c), "a leader without a quorum of those that voted");
        std::thread::sleep(Duration::from_millis(20));
    }
    env.start_control(a);
    env.wait_voters(3);
    let seen = Operator::new(&env, 0, &MEMBERS, &record).read();
    assert_eq!(seen, InForce { version: 39, change: 39 });
    check_all(&env, &record, monitor);
}
