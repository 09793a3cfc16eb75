//! How long stage pieces wait, as the owners of the services told it last.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::queue::RANKS;
use crate::section::Section;

/// How long a report of an owner counts. Owners repeat it several times in this span while pieces
/// wait.
const FRESH: Duration = Duration::from_millis(500);

/// What an owner tells of a section, in ms.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Backlog {
    /// How long pieces wait, by rank.
    pub(crate) waits: [u32; RANKS],
    /// How long those wait that can be in time, by rank.
    pub(crate) timely: [u32; RANKS],
    /// What a piece needs that goes before all others.
    pub(crate) need: u32,
}

/// What the owners of all sections told last.
#[derive(Debug, Default)]
pub(crate) struct Backlogs(Mutex<HashMap<Section, (Instant, Backlog)>>);

impl Backlogs {
    /// Takes an owner's report.
    pub(crate) fn set(&self, section: Section, backlog: Backlog) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(section, (Instant::now(), backlog));
    }

    /// How long a piece of `rank` is likely to wait; nothing where no owner spoke lately.
    pub(crate) fn wait(&self, section: &Section, rank: u8) -> Duration {
        self.told(section, |it| it.waits[usize::from(rank).min(RANKS - 1)])
    }

    /// How long a piece of `rank` waits that can be in time.
    pub(crate) fn timely_wait(&self, section: &Section, rank: u8) -> Duration {
        self.told(section, |it| it.timely[usize::from(rank).min(RANKS - 1)])
    }

    /// What a piece needs that goes before all others; nothing where no owner spoke lately.
    pub(crate) fn need(&self, section: &Section) -> Duration {
        self.told(section, |it| it.need)
    }

    fn told(&self, section: &Section, field: impl Fn(&Backlog) -> u32) -> Duration {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = all.get(section).filter(|it| it.0.elapsed() < FRESH);
        fresh.map_or(Duration::ZERO, |it| Duration::from_millis(field(&it.1).into()))
    }
}
