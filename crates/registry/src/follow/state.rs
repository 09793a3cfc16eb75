//! The state of an entry's connections to members, and the handling of their messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use types::Version;
use wire::{Hello, Secret, Sender};

use super::link::{Event, connect_timeout, link};
use super::lists::MemberLists;
use super::{FollowerConfig, RegistryState};
use crate::capacity::EntryWithCapacity;
use crate::cold::{ColdList, ColdUpstream};
use crate::difference::NumberedList;
use crate::evacuation::EvacuatedDomains;
use crate::fetch::Fetch;
use crate::message::{EntryInfo, LoadReport, OUTCOMES_LEVEL, QUARANTINE_LEVEL, ToEntry, ToMember};
use crate::outcomes::{OutcomeReport, OutcomeTotals};
use crate::package::Part;
use crate::quarantine::{Evidence, EvidenceBuffer, QuarantineList, QuarantineView};

/// The maximum number of members that are connected to at once.
const MAX_MEMBERS: usize = 7;

/// The state of the loop that receives updates from the members.
pub(super) struct State {
    pub(super) config: FollowerConfig,
    pub(super) secret: Secret,
    pub(super) me: Hello,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) published: watch::Sender<RegistryState>,
    pub(super) loads: watch::Sender<Arc<LoadReport>>,
    pub(super) seen: watch::Sender<Arc<OutcomeTotals>>,
    pub(super) known: watch::Sender<Arc<QuarantineView>>,
    pub(super) seeds: Arc<Mutex<Vec<SocketAddr>>>,
    pub(super) links: HashMap<SocketAddr, Option<Sender<ToMember>>>,
    /// The failed attempts to connect to each member since the last connection.
    pub(super) failures: HashMap<SocketAddr, u32>,
    pub(super) members: Vec<SocketAddr>,
    /// The version of the plan that each member holds.
    pub(super) plan_versions: HashMap<SocketAddr, Version>,
    /// The lowest version that may be put in force: the newest acknowledged one, as a quorum confirmed
    /// it after this entry had started.
    pub(super) min_version: Option<Version>,
    pub(super) plan: Option<(Version, Arc<Vec<u8>>)>,
    pub(super) fetch: Fetch,
    /// The leader: the member that sent the newest list of upstreams.
    pub(super) leader: Option<SocketAddr>,
    /// Recent evidence, for the next leader.
    pub(super) evidence: EvidenceBuffer,
    /// The last lists that each member sent; its next differences are from these.
    pub(super) member_lists: HashMap<SocketAddr, MemberLists>,
}

impl State {
    /// Starts a connection to every known member that has none.
    pub(super) fn connect_missing(&mut self) {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let wanted = self.members.iter().chain(&seeds).copied();
        for address in wanted.collect::<Vec<_>>() {
            if self.links.len() >= MAX_MEMBERS {
                return;
            }
            if self.links.contains_key(&address) {
                continue;
            }
            self.links.insert(address, None);
            let (secret, me) = (self.secret.clone(), self.me.clone());
            let (entry, events) = (self.config.entry.clone(), self.events.clone());
            let limit = connect_timeout(self.failures.get(&address).copied().unwrap_or(0));
            tokio::spawn(link(address, secret, me, entry, limit, events));
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Connected(address, sender) => {
                log::info!(peer:% = address; "connected to a member");
                self.failures.remove(&address);
                self.links.insert(address, Some(sender));
                self.update_count();
            }
            Event::Lost(address) => {
                if self.links.remove(&address).flatten().is_some() {
                    log::warn!(peer:% = address; "lost the connection to a member");
                } else {
                    *self.failures.entry(address).or_default() += 1;
                }
                self.plan_versions.remove(&address);
                self.member_lists.remove(&address);
                self.fetch.connection_lost(address);
                self.update_count();
            }
            Event::Message(address, message) => self.handle_message(address, message),
        }
    }

    /// Sends the leader this entry's loads.
    pub(super) fn send_loads(&self, report: LoadReport) {
        let sender = self.leader.and_then(|it| self.links.get(&it)).and_then(Option::as_ref);
        if let Some(sender) = sender {
            // The next report replaces a lost one.
            let _ = sender.try_send(&ToMember::Loads(report));
        }
    }

    /// Sends the leader the outcomes that this entry has seen, if its release takes them.
    pub(super) fn send_outcomes(&self, report: OutcomeReport) {
        let sender = self.leader.and_then(|it| self.links.get(&it)).and_then(Option::as_ref);
        if let Some(sender) = sender.filter(|it| it.level() >= OUTCOMES_LEVEL) {
            // Others follow soon; a decision needs many.
            let _ = sender.try_send(&ToMember::Outcomes(report));
        }
    }

    /// Sends evidence to the leader, and keeps it for the next leader.
    pub(super) fn report_evidence(&mut self, evidence: Evidence) {
        let sent = self.send_evidence(evidence.clone());
        self.evidence.add(evidence, sent, Instant::now());
    }

    /// Sends the leader the evidence that could not be sent before.
    pub(super) fn send_unsent(&mut self) {
        if self.quarantine_leader().is_none() {
            return;
        }
        for evidence in self.evidence.unsent(Instant::now()) {
            self.send_evidence(evidence);
        }
    }

    /// Returns the connection to the leader if its release supports the quarantine.
    fn quarantine_leader(&self) -> Option<&Sender<ToMember>> {
        let sender = self.leader.and_then(|it| self.links.get(&it)).and_then(Option::as_ref);
        sender.filter(|it| it.level() >= QUARANTINE_LEVEL)
    }

    /// Sends evidence to the leader; returns whether it could be queued.
    pub(super) fn send_evidence(&self, evidence: Evidence) -> bool {
        let Some(sender) = self.quarantine_leader() else {
            log::info!(evidence:? = evidence;
                "no leader to send evidence to; it is kept for the next one");
            return false;
        };
        let sent = sender.try_send(&ToMember::Evidence(evidence.at_level(sender.level())));
        if let Err(error) = &sent {
            log::warn!(cause:% = error; "evidence can't be sent to the leader; it is kept");
        }
        sent.is_ok()
    }

    fn handle_quarantine(&self, from: SocketAddr, list: &QuarantineList) {
        let mut known = QuarantineView::clone(&self.known.borrow());
        if !known.update(list, Instant::now()) {
            return;
        }
        log::info!(peer:% = from, number:% = list.stamp, held = list.held.len(),
            watched = list.watched.len(); "the list of held requests changed");
        self.known.send_replace(Arc::new(known));
    }

    /// Tells every member that this entry is shutting down.
    pub(super) fn leave(&self) {
        for sender in self.links.values().flatten() {
            // A member that doesn't receive this detects the end of the connection.
            let _ = sender.try_send(&ToMember::Leave);
        }
    }

    fn update_count(&self) {
        let members = self.links.values().flatten().count();
        self.published.send_modify(|it| it.members = members);
    }

    fn handle_message(&mut self, from: SocketAddr, message: ToEntry) {
        match message {
            ToEntry::PlanVersion { version, current } => {
                self.plan_versions.insert(from, version);
                if current && self.min_version.is_none() {
                    log::info!(version:% = version, peer:% = from;
                        "a member confirmed that its plan is the newest");
                    self.min_version = Some(version);
                }
                self.publish_plan();
            }
            ToEntry::Part(part) => self.handle_part(from, part),
            ToEntry::Plan { version, .. } => {
                log::warn!(version:% = version, peer:% = from;
                    "a member sent a whole plan, which this entry never requests; it is ignored");
            }
            ToEntry::Upstreams(list) => {
                self.take_upstreams(from, NumberedList::new(list.stamp, list.upstreams));
            }
            ToEntry::UpstreamsChanged(difference) => self.change_upstreams(from, difference),
            ToEntry::Versions(versions) => self.take_versions(from, versions),
            ToEntry::Loads(loads) => {
                self.loads.send_replace(Arc::new(loads));
            }
            ToEntry::Outcomes(totals) => {
                self.seen.send_replace(Arc::new(totals));
            }
            ToEntry::Entries(stamp, entries) => {
                self.take_entries(from, NumberedList::new(stamp, entries));
            }
            ToEntry::EntriesChanged(difference) => self.change_entries(from, difference),
            ToEntry::EntriesWithCapacities(stamp, entries) => {
                self.take_entries(from, NumberedList::new(stamp, entries).convert());
            }
            ToEntry::EntriesWithCapacitiesChanged(difference) => {
                self.change_entries(from, difference.convert());
            }
            ToEntry::UpstreamsOffered(offer) => self.answer_upstreams(from, offer),
            ToEntry::EntriesOffered(offer) => self.answer_entries::<EntryInfo>(from, offer),
            ToEntry::EntriesWithCapacitiesOffered(offer) => {
                self.answer_entries::<EntryWithCapacity>(from, offer);
            }
            ToEntry::UpstreamsPatched(patch) => self.patch_upstreams(from, patch),
            ToEntry::EntriesPatched(patch) => self.patch_entries(from, patch),
            ToEntry::EntriesWithCapacitiesPatched(patch) => self.patch_entries(from, patch),
            ToEntry::Members(members) => self.set_members(members),
            ToEntry::Quarantine(list) => self.handle_quarantine(from, &list),
            ToEntry::Cold(list) => self.set_cold(&list),
            ToEntry::Evacuated(evacuated) => self.set_evacuated(from, evacuated),
        }
    }

    /// Takes the members that a member names.
    fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.published.send_if_modified(|state| {
            let changed = *state.voters != members;
            if changed {
                state.voters = Arc::new(members.clone());
            }
            changed
        });
        self.members = members;
    }

    /// Takes a member's evacuated failure domains, unless those of another member are newer.
    fn set_evacuated(&self, from: SocketAddr, evacuated: EvacuatedDomains) {
        self.published.send_if_modified(|state| {
            let newer = evacuated.number > state.evacuated.number;
            if newer {
                log::info!(peer:% = from, number = evacuated.number,
                    domains:? = evacuated.domains; "received the evacuated failure domains");
                state.evacuated = Arc::new(evacuated);
            }
            newer
        });
    }

    fn set_cold(&self, list: &ColdList) {
        let now = Instant::now();
        self.published.send_if_modified(|state| {
            let newer = list.stamp > state.cold_stamp;
            if newer {
                let end = |it: &ColdUpstream| now + Duration::from_millis(it.left_ms.into());
                let ends = list.upstreams.iter().map(|it| (it.id.clone(), end(it)));
                state.cold = Arc::new(ends.collect());
                state.cold_stamp = list.stamp;
            }
            newer
        });
    }

    fn handle_part(&mut self, from: SocketAddr, part: Part) {
        let (base, sent) = (part.id.base.unwrap_or(Version(0)), part.id.size);
        let held = self.plan.as_ref();
        let text = held.map_or(&[][..], |it| it.1.as_slice());
        match self.fetch.take_part(from, part, held.map(|it| it.0), text, Instant::now()) {
            Ok(None) => {}
            Ok(Some((version, text))) => {
                log::info!(version:% = version, peer:% = from, base:% = base, sent,
                    bytes = text.len(); "a plan arrived");
                self.plan = Some((version, Arc::new(text)));
                self.publish_plan();
            }
            Err(error) => log::error!(cause:% = error, base:% = base;
                "a plan can't be unpacked; the whole text is requested"),
        }
    }

    /// Publishes the newest plan. The first one is published only if it is at least as new as the version
    /// that a quorum confirmed: an entry that restarts must not serve a plan that was replaced meanwhile.
    /// A newer one is accepted too, so that an entry can start while plans change continuously.
    fn publish_plan(&self) {
        let Some((version, text)) = &self.plan else { return };
        if self.min_version.is_none_or(|it| it > *version) {
            return;
        }
        self.published.send_if_modified(|state| {
            let newer = state.plan.as_ref().is_none_or(|(it, _)| it < version);
            if newer {
                state.plan = Some((*version, Arc::clone(text)));
            }
            newer
        });
    }

    /// Requests the next part of the newest plan that a member holds.
    pub(super) fn request_part(&mut self) {
        let have = self.plan.as_ref().map(|it| it.0);
        let holders: Vec<_> = self.plan_versions.iter().map(|(peer, it)| (*peer, *it)).collect();
        let now = Instant::now();
        let Some((request, peers)) = self.fetch.next_request(have, &holders, now) else { return };
        let message = ToMember::FetchPart(request);
        let reached = peers.into_iter().find(|it| {
            let sender = self.links.get(it).and_then(Option::as_ref);
            sender.is_some_and(|it| it.try_send(&message).is_ok())
        });
        let Some(peer) = reached else { return };
        if request.progress.is_none() {
            log::info!(version:% = request.version, peer:% = peer, held:% = have.unwrap_or(Version(0));
                "requested a plan from a member");
        }
        self.fetch.record_request(peer, now);
    }
}
