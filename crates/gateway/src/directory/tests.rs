//! The loads that entries exchange, by their positions in the list.

use registry::Health;

use super::*;

fn registry_state(count: u64, ids: &[usize]) -> RegistryState {
    let listed = |id: &usize| registry::Upstream {
        id: format!("u-{id:03}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 0, 0, *id as u8], 9)),
        domain: "d".to_owned(),
        slots: 8,
        health: Health::Ready,
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
