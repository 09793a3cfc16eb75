//! Errors of the data folder.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use types::LogIndex;

/// An error of the data folder. Its text names the file and tells what to do.
#[derive(Debug)]
pub enum DiskError {
    /// An operation on a file failed. The store accepts no further calls.
    Io {
        /// The operation.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// Bytes that were acknowledged are damaged or gone.
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset in bytes.
        offset: u64,
        /// The damage that was found.
        reason: String,
    },
    /// Another process uses the folder.
    Locked(PathBuf),
    /// An earlier operation failed, so the contents of the disk are unknown.
    Poisoned,
    /// The folder already has an identity.
    IdentityExists,
    /// The folder has no identity yet; it must be written first.
    NoIdentity,
    /// The index does not follow the log.
    Gap {
        /// The index that was given.
        index: LogIndex,
        /// The index before the first one that may be replaced.
        base: LogIndex,
        /// The last index of the log.
        last: LogIndex,
    },
}

impl DiskError {
    pub(crate) fn io(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |cause| Self::Io { step, path, cause }
    }

    pub(crate) fn damaged(path: &Path, offset: u64, reason: impl Into<String>) -> Self {
        Self::Damaged { path: path.to_owned(), offset, reason: reason.into() }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiskError::Io { step, path, cause } => write!(
                f,
                "{step} {}: {cause}; check space and health of the disk, then restart",
                path.display()
            ),
            DiskError::Damaged { path, offset, reason } => write!(
                f,
                "{} at byte {offset}: {reason}; this disk cannot be trusted: move the data folder \
                 away and start with an empty one, the member comes back as a learner",
                path.display()
            ),
            DiskError::Locked(path) => write!(
                f,
                "{} is locked by another process; stop it, or give each its own data folder",
                path.display()
            ),
            DiskError::Poisoned => {
                f.write_str("an earlier write or sync failed; restart the process")
            }
            DiskError::IdentityExists => f.write_str("the data folder already has an identity"),
            DiskError::NoIdentity => f.write_str("the data folder has no identity yet"),
            DiskError::Gap { index, base, last } => {
                write!(
                    f,
                    "index {index} does not follow the log, which starts after {base} and ends at {last}"
                )
            }
        }
    }
}

impl std::error::Error for DiskError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DiskError::Io { cause, .. } => Some(cause),
            _ => None,
        }
    }
}
