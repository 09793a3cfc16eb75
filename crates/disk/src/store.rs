//! The open data folder.

use std::path::{Path, PathBuf};

use types::{ByteSize, LogIndex};

use crate::batch::{BatchRef, Record, SnapshotHead};
use crate::error::DiskError;
use crate::files::{Files, OsFiles, write_all};
use crate::frame::{self, Place};
use crate::recover::{self, ALONE, Folder, IDENTITY, LOCK, NEW, Recovered, SLOT, SYNCED};

/// An open data folder. Each call returns once its bytes are on the disk; after a failed one the
/// store takes nothing more.
#[derive(Debug)]
pub struct Store<F: Files = OsFiles> {
    files: F,
    folder: PathBuf,
    _lock: F::File,
    log: F::File,
    mark: F::File,
    generation: u64,
    number: u64,
    length: u64,
    base: LogIndex,
    last: LogIndex,
    hard_state: Option<Vec<u8>>,
    identified: bool,
    poisoned: bool,
}

impl Store {
    /// Opens a data folder, making it where there is none, and locks it.
    ///
    /// # Errors
    /// Where another process has it, where acknowledged bytes are damaged or gone, or where the
    /// file system fails.
    pub fn open(folder: &Path) -> Result<(Store, Recovered), DiskError> {
        Store::open_with(OsFiles::of(folder), folder)
    }
}

impl<F: Files> Store<F> {
    /// Opens a data folder through the given file operations.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_with(files: F, folder: &Path) -> Result<(Self, Recovered), DiskError> {
        make_folder(&files, folder)?;
        let lock = lock(&files, folder)?;
        let found = recover::read_folder(&files, folder)?;
        // A file whose sync failed is never written on: its inode goes first.
        sweep(&files, folder, 0, None)?;
        // What goes wrong: a process that died of a failed sync left bytes in the page cache that
        // read well but are not on the disk. So nothing that was read is trusted to be there: the
        // log is written anew and synced before anyone may build on it.
        let generation = found.generation + 1;
        let (log, length) = write_log(&files, folder, generation, &found)?;
        let mark_path = folder.join(SYNCED);
        let mark = files.open(&mark_path).map_err(DiskError::io("open", &mark_path))?;
        let mut store = Self {
            files,
            folder: folder.to_owned(),
            _lock: lock,
            log,
            mark,
            generation,
            number: 1,
            length,
            base: found.log.base,
            last: found.log.last(),
            hard_state: found.log.hard_state.clone(),
            identified: found.identity.is_some(),
            poisoned: false,
        };
        let covered = found.snapshot.as_ref().map(|it| it.head.index);
        store.put_mark(true)?;
        sweep(&store.files, folder, generation, covered)?;
        Ok((store, recovered(found)))
    }

    /// Writes the identity, once in the folder's life.
    ///
    /// # Errors
    /// Where there is one already, or the file system fails.
    pub fn set_identity(&mut self, data: &[u8]) -> Result<(), DiskError> {
        self.usable()?;
        if self.identified {
            return Err(DiskError::Identified);
        }
        let frame = frame::encode(ALONE, data);
        let done = place(&self.files, &self.folder, &self.folder.join(IDENTITY), &frame);
        self.guard(done)?;
        self.identified = true;
        Ok(())
    }

    /// Writes hard state and records with one sync. A record whose index is not past the last
    /// replaces the log from there on.
    ///
    /// # Errors
    /// Where the records do not follow the log, or the file system fails.
    pub fn write(
        &mut self,
        hard_state: Option<&[u8]>,
        records: &[Record],
    ) -> Result<(), DiskError> {
        self.usable()?;
        if !self.identified {
            return Err(DiskError::Unidentified);
        }
        let last = self.check(records)?;
        if hard_state.is_none() && records.is_empty() {
            return Ok(());
        }
        let done = self.append(&BatchRef { base: None, hard_state, records });
        self.guard(done)?;
        self.last = last;
        if let Some(hard_state) = hard_state {
            self.hard_state = Some(hard_state.to_owned());
        }
        Ok(())
    }

    /// Writes a snapshot and then drops the log before `keep`.
    ///
    /// # Errors
    /// Where the log does not reach `index`, or the file system fails.
    pub fn snapshot(
        &mut self,
        index: LogIndex,
        data: &[u8],
        keep: LogIndex,
    ) -> Result<(), DiskError> {
        self.usable()?;
        if index > self.last || index < self.base {
            return Err(DiskError::Gap { index, base: self.base, last: self.last });
        }
        let done = self.try_snapshot(index, data, keep);
        self.guard(done)
    }

    /// Replaces the whole log by a snapshot from the leader; the hard state stays.
    ///
    /// # Errors
    /// Where the folder has no identity, or the file system fails.
    pub fn install(&mut self, index: LogIndex, data: &[u8]) -> Result<(), DiskError> {
        self.usable()?;
        if !self.identified {
            return Err(DiskError::Unidentified);
        }
        if index < self.base {
            return Err(DiskError::Gap { index, base: self.base, last: self.last });
        }
        let done = self.try_install(index, data);
        self.guard(done)
    }

    /// Returns the length of the log file.
    pub fn log_size(&self) -> ByteSize {
        ByteSize(self.length)
    }

    fn usable(&self) -> Result<(), DiskError> {
        if self.poisoned { Err(DiskError::Poisoned) } else { Ok(()) }
    }

    /// Poisons the store after a failure. After a failed sync the kernel may have dropped the
    /// bytes and marked them clean, so that a second sync would succeed without them.
    fn guard<T>(&mut self, done: Result<T, DiskError>) -> Result<T, DiskError> {
        self.poisoned |= done.is_err();
        done
    }

    /// Checks that records follow the log and returns the last index after them.
    fn check(&self, records: &[Record]) -> Result<LogIndex, DiskError> {
        let mut last = self.last;
        for record in records {
            let index = record.index;
            if index <= self.base || index.0 > last.0.saturating_add(1) {
                return Err(DiskError::Gap { index, base: self.base, last });
            }
            last = index;
        }
        Ok(last)
    }

    fn append(&mut self, batch: &BatchRef<'_>) -> Result<(), DiskError> {
        let place = Place { generation: self.generation, number: self.number };
        let frame = frame::encode(place, &batch.encode());
        let path = recover::log_path(&self.folder, self.generation);
        write_all(&self.files, &self.log, self.length, &frame)
            .map_err(DiskError::io("write", &path))?;
        self.files.sync(&self.log).map_err(DiskError::io("sync", &path))?;
        self.length += frame.len() as u64;
        self.number += 1;
        self.put_mark(false)
    }

    /// Notes how much of the log is acknowledged. Only written after the log's sync, so it never
    /// claims too much; not synced for each batch, so it may claim too little after a loss of
    /// power.
    fn put_mark(&mut self, synced: bool) -> Result<(), DiskError> {
        let path = self.folder.join(SYNCED);
        let frame = frame::encode(ALONE, &mark_bytes(self.generation, self.length));
        let slot = (self.number % 2) * SLOT as u64;
        write_all(&self.files, &self.mark, slot, &frame).map_err(DiskError::io("write", &path))?;
        if synced {
            self.files.sync(&self.mark).map_err(DiskError::io("sync", &path))?;
        }
        Ok(())
    }

    fn try_snapshot(
        &mut self,
        index: LogIndex,
        data: &[u8],
        keep: LogIndex,
    ) -> Result<(), DiskError> {
        let head = SnapshotHead { index, floor: self.generation, voids: false, hard_state: None };
        self.put_snapshot(&head, data)?;
        let mark = (self.generation, self.length);
        let (mut log, _) = recover::read_log(&self.files, &self.folder, self.generation, mark)?;
        let base = LogIndex(keep.0.saturating_sub(1).clamp(self.base.0, index.0));
        log.records.retain(|record| record.index > base);
        log.base = base;
        self.renew(&BatchRef {
            base: Some(base),
            hard_state: log.hard_state.as_deref(),
            records: &log.records,
        })?;
        self.base = base;
        sweep(&self.files, &self.folder, self.generation, Some(index))
    }

    fn try_install(&mut self, index: LogIndex, data: &[u8]) -> Result<(), DiskError> {
        // What goes wrong: a crash between snapshot and log would leave the old log's tail after
        // the new snapshot. The floor voids the old log in the same rename.
        let hard_state = self.hard_state.clone();
        let floor = self.generation + 1;
        let head = SnapshotHead { index, floor, voids: true, hard_state: hard_state.clone() };
        self.put_snapshot(&head, data)?;
        self.renew(&BatchRef {
            base: Some(index),
            hard_state: hard_state.as_deref(),
            records: &[],
        })?;
        self.base = index;
        self.last = index;
        sweep(&self.files, &self.folder, self.generation, Some(index))
    }

    fn put_snapshot(&self, head: &SnapshotHead, data: &[u8]) -> Result<(), DiskError> {
        let mut payload = postcard::to_stdvec(head).unwrap_or_default();
        payload.extend_from_slice(data);
        let frame = frame::encode(ALONE, &payload);
        let path = recover::snapshot_path(&self.folder, head.index);
        place(&self.files, &self.folder, &path, &frame)
    }

    /// Goes on in a new log file that starts with `batch`.
    fn renew(&mut self, batch: &BatchRef<'_>) -> Result<(), DiskError> {
        let generation = self.generation + 1;
        let (log, length) = new_log(&self.files, &self.folder, generation, batch)?;
        self.log = log;
        self.generation = generation;
        self.number = 1;
        self.length = length;
        self.put_mark(true)
    }
}

/// Removes files that were superseded or never finished.
fn sweep<F: Files>(
    files: &F,
    folder: &Path,
    generation: u64,
    snapshot: Option<LogIndex>,
) -> Result<(), DiskError> {
    let names = files.names(folder).map_err(DiskError::io("list", folder))?;
    for name in names.iter().filter(|it| recover::is_stale(it, generation, snapshot)) {
        let path = folder.join(name);
        files.remove(&path).map_err(DiskError::io("remove", &path))?;
    }
    Ok(())
}

fn mark_bytes(generation: u64, length: u64) -> Vec<u8> {
    // Writing two numbers to a vector cannot fail. The frame tells its own end, so what a longer
    // one left behind it does no harm.
    postcard::to_stdvec(&(generation, length)).unwrap_or_default()
}

/// Makes the folder so that its name outlasts a loss of power.
fn make_folder<F: Files>(files: &F, folder: &Path) -> Result<(), DiskError> {
    files.make_folder(folder).map_err(DiskError::io("make", folder))?;
    let parent = folder.parent().filter(|it| !it.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    files.sync_folder(parent).map_err(DiskError::io("sync", parent))
}

fn lock<F: Files>(files: &F, folder: &Path) -> Result<F::File, DiskError> {
    let path = folder.join(LOCK);
    let file = files.open(&path).map_err(DiskError::io("open", &path))?;
    if !files.lock(&file).map_err(DiskError::io("lock", &path))? {
        return Err(DiskError::Locked(path));
    }
    Ok(file)
}

fn write_log<F: Files>(
    files: &F,
    folder: &Path,
    generation: u64,
    found: &Folder,
) -> Result<(F::File, u64), DiskError> {
    let log = &found.log;
    let batch = BatchRef {
        base: Some(log.base),
        hard_state: log.hard_state.as_deref(),
        records: &log.records,
    };
    new_log(files, folder, generation, &batch)
}

fn new_log<F: Files>(
    files: &F,
    folder: &Path,
    generation: u64,
    batch: &BatchRef<'_>,
) -> Result<(F::File, u64), DiskError> {
    let frame = frame::encode(Place { generation, number: 0 }, &batch.encode());
    let path = recover::log_path(folder, generation);
    place(files, folder, &path, &frame)?;
    let file = files.open(&path).map_err(DiskError::io("open", &path))?;
    Ok((file, frame.len() as u64))
}

/// Writes a file beside its place, syncs it, renames it and syncs the folder: it is there whole
/// or not at all.
fn place<F: Files>(files: &F, folder: &Path, path: &Path, data: &[u8]) -> Result<(), DiskError> {
    let mut name = path.as_os_str().to_owned();
    name.push(NEW);
    let beside = PathBuf::from(name);
    let file = files.open(&beside).map_err(DiskError::io("open", &beside))?;
    files.resize(&file, 0).map_err(DiskError::io("resize", &beside))?;
    write_all(files, &file, 0, data).map_err(DiskError::io("write", &beside))?;
    files.sync(&file).map_err(DiskError::io("sync", &beside))?;
    files.rename(&beside, path).map_err(DiskError::io("rename", path))?;
    files.sync_folder(folder).map_err(DiskError::io("sync", folder))
}

fn recovered(found: Folder) -> Recovered {
    Recovered {
        identity: found.identity,
        hard_state: found.log.hard_state,
        snapshot: found.snapshot.map(|it| (it.head.index, it.data)),
        records: found.log.records,
        cut: found.cut,
    }
}
