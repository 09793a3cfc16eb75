//! Operators propose concurrent changes with the same base version while leaders are killed and cut
//! off.

mod env;
mod history;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use env::{OPERATORS, Plan, TestEnv, WAIT_TIMEOUT, wait_until};
use history::{Answer, Operator, Record, VersionMonitor, check_all};
use standins::proxy::{Cut, Direction, Scope};

/// The number of changes, of which the five operators propose one each in a round.
/// `MOTHPLANK_RACE_CHANGES` sets another number; docs/proofs/cluster.md reports a run of 1,000.
const CHANGES: usize = 200;

/// The number of changes from one fault to the next.
const CHANGES_PER_FAULT: usize = 40;

const MEMBERS: [usize; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The leader is killed and restarted.
    Kill,
    /// The leader is cut off from the other members.
    Cut,
    /// Nothing that the leader sends arrives at the other members.
    CutOutbound,
    /// Nothing arrives at the leader.
    CutInbound,
    /// An entry is killed and restarted.
    KillEntry,
}

const FAULTS: [Fault; 5] =
    [Fault::Kill, Fault::Cut, Fault::KillEntry, Fault::CutOutbound, Fault::CutInbound];

/// A barrier with a timeout. Without the timeout, an operator that panicked would block the other
/// operators, and so the test, forever.
#[derive(Default)]
struct TimedBarrier {
    arrivals: Mutex<usize>,
    complete: Condvar,
}

impl TimedBarrier {
    fn wait(&self) {
        let mut arrivals = self.arrivals.lock().unwrap();
        *arrivals += 1;
        let all = arrivals.next_multiple_of(OPERATORS.len());
        self.complete.notify_all();
        let waited = self.complete.wait_timeout_while(arrivals, WAIT_TIMEOUT, |it| *it < all);
        let is_late = waited.is_ok_and(|it| it.1.timed_out());
        assert!(!is_late, "an operator did not reach the barrier");
    }
}

/// The state that operators and the thread that injects faults share.
struct Race {
    /// The barrier of the operators before and after they propose.
    barrier: TimedBarrier,
    /// Sends the number of each round when its proposals are sent.
    proposing: Sender<usize>,
    /// The number of faults that were injected and repaired.
    repaired: AtomicUsize,
}

/// Guards against two accepted changes for one version, accepted changes that are missing or
/// replaced, entries that return to an older version, and resent changes that get a different
/// answer. In each round five operators read, wait for each other, and propose changes based on
/// what they read, while the leader dies or is cut off and answers are lost. The faults would come
/// from reads or writes without a quorum, a base that is compared with an old state, forgotten
/// change ids, or a version that is published before it is committed.
#[test]
fn one_change_a_version_wins_while_leaders_fail() {
    let requested = std::env::var("MOTHPLANK_RACE_CHANGES").ok().and_then(|it| it.parse().ok());
    let rounds = requested.unwrap_or(CHANGES) / OPERATORS.len();
    let faults = rounds * OPERATORS.len() / CHANGES_PER_FAULT;
    let mut env = TestEnv::open(Plan {
        controls: 3,
        entries: 3,
        proxied: true,
        log_size: Some(32 << 10),
        ..Plan::default()
    });
    env.start_controls();
    env.init();
    env.wait_voters(3);
    for n in 1..=3 {
        env.start_entry(n);
    }
    let record = Arc::new(Record::default());
    let mut first = Operator::new(&env, 0, &MEMBERS, &record);
    assert_eq!(first.change(1, 0), Answer::Accepted(1));
    let monitor = VersionMonitor::start(&env);
    let (proposing, rounds_begun) = channel();
    let race = Race { barrier: TimedBarrier::default(), proposing, repaired: AtomicUsize::new(0) };
    let operators: Vec<Operator> =
        (0..OPERATORS.len()).map(|it| Operator::new(&env, it, &MEMBERS, &record)).collect();
    std::thread::scope(|scope| {
        for (index, operator) in operators.into_iter().enumerate() {
            let race = &race;
            scope.spawn(move || propose(index, operator, rounds, race));
        }
        for number in 0..faults {
            inject(&mut env, number, &rounds_begun);
            race.repaired.fetch_add(1, Ordering::SeqCst);
        }
    });
    let accepted = record.accepted().len();
    eprintln!("{accepted} of {} changes accepted, {faults} faults", record.changes().len());
    assert!(
        accepted > rounds / 2,
        "only {accepted} changes in {rounds} rounds were reported as accepted"
    );
    check_all(&env, &record, monitor);
}

/// Runs one operator, who proposes one change in each round. A round begins only after the faults
/// that are due by then were repaired, so that the operators do not overtake the faults.
fn propose(index: usize, mut operator: Operator, rounds: usize, race: &Race) {
    for round in 0..rounds {
        let due = round * OPERATORS.len() / CHANGES_PER_FAULT;
        wait_until("the faults before this round to be repaired", || {
            race.repaired.load(Ordering::SeqCst) >= due
        });
        let base = operator.read().version;
        race.barrier.wait();
        if index == 0 {
            race.proposing.send(round).unwrap();
        }
        operator.change((2 + round * OPERATORS.len() + index) as u64, base);
        race.barrier.wait();
    }
}

/// Injects a fault while the proposals of its round are in flight, and repairs it.
fn inject(env: &mut TestEnv, number: usize, rounds: &Receiver<usize>) {
    let fault = FAULTS[number % FAULTS.len()];
    let leader = env.wait_leader(&MEMBERS);
    let due = number * CHANGES_PER_FAULT / OPERATORS.len();
    while rounds.recv_timeout(WAIT_TIMEOUT).unwrap() < due {}
    // The delay varies, so that the faults hit different points of a commit.
    std::thread::sleep(Duration::from_millis(number as u64 * 3 % 10));
    if matches!(fault, Fault::KillEntry) {
        env.kill("entry-3");
        env.start_entry(3);
        return env.wait_ready(env.entry_address(3));
    }
    let others: Vec<usize> = MEMBERS.into_iter().filter(|it| *it != leader).collect();
    let ways = match fault {
        Fault::Cut => Some((Direction::Both, Direction::Both)),
        Fault::CutOutbound => Some((Direction::Up, Direction::Down)),
        Fault::CutInbound => Some((Direction::Down, Direction::Up)),
        Fault::Kill | Fault::KillEntry => None,
    };
    match ways {
        Some((leader_way, other_way)) => cut(env, leader, &others, leader_way, other_way),
        None => env.kill(&format!("control-{leader}")),
    }
    let next = env.wait_leader(&others);
    eprintln!("{fault:?}: {leader} led, {next} leads");
    match ways {
        Some(_) => env.heal(leader, &others),
        None => {
            env.start_control(leader);
        }
    }
    let version = env.status(next).map_or(0, |it| it["version"].as_u64().unwrap());
    wait_until("the member that failed to follow again", || {
        let status = env.status(leader);
        status.is_some_and(|it| it["version"].as_u64() >= Some(version) && !it["leader"].is_null())
    });
}

/// Silences the connections that the leader opened, and those to it, until they are healed.
fn cut(
    env: &TestEnv,
    leader: usize,
    others: &[usize],
    leader_way: Direction,
    other_way: Direction,
) {
    for other in others {
        env.link(leader, *other).cut(Cut { way: leader_way, scope: Scope::All });
        env.link(*other, leader).cut(Cut { way: other_way, scope: Scope::All });
    }
}
