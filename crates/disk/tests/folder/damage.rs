//! Damaged and truncated files: recovered or refused, never silently shorter.

use std::path::Path;

use crate::support::{Loss, MemFiles};
use disk::{DiskError, Files, Record, Recovered, Store};
use proptest::prelude::*;
use types::LogIndex;

const FOLDER: &str = "/data";

fn open(files: &MemFiles) -> Result<Recovered, DiskError> {
    Store::open_with(files.clone(), Path::new(FOLDER)).map(|(_, found)| found)
}

/// A folder with a snapshot and four batches of one record each, and where the batches end.
fn folder() -> (MemFiles, Vec<usize>) {
    let files = MemFiles::default();
    let (mut store, _) = Store::open_with(files.clone(), Path::new(FOLDER)).unwrap();
    store.set_identity(b"node").unwrap();
    store.write(Some(b"term 1"), &[record(1)]).unwrap();
    store.snapshot(LogIndex(1), b"the state", LogIndex(2)).unwrap();
    let mut ends = vec![store.log_size().0 as usize];
    for index in 2..=5 {
        store.write(None, &[record(index)]).unwrap();
        ends.push(store.log_size().0 as usize);
    }
    (files, ends)
}

fn record(index: u64) -> Record {
    Record { index: LogIndex(index), data: vec![index as u8 | 0x40; 15] }
}

/// What is known of the acknowledged length.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mark {
    Kept,
    Lost,
}

fn copy(files: &MemFiles, mark: Mark) -> MemFiles {
    let copy = files.after(Loss::Process);
    if mark == Mark::Lost {
        copy.edit("synced", Vec::clear);
    }
    copy
}

// Symptom: a member votes and answers from a log that lost its acknowledged end.
// Sequence: the log's last bytes vanish after their sync; the member starts.
// Cause: a truncated log looks like a torn write, unless something tells how long it was.
#[test]
fn a_log_truncated_at_any_byte_is_refused_or_the_cut_is_reported() {
    let (files, ends) = folder();
    for length in 0..=ends[4] {
        let kept = copy(&files, Mark::Kept);
        kept.edit("log-", |data| data.truncate(length));
        let found = open(&kept);
        assert_eq!(found.is_ok(), length == ends[4], "{length}: {found:?}");

        let lost = copy(&files, Mark::Lost);
        lost.edit("log-", |data| data.truncate(length));
        let whole = ends.iter().rposition(|end| *end <= length);
        match (open(&lost), whole) {
            (Ok(found), Some(whole)) => {
                let records: Vec<Record> = (2..2 + whole as u64).map(record).collect();
                assert_eq!(found.records, records, "{length}");
                assert_eq!(found.cut.map(|it| it.offset as usize).unwrap_or(length), ends[whole]);
            }
            (Err(_), None) => {}
            (found, _) => panic!("{length}: {found:?}"),
        }
    }
}

// Symptom: a member silently drops records, or takes wrong ones, after a bit rotted.
// Sequence: one bit of any file flips, in a length, a checksum or the data; the member starts.
// Cause: a damaged length that swallows the records behind it, a damaged last record that is
// taken for a torn write, a file without a checksum.
#[test]
fn a_flipped_bit_is_refused_and_in_the_mark_loses_nothing() {
    let (files, _) = folder();
    for mark in [Mark::Kept, Mark::Lost] {
        for name in ["log-", "snapshot-", "identity", "synced"] {
            let mut length = 0;
            copy(&files, mark).edit(name, |data| length = data.len());
            for bit in 0..length * 8 {
                let copy = copy(&files, mark);
                copy.edit(name, |data| data[bit / 8] ^= 1 << (bit % 8));
                let found = open(&copy);
                let safe = match &found {
                    Err(DiskError::Damaged { .. }) => true,
                    // The mark only adds to what the log says.
                    Ok(found) => name == "synced" && found.records.len() == 4,
                    Err(_) => false,
                };
                assert!(safe, "{name} bit {bit}, mark {mark:?}: {found:?}");
            }
        }
    }
}

// Symptom: a member drops acknowledged records as if they were a torn write.
// Sequence: the power fails, which loses the mark; the disk lost all sectors of one batch, yet has
// the batches that were written after that one's sync.
// Cause: missing sectors are taken for a torn write without a look at what follows.
#[test]
fn a_lost_batch_before_a_later_one_is_refused_and_at_the_end_reported() {
    let (files, ends) = folder();
    for batch in 0..4 {
        let copy = copy(&files, Mark::Lost);
        copy.edit("log-", |data| data[ends[batch]..ends[batch + 1]].fill(0));
        let found = open(&copy);
        if batch < 3 {
            assert!(matches!(found, Err(DiskError::Damaged { .. })), "{batch}: {found:?}");
        } else {
            assert_eq!(found.unwrap().cut.unwrap().offset, ends[3] as u64);
        }
    }
}

struct Missing {
    name: &'static str,
    says: &'static str,
}

// Symptom: a member that lost one of its files starts as if it had never had it.
// Sequence: a file vanishes; the member starts.
// Cause: each file is read alone and its absence is taken for a new folder.
#[test]
fn a_missing_file_is_refused_with_what_to_do() {
    let cases = [
        Missing { name: "log-", says: "acknowledged" },
        Missing { name: "snapshot-", says: "missing" },
        Missing { name: "identity", says: "identity is missing" },
    ];
    for case in cases {
        for mark in [Mark::Kept, Mark::Lost] {
            let files = copy(&folder().0, mark);
            let names = files.names(Path::new(FOLDER)).unwrap();
            let name = names.iter().find(|it| it.starts_with(case.name)).unwrap();
            files.remove(&Path::new(FOLDER).join(name)).unwrap();
            let text = open(&files).unwrap_err().to_string();
            assert!(text.contains(case.says), "{text}");
            assert!(text.contains("start with an empty one"), "{text}");
        }
    }
}

#[test]
fn two_processes_never_share_a_folder() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    assert!(matches!(Store::open(folder.path()), Err(DiskError::Locked(_))));
    store.set_identity(b"node").unwrap();
    assert!(matches!(store.set_identity(b"other"), Err(DiskError::Identified)));
    store.write(Some(b"term"), &[record(1), record(2)]).unwrap();
    assert!(matches!(store.write(None, &[record(4)]), Err(DiskError::Gap { .. })));
    drop(store);
    let (_, found) = Store::open(folder.path()).unwrap();
    assert_eq!(found.identity.as_deref(), Some(&b"node"[..]));
    assert_eq!(found.hard_state.as_deref(), Some(&b"term"[..]));
    assert_eq!(found.records, [record(1), record(2)]);
    assert_eq!(found.cut, None);
}

proptest! {
    // Symptom: a member crashes at start instead of saying what is wrong with its disk.
    // Sequence: any bytes lie in a file, bare or in a valid frame.
    // Cause: a length or a record that is believed before it is checked.
    #[test]
    fn no_bytes_make_recovery_panic(
        name in prop::sample::select(vec!["log-", "snapshot-", "identity", "synced"]),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        framed in any::<bool>(),
        keep in 0_usize..60,
    ) {
        let (files, _) = folder();
        files.edit(name, |data| {
            let place = disk::frame::Place { generation: if name == "log-" { 2 } else { 0 }, number: 0 };
            let tail = if framed { disk::frame::encode(place, &bytes) } else { bytes.clone() };
            data.truncate(if framed { 0 } else { keep });
            data.extend_from_slice(&tail);
        });
        let _ = open(&files);
    }
}
