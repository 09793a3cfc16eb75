//! An entry whose local control member lags behind.

mod env;
mod history;

use std::sync::Arc;

use env::{Plan, TestEnv, wait_until};
use history::{
    Answer, Operator, Record, VersionMonitor, check_all, entry_version, wait_members_applied,
};
use standins::proxy::{Cut, Scope};

const MEMBERS: [usize; 3] = [1, 2, 3];

/// Counts the sessions with member 3 that the entry closed because no quorum confirmed a version.
/// The entry reaches that member without a proxy, at the IP address of the environment.
fn unconfirmed_sessions(env: &mut TestEnv) -> usize {
    let peer = format!("\"peer\":\"{}:", env.ports.reserve().ip());
    let log = env.process("entry-3").log();
    log.lines().filter(|it| it.contains("no quorum confirmed") && it.contains(&peer)).count()
}

fn cut(env: &TestEnv, from: usize, to: usize) {
    env.link(from, to).cut(Cut { scope: Scope::All, ..Cut::default() });
}

/// Guards against an entry that returns to an older version. Member 3 receives nothing from the
/// other members and lags. The entry on the same VM learns the next version from another member, is
/// then cut off from all but member 3, and is finally restarted with only member 3 to ask. It must
/// neither accept a lower version nor, after the start, one that no quorum has confirmed.
#[test]
fn a_lagging_member_takes_no_entry_back() {
    let plan = Plan { controls: 3, entries: 3, proxied: true, ..Plan::default() };
    let mut env = TestEnv::open(plan);
    env.start_controls();
    env.init();
    env.wait_voters(3);
    env.start_entry(3);
    let record = Arc::new(Record::default());
    let mut operator = Operator::new(&env, 0, &MEMBERS, &record);
    assert_eq!(operator.change(1, 0), Answer::Accepted(1));
    wait_members_applied(&env, 1);
    let entry = env.entry_address(3);
    let shown_version = |env: &TestEnv| entry_version(&env.http, entry);
    wait_until("entry 3 to have version 1", || shown_version(&env) == Some(1));
    let monitor = VersionMonitor::start(&env);

    // Member 3 receives nothing from the other members; the entry on its VM still reaches them.
    for other in [1, 2] {
        cut(&env, other, 3);
    }
    let mut operator = Operator::new(&env, 1, &[1, 2], &record);
    let base = operator.read().version;
    assert_eq!(operator.change(2, base), Answer::Accepted(2));
    wait_until("entry 3 to have version 2", || shown_version(&env) == Some(2));
    assert_eq!(env.status(3).unwrap()["version"], 1, "member 3 does not lag");

    // The entry can reach only member 3, which offers version 1 to an entry that has version 2.
    for other in [1, 2] {
        cut(&env, 3, other);
    }
    let before = unconfirmed_sessions(&mut env);
    wait_until("sessions with member 3 that confirm nothing", || {
        unconfirmed_sessions(&mut env) > before
    });
    assert_eq!(shown_version(&env), Some(2));

    // Member 3 offers version 1 to an entry that has no version.
    env.kill("entry-3");
    env.start_entry(3);
    let before = unconfirmed_sessions(&mut env);
    wait_until("sessions after the start that confirm nothing", || {
        unconfirmed_sessions(&mut env) > before
    });
    assert_eq!(shown_version(&env), None, "a version that no quorum confirmed");

    env.heal(3, &[1, 2]);
    for n in [1, 2] {
        env.start_entry(n);
    }
    check_all(&env, &record, monitor);
}
