//! An entry beside a member that lags.

mod env;
mod history;

use std::sync::Arc;

use env::{Plan, TestEnv, wait_until};
use history::{Answer, Operator, Record, Watch, check_all, members_hold, version};
use standins::proxy::{Cut, Scope};

const MEMBERS: [usize; 3] = [1, 2, 3];

/// Counts the sessions with member 3 that the entry gave up because no quorum confirmed a version.
/// The entry reaches that member without a proxy, and so under the environment's own address.
fn given_up(env: &mut TestEnv) -> usize {
    let peer = format!("\"peer\":\"{}:", env.ports.reserve().ip());
    let log = env.process("entry-3").log();
    log.lines().filter(|it| it.contains("no quorum confirmed") && it.contains(&peer)).count()
}

fn cut(env: &TestEnv, from: usize, to: usize) {
    env.link(from, to).cut(Cut { scope: Scope::All, ..Cut::default() });
}

// Symptom looked for: an entry shows a version lower than one it had.
// Sequence: member 3 hears the others no more and lags; the entry beside it learns the next
// version from another member, is then cut off from all but member 3, and at last starts anew
// with nothing but member 3 to ask.
// Cause it would have: an entry that takes any version it is offered, or the first one after its
// start without a quorum's confirmation.
#[test]
fn a_lagging_member_takes_no_entry_back() {
    let plan = Plan { controls: 3, entries: 3, proxied: true, ..Plan::default() };
    let mut env = TestEnv::open(plan);
    env.controls();
    env.init();
    env.wait_voters(3);
    env.entry(3);
    let record = Arc::new(Record::default());
    let mut operator = Operator::new(&env, 0, &MEMBERS, &record);
    assert_eq!(operator.change(1, 0), Answer::Accepted(1));
    members_hold(&env, 1);
    let entry = env.entry_address(3);
    let shows = |env: &TestEnv| version(&env.http, entry);
    wait_until("entry 3 to have version 1", || shows(&env) == Some(1));
    let watch = Watch::start(&env);

    // Nothing of the others' arrives at member 3; the entry on the same VM still reaches them.
    for other in [1, 2] {
        cut(&env, other, 3);
    }
    let mut operator = Operator::new(&env, 1, &[1, 2], &record);
    let base = operator.read().version;
    assert_eq!(operator.change(2, base), Answer::Accepted(2));
    wait_until("entry 3 to have version 2", || shows(&env) == Some(2));
    assert_eq!(env.status(3).unwrap()["version"], 1, "member 3 does not lag");

    // Only member 3 is left for the entry, and offers version 1 to an entry that has version 2.
    for other in [1, 2] {
        cut(&env, 3, other);
    }
    let before = given_up(&mut env);
    wait_until("sessions with member 3 that confirm nothing", || given_up(&mut env) > before);
    assert_eq!(shows(&env), Some(2));

    // It offers the same to an entry that has none.
    env.kill("entry-3");
    env.entry(3);
    let before = given_up(&mut env);
    wait_until("sessions after the start that confirm nothing", || given_up(&mut env) > before);
    assert_eq!(shows(&env), None, "a version that no quorum confirmed");

    env.heal(3, &[1, 2]);
    for n in [1, 2] {
        env.entry(n);
    }
    check_all(&env, &record, watch);
}
