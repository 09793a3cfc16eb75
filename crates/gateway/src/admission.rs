//! Decides whether a request with stages is admitted or refused on arrival, before any work is done
//! for it.
//!
//! Without this, requests whose callers leave before their turn would wait in vain, and the work that was
//! begun for them would be lost to others. The decision goes by the time that the caller has and by the work
//! ahead of the request, which the owners of the stages reported within the last half second. The rank is in
//! these reports: a request waits behind the pieces of its rank and of those before it.

use std::time::Duration;

/// The expected time from now to the first event of a request, under different assumptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// The time that its stages take by what their services announce, if nothing delays them.
    pub least: Duration,
    /// If none of its pieces waits.
    pub unqueued: Duration,
    /// If its pieces wait only behind those that can still be in time. Pieces that can be in time
    /// are served first, so this holds as long as the request itself can be in time.
    pub behind_timely: Duration,
    /// If its pieces wait behind all queued ones.
    pub behind_all: Duration,
}

impl Forecast {
    /// Returns how long its pieces wait behind all queued ones.
    pub fn wait(&self) -> Duration {
        self.behind_all.saturating_sub(self.unqueued)
    }
}

/// The time that a request has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// Until the latency objective of its route.
    pub objective: Duration,
    /// Until its caller leaves without a first event.
    pub caller: Duration,
}

/// The outcome of the admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted: the request is expected to meet its objective.
    Timely,
    /// Admitted: it is expected to be served after its objective, while its caller still waits.
    Late,
    /// Refused, because its pieces would wait for the given time, and its caller would have left.
    Refused(Duration),
}

impl Verdict {
    /// Returns the verdict's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Timely => "timely",
            Verdict::Late => "late",
            Verdict::Refused(_) => "refused",
        }
    }
}

/// Returns after which time a refused caller is expected to be served if it comes back: when the work ahead
/// of it is done.
///
/// An overload that has `lasted` for some time is expected to last about as long again: a caller that
/// comes back within a burst meets the same queue, and uses up its retries. `latest` is the time within
/// which the request must begin again to be served; none is left to one that can't be served any more.
pub fn retry_after(wait: Duration, lasted: Duration, latest: Duration) -> Duration {
    let served = wait + lasted;
    if latest.is_zero() { served } else { served.min(latest) }
}

/// Decides whether a request is admitted: if it is expected to be served while its caller waits. Urgency
/// decides who goes first, not who is turned away.
///
/// With nothing ahead of it, a request is admitted whatever is expected, since only running corrects an
/// estimate that is too long. It is refused all the same if not even the announced times fit.
pub fn admit(forecast: &Forecast, left: &TimeLeft) -> Verdict {
    let wait = forecast.wait();
    if forecast.least > left.caller {
        Verdict::Refused(wait)
    } else if forecast.behind_timely <= left.objective.min(left.caller) {
        Verdict::Timely
    } else if forecast.behind_all <= left.caller || wait.is_zero() {
        Verdict::Late
    } else {
        Verdict::Refused(wait)
    }
}
