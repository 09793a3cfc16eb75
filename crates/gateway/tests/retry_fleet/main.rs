//! How many requests all entries together send again, on virtual time, while entries start, stand still,
//! are cut off, and see different lists of entries.

mod fleet;

use std::thread;

use fleet::{Fleet, Play, Trouble};

/// A play's entries and load.
struct Case {
    name: &'static str,
    entries: usize,
    /// The requests of all entries per second.
    rate: f64,
    /// The burst of the budget.
    burst: f64,
    trouble: &'static [Trouble],
}

const EVERYTHING: &[Trouble] = &[
    Trouble::Restarts,
    Trouble::Shifts,
    Trouble::SlowConnections,
    Trouble::PartialLists,
    Trouble::CutOff,
    Trouble::StandStill,
];

macro_rules! sizes {
    ($name:literal, $trouble:expr) => {
        [
            Case { name: $name, entries: 6, rate: 40.0, burst: 56.0, trouble: $trouble },
            Case { name: $name, entries: 6, rate: 200.0, burst: 56.0, trouble: $trouble },
            Case { name: $name, entries: 300, rate: 40.0, burst: 56.0, trouble: $trouble },
            Case { name: $name, entries: 300, rate: 300.0, burst: 400.0, trouble: $trouble },
            Case { name: $name, entries: 995, rate: 40.0, burst: 56.0, trouble: $trouble },
        ]
    };
}

/// Plays a case with several seeds; returns the plays that sent too much.
fn broken(case: &Case, wanted: Option<u64>) -> Vec<String> {
    // A play of a large fleet takes long in a debug build.
    let seeds = wanted.unwrap_or(if case.entries < 100 { 3 } else { 1 });
    let mut broken = Vec::new();
    for seed in 0..seeds {
        let Case { name, entries, rate, burst, trouble } = *case;
        let play = Play { entries, rate, burst, trouble };
        let worst = Fleet::new(&play, seed).run().worst_window(burst);
        if worst.sent_again as f64 > worst.allowed {
            broken
                .push(format!("{name}, {entries} entries, burst {burst}, seed {seed}: {worst:?}"));
        }
    }
    broken
}

/// Plays the cases side by side, and fails with all the plays that sent too much.
fn check(cases: &[Case]) {
    let wanted: Option<u64> = std::env::var("RETRY_SEEDS").ok().and_then(|it| it.parse().ok());
    let broken: Vec<String> = thread::scope(|scope| {
        let spawn = |case| scope.spawn(move || broken(case, wanted));
        let plays: Vec<_> = cases.iter().map(spawn).collect();
        plays.into_iter().flat_map(|it| it.join().expect("a play")).collect()
    });
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a window that forgets a retry before it is over: what is used at its end is used again
/// nine seconds later.
#[test]
fn waves_of_failures_stay_within_the_retry_budget() {
    check(&sizes!("waves", &[]));
}

/// Guards against processes that have a whole share again each time they start, or more than one before
/// they know all others.
#[test]
fn entries_that_start_again_stay_within_the_retry_budget() {
    check(&sizes!("restarts", &[Trouble::Restarts]));
}

/// Guards against retries that are counted when they are granted, and arrive together later, once a
/// connection is there.
#[test]
fn retries_that_wait_for_a_connection_stay_within_the_budget() {
    check(&sizes!("slow connections", &[Trouble::SlowConnections]));
}

/// Guards against entries that fund retries by requests of another window than the others do, after
/// callers have moved to other entries.
#[test]
fn callers_that_move_between_entries_stay_within_the_retry_budget() {
    check(&sizes!("shifts", &[Trouble::Shifts]));
}

/// Guards against entries that each believe to hold the burst for all, because they see a part of the
/// list, or because those that hold it are not listed.
#[test]
fn entries_with_different_lists_stay_within_the_retry_budget() {
    check(&sizes!("partial lists", &[Trouble::PartialLists]));
    check(&sizes!("cut off", &[Trouble::CutOff]));
    check(&sizes!("stand still", &[Trouble::StandStill]));
}

/// Guards against entries that pass the budget together only when several things happen at once.
#[test]
fn many_disruptions_at_once_stay_within_the_retry_budget() {
    check(&sizes!("everything", EVERYTHING));
}

/// Guards against a budget that holds because nothing is sent again: a single failed request is, at a
/// fleet of any size.
#[test]
fn single_failures_are_sent_again_at_a_fleet_of_any_size() {
    for entries in [6, 300, 995] {
        for rate in [1.0, 4.0] {
            let play = Play { entries, rate: rate * entries as f64, burst: 56.0, trouble: &[] };
            let calm = Fleet::new(&play, 0).without_waves().run();
            let (granted, asked) = calm.granted_of_asked();
            assert!(
                granted as f64 >= 0.99 * asked as f64 && asked > 0,
                "{entries} entries, {rate} requests a second each: {granted} of {asked}"
            );
        }
    }
}
