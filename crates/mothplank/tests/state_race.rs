//! Operators race changes on equal base versions while leaders are killed and cut off.

mod env;
mod history;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use env::{OPERATORS, PATIENCE, Plan, TestEnv, wait_until};
use history::{Answer, Operator, Record, Watch, check_all};
use standins::proxy::{Cut, Direction, Scope};

/// Changes that are raced: a fifth in each of as many rounds. `MOTHPLANK_RACE_CHANGES` sets
/// another number; docs/proofs/cluster.md names the run of 1,000.
const CHANGES: usize = 200;

/// Changes from one fault to the next.
const SPACING: usize = 40;

const MEMBERS: [usize; 3] = [1, 2, 3];

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The leader is killed and started again.
    Kill,
    /// The leader is cut off from the other members.
    Cut,
    /// Nothing that the leader sends arrives.
    CutOut,
    /// Nothing arrives at the leader.
    CutIn,
    /// An entry is killed and started again.
    KillEntry,
}

const FAULTS: [Fault; 5] = [Fault::Kill, Fault::Cut, Fault::KillEntry, Fault::CutOut, Fault::CutIn];

/// A barrier that fails where an operator never comes: one that panicked would hold up the rest,
/// and so the whole test, for good.
#[derive(Default)]
struct Meeting {
    arrivals: Mutex<usize>,
    complete: Condvar,
}

impl Meeting {
    fn wait(&self) {
        let mut arrivals = self.arrivals.lock().unwrap();
        *arrivals += 1;
        let all = arrivals.next_multiple_of(OPERATORS.len());
        self.complete.notify_all();
        let waited = self.complete.wait_timeout_while(arrivals, PATIENCE, |it| *it < all);
        let is_late = waited.is_ok_and(|it| it.1.timed_out());
        assert!(!is_late, "an operator does not come");
    }
}

/// What operators and faults know of each other.
struct Race {
    /// Where the operators meet before they propose, and after.
    meeting: Meeting,
    /// Tells each round whose proposals are being sent.
    proposing: Sender<usize>,
    /// Faults that were played and mended.
    mended: AtomicUsize,
}

// Symptom looked for: two operators are told that their change is one version, an accepted change
// is missing or replaced, an entry goes back, or a change sent again is answered otherwise.
// Sequence: in each round five operators read, wait for each other, and propose on what they read;
// meanwhile the leader dies or is cut off, and answers are lost.
// Cause it would have: reads or writes without a quorum, a base compared with an old state, ids
// that are forgotten, or a version published before it is committed.
#[test]
fn one_change_a_version_wins_while_leaders_fail() {
    let named = std::env::var("MOTHPLANK_RACE_CHANGES").ok().and_then(|it| it.parse().ok());
    let rounds = named.unwrap_or(CHANGES) / OPERATORS.len();
    let faults = rounds * OPERATORS.len() / SPACING;
    let mut env = TestEnv::open(Plan {
        controls: 3,
        entries: 3,
        proxied: true,
        log_size: Some(32 << 10),
        ..Plan::default()
    });
    env.controls();
    env.init();
    env.wait_voters(3);
    for n in 1..=3 {
        env.entry(n);
    }
    let record = Arc::new(Record::default());
    let mut first = Operator::new(&env, 0, &MEMBERS, &record);
    assert_eq!(first.change(1, 0), Answer::Accepted(1));
    let watch = Watch::start(&env);
    let (proposing, rounds_begun) = channel();
    let race = Race { meeting: Meeting::default(), proposing, mended: AtomicUsize::new(0) };
    let operators: Vec<Operator> =
        (0..OPERATORS.len()).map(|it| Operator::new(&env, it, &MEMBERS, &record)).collect();
    std::thread::scope(|scope| {
        for (which, operator) in operators.into_iter().enumerate() {
            let race = &race;
            scope.spawn(move || propose(which, operator, rounds, race));
        }
        for number in 0..faults {
            play(&mut env, number, &rounds_begun);
            race.mended.fetch_add(1, Ordering::SeqCst);
        }
    });
    let accepted = record.accepted().len();
    eprintln!("{accepted} of {} changes accepted, {faults} faults", record.changes().len());
    assert!(accepted > rounds / 2, "most rounds have a winner that was told so: {accepted}");
    check_all(&env, &record, watch);
}

/// One operator's part: a change a round. No round begins before the faults due by then were
/// mended, so that none is outrun.
fn propose(which: usize, mut operator: Operator, rounds: usize, race: &Race) {
    for round in 0..rounds {
        let due = round * OPERATORS.len() / SPACING;
        wait_until("the faults before this round to be mended", || {
            race.mended.load(Ordering::SeqCst) >= due
        });
        let base = operator.read().version;
        race.meeting.wait();
        if which == 0 {
            race.proposing.send(round).unwrap();
        }
        operator.change((2 + round * OPERATORS.len() + which) as u64, base);
        race.meeting.wait();
    }
}

/// Plays a fault while the proposals of its round are under way, and mends it.
fn play(env: &mut TestEnv, number: usize, rounds: &Receiver<usize>) {
    let fault = FAULTS[number % FAULTS.len()];
    let leader = env.wait_leader(&MEMBERS);
    let due = number * SPACING / OPERATORS.len();
    while rounds.recv_timeout(PATIENCE).unwrap() < due {}
    // Strikes at a different point of the commit each time.
    std::thread::sleep(Duration::from_millis(number as u64 * 3 % 10));
    if matches!(fault, Fault::KillEntry) {
        env.kill("entry-3");
        env.entry(3);
        return env.wait_ready(env.entry_address(3));
    }
    let others: Vec<usize> = MEMBERS.into_iter().filter(|it| *it != leader).collect();
    let ways = match fault {
        Fault::Cut => Some((Direction::Both, Direction::Both)),
        Fault::CutOut => Some((Direction::Up, Direction::Down)),
        Fault::CutIn => Some((Direction::Down, Direction::Up)),
        Fault::Kill | Fault::KillEntry => None,
    };
    match ways {
        Some((own, theirs)) => cut(env, leader, &others, own, theirs),
        None => env.kill(&format!("control-{leader}")),
    }
    let next = env.wait_leader(&others);
    eprintln!("{fault:?}: {leader} led, {next} leads");
    match ways {
        Some(_) => env.heal(leader, &others),
        None => {
            env.control(leader);
        }
    }
    let version = env.status(next).map_or(0, |it| it["version"].as_u64().unwrap());
    wait_until("the member that failed to follow again", || {
        let status = env.status(leader);
        status.is_some_and(|it| it["version"].as_u64() >= Some(version) && !it["leader"].is_null())
    });
}

/// Silences the connections that the leader opened, and those to it, for good.
fn cut(env: &TestEnv, leader: usize, others: &[usize], own: Direction, theirs: Direction) {
    for other in others {
        env.link(leader, *other).cut(Cut { way: own, scope: Scope::All });
        env.link(*other, leader).cut(Cut { way: theirs, scope: Scope::All });
    }
}
