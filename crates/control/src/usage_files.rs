//! The files with stage usage: one per hour, in a separate folder.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use types::{StepError, StepResult};

use crate::protocol::UsageRow;

/// The extension of a file that is being written.
const TEMPORARY_EXTENSION: &str = "new";

/// The buckets of one hour, as stored in a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HourFile {
    /// The start of the hour, in milliseconds since the Unix epoch.
    pub(crate) start: u64,
    /// The buckets, by their starts.
    pub(crate) buckets: Vec<(u64, Vec<UsageRow>)>,
}

/// The folder that contains the files.
pub(crate) struct UsageFiles {
    folder: PathBuf,
}

impl UsageFiles {
    pub(crate) fn open(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// Reads every readable file. An unreadable file is left in place and logged, because missing
    /// usage data must not keep a member from starting.
    pub(crate) fn read(&self) -> Vec<HourFile> {
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let paths = entries.filter_map(|it| Some(it.ok()?.path()));
        let finished = paths.filter(|it| it.extension().is_none());
        finished.filter_map(|path| read_hour(&path)).collect()
    }

    /// Writes an hour, or removes its file if it has no buckets left.
    ///
    /// # Errors
    /// Returns an error if the disk fails.
    pub(crate) fn write(&self, hour: &HourFile) -> StepResult<()> {
        let path = self.folder.join(hour.start.to_string());
        let error = |e: std::io::Error| StepError::new("write use by stage", e).at(path.display());
        if hour.buckets.is_empty() {
            return fs::remove_file(&path).map_err(error);
        }
        let bytes = postcard::to_stdvec(hour).map_err(|e| StepError::new("encode use", e))?;
        fs::create_dir_all(&self.folder).map_err(error)?;
        let new = path.with_extension(TEMPORARY_EXTENSION);
        let mut file = File::create(&new).map_err(error)?;
        file.write_all(&bytes).map_err(error)?;
        file.sync_all().map_err(error)?;
        fs::rename(&new, &path).map_err(error)
    }
}

fn read_hour(path: &Path) -> Option<HourFile> {
    let bytes = fs::read(path).ok()?;
    match postcard::from_bytes(&bytes) {
        Ok(hour) => Some(hour),
        Err(e) => {
            log::warn!(file:% = path.display(); "skipped an unreadable file with stage usage: {e}");
            None
        }
    }
}
