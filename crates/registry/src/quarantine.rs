//! Requests that end the upstreams that run them, and are not sent any more.
//!
//! Entries tell the leader which requests were under way at an upstream that ended; [`Quarantine`] decides
//! which of them is the cause, and the leader tells all entries the list of those.

mod known;
mod recent;
mod table;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::known::{Known, Standing};
pub use self::recent::Recent;
pub use self::table::{Decision, Quarantine};
use crate::digest::RequestDigest;
use crate::message::Stamp;

/// The level of a leader that knows entries' clocks.
const CLOCKS: u8 = 3;

/// One run that was under way when its upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSeen {
    /// The request.
    pub digest: RequestDigest,
    /// How long before the end it was sent, in ms.
    pub age_ms: u32,
}

/// The end of an upstream, as one entry saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndSeen {
    /// The id of the life that ended.
    pub upstream: String,
    /// How long ago, in ms.
    pub ago_ms: u32,
    /// What this entry had under way there.
    pub runs: Vec<RunSeen>,
    /// When that was by the entry's own clock, where it tells. Not part of the message.
    #[serde(skip)]
    pub clock: Option<EntryClock>,
}

/// A time by an entry's own clock: what one entry saw is in order, whatever delays its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryClock {
    /// The entry's connection.
    pub life: u64,
    /// The time, in ms since the entry started.
    pub at_ms: u64,
}

/// What an entry tells the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// An upstream ended.
    Ended(EndSeen),
    /// A request on the list has run to its end, and its upstream lives.
    Completed(RequestDigest),
    /// A request whose time on the list is over has come; the entry asks to send it once.
    Try(RequestDigest),
    /// What a leader before had told: one that has just begun to lead knows nothing.
    Known(Vec<Held>),
    /// An upstream ended, so many ms after the entry started.
    EndedAt(u64, EndSeen),
}

impl Evidence {
    /// What a leader of this level can read.
    pub(crate) fn at_level(self, level: u8) -> Self {
        match self {
            Self::EndedAt(_, seen) if level < CLOCKS => Self::Ended(seen),
            evidence => evidence,
        }
    }
}

/// The leave to send a request on the list once, to see whether it still ends upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The entry that may.
    pub entry: SocketAddr,
    /// Counts the trials of the request.
    pub number: u32,
}

/// A request that is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request.
    pub digest: RequestDigest,
    /// How many upstreams ended under it.
    pub ends: u32,
    /// For how much longer it is not sent at all, in ms; then once, as a trial.
    pub left_ms: u64,
    /// How often a trial has ended an upstream.
    pub relapses: u32,
    /// The trial under way.
    pub trial: Option<Trial>,
}

impl Held {
    /// For how much longer it is not sent at all, `since` after this was told.
    pub fn left(&self, since: Duration) -> Duration {
        Duration::from_millis(self.left_ms).saturating_sub(since)
    }
}

/// What the leader tells all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Orders the lists.
    pub stamp: Stamp,
    /// Requests that are not sent.
    pub held: Vec<Held>,
    /// Requests that are suspected; the leader wants to hear if they run to their end.
    pub watched: Vec<RequestDigest>,
}
