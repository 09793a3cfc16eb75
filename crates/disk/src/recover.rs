//! Reading a data folder.

use std::path::{Path, PathBuf};

use types::LogIndex;

use crate::batch::{Batch, Log, Record, SnapshotHead};
use crate::error::DiskError;
use crate::files::Files;
use crate::frame::{self, Found, Place};

pub(crate) const IDENTITY: &str = "identity";
pub(crate) const LOCK: &str = "lock";
pub(crate) const SYNCED: &str = "synced";
pub(crate) const NEW: &str = ".new";
const LOG: &str = "log-";
const SNAPSHOT: &str = "snapshot-";

/// The distance of the mark's two slots, in bytes: no sector holds both.
pub(crate) const SLOT: usize = 4096;

/// The place of a frame that is alone in its file.
pub(crate) const ALONE: Place = Place { generation: 0, number: 0 };

/// A torn tail that was cut: a write that was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The file.
    pub file: PathBuf,
    /// Where it was cut.
    pub offset: u64,
    /// How many bytes were dropped.
    pub bytes: u64,
}

/// What a data folder held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The identity; `None` for a new folder.
    pub identity: Option<Vec<u8>>,
    /// The latest hard state.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot and the last index it covers.
    pub snapshot: Option<(LogIndex, Vec<u8>)>,
    /// The records, without gaps; the first may lie before the snapshot's index.
    pub records: Vec<Record>,
    /// The torn tail, if there was one.
    pub cut: Option<Cut>,
}

/// A snapshot file's contents.
pub(crate) struct Snapshot {
    pub(crate) head: SnapshotHead,
    pub(crate) data: Vec<u8>,
}

/// A folder's contents.
pub(crate) struct Folder {
    pub(crate) identity: Option<Vec<u8>>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) log: Log,
    pub(crate) generation: u64,
    pub(crate) cut: Option<Cut>,
}

pub(crate) fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{LOG}{generation:020}"))
}

pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{SNAPSHOT}{:020}", index.0))
}

/// Lists files that have no part in the folder's state: leftovers of an interrupted change.
pub(crate) fn is_stale(name: &str, generation: u64, snapshot: Option<LogIndex>) -> bool {
    let old_log = number(name, LOG).is_some_and(|it| it < generation);
    let old_snapshot = number(name, SNAPSHOT).is_some_and(|it| Some(LogIndex(it)) < snapshot);
    old_log || old_snapshot || name.ends_with(NEW)
}

fn number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// Reads the whole folder and judges it.
pub(crate) fn read_folder<F: Files>(files: &F, folder: &Path) -> Result<Folder, DiskError> {
    let names = files.names(folder).map_err(DiskError::io("list", folder))?;
    let latest = |prefix| names.iter().filter_map(|name| number(name, prefix)).max();
    let identity = read_alone(files, &folder.join(IDENTITY))?;
    let snapshot = match latest(SNAPSHOT) {
        Some(index) => read_snapshot(files, folder, LogIndex(index))?,
        None => None,
    };
    let mark = read_mark(files, folder)?;
    let newest = latest(LOG).unwrap_or(0);
    let floor = snapshot.as_ref().map_or(0, |it| it.head.floor);
    let least = floor.max(mark.0);
    // An install that was cut off leaves its snapshot beside the log that it voids.
    let voids = snapshot.as_ref().is_some_and(|it| it.head.voids);
    let installed = voids && newest + 1 == floor && mark.0 <= newest;
    if newest < least.max(u64::from(identity.is_some())) && !installed {
        let why = "the log that was acknowledged is not there";
        return Err(DiskError::damaged(&log_path(folder, least), 0, why));
    }
    let (log, cut) = if newest == 0 || newest < floor {
        (voided(snapshot.as_ref()), None)
    } else {
        read_log(files, folder, newest, mark)?
    };
    let generation = newest.max(floor);
    let found = Folder { identity, snapshot, log, generation, cut };
    judge(folder, &found)?;
    Ok(found)
}

/// The log after an installed snapshot voided the one before.
fn voided(snapshot: Option<&Snapshot>) -> Log {
    let Some(snapshot) = snapshot else {
        return Log::default();
    };
    let head = &snapshot.head;
    Log { base: head.index, hard_state: head.hard_state.clone(), records: Vec::new() }
}

/// Refuses a folder whose files do not fit each other.
fn judge(folder: &Path, found: &Folder) -> Result<(), DiskError> {
    let path = log_path(folder, found.generation);
    let covered = found.snapshot.as_ref().map_or(LogIndex(0), |it| it.head.index);
    if found.log.base > covered {
        let why = format!("records between {covered} and {} are missing", found.log.base);
        return Err(DiskError::damaged(&path, 0, why));
    }
    if found.log.last() < covered {
        let why = format!("the log ends at {} before its snapshot {covered}", found.log.last());
        return Err(DiskError::damaged(&path, 0, why));
    }
    let used = found.log != Log::default() || found.snapshot.is_some();
    if used && found.identity.is_none() {
        return Err(DiskError::damaged(&folder.join(IDENTITY), 0, "the identity is missing"));
    }
    Ok(())
}

/// Reads a file that holds one frame and was renamed into place: it is whole or damaged.
fn read_alone<F: Files>(files: &F, path: &Path) -> Result<Option<Vec<u8>>, DiskError> {
    let Some(mut data) = files.read(path).map_err(DiskError::io("read", path))? else {
        return Ok(None);
    };
    match frame::read(&data, 0, ALONE) {
        Found::Frame(range) if range.end == data.len() => {
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
) -> Result<Option<Snapshot>, DiskError> {
    let path = snapshot_path(folder, index);
    let Some(mut data) = read_alone(files, &path)? else {
        return Ok(None);
    };
    let parsed = postcard::take_from_bytes::<SnapshotHead>(&data);
    let (head, left) = match parsed {
        Ok((head, rest)) if head.index == index => (head, rest.len()),
        Ok(_) => return Err(DiskError::damaged(&path, 0, "the index is not the file's")),
        Err(e) => return Err(DiskError::damaged(&path, 0, e.to_string())),
    };
    data.drain(..data.len() - left);
    Ok(Some(Snapshot { head, data }))
}

/// Reads how much of which log was acknowledged: generation and length, zeros where nothing is
/// known. The mark is written in place and not synced, so that a crash may spoil the slot that is
/// being written, and a loss of power both; it can add to what the log says, never stand against
/// it.
fn read_mark<F: Files>(files: &F, folder: &Path) -> Result<(u64, u64), DiskError> {
    let path = folder.join(SYNCED);
    let data = files.read(&path).map_err(DiskError::io("read", &path))?.unwrap_or_default();
    let slots = [0, SLOT].into_iter().filter_map(|at| match frame::read(&data, at, ALONE) {
        Found::Frame(range) => postcard::from_bytes(&data[range]).ok(),
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
) -> Result<(Log, Option<Cut>), DiskError> {
    let path = log_path(folder, generation);
    let data = files.read(&path).map_err(DiskError::io("read", &path))?.unwrap_or_default();
    let mut log = Log::default();
    let mut at = 0;
    let mut number = 0;
    let damaged = |at: usize, why: &str| DiskError::damaged(&path, at as u64, why);
    loop {
        match frame::read(&data, at, Place { generation, number }) {
            Found::Frame(range) => {
                at = range.end;
                let batch = postcard::from_bytes::<Batch>(&data[range]).ok();
                let added = batch.and_then(|batch| log.add(batch));
                added.ok_or_else(|| damaged(at, "a batch that does not follow the log"))?;
            }
            Found::Damaged(why) => return Err(damaged(at, why)),
            Found::End | Found::Torn => break,
        }
        number += 1;
    }
    // What goes wrong: a synced tail is lost or rots, and looks like one that was never synced.
    // The mark is written after each sync, so a log that is shorter than it lost acknowledged
    // bytes. The first frame was synced before the file got its name.
    let acknowledged = if mark.0 == generation { mark.1 } else { 0 };
    if (at as u64) < acknowledged || number == 0 {
        return Err(damaged(at, "acknowledged bytes are damaged or gone"));
    }
    let bytes = (data.len() - at) as u64;
    let cut = (bytes > 0).then(|| Cut { file: path.clone(), offset: at as u64, bytes });
    Ok((log, cut))
}
