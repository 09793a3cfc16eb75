//! The lists of upstreams and entries that an entry receives from members and from other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::state::State;
use crate::capacity::EntryElement;
use crate::content::{Held, Offer, Patch};
use crate::difference::{Difference, Listed, NumberedList};
use crate::message::{EntryInfo, Relay, Stamp, ToMember, Upstream, UpstreamList, VersionList};
use crate::quarantine::Evidence;

/// The last lists that a member sent.
#[derive(Default)]
pub(super) struct MemberLists {
    entries: NumberedList<EntryInfo>,
    upstreams: NumberedList<Upstream>,
    /// What this entry held, from whichever member, when this one offered its lists.
    held_entries: Arc<Vec<EntryInfo>>,
    held_upstreams: Arc<Vec<Upstream>>,
    /// The versions of the upstreams in the member's next message.
    versions: VersionList,
}

impl State {
    /// Keeps the versions of upstreams until the message with these upstreams arrives.
    pub(super) fn take_versions(&mut self, from: SocketAddr, versions: VersionList) {
        self.lists_of(from).versions = versions;
    }

    pub(super) fn take_upstreams(&mut self, from: SocketAddr, mut next: NumberedList<Upstream>) {
        let lists = self.lists_of(from);
        std::mem::take(&mut lists.versions).fill(&mut next.list);
        lists.upstreams = next.clone();
        self.handle_upstreams(from, UpstreamList { stamp: next.stamp, upstreams: next.list });
    }

    pub(super) fn take_entries(&mut self, from: SocketAddr, next: NumberedList<EntryInfo>) {
        self.lists_of(from).entries = next.clone();
        self.set_entries(next.stamp, next.list);
    }

    /// Answers the offer of a list of upstreams, and adopts its number if this entry holds it already.
    pub(super) fn answer_upstreams(&mut self, from: SocketAddr, offer: Offer) {
        let held = Arc::clone(&self.published.borrow().upstreams);
        // Whole lists bring the versions of all upstreams; a member of an earlier release has told none.
        let lacks_versions = held.iter().any(|it| !it.version.is_known());
        let answer = if lacks_versions { Held::Nothing } else { offer.answer(&held) };
        log::info!(peer:% = from, listed:% = offer.stamp, upstreams = held.len(),
            same = answer == Held::Same; "a member offered its list of upstreams");
        if answer == Held::Same {
            self.take_upstreams(from, NumberedList::new(offer.stamp, held.to_vec()));
        } else {
            self.lists_of(from).held_upstreams = held;
        }
        self.send_to(from, &ToMember::UpstreamsHeld(offer.stamp, answer));
    }

    /// Answers the offer of a list of entries, and adopts its number if this entry holds it already.
    pub(super) fn answer_entries<T>(&mut self, from: SocketAddr, offer: Offer)
    where
        T: Listed + EntryElement,
        EntryInfo: From<T>,
    {
        let held = Arc::clone(&self.published.borrow().entries);
        let elements: Vec<T> = held.iter().map(T::of).collect();
        let answer = offer.answer(&elements);
        log::info!(peer:% = from, seated:% = offer.stamp, entries = held.len(),
            same = answer == Held::Same; "a member offered its list of entries");
        if answer == Held::Same {
            self.take_entries(from, NumberedList::new(offer.stamp, elements).convert());
        } else {
            self.lists_of(from).held_entries = held;
        }
        self.send_to(from, &ToMember::EntriesHeld(offer.stamp, answer));
    }

    /// Sends a member a message without which it sends no further lists; connects to it again if the
    /// message can't be queued.
    fn send_to(&self, member: SocketAddr, message: &ToMember) {
        let Some(sender) = self.links.get(&member).and_then(Option::as_ref) else { return };
        if let Err(error) = sender.try_send(message) {
            log::warn!(peer:% = member, cause:% = error;
                "an offer can't be answered; connecting to the member again");
            sender.abort();
        }
    }

    fn lists_of(&mut self, from: SocketAddr) -> &mut MemberLists {
        self.member_lists.entry(from).or_default()
    }

    /// Closes the connection to a member that sent a difference from a list that this entry does not
    /// have. A new connection starts with the whole list.
    fn reconnect(&mut self, from: SocketAddr, list: &str) {
        log::error!(peer:% = from, list;
            "a member sent a difference from an unknown list; connecting to it again");
        if let Some(sender) = self.links.get(&from).and_then(Option::as_ref) {
            sender.abort();
        }
    }

    /// Takes lists that another entry forwarded. Loads still go to the last known leader, if any.
    pub(super) fn take_relay(&self, relay: Relay) {
        let (entries_stamp, upstreams_stamp) = (relay.entries_stamp, relay.upstreams.stamp);
        let is_newer = {
            let state = self.published.borrow();
            entries_stamp > state.entries_stamp || upstreams_stamp > state.upstreams_stamp
        };
        if is_newer {
            log::info!(seated:% = entries_stamp, listed:% = upstreams_stamp, entries = relay.entries.len();
                "received newer lists from another entry");
        }
        self.set_entries(relay.entries_stamp, relay.entries);
        self.set_upstreams(relay.upstreams);
    }

    fn set_entries(&self, stamp: Stamp, entries: Vec<EntryInfo>) {
        self.published.send_if_modified(|state| {
            let knows = |list: &[EntryInfo]| list.iter().any(|it| it.capacity.is_known());
            // An entry of an earlier release forwards the list without capacities.
            let completes =
                stamp == state.entries_stamp && !knows(&state.entries) && knows(&entries);
            let newer = stamp > state.entries_stamp || completes;
            if newer {
                state.entries_stamp = stamp;
                state.entries = Arc::new(entries);
            }
            newer
        });
    }

    fn handle_upstreams(&mut self, from: SocketAddr, list: UpstreamList) {
        let stamp = self.published.borrow().upstreams_stamp;
        if list.stamp < stamp {
            return self.set_upstreams(list);
        }
        let is_new = list.stamp.term > stamp.term;
        if self.leader.replace(from) != Some(from) || is_new {
            // A new leader does not know the decisions of the previous one.
            let held = self.known.borrow().held(Instant::now());
            if !held.is_empty() {
                self.report_evidence(Evidence::Known(held));
            }
            for evidence in self.evidence.all(Instant::now()) {
                self.send_evidence(evidence);
            }
        }
        self.set_upstreams(list);
    }

    fn set_upstreams(&self, list: UpstreamList) {
        self.published.send_if_modified(|state| {
            let lacks = |list: &[Upstream]| list.iter().any(|it| !it.version.is_known());
            let completes = list.stamp == state.upstreams_stamp
                && lacks(&state.upstreams)
                && !lacks(&list.upstreams);
            let newer = list.stamp > state.upstreams_stamp || completes;
            if newer {
                state.upstreams_stamp = list.stamp;
                state.upstreams = Arc::new(list.upstreams);
            }
            newer
        });
    }

    /// Applies a difference from the last list of upstreams that a member sent.
    pub(super) fn change_upstreams(
        &mut self,
        from: SocketAddr,
        difference: Difference<Upstream, String>,
    ) {
        match self.lists_of(from).upstreams.apply(difference) {
            Some(next) => self.take_upstreams(from, next),
            None => self.reconnect(from, "upstreams"),
        }
    }

    /// Applies a patch of the list of upstreams that this entry held when the member offered its own.
    pub(super) fn patch_upstreams(&mut self, from: SocketAddr, patch: Patch<Upstream>) {
        let offered = patch.offer.stamp;
        let held = std::mem::take(&mut self.lists_of(from).held_upstreams);
        match patch.apply(&held) {
            Some(next) => self.take_upstreams(from, next),
            None => self.send_to(from, &ToMember::UpstreamsHeld(offered, Held::Nothing)),
        }
    }

    /// Applies a difference from the last list of entries that a member sent.
    pub(super) fn change_entries(
        &mut self,
        from: SocketAddr,
        difference: Difference<EntryInfo, SocketAddr>,
    ) {
        match self.lists_of(from).entries.apply(difference) {
            Some(next) => self.take_entries(from, next),
            None => self.reconnect(from, "entries"),
        }
    }

    /// Applies a patch of the list of entries that this entry held when the member offered its own.
    pub(super) fn patch_entries<T>(&mut self, from: SocketAddr, patch: Patch<T>)
    where
        T: Listed + EntryElement,
        EntryInfo: From<T>,
    {
        let offered = patch.offer.stamp;
        let held = std::mem::take(&mut self.lists_of(from).held_entries);
        let held: Vec<T> = held.iter().map(T::of).collect();
        match patch.apply(&held) {
            Some(next) => self.take_entries(from, next.convert()),
            None => self.send_to(from, &ToMember::EntriesHeld(offered, Held::Nothing)),
        }
    }
}
