//! The leader's part in holding requests under which upstreams end.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::sleep;
use wire::Sender;

use super::{Handout, Hub, Told};
use crate::digest::RequestDigest;
use crate::driver::View;
use crate::message::{QUARANTINE, Stamp, ToEntry};
use crate::quarantine::{Decision, EntryClock, Evidence, Held, Quarantine, QuarantineList};

/// How often it is looked whether enough is known of upstreams' ends.
const SETTLE: Duration = Duration::from_millis(100);

impl Hub {
    /// Takes what an entry tells of requests under which upstreams end, and tells all entries what follows.
    pub(super) fn take_evidence(&self, life: u64, evidence: Evidence, view: &View) {
        if !view.leads() {
            return;
        }
        let now = Instant::now();
        let term = view.term;
        let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        let last = self.handout.borrow().quarantine;
        if last.term != term {
            quarantine.reset();
        }
        let before = quarantine.list(last, now);
        let mut decisions = self.decide(&mut quarantine, life, evidence, now);
        decisions.append(&mut quarantine.settle(now));
        decisions.iter().for_each(log_decision);
        if last.term != term || before != quarantine.list(last, now) {
            // Under the lock: what comes next must find the table as one of this term.
            self.tell_next(term);
        }
    }

    fn decide(
        &self,
        quarantine: &mut Quarantine,
        life: u64,
        evidence: Evidence,
        now: Instant,
    ) -> Vec<Decision> {
        match evidence {
            Evidence::Ended(seen) => quarantine.take_end(&seen, now),
            Evidence::EndedAt(at_ms, mut seen) => {
                seen.clock = Some(EntryClock { life, at_ms });
                quarantine.take_end(&seen, now)
            }
            Evidence::Completed(digest) => quarantine.completed(digest),
            Evidence::Try(digest) => match self.address_of(life) {
                Some(entry) => quarantine.ask(digest, entry, now),
                None => Vec::new(),
            },
            Evidence::Known(known) => {
                if quarantine.take_known(&known, now) {
                    log::info!(held = known.len(); "took held requests that an entry knows");
                }
                Vec::new()
            }
        }
    }

    /// Has all entries told the requests that are not sent, as they are now.
    fn tell_next(&self, term: u64) {
        self.handout.send_modify(|it| {
            let last = it.quarantine;
            let count = if last.term == term { last.count + 1 } else { 1 };
            it.quarantine = Stamp { term, count };
        });
    }

    /// The requests that are not sent, as the leader of a term knows them.
    pub(crate) fn held(&self, term: u64) -> Vec<Held> {
        let stamp = self.handout.borrow().quarantine;
        if stamp.term != term {
            return Vec::new();
        }
        self.quarantine_list(stamp).held
    }

    /// Has a held request sent again, by an operator's order; returns whether it was held.
    pub(crate) fn release(&self, digest: RequestDigest, term: u64) -> bool {
        let decisions = {
            let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
            quarantine.completed(digest)
        };
        if decisions.is_empty() {
            return false;
        }
        log::warn!(digest:% = digest; "an operator had a held request sent again");
        self.tell_next(term);
        true
    }

    /// Decides to which requests ends are owed, for as long as the member runs.
    pub(crate) async fn settle_ends(self: Arc<Self>, view: watch::Receiver<View>) {
        loop {
            sleep(SETTLE).await;
            let term = match &*view.borrow() {
                it if it.leads() => it.term,
                _ => continue,
            };
            let decisions = {
                let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
                if quarantine.is_settled() {
                    continue;
                }
                quarantine.settle(Instant::now())
            };
            decisions.iter().for_each(log_decision);
            if !decisions.is_empty() {
                self.tell_next(term);
            }
        }
    }

    fn address_of(&self, life: u64) -> Option<std::net::SocketAddr> {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.get(&life).map(|it| it.address)
    }

    fn quarantine_list(&self, stamp: Stamp) -> QuarantineList {
        let quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        quarantine.list(stamp, Instant::now())
    }

    /// Tells one entry the requests that are not sent.
    pub(super) async fn tell_quarantine(
        &self,
        sender: &Sender<ToEntry>,
        told: &mut Told,
        term: u64,
        handout: &Handout,
    ) -> types::StepResult<()> {
        let stamp = handout.quarantine;
        if stamp.term != term || told.quarantine >= stamp || sender.level() < QUARANTINE {
            return Ok(());
        }
        told.quarantine = stamp;
        sender.send(&ToEntry::Quarantine(self.quarantine_list(stamp))).await
    }
}

/// Logs what was decided of a request.
fn log_decision(decision: &Decision) {
    match decision {
        Decision::Held(digest, ends) => {
            log::warn!(digest:% = digest, ends; "upstreams end under a request; it is not sent any more");
        }
        Decision::Relapsed(digest, ends) => {
            log::warn!(digest:% = digest, ends; "an upstream ended under the trial of a request");
        }
        Decision::Tried(digest, entry) => {
            log::info!(digest:% = digest, entry:% = entry; "an entry may try a held request");
        }
        Decision::Released(digest) => {
            log::info!(digest:% = digest; "a held request ran to its end; it is sent again");
        }
    }
}
