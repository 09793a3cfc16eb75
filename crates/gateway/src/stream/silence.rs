//! Decides when a stream whose engine is silent looks for another one, and when it leaves its own.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::reply::Refusal;

#[cfg(test)]
mod tests;

/// A stream that sends nothing for this long, or for [`STALL_PAUSES`] of its route's pauses if that is
/// longer, looks for another engine. A sound engine may be silent for a second; callers give up after two
/// seconds or eight such pauses.
const STALL_TIME: Duration = Duration::from_millis(1_500);

/// See [`STALL_TIME`].
const STALL_PAUSES: u32 = 3;

/// How long a silent engine is kept once the request was sent to another one, which may turn it away. Two
/// engines must not work on a request for longer than 400 ms.
const OVERLAP: Duration = Duration::from_millis(250);

/// Returns how long an engine may be silent before another one is looked for.
pub(super) fn stall_time(pause: Duration) -> Duration {
    STALL_TIME.max(pause * STALL_PAUSES)
}

/// The silence of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Silence {
    stall: Duration,
    look_at: Instant,
    has_looked: bool,
}

impl Silence {
    /// Begins with an engine that may be silent for as long as `stall`.
    pub(super) fn new(stall: Duration, now: Instant) -> Self {
        Self { stall, look_at: now + stall, has_looked: false }
    }

    /// Records that the engine was heard.
    pub(super) fn record_heard(&mut self, now: Instant) {
        *self = Self::new(self.stall, now);
    }

    /// Records that another engine was looked for in vain.
    pub(super) fn record_not_taken(&mut self, now: Instant) {
        self.look_at = now + self.stall;
    }

    /// Returns when another engine is looked for if this one stays silent.
    pub(super) fn look_at(&self) -> Instant {
        self.look_at
    }

    /// Records that another engine is looked for; returns whether that is the first time in this silence.
    pub(super) fn begin_look(&mut self) -> bool {
        !std::mem::replace(&mut self.has_looked, true)
    }
}

/// What becomes of a silent engine while another one is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stand {
    /// It is listened to; if it speaks, the stream goes on there.
    Listen,
    /// Another one has the request, and this one is kept until then, unread: the other goes on after the
    /// last event that the caller has.
    Hold(Instant),
    /// It is left.
    Leave,
}

impl Stand {
    /// Decides by when the request was `sent` to another engine that has not turned it away.
    pub(super) fn of(sent: Option<Instant>, now: Instant) -> Self {
        match sent.map(|it| it + OVERLAP) {
            None => Self::Listen,
            Some(end) if now < end => Self::Hold(end),
            Some(_) => Self::Leave,
        }
    }
}

/// What decides whether a stream may go on at another engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// Whether its route lets a stream be resumed.
    pub(super) is_resumable: bool,
    /// Whether the request is a trial, which one engine alone runs.
    pub(super) is_trial: bool,
    /// Whether the caller has an event.
    pub(super) has_event: bool,
    /// At how many engines it has run, this one included.
    pub(super) runs: u32,
    /// At how many it may run.
    pub(super) attempts: u32,
    /// Whether the version of its engine is known.
    pub(super) is_version_known: bool,
}

impl Terms {
    /// Decides whether the stream may go on at another engine.
    ///
    /// # Errors
    /// Returns why not.
    pub(super) fn may_move(self) -> Result<(), NotResumed> {
        if !self.is_resumable || self.is_trial || !self.has_event {
            Err(NotResumed::NotAllowed)
        } else if self.runs >= self.attempts {
            Err(NotResumed::NoAttempts)
        } else if !self.is_version_known {
            Err(NotResumed::NoVersion)
        } else {
            Ok(())
        }
    }
}

/// Why a stream did not go on at another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotResumed {
    /// Its route does not allow it, or the caller has no event yet.
    NotAllowed,
    /// It has run as often as its route allows.
    NoAttempts,
    /// The version of the engine that ran it isn't known.
    NoVersion,
    /// The caller left.
    CallerLeft,
    /// Its time is over.
    Late,
    /// Another engine answered with something else than a stream.
    NoStream,
    /// No other engine took it.
    Refused(Refusal),
}

impl fmt::Display for NotResumed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotResumed::NotAllowed => f.write_str("not resumable"),
            NotResumed::NoAttempts => f.write_str("no attempts left"),
            NotResumed::NoVersion => f.write_str("version unknown"),
            NotResumed::CallerLeft => f.write_str("caller left"),
            NotResumed::Late => f.write_str("deadline passed"),
            NotResumed::NoStream => f.write_str("answered without a stream"),
            NotResumed::Refused(why) => f.write_str(why.name()),
        }
    }
}
