//! The file operations of the store, as a trait, so that tests can make each of them fail.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use rustix::fs::{FlockOperation, flock};

use crate::delay::SyncDelay;

/// File operations. Each may fail, and a write may write only a part of the data.
pub trait Files {
    /// An open file.
    type File;

    /// Creates a folder and its parents.
    ///
    /// # Errors
    /// As the file system reports.
    fn make_folder(&self, folder: &Path) -> io::Result<()>;

    /// Lists the names of the files in a folder.
    ///
    /// # Errors
    /// As the file system reports.
    fn names(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads a whole file; returns `None` if it does not exist.
    ///
    /// # Errors
    /// As the file system reports.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file for writing and creates it if it does not exist. Its contents are kept.
    ///
    /// # Errors
    /// As the file system reports.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Writes at an offset and returns the number of bytes written.
    ///
    /// # Errors
    /// As the file system reports.
    fn write(&self, file: &Self::File, at: u64, data: &[u8]) -> io::Result<usize>;

    /// Sets the length of a file.
    ///
    /// # Errors
    /// As the file system reports.
    fn resize(&self, file: &Self::File, length: u64) -> io::Result<()>;

    /// Syncs the contents of a file to the disk.
    ///
    /// # Errors
    /// As the file system reports.
    fn sync(&self, file: &Self::File) -> io::Result<()>;

    /// Syncs the file names in a folder to the disk.
    ///
    /// # Errors
    /// As the file system reports.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Renames a file and replaces the target if it exists.
    ///
    /// # Errors
    /// As the file system reports.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// As the file system reports.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Locks an open file until it is closed; returns false if another process holds the lock.
    ///
    /// # Errors
    /// As the file system reports.
    fn lock(&self, file: &Self::File) -> io::Result<bool>;
}

/// The file operations of the operating system.
#[derive(Clone, Debug, Default)]
pub struct OsFiles {
    delay: SyncDelay,
}

impl OsFiles {
    /// Returns the file operations for one data folder, with its sync delay.
    pub fn of(folder: &Path) -> Self {
        Self { delay: SyncDelay::of(folder) }
    }
}

impl Files for OsFiles {
    type File = File;

    fn make_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn names(&self, folder: &Path) -> io::Result<Vec<String>> {
        let names = fs::read_dir(folder)?
            .map(|entry| entry.map(|it| it.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(data) => Ok(Some(data)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
    }

    fn write(&self, file: &File, at: u64, data: &[u8]) -> io::Result<usize> {
        file.write_at(data, at)
    }

    fn resize(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.delay.wait();
        file.sync_data()
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.delay.wait();
        File::open(folder)?.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn lock(&self, file: &File) -> io::Result<bool> {
        match flock(file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(true),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }
}

/// Writes all of `data`, with as many writes as it takes.
pub(crate) fn write_all<F: Files>(
    files: &F,
    file: &F::File,
    mut at: u64,
    mut data: &[u8],
) -> io::Result<()> {
    while !data.is_empty() {
        let taken = match files.write(file, at, data) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(taken) => taken,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        };
        at += taken as u64;
        data = &data[taken..];
    }
    Ok(())
}
