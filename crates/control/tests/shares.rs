//! Shares are sent when they change, and only then.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use control::{ShareStore, ShareTable, SharesByEntry};
use types::{Customer, CustomerLimits, CustomerName, Millis, SiteName, Term, Tokens, VmName};
use wire::session::{CustomerShare, CustomerUse, UsageReport};

const ENTRIES: [&str; 3] = ["e0", "e1", "e2"];

fn vm(name: &str) -> VmName {
    name.parse().expect("a name")
}

fn site() -> SiteName {
    "north".parse().expect("a name")
}

fn customer() -> CustomerName {
    "yard".parse().expect("a name")
}

fn customers(limit: u32) -> BTreeMap<CustomerName, Customer> {
    let limits = CustomerLimits { concurrency: Some(limit), ..CustomerLimits::default() };
    [(customer(), Customer { limits, ..Customer::default() })].into()
}

fn report(concurrency: u32) -> UsageReport {
    let used = CustomerUse { customer: customer(), requests: 0, concurrency, tokens: Tokens(0) };
    UsageReport { period: Millis(1_000), customers: vec![used], stages: Vec::new() }
}

fn share(concurrency: Option<u32>) -> CustomerShare {
    CustomerShare { customer: customer(), rate: None, concurrency, tokens: None }
}

fn counts(shares: &SharesByEntry) -> Vec<(&str, Option<u32>)> {
    shares.iter().map(|(vm, row)| (vm.as_str(), row[0].concurrency)).collect()
}

#[test]
fn only_what_changed_is_handed_out() {
    struct Round {
        name: &'static str,
        /// The demand at each entry; `None` for an entry that drains.
        demand: [Option<u32>; 3],
        limit: u32,
        expected: &'static [(&'static str, Option<u32>)],
    }
    let even = [Some(0), Some(0), Some(0)];
    let rounds = [
        Round {
            name: "first",
            demand: even,
            limit: 30,
            expected: &[("e0", Some(10)), ("e1", Some(10)), ("e2", Some(10))],
        },
        Round { name: "nothing changed", demand: even, limit: 30, expected: &[] },
        Round {
            name: "demand that fits its share",
            demand: [Some(6), Some(0), Some(1)],
            limit: 30,
            expected: &[],
        },
        Round {
            name: "demand that outgrows it",
            demand: [Some(80), Some(0), Some(0)],
            limit: 30,
            expected: &[("e0", Some(26)), ("e1", Some(2)), ("e2", Some(2))],
        },
        Round {
            name: "the same demand again",
            demand: [Some(80), Some(0), Some(0)],
            limit: 30,
            expected: &[],
        },
        Round {
            name: "an entry drains",
            demand: [Some(80), Some(0), None],
            limit: 30,
            expected: &[("e0", Some(27)), ("e1", Some(3))],
        },
        Round {
            name: "a lower limit",
            demand: [Some(0), Some(0), None],
            limit: 10,
            expected: &[("e0", Some(9)), ("e1", Some(1))],
        },
        Round {
            name: "a limit that is gone",
            demand: [Some(0), Some(0), None],
            limit: 0,
            expected: &[("e0", None), ("e1", None)],
        },
    ];
    let mut table = ShareTable::default();
    let start = Instant::now();
    for (second, Round { name, demand, limit, expected }) in (0..).zip(rounds) {
        let now = start + Duration::from_secs(second);
        for (entry, demand) in ENTRIES.iter().zip(demand) {
            let Some(demand) = demand else {
                table.remove(&vm(entry));
                continue;
            };
            table.mark_seen(&vm(entry), &site(), now);
            table.report(&vm(entry), &report(demand));
        }
        let customers = if limit > 0 { customers(limit) } else { BTreeMap::new() };
        let changed = table.allocate(now, |_| Some(&customers));
        assert_eq!(counts(&changed), expected, "{name}");
        let sum: u32 = table.all().values().flatten().filter_map(|it| it.concurrency).sum();
        assert!(sum <= limit, "{name}: {sum} of {limit} are assigned");
    }
}

#[test]
fn the_sum_stays_within_the_limit_while_demand_changes() {
    let customers = customers(50);
    let mut table = ShareTable::default();
    let start = Instant::now();
    for second in 0_u32..200 {
        let now = start + Duration::from_secs(second.into());
        for (place, entry) in (0_u32..).zip(ENTRIES) {
            table.mark_seen(&vm(entry), &site(), now);
            table.report(&vm(entry), &report((second * (7 + 4 * place) + 13 * place) % 60));
        }
        table.allocate(now, |_| Some(&customers));
        let sum: u32 = table.all().values().flatten().filter_map(|it| it.concurrency).sum();
        assert!(sum <= 50, "{sum} in round {second}");
    }
}

#[test]
fn a_session_gets_all_once_and_then_what_changed() {
    let share_store = ShareStore::default();
    let all = || vec![(vm("e0"), vec![share(Some(5))]), (vm("e1"), vec![share(Some(4))])];
    share_store.update(Term(2), true, all());
    let mut last_sent = 0;
    assert_eq!(share_store.changed_since(&vm("e0"), &mut last_sent), [share(Some(5))]);
    assert!(share_store.changed_since(&vm("e0"), &mut last_sent).is_empty(), "nothing changed");
    share_store.update(Term(2), false, vec![(vm("e1"), vec![share(Some(3))])]);
    assert!(
        share_store.changed_since(&vm("e0"), &mut last_sent).is_empty(),
        "only another entry's changed"
    );
    share_store.update(Term(2), false, vec![(vm("e0"), vec![share(Some(2))])]);
    assert_eq!(
        share_store.changed_since(&vm("e0"), &mut last_sent),
        [share(Some(2))],
        "a share that falls"
    );
    assert_eq!(
        share_store.changed_since(&vm("e0"), &mut 0),
        [share(Some(2))],
        "an entry that reconnects"
    );
    share_store.update(Term(3), true, all());
    assert_eq!(
        share_store.changed_since(&vm("e0"), &mut last_sent),
        [share(Some(5))],
        "a new leader"
    );
    share_store.update(Term(4), true, Vec::new());
    assert_eq!(
        share_store.changed_since(&vm("e0"), &mut last_sent),
        [share(None)],
        "a limit gone meanwhile"
    );
}

#[test]
fn shares_of_a_paused_former_leader_are_dropped() {
    // A paused leader may resume after another member took over and send outdated shares. The new
    // leader would not send its unchanged shares again, so the entry would keep the wrong share.
    // Shares of a lower term must be dropped.
    let share_store = ShareStore::default();
    share_store.update(Term(3), true, vec![(vm("e0"), vec![share(Some(5))])]);
    share_store.update(Term(2), false, vec![(vm("e0"), vec![share(Some(9))])]);
    assert_eq!(share_store.changed_since(&vm("e0"), &mut 0), [share(Some(5))]);
}
