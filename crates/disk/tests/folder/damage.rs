//! Tests of damaged and truncated files: they must be recovered or refused, and no record may be
//! lost silently.

use std::path::Path;

use crate::support::{Loss, MemFiles};
use disk::{DiskError, Files, Record, Recovered, Store};
use proptest::prelude::*;
use types::LogIndex;

const FOLDER: &str = "/data";

fn open(files: &MemFiles) -> Result<Recovered, DiskError> {
    Store::open_with(files.clone(), Path::new(FOLDER)).map(|(_, found)| found)
}

/// Returns a folder with a snapshot and four batches of one record each, and the offsets at which
/// the batches end.
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

/// Whether the mark of the acknowledged length is there.
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

// Guards against a member that votes and answers from a log that lost its acknowledged end. The
// log's last bytes vanish after their sync, and the member starts. Without a mark of the
// acknowledged length, a truncated log looks like a torn write.
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
                assert_eq!(
                    found.torn_tail.map(|it| it.offset as usize).unwrap_or(length),
                    ends[whole]
                );
            }
            (Err(_), None) => {}
            (found, _) => panic!("{length}: {found:?}"),
        }
    }
}

// Guards against a member that silently drops records, or takes wrong ones, after a bit has flipped
// in a length, a checksum or the data of any file. A damaged length must not hide the records
// behind it, a damaged last record must not be taken for a torn write, and every file needs a
// checksum.
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
                    // The mark can only add to what the log proves.
                    Ok(found) => name == "synced" && found.records.len() == 4,
                    Err(_) => false,
                };
                assert!(safe, "{name} bit {bit}, mark {mark:?}: {found:?}");
            }
        }
    }
}

// Guards against a member that drops acknowledged records as if they were a torn write. A power
// failure loses the mark, and the disk has lost all sectors of one batch but has the batches that
// were written after that batch was synced. Missing sectors must not be taken for a torn write
// without a check of what follows.
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
            assert_eq!(found.unwrap().torn_tail.unwrap().offset, ends[3] as u64);
        }
    }
}

struct Missing {
    name: &'static str,
    says: &'static str,
}

// Guards against a member that lost one of its files and starts as if it had never had it. The
// absence of a single file must not be taken for a new folder.
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
    assert!(matches!(store.set_identity(b"other"), Err(DiskError::IdentityExists)));
    store.write(Some(b"term"), &[record(1), record(2)]).unwrap();
    assert!(matches!(store.write(None, &[record(4)]), Err(DiskError::Gap { .. })));
    drop(store);
    let (_, found) = Store::open(folder.path()).unwrap();
    assert_eq!(found.identity.as_deref(), Some(&b"node"[..]));
    assert_eq!(found.hard_state.as_deref(), Some(&b"term"[..]));
    assert_eq!(found.records, [record(1), record(2)]);
    assert_eq!(found.torn_tail, None);
}

proptest! {
    // Guards against a member that panics at start instead of reporting what is wrong with its
    // disk. A file holds any bytes, bare or in a valid frame. Lengths and records must be checked
    // before use.
    #[test]
    fn no_bytes_make_recovery_panic(
        name in prop::sample::select(vec!["log-", "snapshot-", "identity", "synced"]),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        framed in any::<bool>(),
        keep in 0_usize..60,
    ) {
        let (files, _) = folder();
        files.edit(name, |data| {
            let id = disk::frame::FrameId { generation: if name == "log-" { 2 } else { 0 }, number: 0 };
            let tail = if framed { disk::frame::encode(id, &bytes) } else { bytes.clone() };
            data.truncate(if framed { 0 } else { keep });
            data.extend_from_slice(&tail);
        });
        let _ = open(&files);
    }
}
