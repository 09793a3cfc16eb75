//! How an entry gets a plan from the members: from one at a time, a part after the other. Pure.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use types::{StepResult, Version};

use crate::message::{Begun, Question};
use crate::parcel::{Inbound, Part};

/// How long a part may take before it is asked for elsewhere: ten times what it needs on a link of
/// 10 Mbit/s, and more than a lost packet costs (200 ms).
const PART_TIMEOUT: Duration = Duration::from_millis(250);

/// The most that the time for a part is doubled. With [`PART_TIMEOUT`] an entry whose link is full
/// asks for 32 kB a second more.
const DOUBLINGS: u32 = 2;

/// The member that was asked.
#[derive(Clone, Copy, Debug)]
struct Asked {
    peer: SocketAddr,
    at: Instant,
}

/// The plan that an entry is getting.
#[derive(Debug)]
pub struct Fetch {
    /// The place of the member to begin with, so that entries spread over members.
    spread: usize,
    asked: Option<Asked>,
    /// The member that sent the last part.
    sender: Option<SocketAddr>,
    /// Parts in a row that did not come in time.
    misses: u32,
    inbound: Option<Inbound>,
    /// Whether a difference could not be used; the whole text is asked for.
    whole: bool,
}

impl Fetch {
    /// Begins with nothing under way.
    pub fn new(spread: usize) -> Self {
        Self { spread, asked: None, sender: None, misses: 0, inbound: None, whole: false }
    }

    /// Returns what is to be asked now, and the members to ask, the first that can be reached;
    /// `None` where nothing is missing or an answer is on its way. `holders` are the members and the
    /// versions that they hold, `held` is the version that the entry has.
    ///
    /// A parcel that has begun is finished, also where a newer version is told of: an entry that
    /// began anew each time would have none while changes come faster than its link carries them.
    pub fn due(
        &mut self,
        held: Option<Version>,
        holders: &[(SocketAddr, Version)],
        now: Instant,
    ) -> Option<(Question, Vec<SocketAddr>)> {
        // A member without a plan tells version zero.
        let least = held.unwrap_or(Version(0));
        let newest = holders.iter().map(|it| it.1).max().filter(|it| *it > least)?;
        // Time is given to a part, not to a plan: when it was given to the plan, one of 822 kB on a link of
        // 10 Mbit/s was asked for over and over, and 14 copies filled the link for 10 s.
        let patience = PART_TIMEOUT * 2_u32.pow(self.misses.min(DOUBLINGS));
        if self.asked.is_some_and(|it| now.duration_since(it.at) <= patience) {
            return None;
        }
        let late = self.asked.take().map(|it| it.peer);
        if late.is_some() {
            self.misses += 1;
            self.sender = None;
        }
        self.inbound.take_if(|it| it.label().version > newest || it.label().version <= least);
        let begun = self.inbound.as_ref();
        let version = begun.map_or(newest, |it| it.label().version);
        let begun = begun.map(|it| Begun { label: it.label(), offset: it.next() });
        let held = held.filter(|_| !self.whole);
        let mut peers: Vec<_> =
            holders.iter().filter(|it| it.1 >= version).map(|it| it.0).collect();
        peers.sort_unstable();
        let places = peers.len().max(1);
        peers.rotate_left((self.spread + self.misses as usize) % places);
        peers.sort_by_key(|it| (Some(*it) == late, Some(*it) != self.sender));
        Some((Question { version, held, begun }, peers))
    }

    /// Notes which member was asked.
    pub fn asked(&mut self, peer: SocketAddr, now: Instant) {
        self.asked = Some(Asked { peer, at: now });
    }

    /// Notes that the connection to a member ended: what it was asked for will not come.
    pub fn lost(&mut self, peer: SocketAddr) {
        self.asked.take_if(|it| it.peer == peer);
        self.sender.take_if(|it| *it == peer);
    }

    /// Takes a part; returns the plan once it is whole. A part that came already, late from a member
    /// that was passed over, changes nothing.
    ///
    /// # Errors
    /// Where a whole parcel can't be unpacked. The whole text is asked for next, of another member and
    /// after a pause: a fault that stays would else be asked for without end.
    pub fn take(
        &mut self,
        from: SocketAddr,
        part: Part,
        held: Option<Version>,
        text: &[u8],
        now: Instant,
    ) -> StepResult<Option<(Version, Vec<u8>)>> {
        let label = part.label;
        if Some(label.version) <= held || !self.accept(from, part) {
            return Ok(None);
        }
        self.asked = None;
        self.sender = Some(from);
        self.misses = 0;
        let Some(inbound) = self.inbound.take_if(|it| it.is_whole()) else { return Ok(None) };
        let text = inbound.unpack(text).map_err(|e| e.at(from));
        self.whole = text.is_err();
        if self.whole {
            self.asked(from, now);
        }
        text.map(|it| Some((label.version, it)))
    }

    /// Adds a part to what is under way, or begins with it: the first one, or one by which the member
    /// that was asked last tells that it has another parcel.
    fn accept(&mut self, from: SocketAddr, part: Part) -> bool {
        let Some(inbound) = &mut self.inbound else {
            self.inbound = Inbound::begin(part);
            return self.inbound.is_some();
        };
        if inbound.label() == part.label {
            return inbound.add(&part);
        }
        let asked = self.asked.is_some_and(|it| it.peer == from);
        match Inbound::begin(part).filter(|_| asked) {
            Some(begun) => self.inbound = Some(begun),
            None => return false,
        }
        true
    }
}
