//! Tests with crashes, full disks and failing syncs at every operation of a store.

use std::path::Path;

use crate::support::{Fault, Loss, MemFiles};
use disk::{DiskError, Record, Recovered, Store};
use types::LogIndex;

const FOLDER: &str = "/data";

/// The expected contents of a store: identity, hard state, snapshot, and the records after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Content {
    identity: Option<Vec<u8>>,
    hard_state: Option<Vec<u8>>,
    snapshot: Option<(LogIndex, Vec<u8>)>,
    records: Vec<Record>,
}

impl From<Recovered> for Content {
    fn from(it: Recovered) -> Self {
        let covered = it.snapshot.as_ref().map_or(LogIndex(0), |it| it.0);
        let records = it.records.into_iter().filter(|it| it.index > covered).collect();
        Self { identity: it.identity, hard_state: it.hard_state, snapshot: it.snapshot, records }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Identity,
    /// The hard state, and the first and last index of the records.
    Write(Option<u8>, u64, u64),
    /// The index, and the first index to keep.
    Snapshot(u64, u64),
    Install(u64),
}

const STEPS: [Step; 10] = [
    Step::Identity,
    Step::Write(Some(1), 1, 3),
    Step::Write(None, 4, 6),
    Step::Write(Some(2), 5, 5),
    Step::Snapshot(3, 3),
    Step::Write(None, 6, 8),
    Step::Snapshot(7, 8),
    Step::Install(20),
    Step::Write(Some(3), 21, 22),
    Step::Snapshot(22, 23),
];

fn record(index: u64) -> Record {
    // Some records span several sectors, and their bytes differ from each other.
    let length = if index.is_multiple_of(3) { 1_700 } else { 20 };
    let data = (0..length).map(|at| (at as u64 * 7 + index) as u8 | 1).collect();
    Record { index: LogIndex(index), data }
}

fn run_step(store: &mut Store<MemFiles>, step: &Step) -> Result<(), DiskError> {
    match *step {
        Step::Identity => store.set_identity(b"node"),
        Step::Write(hard_state, first, last) => {
            let records: Vec<Record> = (first..=last).map(record).collect();
            let hard_state = hard_state.map(|it| vec![it; 9]);
            store.write(hard_state.as_deref(), &records)
        }
        Step::Snapshot(index, keep) => {
            store.snapshot(LogIndex(index), &snapshot_data(index), LogIndex(keep))
        }
        Step::Install(index) => store.install(LogIndex(index), &snapshot_data(index)),
    }
}

fn snapshot_data(index: u64) -> Vec<u8> {
    vec![index as u8 | 1; 1_000]
}

/// Returns the contents after a step.
fn expect(content: &Content, step: &Step) -> Content {
    let mut next = content.clone();
    match *step {
        Step::Identity => next.identity = Some(b"node".to_vec()),
        Step::Write(hard_state, first, last) => {
            next.hard_state = hard_state.map(|it| vec![it; 9]).or(next.hard_state);
            next.records.retain(|it| it.index.0 < first);
            next.records.extend((first..=last).map(record));
        }
        Step::Snapshot(index, _) => {
            next.snapshot = Some((LogIndex(index), snapshot_data(index)));
            next.records.retain(|it| it.index.0 > index);
        }
        Step::Install(index) => {
            next.snapshot = Some((LogIndex(index), snapshot_data(index)));
            next.records.clear();
        }
    }
    next
}

/// Runs the steps until the first failure. Returns the contents before and after the step that
/// failed.
fn run_steps(files: &MemFiles) -> (Content, Content) {
    let mut content = Content::default();
    let Ok((mut store, _)) = Store::open_with(files.clone(), Path::new(FOLDER)) else {
        return (content.clone(), content);
    };
    for step in &STEPS {
        let next = expect(&content, step);
        if run_step(&mut store, step).is_err() {
            let later = store.write(None, &[record(1)]);
            assert!(matches!(later, Err(DiskError::Poisoned)), "{step:?}: {later:?}");
            return (content, next);
        }
        content = next;
    }
    (content.clone(), content)
}

fn reopen(files: &MemFiles) -> Result<Content, DiskError> {
    Store::open_with(files.clone(), Path::new(FOLDER)).map(|(_, found)| found.into())
}

// Guards against a member that has forgotten what it acknowledged, or refuses to start, after a
// crash. The process or the power fails at any operation of writes, snapshots and installs; of the
// unsynced data, nothing, everything or some sectors reach the disk. The store must not acknowledge
// before the sync, drop the log before its snapshot is safe, rename a file before its sync, or take
// a torn tail for damage.
#[test]
fn nothing_acknowledged_is_lost_in_a_crash_at_any_step() {
    let losses = [Loss::Process, Loss::Power].into_iter().chain((0..24).map(Loss::Torn));
    let losses: Vec<Loss> = losses.collect();
    let whole = MemFiles::default();
    run_steps(&whole);
    let steps = whole.0.borrow().steps;
    for step in 1..=steps + 1 {
        let files = MemFiles::fail_at(step, Fault::Crash);
        let (before, after) = run_steps(&files);
        for loss in &losses {
            let found = reopen(&files.after(*loss));
            let found = found.unwrap_or_else(|e| panic!("step {step}, {loss:?}: {e}"));
            assert!(found == before || found == after, "step {step}, {loss:?}: {found:?}");
        }
    }
}

// Guards against a member that continues after its disk refused a write, and loses what it
// acknowledged then. A write is short, the disk is full, or a sync fails; the process restarts and
// finds the bytes in the page cache; then the power fails. The store must stop at the failure, and
// must not assume that what it reads is on disk.
#[test]
fn a_failed_operation_stops_the_store_and_what_a_restart_finds_is_on_the_disk() {
    let whole = MemFiles::default();
    run_steps(&whole);
    let steps = whole.0.borrow().steps;
    for fault in [Fault::Full, Fault::Fail] {
        for step in 1..=steps {
            let files = MemFiles::fail_at(step, fault);
            let (before, after) = run_steps(&files);
            let next = files.after(Loss::Process);
            let found = reopen(&next);
            let found = found.unwrap_or_else(|e| panic!("step {step}, {fault:?}: {e}"));
            assert!(found == before || found == after, "step {step}, {fault:?}: {found:?}");
            let again = reopen(&next.after(Loss::Power)).unwrap();
            assert_eq!(found, again, "step {step}, {fault:?}");
        }
    }
}
