//! What an entry knows of the members and of what they tell, and what it does with it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::{mpsc, watch};
use types::Version;
use wire::{Hello, Secret, Sender};

use super::link::{Event, link};
use super::{FollowerConfig, News};
use crate::difference::Numbered;
use crate::fetch::Fetch;
use crate::message::{
    EntrySeen, LoadReport, QUARANTINE, Relay, Stamp, ToEntry, ToMember, Upstream, UpstreamList,
};
use crate::parcel::Part;
use crate::quarantine::{Evidence, Known, QuarantineList, Recent};

/// The most members that are followed at once.
const MEMBERS: usize = 7;

/// The state of the loop that follows the members.
pub(super) struct Loop {
    pub(super) config: FollowerConfig,
    pub(super) secret: Secret,
    pub(super) me: Hello,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) news: watch::Sender<News>,
    pub(super) loads: watch::Sender<Arc<LoadReport>>,
    pub(super) known: watch::Sender<Arc<Known>>,
    pub(super) seeds: Arc<Mutex<Vec<SocketAddr>>>,
    pub(super) links: HashMap<SocketAddr, Option<Sender<ToMember>>>,
    pub(super) members: Vec<SocketAddr>,
    /// The version each member holds.
    pub(super) held: HashMap<SocketAddr, Version>,
    /// The version of a plan that was the newest acknowledged one after this entry had started, as a
    /// quorum confirmed.
    pub(super) confirmed: Option<Version>,
    pub(super) text: Option<(Version, Arc<Vec<u8>>)>,
    pub(super) fetch: Fetch,
    /// The member that sent the newest list: the leader.
    pub(super) leader: Option<SocketAddr>,
    /// Evidence that the next leader is told.
    pub(super) recent: Recent,
    /// The lists as each member told them last; its next difference is to these.
    pub(super) lists: HashMap<SocketAddr, Lists>,
}

/// What one member told.
#[derive(Default)]
pub(super) struct Lists {
    entries: Numbered<EntrySeen>,
    upstreams: Numbered<Upstream>,
}

impl Loop {
    /// Opens a task for every member that has none.
    pub(super) fn dial(&mut self) {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let wanted = self.members.iter().chain(&seeds).copied();
        for address in wanted.collect::<Vec<_>>() {
            if self.links.len() >= MEMBERS {
                return;
            }
            if self.links.contains_key(&address) {
                continue;
            }
            self.links.insert(address, None);
            let (secret, me) = (self.secret.clone(), self.me.clone());
            let (entry, events) = (self.config.entry.clone(), self.events.clone());
            tokio::spawn(link(address, secret, me, entry, events));
        }
    }

    pub(super) fn take(&mut self, event: Event) {
        match event {
            Event::Connected(address, sender) => {
                log::info!(peer:% = address; "connected to a member");
                self.links.insert(address, Some(sender));
                self.count();
            }
            Event::Lost(address) => {
                if self.links.remove(&address).flatten().is_some() {
                    log::warn!(peer:% = address; "lost a member");
                }
                self.held.remove(&address);
                self.lists.remove(&address);
                self.fetch.lost(address);
                self.count();
            }
            Event::Message(address, message) => self.take_message(address, message),
        }
    }

    /// Tells the leader what this entry has under way.
    pub(super) fn report(&self, report: LoadReport) {
        let sender = self.leader.and_then(|it| self.links.get(&it)).and_then(Option::as_ref);
        if let Some(sender) = sender {
            // The next report makes up for one that is lost.
            let _ = sender.try_send(&ToMember::Loads(report));
        }
    }

    /// Tells the leader of requests under which upstreams end, and keeps it for a leader to come.
    pub(super) fn tell_evidence(&mut self, evidence: Evidence) {
        let told = self.send_evidence(evidence.clone());
        self.recent.add(evidence, told, Instant::now());
    }

    /// Tells the leader what could not be told before.
    pub(super) fn tell_untold(&mut self) {
        if self.counting_leader().is_none() {
            return;
        }
        for evidence in self.recent.untold(Instant::now()) {
            self.send_evidence(evidence);
        }
    }

    /// The leader's connection; one of the release before counts nothing.
    fn counting_leader(&self) -> Option<&Sender<ToMember>> {
        let sender = self.leader.and_then(|it| self.links.get(&it)).and_then(Option::as_ref);
        sender.filter(|it| it.level() >= QUARANTINE)
    }

    /// Returns whether the leader's connection took it.
    fn send_evidence(&self, evidence: Evidence) -> bool {
        let Some(sender) = self.counting_leader() else {
            log::info!(evidence:? = evidence; "no leader to tell of a request; the next one is");
            return false;
        };
        let sent = sender.try_send(&ToMember::Evidence(evidence.at_level(sender.level())));
        if let Err(error) = &sent {
            log::warn!(cause:% = error; "the leader can't be told of a request");
        }
        sent.is_ok()
    }

    fn take_quarantine(&self, from: SocketAddr, list: &QuarantineList) {
        let mut known = Known::clone(&self.known.borrow());
        if !known.take(list, Instant::now()) {
            return;
        }
        log::info!(peer:% = from, number:% = list.stamp, held = list.held.len(),
            watched = list.watched.len(); "the requests that are not sent changed");
        self.known.send_replace(Arc::new(known));
    }

    /// Tells every member that this entry ends.
    pub(super) fn leave(&self) {
        for sender in self.links.values().flatten() {
            // A member that can't be told sees the connection end.
            let _ = sender.try_send(&ToMember::Leave);
        }
    }

    fn count(&self) {
        let members = self.links.values().flatten().count();
        self.news.send_modify(|it| it.members = members);
    }

    fn take_message(&mut self, from: SocketAddr, message: ToEntry) {
        match message {
            ToEntry::Held { version, current } => {
                self.held.insert(from, version);
                if current && self.confirmed.is_none() {
                    log::info!(version:% = version, peer:% = from; "a member vouches for its plan");
                    self.confirmed = Some(version);
                }
                self.show();
            }
            ToEntry::Part(part) => self.take_part(from, part),
            ToEntry::Plan { version, .. } => {
                log::warn!(version:% = version, peer:% = from;
                    "a member sent a plan in one piece, which this entry never asks for");
            }
            ToEntry::Upstreams(list) => {
                self.lists(from).upstreams = Numbered::new(list.stamp, list.upstreams.clone());
                self.take_upstreams(from, list);
            }
            ToEntry::UpstreamsChanged(difference) => {
                let Some(next) = self.lists(from).upstreams.apply(difference) else {
                    return self.redial(from, "upstreams");
                };
                self.lists(from).upstreams = next.clone();
                let list = UpstreamList { stamp: next.stamp, upstreams: next.list };
                self.take_upstreams(from, list);
            }
            ToEntry::Loads(loads) => {
                self.loads.send_replace(Arc::new(loads));
            }
            ToEntry::Entries(stamp, entries) => {
                self.lists(from).entries = Numbered::new(stamp, entries.clone());
                self.take_entries(stamp, entries);
            }
            ToEntry::EntriesChanged(difference) => {
                let Some(next) = self.lists(from).entries.apply(difference) else {
                    return self.redial(from, "entries");
                };
                self.lists(from).entries = next.clone();
                self.take_entries(next.stamp, next.list);
            }
            ToEntry::Members(members) => self.members = members,
            ToEntry::Quarantine(list) => self.take_quarantine(from, &list),
        }
    }

    fn lists(&mut self, from: SocketAddr) -> &mut Lists {
        self.lists.entry(from).or_default()
    }

    /// Ends the connection to a member whose difference is to a list that this entry does not have; the
    /// next connection begins with the whole list.
    fn redial(&mut self, from: SocketAddr, list: &str) {
        log::error!(peer:% = from, list; "a difference to another list; the member is dialled again");
        if let Some(sender) = self.links.get(&from).and_then(Option::as_ref) {
            sender.abort();
        }
    }

    fn take_part(&mut self, from: SocketAddr, part: Part) {
        let (base, sent) = (part.label.base.unwrap_or(Version(0)), part.label.size);
        let held = self.text.as_ref();
        let text = held.map_or(&[][..], |it| it.1.as_slice());
        match self.fetch.take(from, part, held.map(|it| it.0), text, Instant::now()) {
            Ok(None) => {}
            Ok(Some((version, text))) => {
                log::info!(version:% = version, peer:% = from, base:% = base, sent,
                    bytes = text.len(); "a plan arrived");
                self.text = Some((version, Arc::new(text)));
                self.show();
            }
            Err(error) => log::error!(cause:% = error, base:% = base;
                "a plan could not be unpacked; the whole text is asked for"),
        }
    }

    /// Takes what another entry passes on. Loads still go to the leader of before, if any.
    pub(super) fn take_relay(&self, relay: Relay) {
        let (seated, listed) = (relay.seated, relay.upstreams.stamp);
        let newer = {
            let news = self.news.borrow();
            seated > news.seated || listed > news.listed
        };
        if newer {
            log::info!(seated:% = seated, listed:% = listed, entries = relay.entries.len();
                "took news from another entry");
        }
        self.take_entries(relay.seated, relay.entries);
        self.take_list(relay.upstreams);
    }

    fn take_entries(&self, stamp: Stamp, entries: Vec<EntrySeen>) {
        self.news.send_if_modified(|news| {
            let newer = stamp > news.seated;
            if newer {
                news.seated = stamp;
                news.entries = Arc::new(entries);
            }
            newer
        });
    }

    fn take_upstreams(&mut self, from: SocketAddr, list: UpstreamList) {
        let listed = self.news.borrow().listed;
        if list.stamp < listed {
            return self.take_list(list);
        }
        let is_new = list.stamp.term > listed.term;
        if self.leader.replace(from) != Some(from) || is_new {
            // One that has just begun to lead knows nothing of what the one before had decided.
            let held = self.known.borrow().held(Instant::now());
            if !held.is_empty() {
                self.tell_evidence(Evidence::Known(held));
            }
            for evidence in self.recent.all(Instant::now()) {
                self.send_evidence(evidence);
            }
        }
        self.take_list(list);
    }

    fn take_list(&self, list: UpstreamList) {
        self.news.send_if_modified(|news| {
            let newer = list.stamp > news.listed;
            if newer {
                news.listed = list.stamp;
                news.upstreams = Arc::new(list.upstreams);
            }
            newer
        });
    }

    /// Shows the newest text. The first one is shown only if it is as new as one that a member vouched
    /// for: an entry that comes back must not serve what was overtaken while it was away. One that is
    /// newer will do, so that an entry that starts need not wait until changes cease.
    fn show(&self) {
        let Some((version, text)) = &self.text else { return };
        if self.confirmed.is_none_or(|it| it > *version) {
            return;
        }
        self.news.send_if_modified(|news| {
            let newer = news.plan.as_ref().is_none_or(|(it, _)| it < version);
            if newer {
                news.plan = Some((*version, Arc::clone(text)));
            }
            newer
        });
    }

    /// Asks for the newest plan that some member holds.
    pub(super) fn fetch(&mut self) {
        let have = self.text.as_ref().map(|it| it.0);
        let holders: Vec<_> = self.held.iter().map(|(peer, it)| (*peer, *it)).collect();
        let now = Instant::now();
        let Some((question, peers)) = self.fetch.due(have, &holders, now) else { return };
        let message = ToMember::Ask(question);
        let reached = peers.into_iter().find(|it| {
            let sender = self.links.get(it).and_then(Option::as_ref);
            sender.is_some_and(|it| it.try_send(&message).is_ok())
        });
        let Some(peer) = reached else { return };
        if question.begun.is_none() {
            log::info!(version:% = question.version, peer:% = peer, held:% = have.unwrap_or(Version(0));
                "asked a member for a plan");
        }
        self.fetch.asked(peer, now);
    }
}
