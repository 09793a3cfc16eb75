//! Tests of writes on a separate thread.

use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use disk::{DiskError, Record, Store, Write, WriteResult, Writer};
use types::LogIndex;

/// Far longer than a write takes.
const TIMEOUT: Duration = Duration::from_secs(30);

fn open(folder: &Path) -> (Writer, Receiver<WriteResult>) {
    let (mut store, _) = Store::open(folder).expect("the folder opens");
    store.set_identity(b"one").expect("the write succeeds");
    let (done, written) = channel();
    let writer = Writer::spawn(store, move |it| {
        let _ = done.send(it);
    });
    (writer.expect("the thread starts"), written)
}

fn log(from: u64, to: u64) -> Write {
    let record = |index| Record { index: LogIndex(index), data: vec![index as u8; 16] };
    Write::Log { hard_state: None, records: (from..=to).map(record).collect() }
}

/// Guards against writes that are lost when the process stops regularly, or carried out in another
/// order.
#[test]
fn what_was_ordered_is_written_before_the_end() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (writer, written) = open(folder.path());
    for from in [1, 4, 7] {
        writer.submit(log(from, from + 2)).expect("the write is submitted");
    }
    // The call waits for the writes before it.
    let size = writer.call(|store| store.log_size()).expect("the call runs");
    drop(writer);
    let results: Vec<WriteResult> = written.iter().collect();
    assert!(results.iter().all(|it| it.result.is_ok()), "{results:?}");
    assert_eq!(results.last().map(|it| it.log_size), Some(size));
    let (_, found) = Store::open(folder.path()).expect("the folder opens");
    let indices: Vec<u64> = found.records.iter().map(|it| it.index.0).collect();
    assert_eq!(indices, (1..=9).collect::<Vec<u64>>());
}

/// Guards against a member that continues after its disk failed: later writes would follow a gap.
#[test]
fn nothing_is_written_after_a_failure() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (writer, written) = open(folder.path());
    writer.submit(log(1, 3)).expect("the write is submitted");
    assert!(written.recv_timeout(TIMEOUT).expect("a write ends").result.is_ok());
    std::fs::remove_dir_all(folder.path()).expect("the folder is removed");
    let snapshot = Write::Snapshot { index: LogIndex(2), data: vec![1], keep: LogIndex(3) };
    writer.submit(snapshot).expect("the write is submitted");
    writer.submit(log(4, 6)).expect("the write is submitted");
    let first = written.recv_timeout(TIMEOUT).expect("a write ends").result;
    assert!(matches!(first, Err(DiskError::Io { .. })), "{first:?}");
    let second = written.recv_timeout(TIMEOUT).expect("a write ends").result;
    assert!(matches!(second, Err(DiskError::Poisoned)), "{second:?}");
}
