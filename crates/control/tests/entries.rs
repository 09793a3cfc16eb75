//! The division of limits into shares, and the detection of lost entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use control::{EntryMonitor, EntryStatus, ShareTable};
use types::{
    Customer, CustomerLimits, CustomerName, Incarnation, Millis, Rate, SiteName, Term, Tokens,
    Version, VmName,
};
use wire::session::{CustomerUse, UsageReport};

fn vm(name: &str) -> VmName {
    name.parse().expect("a name")
}

fn site() -> SiteName {
    "north".parse().expect("a name")
}

fn report(requests: u32) -> UsageReport {
    let customer = "yard".parse().expect("a name");
    let used =
        CustomerUse { customer, requests, concurrency: requests, tokens: Tokens(requests.into()) };
    UsageReport { period: Millis(1_000), customers: vec![used], stages: Vec::new() }
}

#[test]
fn shares_follow_demand_and_sum_to_the_limit() {
    struct Case {
        name: &'static str,
        demand: &'static [u32],
        concurrency: u32,
        /// The concurrency assigned to each entry.
        expected: &'static [u32],
    }
    let cases = [
        Case { name: "no demand", demand: &[0, 0, 0], concurrency: 9, expected: &[3, 3, 3] },
        Case { name: "equal demand", demand: &[5, 5], concurrency: 10, expected: &[5, 5] },
        Case { name: "one in need", demand: &[90, 0, 0], concurrency: 30, expected: &[26, 2, 2] },
        Case {
            name: "fewer than entries",
            demand: &[0, 0, 9],
            concurrency: 2,
            expected: &[0, 0, 2],
        },
        Case { name: "one entry", demand: &[7], concurrency: 4, expected: &[4] },
    ];
    let now = Instant::now();
    for Case { name, demand, concurrency, expected } in cases {
        let limits = CustomerLimits {
            rate: Some(Rate(100.0)),
            concurrency: Some(concurrency),
            tokens: None,
        };
        let customer = Customer { limits, ..Customer::default() };
        let yard: CustomerName = "yard".parse().expect("a name");
        let customers: BTreeMap<CustomerName, Customer> = [(yard, customer)].into();
        let mut table = ShareTable::default();
        for (at, requests) in demand.iter().enumerate() {
            let entry = vm(&format!("e{at}"));
            table.mark_seen(&entry, &site(), now);
            table.report(&entry, &report(*requests));
        }
        let shares = table.allocate(now, |_| Some(&customers));
        let given: Vec<u32> = shares.values().map(|it| it[0].concurrency.unwrap_or(0)).collect();
        assert_eq!(given, expected, "{name}");
        let rates: f64 = shares.values().map(|it| it[0].rate.map_or(0.0, |it| it.0)).sum();
        assert!((rates - 100.0).abs() < 1e-6, "{name}: {rates}");
        assert!(shares.values().all(|it| it[0].tokens.is_none()), "{name}: no limit, no share");
    }
}

#[test]
fn a_silent_entry_keeps_its_part_for_a_while() {
    // An entry that is cut off from the control members keeps using its last share. If the leader
    // assigned that share to the other entries at once, the customer would get more than its limit.
    let limits = CustomerLimits { rate: Some(Rate(10.0)), ..CustomerLimits::default() };
    let customer = Customer { limits, ..Customer::default() };
    let yard: CustomerName = "yard".parse().expect("a name");
    let customers: BTreeMap<CustomerName, Customer> = [(yard, customer)].into();
    let start = Instant::now();
    let mut table = ShareTable::default();
    table.mark_seen(&vm("e1"), &site(), start);
    table.mark_seen(&vm("e2"), &site(), start);
    let mut rate = |after: u64| {
        let now = start + Duration::from_secs(after);
        table.mark_seen(&vm("e2"), &site(), now);
        let shares = table.allocate(now, |_| Some(&customers));
        shares[&vm("e2")][0].rate
    };
    assert_eq!(rate(9), Some(Rate(5.0)));
    assert_eq!(rate(11), Some(Rate(10.0)));
}

#[test]
fn an_entry_is_lost_only_after_a_whole_silence() {
    struct Case {
        name: &'static str,
        /// Seconds after the start, the term, and whether the entry has a session.
        rounds: &'static [(u64, u64, bool)],
        lost: bool,
    }
    let cases = [
        Case { name: "heard", rounds: &[(0, 1, true), (4, 1, true), (8, 1, true)], lost: false },
        Case { name: "silent too short", rounds: &[(0, 1, true), (4, 1, false)], lost: false },
        Case { name: "silent", rounds: &[(0, 1, true), (4, 1, false), (6, 1, false)], lost: true },
        Case { name: "never heard", rounds: &[(0, 1, false), (6, 1, false)], lost: true },
        Case {
            name: "came back",
            rounds: &[(0, 1, true), (4, 1, false), (4, 1, true), (8, 1, false)],
            lost: false,
        },
        Case {
            name: "a new leader begins anew",
            rounds: &[(0, 1, true), (4, 1, false), (20, 2, false), (24, 2, false)],
            lost: false,
        },
    ];
    let incarnation = (vm("e1"), Incarnation(7));
    let seen = EntryStatus {
        vm: incarnation.0.clone(),
        site: site(),
        owner: incarnation.1,
        version: Version(1),
        age_ms: Some(0),
        draining: false,
        rejected: None,
    };
    // A session of another incarnation on the same VM does not count.
    let other = EntryStatus { owner: Incarnation(8), ..seen.clone() };
    let start = Instant::now();
    for Case { name, rounds, lost } in cases {
        let mut entry_monitor = EntryMonitor::default();
        let mut found = Vec::new();
        for (after, term, has_session) in rounds {
            let now = start + Duration::from_secs(*after);
            let entries = if *has_session { vec![seen.clone()] } else { vec![other.clone()] };
            let incarnations = [incarnation.clone()];
            found = entry_monitor.lost(
                Term(*term),
                now,
                &incarnations,
                &entries,
                Duration::from_secs(5),
            );
        }
        assert_eq!(found, if lost { vec![incarnation.clone()] } else { Vec::new() }, "{name}");
    }
}
