//! Fault injection: the faults of a fake are set through its handle or by `POST /faults`.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use types::Millis;

use crate::http::{self, Availability, Reply};

/// The faults of a fake. Shares are from 0 (no call) to 1 (every call).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The extra delay of late responses, in milliseconds.
    pub late: Millis,
    /// The share of responses that are late.
    pub late_share: f64,
    /// The share of responses whose header carries another call's id.
    pub swap_echo: f64,
    /// The share of responses whose body belongs to the previous call.
    pub swap_body: f64,
    /// The share of responses whose body breaks off.
    pub cut: f64,
    /// The factor by which service times are multiplied.
    pub slow: f64,
    /// The share of calls that are answered with status 500.
    pub error: f64,
    /// The share of calls that are never answered.
    pub hang: f64,
    /// Whether the fake reports that it is draining, and refuses calls.
    pub draining: bool,
    /// Whether new connections are refused.
    pub refuse: bool,
    /// Whether new connections are refused and open ones closed, as if the process were killed.
    pub down: bool,
    /// How long these faults last, in milliseconds; 0 means until the next change.
    pub span: Millis,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            late: Millis(0),
            late_share: 1.0,
            swap_echo: 0.0,
            swap_body: 0.0,
            cut: 0.0,
            slow: 1.0,
            error: 0.0,
            hang: 0.0,
            draining: false,
            refuse: false,
            down: false,
            span: Millis(0),
        }
    }
}

/// The faults drawn for one call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallFaults {
    pub(crate) late: Duration,
    pub(crate) slow: f64,
    pub(crate) swap_echo: bool,
    pub(crate) swap_body: bool,
    pub(crate) cut: bool,
    pub(crate) error: bool,
    pub(crate) hang: bool,
}

/// Injects faults into one fake.
#[derive(Clone, Debug)]
pub struct FaultSwitch(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    availability: watch::Sender<Availability>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    changes: u64,
    rng: StdRng,
}

impl FaultSwitch {
    pub(crate) fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let state = Mutex::new(State { faults: Faults::default(), changes: 0, rng });
        Self(Arc::new(Inner { state, availability: watch::Sender::new(Availability::Accepting) }))
    }

    /// Replaces the faults in force. Must be called within a tokio runtime.
    pub fn set(&self, faults: Faults) {
        let span = Duration::from(faults.span);
        let change = self.replace(faults);
        if span.is_zero() {
            return;
        }
        let switch = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            if switch.with(|it| it.changes) == change {
                switch.replace(Faults::default());
            }
        });
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.replace(Faults::default());
    }

    /// Returns the faults in force.
    pub fn get(&self) -> Faults {
        self.with(|it| it.faults.clone())
    }

    /// Subscribes to the availability that the faults impose on the server.
    pub(crate) fn availability(&self) -> watch::Receiver<Availability> {
        self.0.availability.subscribe()
    }

    /// Stops the server for good.
    pub(crate) fn stop(&self) {
        self.0.availability.send_replace(Availability::Stopped);
    }

    /// Draws the faults of one call at random.
    pub(crate) fn draw(&self) -> CallFaults {
        self.with(|it| {
            let faults = it.faults.clone();
            let late = it.chance(faults.late_share) && faults.late.0 > 0;
            CallFaults {
                late: if late { faults.late.into() } else { Duration::ZERO },
                slow: faults.slow,
                swap_echo: it.chance(faults.swap_echo),
                swap_body: it.chance(faults.swap_body),
                cut: it.chance(faults.cut),
                error: it.chance(faults.error),
                hang: it.chance(faults.hang),
            }
        })
    }

    /// Answers `POST /faults`.
    pub(crate) fn command(&self, body: &Bytes) -> Reply {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                self.set(faults.clone());
                http::json(StatusCode::OK, &faults)
            }
            Err(e) => http::error(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    /// Replaces the faults and returns the number of the change.
    fn replace(&self, faults: Faults) -> u64 {
        let availability = match (faults.down, faults.refuse) {
            (true, _) => Availability::Down,
            (false, true) => Availability::Refusing,
            (false, false) => Availability::Accepting,
        };
        let change = self.with(|it| {
            it.faults = faults;
            it.changes += 1;
            it.changes
        });
        self.0.availability.send_if_modified(|it| {
            let changed = *it != availability && *it != Availability::Stopped;
            if changed {
                *it = availability;
            }
            changed
        });
        change
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.0.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State {
    /// Returns `true` with the probability `share`.
    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }
}
