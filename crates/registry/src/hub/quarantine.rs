//! The leader's side of the quarantine: takes evidence from entries and sends them the list.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::sleep;
use wire::Sender;

use super::sent::Sent;
use super::{Hub, ListSet};
use crate::digest::RequestDigest;
use crate::driver::View;
use crate::message::{QUARANTINE_LEVEL, Stamp, ToEntry};
use crate::quarantine::{Decision, EntryClock, Evidence, Held, QuarantineList, QuarantineTable};

/// The interval between two checks for terminations whose decision is due.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

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
            quarantine.reset();
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
            Evidence::Completed(digest) => quarantine.record_completion(digest),
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
            quarantine.record_completion(digest)
        };
        if decisions.is_empty() {
            return false;
        }
        log::warn!(digest:% = digest; "an operator released a held request; it is sent again");
        self.publish_quarantine(term);
        true
    }

    /// Decides periodically which requests caused terminations, for as long as the member runs.
    pub(crate) async fn decide_ends(self: Arc<Self>, view: watch::Receiver<View>) {
        loop {
            sleep(DECISION_INTERVAL).await;
            let term = match &*view.borrow() {
                it if it.leads() => it.term,
                _ => continue,
            };
            let decisions = {
                let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
                if quarantine.is_decided() {
                    continue;
                }
                quarantine.decide_due(Instant::now())
            };
            decisions.iter().for_each(log_decision);
            if !decisions.is_empty() {
                self.publish_quarantine(term);
            }
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
