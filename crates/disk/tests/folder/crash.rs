//! Crashes, full disks and failing syncs at every step of a store's life.

use std::path::Path;

use crate::support::{Fault, Loss, MemFiles};
use disk::{DiskError, Record, Recovered, Store};
use types::LogIndex;

const FOLDER: &str = "/data";

/// What a store must hold: identity, hard state, snapshot, and the records after it.
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
    /// Hard state and a run of records.
    Write(Option<u8>, u64, u64),
    /// Index and the first index that is kept.
    Snapshot(u64, u64),
    Install(u64),
}

const LIFE: [Step; 10] = [
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
    // Some reach over several sectors, and not all bytes are the same.
    let length = if index.is_multiple_of(3) { 1_700 } else { 20 };
    let data = (0..length).map(|at| (at as u64 * 7 + index) as u8 | 1).collect();
    Record { index: LogIndex(index), data }
}

fn run(store: &mut Store<MemFiles>, step: &Step) -> Result<(), DiskError> {
    match *step {
        Step::Identity => store.set_identity(b"node"),
        Step::Write(hard_state, first, last) => {
            let records: Vec<Record> = (first..=last).map(record).collect();
            let hard_state = hard_state.map(|it| vec![it; 9]);
            store.write(hard_state.as_deref(), &records)
        }
        Step::Snapshot(index, keep) => {
            store.snapshot(LogIndex(index), &image(index), LogIndex(keep))
        }
        Step::Install(index) => store.install(LogIndex(index), &image(index)),
    }
}

fn image(index: u64) -> Vec<u8> {
    vec![index as u8 | 1; 1_000]
}

/// Says what a step makes of the content.
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
            next.snapshot = Some((LogIndex(index), image(index)));
            next.records.retain(|it| it.index.0 > index);
        }
        Step::Install(index) => {
            next.snapshot = Some((LogIndex(index), image(index)));
            next.records.clear();
        }
    }
    next
}

/// Runs the life until the first failure; returns the content before and after the step that
/// failed.
fn live(files: &MemFiles) -> (Content, Content) {
    let mut content = Content::default();
    let Ok((mut store, _)) = Store::open_with(files.clone(), Path::new(FOLDER)) else {
        return (content.clone(), content);
    };
    for step in &LIFE {
        let next = expect(&content, step);
        if run(&mut store, step).is_err() {
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

// Symptom: after a crash a member has forgotten what it acknowledged, or refuses to start.
// Sequence: the process or the power fails at any step of writes, snapshots and installs; of what
// was not synced, nothing, all or some sectors get to the disk.
// Cause: an answer before the sync, a log dropped before its snapshot is safe, a rename before
// its file is, or a torn tail taken for damage.
#[test]
fn nothing_acknowledged_is_lost_in_a_crash_at_any_step() {
    let losses = [Loss::Process, Loss::Power].into_iter().chain((0..24).map(Loss::Torn));
    let losses: Vec<Loss> = losses.collect();
    let whole = MemFiles::default();
    live(&whole);
    let steps = whole.0.borrow().steps;
    for step in 1..=steps + 1 {
        let files = MemFiles::fail_at(step, Fault::Crash);
        let (before, after) = live(&files);
        for loss in &losses {
            let found = reopen(&files.after(*loss));
            let found = found.unwrap_or_else(|e| panic!("step {step}, {loss:?}: {e}"));
            assert!(found == before || found == after, "step {step}, {loss:?}: {found:?}");
        }
    }
}

// Symptom: a member goes on after its disk refused a write, and loses what it acknowledged then.
// Sequence: a write is short, the disk is full, or a sync fails; the process restarts and finds
// the bytes in the page cache; then the power fails.
// Cause: the store goes on after the failure, or trusts what it reads to be on the disk.
#[test]
fn a_failed_operation_stops_the_store_and_what_a_restart_finds_is_on_the_disk() {
    let whole = MemFiles::default();
    live(&whole);
    let steps = whole.0.borrow().steps;
    for fault in [Fault::Full, Fault::Fail] {
        for step in 1..=steps {
            let files = MemFiles::fail_at(step, fault);
            let (before, after) = live(&files);
            let next = files.after(Loss::Process);
            let found = reopen(&next);
            let found = found.unwrap_or_else(|e| panic!("step {step}, {fault:?}: {e}"));
            assert!(found == before || found == after, "step {step}, {fault:?}: {found:?}");
            let again = reopen(&next.after(Loss::Power)).unwrap();
            assert_eq!(found, again, "step {step}, {fault:?}");
        }
    }
}
