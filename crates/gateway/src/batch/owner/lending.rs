//! Lends other entries out of what this one may use: retries, room at upstreams, connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use wire::Hello;

use super::borrower::{Borrower, ProcessState};
use super::loans::Loan;
use super::{OwnerEvent, Replies, State};
use crate::batch::message::{self, ConnectionLoan, FromOwner, RoomLoan};
use crate::budget::Retries;
use crate::dialect::Dialect;
use crate::upstream::Upstream;

/// The longest time for which a connection is lent.
const MAX_LOAN_TIME: Duration = Duration::from_secs(60);

/// The pause before an entry whose connection has ended is asked again whether it still runs.
const ASK_PAUSE: Duration = Duration::from_millis(500);

impl<D: Dialect> State<D> {
    /// Lends another entry retries of the budget, or a part of one.
    pub(super) fn lend(&self, loan: &message::Loan, amount: Retries, replies: &Replies) {
        let service: Arc<str> = loan.service.as_str().into();
        let lent = self.shared.budget.lend(&service, loan.spender, amount, Instant::now());
        // The borrower may have ended meanwhile.
        let _ = replies.send(FromOwner::Lent(loan.id, lent));
    }

    /// Lends another entry a request out of this entry's share of what an upstream takes, unless requests of
    /// its own wait for that.
    pub(super) fn lend_room(&self, loan: &RoomLoan, replies: &Replies) {
        let directory = self.shared.directory();
        let lent = directory.upstream(&loan.upstream).is_some_and(|it| {
            it.take_need_news(loan.need);
            let is_needed = self.shared.lines.has_waiting(&it.service);
            it.is_open() && !is_needed && it.lend_room(Instant::now())
        });
        // The borrower may have ended meanwhile.
        let _ = replies.send(FromOwner::Lent(loan.id, lent));
    }

    /// Lends another entry one of this entry's connections to an upstream, until that one returns it or its
    /// time is over.
    pub(super) fn lend_connection(
        &mut self,
        borrower: Hello,
        loan: &ConnectionLoan,
        replies: &Replies,
    ) {
        let directory = self.shared.directory();
        let lent = directory.upstream(&loan.upstream).and_then(Upstream::lend_connection);
        // The borrower may have ended meanwhile.
        let _ = replies.send(FromOwner::Lent(loan.id, lent.is_some()));
        let Some(lent) = lent else { return };
        let (returned, when) = oneshot::channel::<()>();
        let address = self.listed_address(&borrower);
        self.loans.begin(borrower, loan.id, Loan { address, returned });
        let time = Duration::from_millis(loan.time_ms).min(MAX_LOAN_TIME);
        tokio::spawn(async move {
            // Ends when it is returned, too.
            let _ = timeout(time, when).await;
            drop(lent);
        });
    }

    /// Finds out whether an entry whose connection has ended has ended too. What it has borrowed comes back
    /// then; one that still runs goes on using it.
    pub(super) fn watch_borrower(&mut self, borrower: &Hello) {
        if self.loans.watch(borrower) {
            self.ask_borrower(borrower.clone(), Duration::ZERO);
        }
    }

    /// Handles the answer of an entry that has borrowed connections.
    pub(super) fn borrower_asked(&mut self, borrower: &Hello, state: ProcessState) {
        match state {
            ProcessState::Ended => {
                log::info!(peer:% = borrower; "an entry that has borrowed connections has ended");
                self.loans.end_all(borrower);
            }
            ProcessState::Running => self.loans.record_running(borrower),
            ProcessState::Unknown => {}
        }
        if self.loans.is_watched(borrower) {
            self.ask_borrower(borrower.clone(), ASK_PAUSE);
        }
    }

    /// Asks an entry that has borrowed connections whether it still runs.
    fn ask_borrower(&self, borrower: Hello, pause: Duration) {
        // An entry that has ended may have left the list before.
        let address = self.loans.address(&borrower).or_else(|| self.listed_address(&borrower));
        let (secret, own) = self.identity.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            sleep(pause).await;
            let state = match address {
                Some(address) => {
                    let hello = borrower.clone();
                    Borrower { address, hello, secret, own }.ask().await
                }
                None => ProcessState::Unknown,
            };
            events.send(OwnerEvent::BorrowerAsked(borrower, state));
        });
    }

    fn listed_address(&self, entry: &Hello) -> Option<SocketAddr> {
        let peers = self.shared.peers();
        peers.iter().find(|it| it.name == entry.vm.as_str()).map(|it| it.address)
    }
}
