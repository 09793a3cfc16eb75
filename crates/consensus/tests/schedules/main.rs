//! Random schedules on a faulty network with faulty disks. Each is determined by its seed.

mod sim;

use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::thread;

use sim::{Counts, Sim};

const SCHEDULES: u64 = 200;
const STEPS: u64 = 10_000;
const THREADS: u64 = 4;

/// Runs the schedule of a seed and prints the seed if it fails. `CONSENSUS_SEED=n` runs that
/// schedule alone.
fn run(seed: u64) -> Counts {
    let result = catch_unwind(AssertUnwindSafe(|| {
        let mut sim = Sim::new(seed);
        for _ in 0..STEPS {
            sim.step();
        }
        sim.heal();
        sim.check_history();
        sim.counts
    }));
    result.unwrap_or_else(|panic| {
        eprintln!("failed with CONSENSUS_SEED={seed}");
        resume_unwind(panic)
    })
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

/// Runs all schedules and sums up their counts.
fn run_all(schedules: u64) -> Counts {
    let part = |thread: u64| {
        let seeds = (0..schedules).filter(move |seed| seed % THREADS == thread);
        thread::spawn(move || seeds.map(run).collect::<Vec<_>>())
    };
    let threads: Vec<_> = (0..THREADS).map(part).collect();
    let all_counts = threads.into_iter().flat_map(|thread| thread.join().unwrap());
    all_counts.fold(Counts::default(), |sum, counts| Counts {
        crashes: sum.crashes + counts.crashes,
        changes: sum.changes + counts.changes,
        installs: sum.installs + counts.installs,
        transfers: sum.transfers + counts.transfers,
        reads: sum.reads + counts.reads,
        commits: sum.commits + counts.commits,
        terms: sum.terms + counts.terms,
    })
}

/// Guards against diverging members, lost commits, stale reads, and clusters that make no progress.
/// Messages are lost, duplicated, reordered or cut off in one direction; members are paused,
/// crashed during their writes, added, removed, compacted, and made to transfer leadership. The
/// check that fails names the broken rule of the protocol.
#[test]
fn random_schedules_keep_members_consistent() {
    if let Some(seed) = setting("CONSENSUS_SEED") {
        eprintln!("{:?}", run(seed));
        return;
    }
    // A larger number of schedules searches longer; a smaller one is ignored.
    let schedules = setting("CONSENSUS_SCHEDULES").unwrap_or(SCHEDULES).max(SCHEDULES);
    let counts = run_all(schedules);
    eprintln!("{} steps: {counts:?}", schedules * STEPS);
    // A schedule in which little happens proves nothing.
    assert!(counts.commits > 10_000 && counts.reads > 7500 && counts.terms > 800, "{counts:?}");
    assert!(counts.installs > 600 && counts.changes > 700 && counts.crashes > 2000, "{counts:?}");
}
