//! An artificial sync delay. In debug builds, tests use it to slow down the disk of a running
//! process.

use std::path::Path;
#[cfg(debug_assertions)]
use std::path::PathBuf;

/// The file in the data folder with the delay of each sync, in milliseconds.
#[cfg(debug_assertions)]
const DELAY_FILE: &str = "sync-delay-ms";

/// The sync delay of a data folder; none in a release build.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncDelay {
    #[cfg(debug_assertions)]
    file: PathBuf,
}

impl SyncDelay {
    pub(crate) fn of(folder: &Path) -> Self {
        #[cfg(debug_assertions)]
        return Self { file: folder.join(DELAY_FILE) };
        #[cfg(not(debug_assertions))]
        {
            let _ = folder;
            Self {}
        }
    }

    /// Waits for the duration that the file holds at this moment.
    pub(crate) fn wait(&self) {
        #[cfg(debug_assertions)]
        if let Ok(text) = std::fs::read_to_string(&self.file)
            && let Ok(ms) = text.trim().parse()
        {
            std::thread::sleep(std::time::Duration::from_millis(ms));
        }
    }
}
