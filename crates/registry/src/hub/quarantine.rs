//! The leader's side of the quarantine: takes evidence from entries and sends them the list.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;
use tokio::time::sleep;
use wire::Sender;

use super::sent::Sent;
use super::{Hub, ListSet};
use crate::digest::RequestDigest;
use crate::driver::{Input, View};
use crate::message::{QUARANTINE_LEVEL, Stamp, ToEntry};
use crate::quarantine::{Decision, EntryClock, Evidence, Held, QuarantineList, QuarantineTable};
use crate::replicated::Command;

/// The interval between two checks for terminations whose decision is due.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a change may take to be stored before it is proposed again.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

impl Hub {
    /// Takes an entry's evidence, and has the list sent to all entries if it changed.
    pub(super) fn take_evidence(&self, incarnation: u64, evidence: Evidence, view: &View) {
        if !view.leads() {
            return;
        }
        let now = Instant::now();
        let term = view.term;
        let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        let last = self.lists.borrow().quarantine;
        if last.term != term {
            begin_term(&mut quarantine, view, now);
        }
        let old_list = quarantine.list(last, now);
        let mut decisions = self.decide(&mut quarantine, incarnation, evidence, now);
        decisions.append(&mut quarantine.decide_due(now));
        decisions.iter().for_each(log_decision);
        if last.term != term || old_list != quarantine.list(last, now) {
            // Still under the lock: the next evidence must find a stamp of this term, or it would clear
            // the table again.
            self.publish_quarantine(term);
        }
    }

    fn decide(
        &self,
        quarantine: &mut QuarantineTable,
        incarnation: u64,
        evidence: Evidence,
        now: Instant,
    ) -> Vec<Decision> {
        match evidence {
            Evidence::Ended(observed) => quarantine.record_end(&observed, now),
            Evidence::EndedAt(at_ms, mut observed) => {
                observed.clock = Some(EntryClock { incarnation, at_ms });
                quarantine.record_end(&observed, now)
            }
            Evidence::EndedWithParts(at_ms, mut observed, parts) => {
                observed.clock = Some(EntryClock { incarnation, at_ms });
                observed.parts = parts;
                quarantine.record_end(&observed, now)
            }
            Evidence::Completed(digest) => quarantine.record_completion(digest, now),
            Evidence::Try(digest) => match self.address_of(incarnation) {
                Some(entry) => quarantine.request_trial(digest, entry, now),
                None => Vec::new(),
            },
            Evidence::Known(known) => {
                if quarantine.merge_known(&known, now) {
                    log::info!(held = known.len();
                        "took over held requests of the previous leader, as an entry reported them");
                }
                Vec::new()
            }
        }
    }

    /// Has the current list of held requests sent to all entries.
    fn publish_quarantine(&self, term: u64) {
        self.lists.send_modify(|it| {
            let last = it.quarantine;
            let count = if last.term == term { last.count + 1 } else { 1 };
            it.quarantine = Stamp { term, count };
        });
    }

    /// Returns the requests that the leader of `term` holds.
    pub(crate) fn held(&self, term: u64) -> Vec<Held> {
        let stamp = self.lists.borrow().quarantine;
        if stamp.term != term {
            return Vec::new();
        }
        self.quarantine_list(stamp).held
    }

    /// Releases a held request on an operator's order; returns whether it was held.
    pub(crate) fn release(&self, digest: RequestDigest, term: u64) -> bool {
        let decisions = {
            let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
            quarantine.record_completion(digest, Instant::now())
        };
        if decisions.is_empty() {
            return false;
        }
        log::warn!(digest:% = digest; "an operator released a held request; it is sent again");
        self.publish_quarantine(term);
        true
    }

    /// Has the requests that are stored as held sent to all entries, if this leader has not done so.
    pub(crate) fn load_holds(&self, view: &View) {
        let stored = &view.state.holds;
        if !view.leads() || stored.iter().next().is_none() {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = if self.lists.borrow().quarantine.term != view.term {
            begin_term(&mut quarantine, view, now);
            true
        } else {
            quarantine.load(stored, now, clock_ms())
        };
        if is_new {
            log::info!(held = stored.iter().count(), term = view.term; "loaded the held requests");
            self.publish_quarantine(view.term);
        }
    }

    /// Decides periodically which requests caused terminations, and has the verdicts stored, for as long as
    /// the member runs.
    pub(crate) async fn decide_ends(
        self: Arc<Self>,
        view: watch::Receiver<View>,
        inputs: SyncSender<Input>,
    ) {
        let mut store = HoldStore { inputs, sent: HashMap::new() };
        loop {
            sleep(DECISION_INTERVAL).await;
            let view = view.borrow().clone();
            if !view.leads() {
                continue;
            }
            self.load_holds(&view);
            self.decide_due(view.term);
            if self.lists.borrow().quarantine.term == view.term {
                store.send(
                    &mut self.quarantine.lock().unwrap_or_else(PoisonError::into_inner),
                    &view,
                );
            }
        }
    }

    fn decide_due(&self, term: u64) {
        let decisions = {
            let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
            if quarantine.is_decided() {
                return;
            }
            quarantine.decide_due(Instant::now())
        };
        decisions.iter().for_each(log_decision);
        if !decisions.is_empty() {
            self.publish_quarantine(term);
        }
    }

    fn address_of(&self, incarnation: u64) -> Option<std::net::SocketAddr> {
        let connected = self.connected.lock().unwrap_or_else(PoisonError::into_inner);
        connected.get(&incarnation).map(|it| it.address)
    }

    fn quarantine_list(&self, stamp: Stamp) -> QuarantineList {
        let quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        quarantine.list(stamp, Instant::now())
    }

    /// Sends one entry the list of held requests, if it doesn't have the current one.
    pub(super) async fn send_quarantine(
        &self,
        sender: &Sender<ToEntry>,
        sent: &mut Sent,
        term: u64,
        lists: &ListSet,
    ) -> types::StepResult<()> {
        let stamp = lists.quarantine;
        if stamp.term != term || sent.quarantine >= stamp || sender.level() < QUARANTINE_LEVEL {
            return Ok(());
        }
        sent.quarantine = stamp;
        sender.send(&ToEntry::Quarantine(self.quarantine_list(stamp))).await
    }
}

/// Clears what this member knew when it led before, and takes over what is stored.
fn begin_term(quarantine: &mut QuarantineTable, view: &View, now: Instant) {
    quarantine.reset();
    quarantine.load(&view.state.holds, now, clock_ms());
}

/// Returns the time of day, in Unix ms.
fn clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// Has the leader's verdicts stored in the replicated log.
struct HoldStore {
    inputs: SyncSender<Input>,
    /// When a change to each request was proposed last.
    sent: HashMap<RequestDigest, Instant>,
}

impl HoldStore {
    /// Proposes what is not stored yet, and again after [`STORE_INTERVAL`].
    fn send(&mut self, quarantine: &mut QuarantineTable, view: &View) {
        let now = Instant::now();
        self.sent.retain(|_, at| now.duration_since(*at) < STORE_INTERVAL);
        let (holds, released) = quarantine.unstored(&view.state.holds, now, clock_ms());
        let holds = holds.into_iter().map(|it| (it.digest, Command::Hold(it)));
        let released = released.into_iter().map(|it| (it, Command::Release(it)));
        for (digest, command) in holds.chain(released) {
            if let Entry::Vacant(it) = self.sent.entry(digest) {
                it.insert(now);
                // If the driver's queue is full, the next try finds it still to be stored.
                let _ = self.inputs.try_send(Input::Store(command));
            }
        }
    }
}

/// Logs a decision on a request.
fn log_decision(decision: &Decision) {
    match decision {
        Decision::Held(digest, ends) => {
            log::warn!(digest:% = digest, ends;
                "upstreams terminated while they ran a request; it is not sent any more");
        }
        Decision::PartHeld(digest, ends) => {
            log::warn!(digest:% = digest, ends;
                "requests with a part in common terminated upstreams; they are not sent any more");
        }
        Decision::TrialFailed(digest, ends) => {
            log::warn!(digest:% = digest, ends;
                "an upstream terminated during the trial of a request; it is held for longer");
        }
        Decision::TrialGranted(digest, entry) => {
            log::info!(digest:% = digest, entry:% = entry;
                "an entry may send a held request once, as a trial");
        }
        Decision::Released(digest) => {
            log::info!(digest:% = digest; "a held request completed; it is sent again");
        }
    }
}
