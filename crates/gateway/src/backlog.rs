//! The waits of stage pieces, as last reported by the owners of the services.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::queue::RANKS;
use crate::section::Section;

/// How long a report of an owner is valid. Owners repeat it several times in this span while pieces
/// wait.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);

/// An owner's report about a section; all values are in ms.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Backlog {
    /// How long a piece of each rank waits behind all queued ones.
    pub(crate) waits: [u32; RANKS],
    /// How long a piece of each rank waits behind those that can still be in time.
    pub(crate) timely: [u32; RANKS],
    /// How long a piece takes that is served before all others.
    pub(crate) need: u32,
}

impl Backlog {
    /// Returns whether pieces wait that are late: more is asked than can be made in time.
    fn is_overloaded(&self) -> bool {
        self.waits[RANKS - 1] > self.timely[RANKS - 1]
    }
}

/// The last reports about all sections.
#[derive(Debug, Default)]
pub(crate) struct Backlogs(Mutex<HashMap<Section, Report>>);

#[derive(Clone, Copy, Debug)]
struct Report {
    received: Instant,
    backlog: Backlog,
    /// Since when the reports tell of an overload.
    overload: Option<Instant>,
}

impl Report {
    fn is_valid(&self) -> bool {
        self.received.elapsed() < REPORT_LIFETIME
    }
}

impl Backlogs {
    /// Stores an owner's report.
    pub(crate) fn set(&self, section: Section, backlog: Backlog) {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let received = Instant::now();
        let before = reports.get(&section).filter(|it| it.is_valid()).and_then(|it| it.overload);
        let overload = backlog.is_overloaded().then(|| before.unwrap_or(received));
        reports.insert(section, Report { received, backlog, overload });
    }

    /// Returns how long a piece of `rank` is likely to wait, or zero without a recent report.
    pub(crate) fn wait(&self, section: &Section, rank: u8) -> Duration {
        self.latest_report(section, |it| it.waits[usize::from(rank).min(RANKS - 1)])
    }

    /// Returns how long a piece of `rank` waits that can be in time, or zero without a recent
    /// report.
    pub(crate) fn timely_wait(&self, section: &Section, rank: u8) -> Duration {
        self.latest_report(section, |it| it.timely[usize::from(rank).min(RANKS - 1)])
    }

    /// Returns how long a piece takes that is served before all others, or zero without a recent
    /// report.
    pub(crate) fn need(&self, section: &Section) -> Duration {
        self.latest_report(section, |it| it.need)
    }

    /// Returns for how long late pieces have waited, or zero without a recent report.
    pub(crate) fn overload_age(&self, section: &Section) -> Duration {
        let reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let valid = reports.get(section).filter(|it| it.is_valid());
        valid.and_then(|it| it.overload).map_or(Duration::ZERO, |it| it.elapsed())
    }

    fn latest_report(&self, section: &Section, field: impl Fn(&Backlog) -> u32) -> Duration {
        let reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let valid = reports.get(section).filter(|it| it.is_valid());
        valid.map_or(Duration::ZERO, |it| Duration::from_millis(field(&it.backlog).into()))
    }
}
