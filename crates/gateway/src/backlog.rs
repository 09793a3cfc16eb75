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

/// What an owner told last.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Instant,
    /// The waits by rank, in ms.
    waits: [u32; RANKS],
    /// What a piece needs that waits for nothing but the next call, in ms.
    need: u32,
}

/// The waits of all sections, by rank.
#[derive(Debug, Default)]
pub(crate) struct Backlogs(Mutex<HashMap<Section, Told>>);

impl Backlogs {
    /// Takes an owner's report, in ms.
    pub(crate) fn set(&self, section: Section, waits: [u32; RANKS], need: u32) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(section, Told { at: Instant::now(), waits, need });
    }

    /// How long a piece of `rank` is likely to wait; nothing where no owner spoke lately.
    pub(crate) fn wait(&self, section: &Section, rank: u8) -> Duration {
        let rank = usize::from(rank).min(RANKS - 1);
        self.fresh(section)
            .map_or(Duration::ZERO, |it| Duration::from_millis(it.waits[rank].into()))
    }

    /// What a piece needs that is in time; nothing where no owner spoke lately.
    pub(crate) fn need(&self, section: &Section) -> Duration {
        self.fresh(section).map_or(Duration::ZERO, |it| Duration::from_millis(it.need.into()))
    }

    fn fresh(&self, section: &Section) -> Option<Told> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(section).filter(|it| it.at.elapsed() < FRESH).copied()
    }
}
