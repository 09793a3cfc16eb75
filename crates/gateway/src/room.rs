//! Waits until an upstream that is cold or names a limit may get a request.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use types::SoftwareVersion;

use crate::limit::LIMIT_WINDOW;
use crate::line::{Line, Pace};
use crate::reply::Refusal;
use crate::turns::Turns;
use crate::upstream::Upstream;

/// The shortest wait, so that a request that waits for room doesn't keep the processor busy.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// The longest wait until a request looks again: what upstreams need changes with their answers.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The lines of requests that wait for room, by service, and by version where only one will do.
#[derive(Debug, Default)]
pub(crate) struct Lines(Mutex<HashMap<LineKey, Arc<ServiceLine>>>);

type LineKey = (Arc<str>, Option<SoftwareVersion>);

/// The requests that wait for room at the same upstreams.
#[derive(Debug, Default)]
struct ServiceLine {
    state: Mutex<State>,
    /// Notified when a request leaves the line.
    moved: Notify,
}

#[derive(Debug, Default)]
struct State {
    line: Line,
    /// When other entries lent their room within the longest window in which upstreams count requests.
    loans: VecDeque<Instant>,
    /// When refused callers are told to come back.
    turns: Turns,
}

/// A request's turn to get room; its place in the line is free once this is dropped.
#[derive(Debug)]
pub(crate) struct Turn {
    line: Arc<ServiceLine>,
    rank: u8,
    /// When it must have room, so that it can be served while its caller waits.
    latest: Instant,
    place: Option<u64>,
}

impl Lines {
    /// Returns the turn of a request of `rank` that must have room by `latest`.
    pub(crate) fn turn(
        &self,
        service: &Arc<str>,
        version: Option<&SoftwareVersion>,
        rank: u8,
        latest: Instant,
    ) -> Turn {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (Arc::clone(service), version.cloned());
        let line = Arc::clone(lines.entry(key).or_default());
        Turn { line, rank, latest, place: None }
    }

    /// Returns whether requests wait for room at the upstreams of a service.
    pub(crate) fn has_waiting(&self, service: &str) -> bool {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lines = lines.iter().filter(|(key, _)| *key.0 == *service);
        lines.any(|(_, it)| !it.lock().line.is_empty())
    }
}

impl ServiceLine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the pace at which `most` requests get room at the `upstreams`.
    ///
    /// An entry without a share of its own expects as many loans as an even share is, or more if it got
    /// more.
    fn pace(&mut self, upstreams: &[&Arc<Upstream>], most: usize, now: Instant) -> Pace {
        let mut own: Vec<Instant> =
            upstreams.iter().flat_map(|it| it.upcoming(now, most)).collect();
        own.sort_unstable();
        own.truncate(most);
        self.forget_loans(now);
        let seen = self.loans.len() as f64 / LIMIT_WINDOW.as_secs_f64();
        let even = || upstreams.iter().filter_map(|it| it.even_rate(now)).map(|it| it.0).sum();
        let rate = if own.is_empty() { seen.max(even()) } else { seen };
        let loans = match rate > 0.0 {
            true => Some(Duration::from_secs_f64(1.0 / rate)),
            false => own.is_empty().then_some(Duration::ZERO),
        };
        Pace { now, own, loans }
    }

    /// Returns the refusal for a request that would have room at `turn`, and must have it by `latest`.
    fn refusal(&mut self, turn: Option<Instant>, latest: Instant, now: Instant) -> Refusal {
        let latest = latest.saturating_duration_since(now);
        let after = turn.map_or(latest, |it| it.saturating_duration_since(now));
        Refusal::Overloaded(self.turns.next(after, latest, rand::random(), now))
    }

    fn forget_loans(&mut self, now: Instant) {
        while self.loans.front().is_some_and(|it| *it + LIMIT_WINDOW <= now) {
            self.loans.pop_front();
        }
    }
}

impl Turn {
    /// Returns whether the request may take room that there is now: no other goes before it. One that some
    /// upstreams have turned away does not hold up others, which may go to these.
    pub(crate) fn has_come(&self, tried: &[Arc<str>]) -> bool {
        let state = self.line.lock();
        match self.place {
            _ if !tried.is_empty() => true,
            Some(place) => state.line.ahead(place) == 0,
            None => state.line.ahead_of_rank(self.rank) == 0,
        }
    }

    /// Sets when the request must have room.
    pub(crate) fn set_latest(&mut self, latest: Instant) {
        self.latest = latest;
    }

    /// Records that the request has got room, which another entry may have lent.
    pub(crate) fn end(&mut self, is_lent: bool) {
        self.leave();
        let now = Instant::now();
        let mut state = self.line.lock();
        state.forget_loans(now);
        if is_lent {
            state.loans.push_back(now);
        }
        state.turns.record_begun(now);
    }

    /// Waits until the request should look for room again. To be called when its turn has not come, or no
    /// upstream can be chosen. Nothing waits for an upstream that has asked for a pause: what it will say
    /// then is not known.
    ///
    /// # Errors
    /// Returns the refusal for a request that no upstream will take in time.
    pub(crate) async fn wait(
        &mut self,
        upstreams: &[Arc<Upstream>],
        tried: &[Arc<str>],
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        if let Some(left) = shortest_pause(upstreams, now) {
            return Err(Refusal::Paused(left));
        }
        let open = upstreams.iter().filter(|it| it.is_open() && !tried.contains(&it.id));
        let open: Vec<_> = open.filter(|it| it.pause_end(now).is_none()).collect();
        let by = self.next_look(&open, tried, now)?;
        let moved = self.line.moved.notified();
        tokio::select! {
            () = sleep_until(by) => {}
            () = moved => {}
        }
        Ok(())
    }

    /// Joins the line, and returns when to look for room again.
    fn next_look(
        &mut self,
        upstreams: &[&Arc<Upstream>],
        tried: &[Arc<str>],
        now: Instant,
    ) -> Result<Instant, Refusal> {
        let line = Arc::clone(&self.line);
        let mut state = line.lock();
        if upstreams.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let most = state.line.len() + 1;
        let pace = state.pace(upstreams, most, now);
        let turn = match self.place {
            _ if !tried.is_empty() => pace.turn(0),
            Some(place) => pace.turn(state.line.ahead(place)),
            None => match state.line.join(self.rank, self.latest, &pace) {
                Ok(place) => {
                    self.place = Some(place);
                    pace.turn(state.line.ahead(place))
                }
                Err(turn) => return Err(state.refusal(turn, self.latest, now)),
            },
        };
        match turn {
            Some(turn) if turn <= self.latest => {
                Ok(turn.min(now + LOOK_INTERVAL).max(now + MIN_WAIT))
            }
            _ => Err(state.refusal(turn, self.latest, now)),
        }
    }

    fn leave(&mut self) {
        if let Some(place) = self.place.take() {
            self.line.lock().line.leave(place);
            self.line.moved.notify_waiters();
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Returns the shortest time for which an upstream wants nothing, if all of them that may get requests have
/// asked for a pause.
pub(crate) fn shortest_pause(upstreams: &[Arc<Upstream>], now: Instant) -> Option<Duration> {
    let open = upstreams.iter().filter(|it| it.is_open());
    let left: Option<Vec<Duration>> = open.map(|it| it.pause_left(now)).collect();
    left?.into_iter().min()
}
