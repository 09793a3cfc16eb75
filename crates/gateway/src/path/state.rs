//! Decides whether this entry reaches the upstreams of a service over the network by itself.
//!
//! A single upstream that can't be reached has most likely ended. Several without one that can be
//! reached between them make the entry suspect its own path; it then tries others at once. If these
//! can't be reached either, the entry is cut off until it reaches one again.

use std::time::Duration;

use tokio::time::Instant;

/// The number of upstreams that must be unreachable for the entry to suspect its path.
const SUSPECT_UPSTREAMS: usize = 2;

/// How long an upstream that could not be reached counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// The shortest time between two checks because of silent upstreams: engines are silent until the first
/// event.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What this entry knows of its path to the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    /// Upstreams are reached.
    #[default]
    Open,
    /// Several could not be reached; others are being tried.
    Suspected,
    /// None can be reached.
    CutOff,
}

/// The evidence for and against the path to the upstreams of a service.
#[derive(Debug, Default)]
pub struct PathState {
    path: Path,
    /// The keys of the upstreams that could not be reached since the last one that could, and when.
    failed: Vec<(u64, Instant)>,
    /// When the path was last checked because an upstream was silent.
    checked: Option<Instant>,
}

impl PathState {
    /// Returns what is known now.
    pub fn path(&self) -> Path {
        self.path
    }

    /// Records that an upstream could not be reached, or that its connection was lost without an end.
    /// Returns whether the path is suspected from now on.
    pub fn record_failure(&mut self, upstream: u64, now: Instant) -> bool {
        self.failed.retain(|it| it.0 != upstream && now < it.1 + FAILURE_LIFETIME);
        self.failed.push((upstream, now));
        self.failed.len() >= SUSPECT_UPSTREAMS && self.suspect()
    }

    /// Suspects the path for another reason; returns whether it was not suspected before.
    pub fn suspect(&mut self) -> bool {
        let suspected = self.path == Path::Open;
        if suspected {
            self.path = Path::Suspected;
        }
        suspected
    }

    /// Returns whether the path may be checked at `now` because an upstream is silent.
    pub fn begin_check(&mut self, now: Instant) -> bool {
        let recent = self.checked.is_some_and(|it| now < it + CHECK_INTERVAL);
        let may_check = self.path == Path::Open && !recent;
        if may_check {
            self.checked = Some(now);
        }
        may_check
    }

    /// Records that an upstream was reached. Returns whether the entry was cut off until now.
    pub fn record_success(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.path) == Path::CutOff
    }

    /// Records that none of the upstreams that were tried because of a suspicion could be reached.
    /// Returns whether the entry is cut off from now on.
    pub fn record_none_reached(&mut self) -> bool {
        let confirmed = self.path == Path::Suspected;
        if confirmed {
            self.path = Path::CutOff;
        }
        confirmed
    }
}
