//! A leader that is stopped or cut off, and returns after another leader was elected.

mod env;
mod history;

use std::sync::Arc;
use std::time::{Duration, Instant};

use env::{Plan, Signal, TestEnv, wait_until};
use history::{
    Answer, InForce, Operator, OrderProxy, Record, SeenOrder, VersionMonitor, check_all, document,
    entry_version,
};
use serde_json::{Value, json};
use standins::proxy::{Cut, Direction, Scope};

const MEMBERS: [usize; 3] = [1, 2, 3];

/// The number of calls sent to the isolated leader before, and again after, a new leader is
/// elected.
const WAITING_CALLS: u64 = 6;

/// The number of the first change that is proposed to the isolated leader.
const FIRST_ISOLATED_CHANGE: u64 = 100;

/// How a leader is isolated from the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Isolation {
    /// Its process is stopped, and later continues with its old state in memory.
    Stopped,
    /// Nothing that it sends arrives at the other members.
    OutboundCut,
    /// Nothing that the other members send arrives at it.
    InboundCut,
}

/// A cluster with an engine that checks fencing numbers and an engine that ignores them.
struct Scenario {
    env: TestEnv,
    record: Arc<Record>,
    checks: OrderProxy,
    ignores: OrderProxy,
}

// These tests guard against effects of an old leader after another one was elected: it reports a
// change as accepted, returns an old version to a reader, moves an entry back to an old version,
// gets an order accepted by an engine that checks fencing numbers, or leaves its order in effect at
// an engine that ignores them. Orders for version 2 are delayed in the network, the leader is
// isolated, another is elected and puts version 3 into force while operators call the old leader;
// then the delayed orders arrive and the old leader returns. The faults would come from answers out
// of the leader's own memory, from orders without increasing fencing numbers, or from a new leader
// that sends its orders once and never checks them again.
#[test]
fn a_stopped_leader_has_no_say_when_it_goes_on() {
    replace_leader(Isolation::Stopped);
}

#[test]
fn a_leader_that_nobody_hears_has_no_say() {
    replace_leader(Isolation::OutboundCut);
}

#[test]
fn a_leader_that_hears_nobody_has_no_say() {
    replace_leader(Isolation::InboundCut);
}

fn replace_leader(isolation: Isolation) {
    let mut scenario = Scenario::open();
    let monitor = VersionMonitor::start(&scenario.env);
    let mut operator = Operator::new(&scenario.env, 0, &MEMBERS, &scenario.record);
    operator.set_document(&scenario.document("1"));
    assert_eq!(operator.change(1, 0), Answer::Accepted(1));
    scenario.wait_engines("1");
    scenario.wait_entries(&MEMBERS, 1);

    // The orders for version 2 are in flight when the leader is isolated.
    scenario.hold(true);
    let old = scenario.env.wait_leader(&MEMBERS);
    operator.set_document(&scenario.document("2"));
    assert_eq!(operator.change(2, 1), Answer::Accepted(2));
    let held = |proxy: &OrderProxy| proxy.held().contains(&"2".to_owned());
    wait_until("an order to each engine", || held(&scenario.checks) && held(&scenario.ignores));
    let others: Vec<usize> = MEMBERS.into_iter().filter(|it| *it != old).collect();
    let from = Instant::now();
    scenario.isolate(isolation, old, &others);
    let mut waiting: Vec<_> = (0..WAITING_CALLS).map(|it| scenario.ask_isolated(old, it)).collect();

    let new = scenario.env.wait_leader(&others);
    assert_ne!(new, old);
    scenario.hold(false);
    let mut operator = Operator::new(&scenario.env, 1, &others, &scenario.record);
    operator.set_document(&scenario.document("3"));
    let last = propose_until_accepted(&mut operator);
    // From here on nobody may read version 2 any more.
    waiting.extend((WAITING_CALLS..2 * WAITING_CALLS).map(|it| scenario.ask_isolated(old, it)));
    scenario.wait_engines("3");
    scenario.wait_settled(new);
    if isolation == Isolation::Stopped {
        scenario.wait_entries(&MEMBERS, last.version);
    } else {
        // The entry on the VM that is cut off reaches no other member and must report not ready.
        scenario.wait_entries(&others, last.version);
        let entry = scenario.env.entry_address(old);
        wait_until("the entry beside the old leader to stop serving", || {
            scenario.env.http.get(entry, "/readyz").is_ok_and(|it| it.status == 503)
        });
        // It hears only the old leader, which has proposals for a third version but no quorum.
        if isolation == Isolation::InboundCut {
            assert!(
                entry_version(&scenario.env.http, entry) <= Some(2),
                "published without a quorum"
            );
        }
    }
    wait_outage(from);

    // A leader that is cut off answers its calls while it is cut off. Once the connections are
    // healed, it may forward a change and report that the current leader accepted it.
    if isolation != Isolation::Stopped {
        waiting.drain(..).for_each(|it| it.join().unwrap());
    }
    scenario.checks.release();
    scenario.ignores.release();
    scenario.restore(isolation, old, &others);
    waiting.drain(..).for_each(|it| it.join().unwrap());
    wait_until("the old leader to follow", || {
        let status = scenario.env.status(old);
        status.is_some_and(|it| it["role"] == "follower" && it["version"] == last.version)
    });
    let late = |proxy: &OrderProxy| proxy.seen().iter().filter(|it| it.version == "2").count() > 0;
    wait_until("the held orders to arrive", || late(&scenario.checks) && late(&scenario.ignores));
    scenario.wait_engines("3");
    check_fences(&scenario.checks.seen());
    check_final_order(&scenario.ignores.seen());
    check_all(&scenario.env, &scenario.record, monitor);
}

/// Proposes changes until one is accepted. A change that waited at the old leader may have been
/// forwarded to the new one and accepted first.
fn propose_until_accepted(operator: &mut Operator) -> InForce {
    for change in 10.. {
        let base = operator.read().version;
        if let Answer::Accepted(version) = operator.change(change, base) {
            return InForce { version, change };
        }
    }
    unreachable!("there is always another number")
}

/// Waits until the leader was isolated for `MOTHPLANK_AWAY_SECONDS`, which only full runs set.
fn wait_outage(from: Instant) {
    let requested = std::env::var("MOTHPLANK_AWAY_SECONDS").ok().and_then(|it| it.parse().ok());
    let span = Duration::from_secs(requested.unwrap_or(0));
    std::thread::sleep(span.saturating_sub(from.elapsed()));
}

/// Checks that an engine that checks fencing numbers accepted neither a lower number nor an old
/// version after a newer one.
fn check_fences(seen: &[SeenOrder]) {
    let taken: Vec<&SeenOrder> = seen.iter().filter(|it| it.status == 200).collect();
    for pair in taken.windows(2) {
        assert!(pair[0].fence < pair[1].fence, "numbers taken do not rise: {seen:?}");
        assert!(pair[0].version <= pair[1].version, "an old order was taken: {seen:?}");
    }
    let refused = seen.iter().any(|it| it.version == "2" && it.status == 409);
    assert!(refused, "the late order was not refused: {seen:?}");
}

/// Checks that an engine that ignores fencing numbers accepted the late order, and afterwards the
/// version in force again.
fn check_final_order(seen: &[SeenOrder]) {
    let versions: Vec<&str> = seen.iter().map(|it| it.version.as_str()).collect();
    let late = versions.iter().rposition(|it| *it == "2").unwrap();
    assert!(versions[..late].contains(&"3"), "the late order was not late: {seen:?}");
    assert_eq!(versions.last(), Some(&"3"), "{seen:?}");
}

impl Scenario {
    fn open() -> Self {
        let plan = Plan { controls: 3, entries: 3, proxied: true, ..Plan::default() };
        let mut env = TestEnv::open(plan);
        let checks = env.start_standin("checks", &["engine"]);
        let ignores = env.start_standin("ignores", &["engine", "--no-fencing"]);
        let (checks, ignores) = (OrderProxy::open(&env, checks), OrderProxy::open(&env, ignores));
        env.start_controls();
        env.init();
        env.wait_voters(3);
        for n in 1..=3 {
            env.start_entry(n);
        }
        Self { env, record: Arc::default(), checks, ignores }
    }

    /// Returns a document that requires this version of the weights at both engines.
    fn document(&self, version: &str) -> Value {
        let pool = |proxy: &OrderProxy, fencing: &str| {
            let upstream = json!({
                "address": proxy.address(), "site": "north", "vm": fencing, "capacity": 4,
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
            self.checks.engine_version() == version && self.ignores.engine_version() == version
        });
    }

    fn wait_entries(&self, entries: &[usize], least: u64) {
        for n in entries.iter().copied() {
            wait_until(&format!("entry {n} to have version {least}"), || {
                entry_version(&self.env.http, self.env.entry_address(n)) >= Some(least)
            });
        }
    }

    /// Calls the isolated leader on a new thread: half of the calls read, the other half propose a
    /// change based on the last version that it knew. No change may be reported as accepted.
    fn ask_isolated(&self, old: usize, number: u64) -> std::thread::JoinHandle<()> {
        let index = number as usize % env::OPERATORS.len();
        let mut operator = Operator::new(&self.env, index, &[old], &self.record);
        operator.set_document(&self.document("away"));
        std::thread::spawn(move || {
            if number.is_multiple_of(2) {
                operator.read_once();
                return;
            }
            let answer = operator.change_once(FIRST_ISOLATED_CHANGE + number, 2);
            assert!(!matches!(answer, Answer::Accepted(_)), "accepted by the old leader");
        })
    }

    fn isolate(&mut self, isolation: Isolation, old: usize, others: &[usize]) {
        let (old_way, other_way) = match isolation {
            Isolation::Stopped => {
                self.env.signal(&format!("control-{old}"), Signal::STOP);
                return self.wait_stopped(old);
            }
            Isolation::OutboundCut => (Direction::Up, Direction::Down),
            Isolation::InboundCut => (Direction::Down, Direction::Up),
        };
        for other in others {
            self.env.link(old, *other).cut(Cut { way: old_way, scope: Scope::All });
            self.env.link(*other, old).cut(Cut { way: other_way, scope: Scope::All });
        }
    }

    /// Waits until no thread of the member runs. Threads stop some time after the signal is sent,
    /// and a change that arrives before may still be committed.
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

    /// Waits until the new leader has read back the state that it ordered, and has no order left to
    /// send.
    fn wait_settled(&self, new: usize) {
        wait_until("the new leader to have nothing left to order", || {
            let status = self.env.status(new);
            let rows = status.and_then(|it| it["upstreams"].as_array().cloned());
            rows.is_some_and(|it| it.len() == 2 && it.iter().all(|row| row["why"].is_null()))
        });
    }

    fn restore(&mut self, isolation: Isolation, old: usize, others: &[usize]) {
        match isolation {
            Isolation::Stopped => self.env.signal(&format!("control-{old}"), Signal::CONT),
            Isolation::OutboundCut | Isolation::InboundCut => self.env.heal(old, others),
        }
    }
}
