//! When an entry closes new connections unread.

use std::time::Duration;

use gateway::crowd::Load;

struct Case {
    name: &'static str,
    lag_ms: u64,
    own: u64,
    total: Option<u64>,
    entries: u64,
    crowded: bool,
}

const CROWDED: Case = Case {
    name: "a crowd at one of many",
    lag_ms: 150,
    own: 90,
    total: Some(100),
    entries: 300,
    crowded: true,
};

const CASES: &[Case] = &[
    CROWDED,
    Case { name: "a crowd that is served in time", lag_ms: 20, crowded: false, ..CROWDED },
    Case { name: "all are overloaded", own: 100, total: Some(30_000), crowded: false, ..CROWDED },
    Case {
        name: "a slow machine with its share",
        own: 1,
        total: Some(300),
        crowded: false,
        ..CROWDED
    },
    Case { name: "the loads of the others are not known", total: None, crowded: false, ..CROWDED },
    Case { name: "no others to go to", entries: 1, crowded: false, ..CROWDED },
];

/// Guards against an entry that reads more than it can serve while the others are idle, and against one
/// that sends callers away although the others are no better off.
#[test]
fn an_entry_sends_a_crowd_away_only_if_the_others_have_room() {
    for Case { name, lag_ms, own, total, entries, crowded } in CASES {
        let (lag, own, total, entries) = (Duration::from_millis(*lag_ms), *own, *total, *entries);
        let load = Load { lag, own, total, entries };
        assert_eq!(load.is_crowded(), *crowded, "{name}");
    }
}
