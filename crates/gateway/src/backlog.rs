//! How long stage pieces wait, as the owners of the services told it last.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::queue::RANKS;
use crate::section::Section;

/// How long a report of an owner counts. Owners repeat it several times in this span while pieces
/// wait.
const FRESH: Duration = Duration::from_millis(500);

/// The waits of all sections, by rank.
#[derive(Debug, Default)]
pub(crate) struct Backlogs(Mutex<HashMap<Section, (Instant, [u32; RANKS])>>);

impl Backlogs {
    /// Takes an owner's report, in ms by rank.
    pub(crate) fn set(&self, section: Section, waits: [u32; RANKS]) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(section, (Instant::now(), waits));
    }

    /// How long a piece of `rank` is likely to wait; nothing where no owner spoke lately.
    pub(crate) fn wait(&self, section: &Section, rank: u8) -> Duration {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match all.get(section) {
            Some((at, waits)) if at.elapsed() < FRESH => {
                Duration::from_millis(u64::from(waits[usize::from(rank).min(RANKS - 1)]))
            }
            _ => Duration::ZERO,
        }
    }
}
