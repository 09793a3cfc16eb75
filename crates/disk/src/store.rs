//! The store: an open data folder.

use std::path::{Path, PathBuf};

use types::{ByteSize, LogIndex};

use crate::batch::{BatchRef, Record, SnapshotHeader};
use crate::error::DiskError;
use crate::files::{Files, OsFiles, write_all};
use crate::frame::{self, FrameId};
use crate::recover::{
    self, FolderContents, IDENTITY_FILE, LOCK_FILE, Recovered, SINGLE_FRAME, SLOT_BYTES,
    SYNCED_FILE, TEMP_SUFFIX,
};

/// An open data folder. Each call returns once its data is on disk. After a failed call, the store
/// accepts no further calls.
#[derive(Debug)]
pub struct Store<F: Files = OsFiles> {
    files: F,
    folder: PathBuf,
    _lock: F::File,
    log: F::File,
    mark: F::File,
    generation: u64,
    next_frame: u64,
    log_length: u64,
    base: LogIndex,
    last: LogIndex,
    hard_state: Option<Vec<u8>>,
    has_identity: bool,
    poisoned: bool,
}

impl Store {
    /// Opens and locks a data folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if another process uses the folder, if acknowledged bytes are damaged or gone, or if a
    /// file operation fails.
    pub fn open(folder: &Path) -> Result<(Store, Recovered), DiskError> {
        Store::open_with(OsFiles::of(folder), folder)
    }
}

impl<F: Files> Store<F> {
    /// Opens a data folder through the given file operations.
    ///
    /// # Errors
    /// Fails like [`Store::open`].
    pub fn open_with(files: F, folder: &Path) -> Result<(Self, Recovered), DiskError> {
        make_folder(&files, folder)?;
        let lock = lock(&files, folder)?;
        let found = recover::read_folder(&files, folder)?;
        // A file whose sync failed is never written to again, so its inode is removed first.
        remove_stale(&files, folder, 0, None)?;
        // A process that stopped after a failed sync leaves bytes in the page cache that can be
        // read but are not on disk. So nothing that was read is assumed to be on disk: the log is
        // rewritten and synced before anything depends on it.
        let generation = found.generation + 1;
        let (log, log_length) = write_recovered_log(&files, folder, generation, &found)?;
        let mark_path = folder.join(SYNCED_FILE);
        let mark = files.open(&mark_path).map_err(DiskError::io("open", &mark_path))?;
        let mut store = Self {
            files,
            folder: folder.to_owned(),
            _lock: lock,
            log,
            mark,
            generation,
            next_frame: 1,
            log_length,
            base: found.log.base,
            last: found.log.last(),
            hard_state: found.log.hard_state.clone(),
            has_identity: found.identity.is_some(),
            poisoned: false,
        };
        let covered = found.snapshot.as_ref().map(|it| it.header.index);
        store.write_mark(true)?;
        remove_stale(&store.files, folder, generation, covered)?;
        Ok((store, recovered(found)))
    }

    /// Writes the identity. It can be written only once.
    ///
    /// # Errors
    /// Fails if there is an identity already, or if a file operation fails.
    pub fn set_identity(&mut self, data: &[u8]) -> Result<(), DiskError> {
        self.check_usable()?;
        if self.has_identity {
            return Err(DiskError::IdentityExists);
        }
        let frame = frame::encode(SINGLE_FRAME, data);
        let done =
            write_atomically(&self.files, &self.folder, &self.folder.join(IDENTITY_FILE), &frame);
        self.poison_on_error(done)?;
        self.has_identity = true;
        Ok(())
    }

    /// Writes the hard state and records with one sync. A record whose index is in the log replaces
    /// the log from that index on.
    ///
    /// # Errors
    /// Fails if the records do not follow the log, or if a file operation fails.
    pub fn write(
        &mut self,
        hard_state: Option<&[u8]>,
        records: &[Record],
    ) -> Result<(), DiskError> {
        self.check_usable()?;
        if !self.has_identity {
            return Err(DiskError::NoIdentity);
        }
        let last = self.check_records(records)?;
        if hard_state.is_none() && records.is_empty() {
            return Ok(());
        }
        let done = self.append(&BatchRef { base: None, hard_state, records });
        self.poison_on_error(done)?;
        self.last = last;
        if let Some(hard_state) = hard_state {
            self.hard_state = Some(hard_state.to_owned());
        }
        Ok(())
    }

    /// Writes a snapshot, and then drops the log before `keep`.
    ///
    /// # Errors
    /// Fails if `index` is not in the log, or if a file operation fails.
    pub fn snapshot(
        &mut self,
        index: LogIndex,
        data: &[u8],
        keep: LogIndex,
    ) -> Result<(), DiskError> {
        self.check_usable()?;
        if index > self.last || index < self.base {
            return Err(DiskError::Gap { index, base: self.base, last: self.last });
        }
        let done = self.try_snapshot(index, data, keep);
        self.poison_on_error(done)
    }

    /// Replaces the whole log by a snapshot from the leader. The hard state stays.
    ///
    /// # Errors
    /// Fails if the folder has no identity, if `index` lies before the log, or if a file operation
    /// fails.
    pub fn install(&mut self, index: LogIndex, data: &[u8]) -> Result<(), DiskError> {
        self.check_usable()?;
        if !self.has_identity {
            return Err(DiskError::NoIdentity);
        }
        if index < self.base {
            return Err(DiskError::Gap { index, base: self.base, last: self.last });
        }
        let done = self.try_install(index, data);
        self.poison_on_error(done)
    }

    /// Returns the length of the log file in bytes.
    pub fn log_size(&self) -> ByteSize {
        ByteSize(self.log_length)
    }

    fn check_usable(&self) -> Result<(), DiskError> {
        if self.poisoned { Err(DiskError::Poisoned) } else { Ok(()) }
    }

    /// Poisons the store if `done` is an error. After a failed sync, the kernel may have dropped
    /// the bytes and marked them clean, so a second sync would succeed without writing them.
    fn poison_on_error<T>(&mut self, done: Result<T, DiskError>) -> Result<T, DiskError> {
        self.poisoned |= done.is_err();
        done
    }

    /// Checks that the records follow the log, and returns the last index after them.
    fn check_records(&self, records: &[Record]) -> Result<LogIndex, DiskError> {
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
        let id = FrameId { generation: self.generation, number: self.next_frame };
        let frame = frame::encode(id, &batch.encode());
        let path = recover::log_path(&self.folder, self.generation);
        write_all(&self.files, &self.log, self.log_length, &frame)
            .map_err(DiskError::io("write", &path))?;
        self.files.sync(&self.log).map_err(DiskError::io("sync", &path))?;
        self.log_length += frame.len() as u64;
        self.next_frame += 1;
        self.write_mark(false)
    }

    /// Records how much of the log is acknowledged. The mark is written after the log's sync, so it
    /// never claims too much. It is not synced for each batch, so it may claim too little after a
    /// power failure.
    fn write_mark(&mut self, synced: bool) -> Result<(), DiskError> {
        let path = self.folder.join(SYNCED_FILE);
        let frame = frame::encode(SINGLE_FRAME, &encode_mark(self.generation, self.log_length));
        let slot = (self.next_frame % 2) * SLOT_BYTES as u64;
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
        let header = SnapshotHeader {
            index,
            min_generation: self.generation,
            voids_log: false,
            hard_state: None,
        };
        self.write_snapshot(&header, data)?;
        let mark = (self.generation, self.log_length);
        let (mut log, _) = recover::read_log(&self.files, &self.folder, self.generation, mark)?;
        let base = LogIndex(keep.0.saturating_sub(1).clamp(self.base.0, index.0));
        log.records.retain(|record| record.index > base);
        log.base = base;
        self.start_log(&BatchRef {
            base: Some(base),
            hard_state: log.hard_state.as_deref(),
            records: &log.records,
        })?;
        self.base = base;
        remove_stale(&self.files, &self.folder, self.generation, Some(index))
    }

    fn try_install(&mut self, index: LogIndex, data: &[u8]) -> Result<(), DiskError> {
        // A crash between the two writes would leave the old log's tail after the new snapshot. The
        // minimum generation in the snapshot's header voids the old log with the same rename.
        let hard_state = self.hard_state.clone();
        let min_generation = self.generation + 1;
        let header = SnapshotHeader {
            index,
            min_generation,
            voids_log: true,
            hard_state: hard_state.clone(),
        };
        self.write_snapshot(&header, data)?;
        self.start_log(&BatchRef {
            base: Some(index),
            hard_state: hard_state.as_deref(),
            records: &[],
        })?;
        self.base = index;
        self.last = index;
        remove_stale(&self.files, &self.folder, self.generation, Some(index))
    }

    fn write_snapshot(&self, header: &SnapshotHeader, data: &[u8]) -> Result<(), DiskError> {
        let mut payload = postcard::to_stdvec(header).unwrap_or_default();
        payload.extend_from_slice(data);
        let frame = frame::encode(SINGLE_FRAME, &payload);
        let path = recover::snapshot_path(&self.folder, header.index);
        write_atomically(&self.files, &self.folder, &path, &frame)
    }

    /// Starts a new log file whose first batch is `batch`.
    fn start_log(&mut self, batch: &BatchRef<'_>) -> Result<(), DiskError> {
        let generation = self.generation + 1;
        let (log, log_length) = new_log(&self.files, &self.folder, generation, batch)?;
        self.log = log;
        self.generation = generation;
        self.next_frame = 1;
        self.log_length = log_length;
        self.write_mark(true)
    }
}

/// Removes files that were superseded or never completed.
fn remove_stale<F: Files>(
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

fn encode_mark(generation: u64, log_length: u64) -> Vec<u8> {
    // Encoding two numbers to a vector can't fail. The frame holds its own length, so the rest of a
    // longer frame that was there before does no harm.
    postcard::to_stdvec(&(generation, log_length)).unwrap_or_default()
}

/// Creates the folder and syncs its parent, so that the folder survives a power failure.
fn make_folder<F: Files>(files: &F, folder: &Path) -> Result<(), DiskError> {
    files.make_folder(folder).map_err(DiskError::io("make", folder))?;
    let parent = folder.parent().filter(|it| !it.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    files.sync_folder(parent).map_err(DiskError::io("sync", parent))
}

fn lock<F: Files>(files: &F, folder: &Path) -> Result<F::File, DiskError> {
    let path = folder.join(LOCK_FILE);
    let file = files.open(&path).map_err(DiskError::io("open", &path))?;
    if !files.lock(&file).map_err(DiskError::io("lock", &path))? {
        return Err(DiskError::Locked(path));
    }
    Ok(file)
}

fn write_recovered_log<F: Files>(
    files: &F,
    folder: &Path,
    generation: u64,
    found: &FolderContents,
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
    let frame = frame::encode(FrameId { generation, number: 0 }, &batch.encode());
    let path = recover::log_path(folder, generation);
    write_atomically(files, folder, &path, &frame)?;
    let file = files.open(&path).map_err(DiskError::io("open", &path))?;
    Ok((file, frame.len() as u64))
}

/// Writes a file atomically: writes and syncs a temporary file beside it, renames it and syncs the
/// folder. The file then exists completely or not at all.
fn write_atomically<F: Files>(
    files: &F,
    folder: &Path,
    path: &Path,
    data: &[u8],
) -> Result<(), DiskError> {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMP_SUFFIX);
    let temp_path = PathBuf::from(name);
    let file = files.open(&temp_path).map_err(DiskError::io("open", &temp_path))?;
    files.resize(&file, 0).map_err(DiskError::io("resize", &temp_path))?;
    write_all(files, &file, 0, data).map_err(DiskError::io("write", &temp_path))?;
    files.sync(&file).map_err(DiskError::io("sync", &temp_path))?;
    files.rename(&temp_path, path).map_err(DiskError::io("rename", path))?;
    files.sync_folder(folder).map_err(DiskError::io("sync", folder))
}

fn recovered(found: FolderContents) -> Recovered {
    Recovered {
        identity: found.identity,
        hard_state: found.log.hard_state,
        snapshot: found.snapshot.map(|it| (it.header.index, it.data)),
        records: found.log.records,
        torn_tail: found.torn_tail,
    }
}
