//! Reading and checking a data folder.

use std::path::{Path, PathBuf};

use types::LogIndex;

use crate::batch::{Batch, Log, Record, SnapshotHeader};
use crate::error::DiskError;
use crate::files::Files;
use crate::frame::{self, FrameId, FrameRead};

pub(crate) const IDENTITY_FILE: &str = "identity";
pub(crate) const LOCK_FILE: &str = "lock";
pub(crate) const SYNCED_FILE: &str = "synced";
pub(crate) const TEMP_SUFFIX: &str = ".new";
const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The distance between the two slots of the synced mark, in bytes, so that no sector holds both.
pub(crate) const SLOT_BYTES: usize = 4096;

/// The id of a frame that is alone in its file.
pub(crate) const SINGLE_FRAME: FrameId = FrameId { generation: 0, number: 0 };

/// A torn tail that was cut off the log: a write that was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub file: PathBuf,
    /// The offset of the cut in bytes.
    pub offset: u64,
    /// The number of bytes that were dropped.
    pub bytes: u64,
}

/// The contents of a data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The identity; `None` for a new folder.
    pub identity: Option<Vec<u8>>,
    /// The latest hard state.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot, with the last index that it covers.
    pub snapshot: Option<(LogIndex, Vec<u8>)>,
    /// The records, without gaps; the first may lie before the snapshot's index.
    pub records: Vec<Record>,
    /// The torn tail, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// The contents of a snapshot file.
pub(crate) struct SnapshotFile {
    pub(crate) header: SnapshotHeader,
    pub(crate) data: Vec<u8>,
}

/// The contents of a data folder, as read from its files.
pub(crate) struct FolderContents {
    pub(crate) identity: Option<Vec<u8>>,
    pub(crate) snapshot: Option<SnapshotFile>,
    pub(crate) log: Log,
    pub(crate) generation: u64,
    pub(crate) torn_tail: Option<TornTail>,
}

pub(crate) fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{LOG_PREFIX}{generation:020}"))
}

pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{:020}", index.0))
}

/// Returns whether a file is a leftover of an interrupted change and no part of the folder's state.
pub(crate) fn is_stale(name: &str, generation: u64, snapshot: Option<LogIndex>) -> bool {
    let old_log = parse_number(name, LOG_PREFIX).is_some_and(|it| it < generation);
    let old_snapshot =
        parse_number(name, SNAPSHOT_PREFIX).is_some_and(|it| Some(LogIndex(it)) < snapshot);
    old_log || old_snapshot || name.ends_with(TEMP_SUFFIX)
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// Reads the whole folder and checks that its files are consistent.
pub(crate) fn read_folder<F: Files>(files: &F, folder: &Path) -> Result<FolderContents, DiskError> {
    let names = files.names(folder).map_err(DiskError::io("list", folder))?;
    let latest = |prefix| names.iter().filter_map(|name| parse_number(name, prefix)).max();
    let identity = read_single_frame(files, &folder.join(IDENTITY_FILE))?;
    let snapshot = match latest(SNAPSHOT_PREFIX) {
        Some(index) => read_snapshot(files, folder, LogIndex(index))?,
        None => None,
    };
    let mark = read_synced_mark(files, folder)?;
    let newest_generation = latest(LOG_PREFIX).unwrap_or(0);
    let min_generation = snapshot.as_ref().map_or(0, |it| it.header.min_generation);
    let required_generation = min_generation.max(mark.0);
    // An install that was interrupted leaves its snapshot beside the log that the snapshot voids.
    let voids_log = snapshot.as_ref().is_some_and(|it| it.header.voids_log);
    let installed =
        voids_log && newest_generation + 1 == min_generation && mark.0 <= newest_generation;
    if newest_generation < required_generation.max(u64::from(identity.is_some())) && !installed {
        let reason = "the acknowledged log is missing";
        return Err(DiskError::damaged(&log_path(folder, required_generation), 0, reason));
    }
    let (log, torn_tail) = if newest_generation == 0 || newest_generation < min_generation {
        (log_after_install(snapshot.as_ref()), None)
    } else {
        read_log(files, folder, newest_generation, mark)?
    };
    let generation = newest_generation.max(min_generation);
    let found = FolderContents { identity, snapshot, log, generation, torn_tail };
    check_consistency(folder, &found)?;
    Ok(found)
}

/// Returns the log after an installed snapshot voided the previous one.
fn log_after_install(snapshot: Option<&SnapshotFile>) -> Log {
    let Some(snapshot) = snapshot else {
        return Log::default();
    };
    let header = &snapshot.header;
    Log { base: header.index, hard_state: header.hard_state.clone(), records: Vec::new() }
}

/// Checks that the files of the folder are consistent with each other.
fn check_consistency(folder: &Path, found: &FolderContents) -> Result<(), DiskError> {
    let path = log_path(folder, found.generation);
    let covered = found.snapshot.as_ref().map_or(LogIndex(0), |it| it.header.index);
    if found.log.base > covered {
        let reason = format!("records between {covered} and {} are missing", found.log.base);
        return Err(DiskError::damaged(&path, 0, reason));
    }
    if found.log.last() < covered {
        let reason = format!("the log ends at {} before its snapshot {covered}", found.log.last());
        return Err(DiskError::damaged(&path, 0, reason));
    }
    let used = found.log != Log::default() || found.snapshot.is_some();
    if used && found.identity.is_none() {
        return Err(DiskError::damaged(&folder.join(IDENTITY_FILE), 0, "the identity is missing"));
    }
    Ok(())
}

/// Reads a file with a single frame. The file was renamed into place, so it is complete or damaged.
fn read_single_frame<F: Files>(files: &F, path: &Path) -> Result<Option<Vec<u8>>, DiskError> {
    let Some(mut data) = files.read(path).map_err(DiskError::io("read", path))? else {
        return Ok(None);
    };
    match frame::read(&data, 0, SINGLE_FRAME) {
        FrameRead::Frame(range) if range.end == data.len() => {
            data.drain(..range.start);
            Ok(Some(data))
        }
        found => Err(DiskError::damaged(path, 0, format!("{found:?}"))),
    }
}

fn read_snapshot<F: Files>(
    files: &F,
    folder: &Path,
    index: LogIndex,
) -> Result<Option<SnapshotFile>, DiskError> {
    let path = snapshot_path(folder, index);
    let Some(mut data) = read_single_frame(files, &path)? else {
        return Ok(None);
    };
    let parsed = postcard::take_from_bytes::<SnapshotHeader>(&data);
    let (header, left) = match parsed {
        Ok((header, rest)) if header.index == index => (header, rest.len()),
        Ok(_) => return Err(DiskError::damaged(&path, 0, "the file name has another index")),
        Err(e) => return Err(DiskError::damaged(&path, 0, e.to_string())),
    };
    data.drain(..data.len() - left);
    Ok(Some(SnapshotFile { header, data }))
}

/// Reads how much of which log was acknowledged, as generation and length; zeros if unknown. The
/// mark is written in place and not synced, so a crash may damage the slot that is being written,
/// and a power failure both. The mark can only add to what the log proves, never contradict it.
fn read_synced_mark<F: Files>(files: &F, folder: &Path) -> Result<(u64, u64), DiskError> {
    let path = folder.join(SYNCED_FILE);
    let data = files.read(&path).map_err(DiskError::io("read", &path))?.unwrap_or_default();
    let slots =
        [0, SLOT_BYTES].into_iter().filter_map(|at| match frame::read(&data, at, SINGLE_FRAME) {
            FrameRead::Frame(range) => postcard::from_bytes(&data[range]).ok(),
            _ => None,
        });
    Ok(slots.max().unwrap_or_default())
}

/// Reads a log file up to its end or its torn tail.
pub(crate) fn read_log<F: Files>(
    files: &F,
    folder: &Path,
    generation: u64,
    mark: (u64, u64),
) -> Result<(Log, Option<TornTail>), DiskError> {
    let path = log_path(folder, generation);
    let data = files.read(&path).map_err(DiskError::io("read", &path))?.unwrap_or_default();
    let mut log = Log::default();
    let mut at = 0;
    let mut number = 0;
    let damaged = |at: usize, reason: &str| DiskError::damaged(&path, at as u64, reason);
    loop {
        match frame::read(&data, at, FrameId { generation, number }) {
            FrameRead::Frame(range) => {
                at = range.end;
                let batch = postcard::from_bytes::<Batch>(&data[range]).ok();
                let added = batch.and_then(|batch| log.add(batch));
                added.ok_or_else(|| damaged(at, "the batch does not follow the log"))?;
            }
            FrameRead::Damaged(reason) => return Err(damaged(at, reason)),
            FrameRead::End | FrameRead::Torn => break,
        }
        number += 1;
    }
    // Without this check, a synced tail that was lost or damaged would look like one that was never
    // synced. The mark is written after each sync, so a log that is shorter than the mark has lost
    // acknowledged bytes. The first frame was synced before the file was renamed into place.
    let acknowledged = if mark.0 == generation { mark.1 } else { 0 };
    if (at as u64) < acknowledged || number == 0 {
        return Err(damaged(at, "acknowledged bytes are damaged or gone"));
    }
    let bytes = (data.len() - at) as u64;
    let torn_tail = (bytes > 0).then(|| TornTail { file: path.clone(), offset: at as u64, bytes });
    Ok((log, torn_tail))
}
