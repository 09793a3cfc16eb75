//! Holds back requests that terminate the upstreams that run them.
//!
//! Entries report to the leader which requests were in flight at an upstream when it terminated.
//! [`QuarantineTable`] decides which of them is the cause, and the leader sends the list of held
//! requests to all entries.

mod evidence;
mod held;
mod holds;
mod parts;
mod table;
mod view;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::evidence::EvidenceBuffer;
pub use self::holds::{Hold, Holds};
pub use self::table::QuarantineTable;
pub use self::view::{Admission, QuarantineView};
use crate::digest::RequestDigest;
use crate::message::Stamp;

/// The maximum number of requests that are held, and that are watched. It keeps the list below 4 kB, so
/// that the leader can send it to all entries at once.
const MAX_LISTED: usize = 64;

/// The protocol level from which a leader understands timestamps by the entry's clock.
const ENTRY_CLOCK_LEVEL: u8 = 3;

/// The protocol level from which a leader understands parts of prompts.
const PARTS_LEVEL: u8 = 7;

/// A decision of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is not sent any more; this many upstreams terminated while they ran it.
    Held(RequestDigest, u32),
    /// Requests with the part are not sent any more; this many upstreams terminated while they ran some.
    PartHeld(RequestDigest, u32),
    /// An upstream terminated during the trial of a request; this many have by now.
    TrialFailed(RequestDigest, u32),
    /// An entry may send the request once.
    TrialGranted(RequestDigest, SocketAddr),
    /// The request is sent like any other again.
    Released(RequestDigest),
}

/// A request that was in flight when its upstream terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSeen {
    /// The request.
    pub digest: RequestDigest,
    /// How long before the termination it was sent, in ms.
    pub age_ms: u32,
}

/// A part of prompts that was in flight when an upstream terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSeen {
    /// The part, at the service of the upstream.
    pub part: RequestDigest,
    /// The positions, in the list of runs, of the requests that have it.
    pub runs: Vec<u8>,
    /// How long ago this entry last saw a request with it complete, in ms; `None` if it has not lately.
    pub completed_ms: Option<u32>,
}

/// The termination of an upstream, as one entry observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndSeen {
    /// The id of the incarnation that terminated.
    pub upstream: String,
    /// How long ago it terminated, in ms.
    pub ago_ms: u32,
    /// The requests that this entry had in flight there.
    pub runs: Vec<RunSeen>,
    /// The time by the entry's own clock, if the entry reports it. Not part of the message.
    #[serde(skip)]
    pub clock: Option<EntryClock>,
    /// The shared parts of the requests' prompts. Not part of the message, so that earlier releases can
    /// read it.
    #[serde(skip)]
    pub parts: Vec<PartSeen>,
}

/// A time by an entry's own clock. It orders the observations of one entry however late its messages
/// arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryClock {
    /// The entry's incarnation: the node id that it introduced itself with.
    pub incarnation: u64,
    /// The time, in ms since the entry started.
    pub at_ms: u64,
}

/// What an entry reports to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// An upstream terminated.
    Ended(EndSeen),
    /// A listed request completed, and its upstream is still running.
    Completed(RequestDigest),
    /// A request whose hold time is over arrived; the entry asks to send it once.
    Try(RequestDigest),
    /// The requests that the previous leader held: a new leader starts without them.
    Known(Vec<Held>),
    /// An upstream terminated, this many ms after the entry started.
    EndedAt(u64, EndSeen),
    /// The same, with the shared parts of the requests' prompts.
    EndedWithParts(u64, EndSeen, Vec<PartSeen>),
}

impl Evidence {
    /// Returns the evidence in a form that a leader of this level can decode.
    pub(crate) fn at_level(self, level: u8) -> Self {
        match self {
            Self::EndedWithParts(at_ms, seen, _) if level < PARTS_LEVEL => {
                Self::EndedAt(at_ms, seen).at_level(level)
            }
            Self::EndedAt(_, seen) if level < ENTRY_CLOCK_LEVEL => Self::Ended(seen),
            evidence => evidence,
        }
    }
}

/// Permission to send a held request once, to find out whether it still terminates upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The entry that may send it.
    pub entry: SocketAddr,
    /// The number of the trial, counted per request.
    pub number: u32,
}

/// A request that entries don't send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request.
    pub digest: RequestDigest,
    /// How many upstreams terminated while they ran it.
    pub ends: u32,
    /// The remaining time for which it is not sent at all, in ms; after that it is sent once, as a trial.
    pub left_ms: u64,
    /// How many trials terminated an upstream.
    pub relapses: u32,
    /// The trial in flight.
    pub trial: Option<Trial>,
}

impl Held {
    /// Returns the remaining hold time, `since` after the list was received.
    pub fn left(&self, since: Duration) -> Duration {
        Duration::from_millis(self.left_ms).saturating_sub(since)
    }
}

/// The list that the leader sends to all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// The number of the list; newer lists have higher ones.
    pub stamp: Stamp,
    /// Requests that entries don't send.
    pub held: Vec<Held>,
    /// Suspected requests: entries send them and report when one completes.
    pub watched: Vec<RequestDigest>,
}
