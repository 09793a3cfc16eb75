//! Decides, without I/O, how an entry fetches a plan: from one member at a time, part by part.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use types::{StepResult, Version};

use crate::message::{PackageProgress, PartRequest};
use crate::package::{Part, PartialPackage};

/// The timeout for a part, after which another member is asked: ten times the time that a part takes on
/// a link of 10 Mbit/s, and more than the delay after a lost packet (200 ms).
const PART_TIMEOUT: Duration = Duration::from_millis(250);

/// How often that timeout is doubled at most. It limits the repeated requests of an entry whose link is
/// saturated to 32 kB per second.
const MAX_DOUBLINGS: u32 = 2;

/// A request for a part that is in flight.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    peer: SocketAddr,
    at: Instant,
}

/// The state of fetching a plan.
#[derive(Debug)]
pub struct Fetch {
    /// The index of the member to start with; it differs between entries, to spread them over members.
    first_member: usize,
    pending: Option<PendingRequest>,
    /// The member that sent the last part.
    sender: Option<SocketAddr>,
    /// The number of successive timeouts.
    timeouts: u32,
    partial: Option<PartialPackage>,
    /// Whether the last package could not be unpacked, so that the whole text is requested.
    fetch_whole: bool,
}

impl Fetch {
    /// Creates the state of an entry that has no request in flight.
    pub fn new(first_member: usize) -> Self {
        Self {
            first_member,
            pending: None,
            sender: None,
            timeouts: 0,
            partial: None,
            fetch_whole: false,
        }
    }

    /// Returns the request to send now, and the members to try in this order; `None` if the entry has
    /// the newest plan or a request is in flight. `holders` are the members with the versions that they
    /// hold, `held` is the version that the entry has.
    ///
    /// A package is completed even if a newer version becomes known. An entry that started again with
    /// each version would never get a plan while they change faster than its link carries them.
    pub fn next_request(
        &mut self,
        held: Option<Version>,
        holders: &[(SocketAddr, Version)],
        now: Instant,
    ) -> Option<(PartRequest, Vec<SocketAddr>)> {
        // A member without a plan reports version zero.
        let least = held.unwrap_or(Version(0));
        let newest = holders.iter().map(|it| it.1).max().filter(|it| *it > least)?;
        // The timeout is for a part, not for a plan. With a timeout for the plan, one of 822 kB on a link
        // of 10 Mbit/s was requested again and again, and 14 copies saturated the link for 10 s.
        let timeout = PART_TIMEOUT * 2_u32.pow(self.timeouts.min(MAX_DOUBLINGS));
        if self.pending.is_some_and(|it| now.duration_since(it.at) <= timeout) {
            return None;
        }
        let late = self.pending.take().map(|it| it.peer);
        if late.is_some() {
            self.timeouts += 1;
            self.sender = None;
        }
        self.partial.take_if(|it| it.id().version > newest || it.id().version <= least);
        let progress = self.partial.as_ref();
        let version = progress.map_or(newest, |it| it.id().version);
        let progress = progress.map(|it| PackageProgress { id: it.id(), offset: it.next_offset() });
        let held = held.filter(|_| !self.fetch_whole);
        let mut peers: Vec<_> =
            holders.iter().filter(|it| it.1 >= version).map(|it| it.0).collect();
        peers.sort_unstable();
        let places = peers.len().max(1);
        peers.rotate_left((self.first_member + self.timeouts as usize) % places);
        peers.sort_by_key(|it| (Some(*it) == late, Some(*it) != self.sender));
        Some((PartRequest { version, held, progress }, peers))
    }

    /// Records that a member was sent the request.
    pub fn record_request(&mut self, peer: SocketAddr, now: Instant) {
        self.pending = Some(PendingRequest { peer, at: now });
    }

    /// Records that the connection to a member was lost: a request to it will not be answered.
    pub fn connection_lost(&mut self, peer: SocketAddr) {
        self.pending.take_if(|it| it.peer == peer);
        self.sender.take_if(|it| *it == peer);
    }

    /// Takes a part; returns the plan once its package is complete. A duplicate part, late from a member
    /// whose request timed out, changes nothing.
    ///
    /// # Errors
    /// Fails if a complete package can't be unpacked. The whole text is requested next, from another
    /// member and after a pause, so that a persistent fault doesn't cause an endless series of requests.
    pub fn take_part(
        &mut self,
        from: SocketAddr,
        part: Part,
        held: Option<Version>,
        text: &[u8],
        now: Instant,
    ) -> StepResult<Option<(Version, Vec<u8>)>> {
        let id = part.id;
        if Some(id.version) <= held || !self.accept(from, part) {
            return Ok(None);
        }
        self.pending = None;
        self.sender = Some(from);
        self.timeouts = 0;
        let Some(partial) = self.partial.take_if(|it| it.is_complete()) else { return Ok(None) };
        let text = partial.unpack(text).map_err(|e| e.at(from));
        self.fetch_whole = text.is_err();
        if self.fetch_whole {
            self.record_request(from, now);
        }
        text.map(|it| Some((id.version, it)))
    }

    /// Adds a part to the partial package. Starts a new package if there is none, or if the member that
    /// was asked last sends the first part of another package. Returns whether the part was used.
    fn accept(&mut self, from: SocketAddr, part: Part) -> bool {
        let Some(partial) = &mut self.partial else {
            self.partial = PartialPackage::begin(part);
            return self.partial.is_some();
        };
        if partial.id() == part.id {
            return partial.add(&part);
        }
        let pending = self.pending.is_some_and(|it| it.peer == from);
        match PartialPackage::begin(part).filter(|_| pending) {
            Some(progress) => self.partial = Some(progress),
            None => return false,
        }
        true
    }
}
