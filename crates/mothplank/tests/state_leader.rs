//! A leader that was stopped or cut off, and comes back after another has taken its place.

mod env;
mod history;

use std::sync::Arc;
use std::time::{Duration, Instant};

use env::{Plan, Signal, TestEnv, wait_until};
use history::{Answer, Gate, InForce, Operator, Record, Seen, Watch, check_all, document, version};
use serde_json::{Value, json};
use standins::proxy::{Cut, Direction, Scope};

const MEMBERS: [usize; 3] = [1, 2, 3];

/// Readers and proposers that wait at the leader while it is away.
const WAITING: u64 = 6;

/// The first number of the changes that are proposed to the leader that is away.
const FIRST_AWAY: u64 = 100;

/// How a leader is put away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Away {
    /// Its process is stopped and goes on later, with all that it had in mind.
    Stopped,
    /// Nothing that it sends to other members arrives.
    Mute,
    /// Nothing that other members send to it arrives.
    Deaf,
}

/// A cluster with an engine that checks fencing numbers and one that ignores them.
struct Scene {
    env: TestEnv,
    record: Arc<Record>,
    checks: Gate,
    ignores: Gate,
}

// Symptom looked for: after another member leads, what the old leader says counts: a change is told
// accepted, an old version is read, an entry goes back, an engine that checks takes its order, or
// one that ignores numbers keeps it.
// Sequence: the leader's orders for version 2 are held up by the network; the leader is put away;
// another is elected and brings version 3 into force; operators wait at the old leader; the held
// orders arrive and the old leader comes back.
// Cause it would have: answers from the leader's own memory, orders without a rising number, or a
// new leader that orders once and never looks again.
#[test]
fn a_stopped_leader_has_no_say_when_it_goes_on() {
    replace(Away::Stopped);
}

#[test]
fn a_leader_that_nobody_hears_has_no_say() {
    replace(Away::Mute);
}

#[test]
fn a_leader_that_hears_nobody_has_no_say() {
    replace(Away::Deaf);
}

fn replace(away: Away) {
    let mut scene = Scene::open();
    let watch = Watch::start(&scene.env);
    let mut operator = Operator::new(&scene.env, 0, &MEMBERS, &scene.record);
    operator.write(&scene.document("1"));
    assert_eq!(operator.change(1, 0), Answer::Accepted(1));
    scene.wait_engines("1");
    scene.wait_entries(&MEMBERS, 1);

    // The orders for version 2 are under way when the leader goes.
    scene.hold(true);
    let old = scene.env.wait_leader(&MEMBERS);
    operator.write(&scene.document("2"));
    assert_eq!(operator.change(2, 1), Answer::Accepted(2));
    let held = |gate: &Gate| gate.held().contains(&"2".to_owned());
    wait_until("an order to each engine", || held(&scene.checks) && held(&scene.ignores));
    let others: Vec<usize> = MEMBERS.into_iter().filter(|it| *it != old).collect();
    let from = Instant::now();
    scene.put_away(away, old, &others);
    let mut waiting: Vec<_> = (0..WAITING).map(|it| scene.ask_away(old, it)).collect();

    let new = scene.env.wait_leader(&others);
    assert_ne!(new, old);
    scene.hold(false);
    let mut operator = Operator::new(&scene.env, 1, &others, &scene.record);
    operator.write(&scene.document("3"));
    let last = win(&mut operator);
    // Whoever asks from here on must not be told of version 2 any more.
    waiting.extend((WAITING..2 * WAITING).map(|it| scene.ask_away(old, it)));
    scene.wait_engines("3");
    scene.wait_settled(new);
    if away == Away::Stopped {
        scene.wait_entries(&MEMBERS, last.version);
    } else {
        // The entry on the VM that is cut off reaches nobody else, and must say so.
        scene.wait_entries(&others, last.version);
        let entry = scene.env.entry_address(old);
        wait_until("the entry beside the old leader to stop serving", || {
            scene.env.http.get(entry, "/readyz").is_ok_and(|it| it.status == 503)
        });
        // It hears only the old leader, who has proposals for a third version and no quorum.
        if away == Away::Deaf {
            assert!(version(&scene.env.http, entry) <= Some(2), "published without a quorum");
        }
    }
    wait_span(from);

    // A leader that is cut off answers while it is; once healed it may pass a change on, and be
    // told that it was accepted by the one that leads.
    if away != Away::Stopped {
        waiting.drain(..).for_each(|it| it.join().unwrap());
    }
    scene.checks.release();
    scene.ignores.release();
    scene.bring_back(away, old, &others);
    waiting.drain(..).for_each(|it| it.join().unwrap());
    wait_until("the old leader to follow", || {
        let status = scene.env.status(old);
        status.is_some_and(|it| it["role"] == "follower" && it["version"] == last.version)
    });
    let late = |gate: &Gate| gate.seen().iter().filter(|it| it.version == "2").count() > 0;
    wait_until("the held orders to arrive", || late(&scene.checks) && late(&scene.ignores));
    scene.wait_engines("3");
    check_fences(&scene.checks.seen());
    check_last(&scene.ignores.seen());
    check_all(&scene.env, &scene.record, watch);
}

/// Proposes until a change wins. A change that waited at the old leader may have been passed on
/// to the new one and have won before.
fn win(operator: &mut Operator) -> InForce {
    for change in 10.. {
        let base = operator.read().version;
        if let Answer::Accepted(version) = operator.change(change, base) {
            return InForce { version, change };
        }
    }
    unreachable!("there is always another number")
}

/// A full run keeps the leader away for `MOTHPLANK_AWAY_SECONDS`.
fn wait_span(from: Instant) {
    let named = std::env::var("MOTHPLANK_AWAY_SECONDS").ok().and_then(|it| it.parse().ok());
    let span = Duration::from_secs(named.unwrap_or(0));
    std::thread::sleep(span.saturating_sub(from.elapsed()));
}

/// An engine that checks never takes a lower number, nor an old target after a newer one.
fn check_fences(seen: &[Seen]) {
    let taken: Vec<&Seen> = seen.iter().filter(|it| it.status == 200).collect();
    for pair in taken.windows(2) {
        assert!(pair[0].fence < pair[1].fence, "numbers taken do not rise: {seen:?}");
        assert!(pair[0].version <= pair[1].version, "an old order was taken: {seen:?}");
    }
    let refused = seen.iter().any(|it| it.version == "2" && it.status == 409);
    assert!(refused, "the late order was not refused: {seen:?}");
}

/// An engine that ignores numbers took the late order, and after it the target in force again.
fn check_last(seen: &[Seen]) {
    let versions: Vec<&str> = seen.iter().map(|it| it.version.as_str()).collect();
    let late = versions.iter().rposition(|it| *it == "2").unwrap();
    assert!(versions[..late].contains(&"3"), "the late order was not late: {seen:?}");
    assert_eq!(versions.last(), Some(&"3"), "{seen:?}");
}

impl Scene {
    fn open() -> Self {
        let plan = Plan { controls: 3, entries: 3, proxied: true, ..Plan::default() };
        let mut env = TestEnv::open(plan);
        let checks = env.standin("checks", &["engine"]);
        let ignores = env.standin("ignores", &["engine", "--no-fencing"]);
        let (checks, ignores) = (Gate::open(&env, checks), Gate::open(&env, ignores));
        env.controls();
        env.init();
        env.wait_voters(3);
        for n in 1..=3 {
            env.entry(n);
        }
        Self { env, record: Arc::default(), checks, ignores }
    }

    /// Makes a document in which both engines are to have this version of the weights.
    fn document(&self, version: &str) -> Value {
        let pool = |gate: &Gate, fencing: &str| {
            let upstream = json!({
                "address": gate.address(), "site": "north", "vm": fencing, "capacity": 4,
                "model": "appraiser", "role": "both", "fencing": fencing, "reports": false,
            });
            json!({"kind": "generate", "cost": 1.0, "upstreams": {fencing: upstream}})
        };
        let mut document = document();
        document["models"] = json!({"appraiser": {"version": version, "weights": 1_000}});
        document["orders"] = json!({"longest": 2_000});
        document["pools"] = json!({
            "checked": pool(&self.checks, "checks"), "ignored": pool(&self.ignores, "ignores"),
        });
        document
    }

    fn hold(&self, holds: bool) {
        self.checks.hold(holds);
        self.ignores.hold(holds);
    }

    fn wait_engines(&self, version: &str) {
        wait_until(&format!("both engines to show version {version}"), || {
            self.checks.shows() == version && self.ignores.shows() == version
        });
    }

    fn wait_entries(&self, entries: &[usize], least: u64) {
        for n in entries.iter().copied() {
            wait_until(&format!("entry {n} to have version {least}"), || {
                version(&self.env.http, self.env.entry_address(n)) >= Some(least)
            });
        }
    }

    /// Asks the leader that is away, on a thread of its own: half of the calls read, half propose
    /// on the version that it last knew. None may be told that it was accepted.
    fn ask_away(&self, old: usize, number: u64) -> std::thread::JoinHandle<()> {
        let which = number as usize % env::OPERATORS.len();
        let mut operator = Operator::new(&self.env, which, &[old], &self.record);
        operator.write(&self.document("away"));
        std::thread::spawn(move || {
            if number.is_multiple_of(2) {
                operator.read_once();
                return;
            }
            let answer = operator.change_once(FIRST_AWAY + number, 2);
            assert!(!matches!(answer, Answer::Accepted(_)), "accepted by the old leader");
        })
    }

    fn put_away(&mut self, away: Away, old: usize, others: &[usize]) {
        let (own, theirs) = match away {
            Away::Stopped => {
                self.env.signal(&format!("control-{old}"), Signal::STOP);
                return self.wait_stopped(old);
            }
            Away::Mute => (Direction::Up, Direction::Down),
            Away::Deaf => (Direction::Down, Direction::Up),
        };
        for other in others {
            self.env.link(old, *other).cut(Cut { way: own, scope: Scope::All });
            self.env.link(*other, old).cut(Cut { way: theirs, scope: Scope::All });
        }
    }

    /// Waits until no thread of the member runs. The signal is sent before they all take notice,
    /// and a change that comes in between may still be committed.
    fn wait_stopped(&self, n: usize) {
        let tasks = format!("/proc/{}/task", self.env.process_id(&format!("control-{n}")));
        let is_stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|it| it.trim_start().starts_with('T'))
        };
        wait_until("every thread of the leader to stop", || {
            std::fs::read_dir(&tasks).unwrap().flatten().all(is_stopped)
        });
    }

    /// Waits until the new leader has read back what it ordered, and has nothing left to order.
    fn wait_settled(&self, new: usize) {
        wait_until("the new leader to have nothing left to order", || {
            let status = self.env.status(new);
            let rows = status.and_then(|it| it["upstreams"].as_array().cloned());
            rows.is_some_and(|it| it.len() == 2 && it.iter().all(|row| row["why"].is_null()))
        });
    }

    fn bring_back(&mut self, away: Away, old: usize, others: &[usize]) {
        match away {
            Away::Stopped => self.env.signal(&format!("control-{old}"), Signal::CONT),
            Away::Mute | Away::Deaf => self.env.heal(old, others),
        }
    }
}
