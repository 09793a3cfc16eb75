//! The loads that entries exchange, by their positions in the list.

use std::time::Duration;

use registry::Health;

use super::*;
use crate::plan::{BatchSpec, Service};

fn registry_state(count: u64, ids: &[usize]) -> RegistryState {
    let listed = |id: &usize| registry::Upstream {
        id: format!("u-{id:03}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 0, 0, *id as u8], 9)),
        domain: "d".to_owned(),
        slots: 8,
        health: Health::Ready,
        version: "v1".into(),
    };
    RegistryState {
        upstreams: Arc::new(ids.iter().map(listed).collect()),
        upstreams_stamp: Stamp { term: 1, count },
        ..RegistryState::default()
    }
}

fn next(from: &Directory, state: &RegistryState) -> Directory {
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let rules = ColdRules { tolerance: ColdTolerance::default(), own };
    from.next(state, &Plan::default(), 1, LinkRate::from_megabits(10.0), rules)
}

/// Returns a report of one request and ten tokens at each of these positions.
fn loads(count: u64, positions: &[u32]) -> LoadReport {
    let load = |position: &u32| UpstreamLoad { position: *position, running: 1, tokens: 10 };
    let loads = positions.iter().map(load).collect();
    LoadReport { upstreams_stamp: Stamp { term: 1, count }, loads }
}

fn running(directory: &Directory) -> Vec<u32> {
    directory.ordered.iter().map(|it| it.total_running()).collect()
}

struct Case {
    name: &'static str,
    previous: LoadReport,
    total: LoadReport,
    own: LoadReport,
    applied: bool,
    running: [u32; 4],
}

/// Guards against loads that stay at upstreams which have none any more, and against loads that count
/// for the wrong upstreams because the list has changed.
#[test]
fn the_loads_of_others_replace_the_ones_before() {
    let nothing = LoadReport::default;
    let cases = [
        Case {
            name: "the first",
            previous: nothing(),
            total: loads(1, &[0, 2]),
            own: nothing(),
            applied: true,
            running: [1, 0, 1, 0],
        },
        Case {
            name: "the next",
            previous: loads(1, &[0, 2]),
            total: loads(1, &[1, 2]),
            own: nothing(),
            applied: true,
            running: [0, 1, 1, 0],
        },
        Case {
            name: "without the own share",
            previous: loads(1, &[1, 2]),
            total: loads(1, &[1, 3]),
            own: loads(1, &[3]),
            applied: true,
            running: [0, 1, 0, 0],
        },
        Case {
            name: "of another list",
            previous: loads(1, &[1, 3]),
            total: loads(2, &[0]),
            own: nothing(),
            applied: false,
            running: [0, 1, 0, 0],
        },
    ];
    let directory = next(&Directory::default(), &registry_state(1, &[1, 2, 3, 4]));
    for case in cases {
        let applied = directory.apply_total_loads(&case.previous, &case.total, &case.own);
        assert_eq!(applied, case.applied, "{}", case.name);
        assert_eq!(running(&directory), case.running, "{}", case.name);
    }
    let newer = next(&directory, &registry_state(2, &[1, 2, 4]));
    assert_eq!(running(&newer), [0, 1, 0], "known upstreams keep their loads");
    assert!(newer.apply_total_loads(&loads(1, &[1]), &loads(2, &[2]), &nothing()));
    assert_eq!(running(&newer), [0, 0, 1], "the positions of the list before are not used");
}

#[test]
fn a_report_tells_what_this_entry_runs() {
    let directory = next(&Directory::default(), &registry_state(1, &[1, 2, 3, 4]));
    let third = Arc::clone(&directory.ordered[2]);
    let first = Arc::clone(&directory.ordered[0]);
    let (one, two) = (third.begin_request(10), third.begin_request(5));
    let other = first.begin_request(7);
    let load = |position, running, tokens| UpstreamLoad { position, running, tokens };
    assert_eq!(directory.report().loads, [load(0, 1, 7), load(2, 2, 15)]);
    drop(one);
    drop(other);
    assert_eq!(directory.report().loads, [load(2, 1, 5)]);
    let newer = next(&directory, &registry_state(2, &[3, 4]));
    assert_eq!(newer.report().loads, [load(0, 1, 5)]);
    drop(two);
    assert!(newer.report().loads.is_empty());
}

struct ShareCase {
    name: &'static str,
    connections: u32,
    entries: usize,
    batch: bool,
    share: ConnectionShare,
}

const SHARES: &[ShareCase] = &[
    ShareCase {
        name: "a few entries",
        connections: 110,
        entries: 8,
        batch: false,
        share: ConnectionShare { most: 13, keeps_idle: true },
    },
    ShareCase {
        name: "a fleet",
        connections: 1_800,
        entries: 985,
        batch: false,
        share: ConnectionShare { most: 1, keeps_idle: true },
    },
    ShareCase {
        name: "more entries than connections",
        connections: 1_800,
        entries: 2_000,
        batch: false,
        share: ConnectionShare { most: 1, keeps_idle: false },
    },
    ShareCase {
        name: "a stage, called by owners only",
        connections: 2_100,
        entries: 20_000,
        batch: true,
        share: ConnectionShare { most: 2, keeps_idle: false },
    },
];

/// Guards against upstreams that reset connections because all entries together keep more open than
/// they accept: each has two at least, however many entries there are.
#[test]
fn idle_connections_of_all_entries_stay_within_what_an_upstream_accepts() {
    for case in SHARES {
        let batch = BatchSpec {
            batch: 8,
            call: Duration::from_millis(200),
            item: Duration::from_millis(10),
            space_bytes: 1,
            ttl: Duration::from_secs(1),
        };
        let service = Service {
            name: "s".into(),
            connections: case.connections,
            batch: case.batch.then_some(batch),
            engine: None,
            cold: None,
        };
        let mut plan = Plan::default();
        plan.services.insert("s".into(), service);
        let share = connection_share(&plan, "s", case.entries);
        assert_eq!(share, case.share, "{}", case.name);
        let idle = if share.keeps_idle { case.entries as u32 * share.most } else { 0 };
        assert!(idle <= case.connections, "{}: {idle} idle connections", case.name);
    }
}

/// Guards against a share that stays as large as when the entry knew of no other.
#[test]
fn a_share_shrinks_when_more_entries_are_known() {
    let directory = next(&Directory::default(), &registry_state(1, &[1]));
    let upstream = &directory.ordered[0];
    for most in [1_800, 2, 5, 1] {
        upstream.set_connection_share(ConnectionShare { most, keeps_idle: true });
        let running: Vec<_> = (0..most).map(|_| upstream.begin_request(0)).collect();
        assert!(!upstream.has_connection(), "more than {most}");
        drop(running);
        assert!(upstream.has_connection(), "fewer than {most}");
    }
}

/// Guards against an upstream that has said that it leaves and gets requests again because an older list
/// calls it ready, and against a bar on the next one at its address.
#[test]
fn an_upstream_that_leaves_stays_closed_and_its_successor_is_open() {
    let first = next(&Directory::default(), &registry_state(1, &[1, 2]));
    let leaving = first.upstream("u-001").expect("an upstream");
    leaving.record_leaving();
    leaving.record_pause(Duration::from_secs(60));
    let ready = next(&first, &registry_state(2, &[1, 2, 3]));
    let now = Instant::now();
    let is_closed = |it: &Directory, id: &str| !it.upstream(id).expect("an upstream").is_open();
    assert!(is_closed(&ready, "u-001"), "the list that calls it ready may be older");
    assert!(!is_closed(&ready, "u-002") && !is_closed(&ready, "u-003"));
    let pauses = |it: &Directory, id: &str| it.upstream(id).and_then(|it| it.pause_end(now));
    assert!(pauses(&ready, "u-001").is_some() && pauses(&ready, "u-002").is_none());
    let mut replaced = registry_state(3, &[1, 2, 3]);
    let mut upstreams = replaced.upstreams.to_vec();
    upstreams[0].id = "u-101".to_owned();
    replaced.upstreams = Arc::new(upstreams);
    let replaced = next(&ready, &replaced);
    assert!(!is_closed(&replaced, "u-101"), "another one at its address is not barred");
    assert!(pauses(&replaced, "u-101").is_none());
    let back = next(&replaced, &registry_state(4, &[1, 2, 3]));
    assert!(!is_closed(&back, "u-001"), "it has been gone meanwhile, and has started again");
}
