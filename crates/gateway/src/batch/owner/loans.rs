//! The connections to upstreams that this entry has lent, by the process that has borrowed them.
//!
//! A process may reach this one by several connections, one after the other; what it has borrowed by one
//! it may return by another.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::oneshot;
use wire::Hello;

#[cfg(test)]
mod tests;

/// How often a borrower that answers is asked whether it still runs: it may be about to end.
const MAX_ANSWERS: u32 = 3;

/// A connection that is lent.
#[derive(Debug)]
pub(super) struct Loan {
    /// Where other entries reached the borrower when it was lent.
    pub(super) address: Option<SocketAddr>,
    /// Ends the loan when it is dropped; closed once the loan has ended.
    pub(super) returned: oneshot::Sender<()>,
}

/// All connections that are lent.
#[derive(Debug, Default)]
pub(super) struct Loans {
    /// By the borrower's number for each.
    borrowers: HashMap<Hello, HashMap<u64, Loan>>,
    /// The borrowers that are being asked whether they still run, and how often each has answered.
    watched: HashMap<Hello, u32>,
}

impl Loans {
    /// Records a loan.
    pub(super) fn begin(&mut self, borrower: Hello, id: u64, loan: Loan) {
        self.forget_ended();
        self.borrowers.entry(borrower).or_default().insert(id, loan);
    }

    /// Ends a loan.
    pub(super) fn end(&mut self, borrower: &Hello, id: u64) {
        if let Some(loans) = self.borrowers.get_mut(borrower) {
            loans.remove(&id);
        }
    }

    /// Ends all loans to a process.
    pub(super) fn end_all(&mut self, borrower: &Hello) {
        self.borrowers.remove(borrower);
    }

    /// Begins to watch a process. Returns false if nothing is lent to it, or if it is watched already.
    pub(super) fn watch(&mut self, borrower: &Hello) -> bool {
        self.forget_ended();
        let is_new = self.borrowers.contains_key(borrower) && !self.watched.contains_key(borrower);
        if is_new {
            self.watched.insert(borrower.clone(), 0);
        }
        is_new
    }

    /// Records that a watched process still runs. One that has answered often enough is not watched any more.
    pub(super) fn record_running(&mut self, borrower: &Hello) {
        let Some(answers) = self.watched.get_mut(borrower) else { return };
        *answers += 1;
        if *answers >= MAX_ANSWERS {
            self.watched.remove(borrower);
        }
    }

    /// Returns whether a process is watched. That ends with its last loan, too.
    pub(super) fn is_watched(&mut self, borrower: &Hello) -> bool {
        self.forget_ended();
        self.watched.contains_key(borrower)
    }

    /// Returns where other entries reached a process when something was lent to it.
    pub(super) fn address(&self, borrower: &Hello) -> Option<SocketAddr> {
        self.borrowers.get(borrower)?.values().find_map(|it| it.address)
    }

    fn forget_ended(&mut self) {
        for loans in self.borrowers.values_mut() {
            loans.retain(|_, it| !it.returned.is_closed());
        }
        self.borrowers.retain(|_, it| !it.is_empty());
        self.watched.retain(|it, _| self.borrowers.contains_key(it));
    }
}
