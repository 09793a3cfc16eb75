//! Lends other entries out of what this one may use: retries, room at upstreams, connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};
use wire::Hello;

use super::borrower::Borrower;
use super::{OwnerEvent, Replies, State};
use crate::batch::message::{ConnectionLoan, FromOwner, Loan, RoomLoan};
use crate::batch::queue::JobKey;
use crate::budget::Retries;
use crate::dialect::Dialect;
use crate::upstream::Upstream;

/// The longest time for which a connection is lent.
const MAX_LOAN_TIME: Duration = Duration::from_secs(60);

impl<D: Dialect> State<D> {
    /// Lends another entry retries of the budget, or a part of one.
    pub(super) fn lend(&self, loan: &Loan, amount: Retries, replies: &Replies) {
        let service: Arc<str> = loan.service.as_str().into();
        let lent = self.shared.budget.lend(&service, loan.spender, amount, Instant::now());
        // The borrower may have ended meanwhile.
        let _ = replies.send(FromOwner::Lent(loan.id, lent));
    }

    /// Lends another entry a request out of this entry's share of what an upstream takes.
    pub(super) fn lend_room(&self, loan: &RoomLoan, replies: &Replies) {
        let directory = self.shared.directory();
        let lent = directory.upstream(&loan.upstream).is_some_and(|it| {
            it.take_need_news(loan.need);
            it.is_open() && it.lend_room(Instant::now())
        });
        // The borrower may have ended meanwhile.
        let _ = replies.send(FromOwner::Lent(loan.id, lent));
    }

    /// Lends another entry one of this entry's connections to an upstream, until that one returns it or its
    /// time is over.
    pub(super) fn lend_connection(
        &mut self,
        origin: u64,
        loan: &ConnectionLoan,
        replies: &Replies,
    ) {
        let directory = self.shared.directory();
        let lent = directory.upstream(&loan.upstream).and_then(Upstream::lend_connection);
        // The borrower may have ended meanwhile.
        let _ = replies.send(FromOwner::Lent(loan.id, lent.is_some()));
        let Some(lent) = lent else { return };
        let (returned, when) = oneshot::channel::<()>();
        self.lent.retain(|_, it| !it.is_closed());
        self.lent.insert(JobKey { origin, id: loan.id }, returned);
        let time = Duration::from_millis(loan.time_ms).min(MAX_LOAN_TIME);
        tokio::spawn(async move {
            // Ends when it is returned, too.
            let _ = timeout(time, when).await;
            drop(lent);
        });
    }

    /// Takes back what an entry has borrowed whose connection has ended, if the entry has ended too. One
    /// that still runs goes on using it.
    pub(super) fn check_borrower(&self, origin: u64, hello: &Hello) {
        if !self.lent.keys().any(|it| it.origin == origin) {
            return;
        }
        let peers = self.shared.peers();
        let Some(peer) = peers.iter().find(|it| it.name == hello.vm.as_str()) else {
            log::info!(vm:% = hello.vm; "an entry that has borrowed connections is not listed any more");
            return;
        };
        let (secret, own) = self.identity.clone();
        let borrower = Borrower { address: peer.address, node: hello.node, secret, own };
        let events = self.events.clone();
        tokio::spawn(async move {
            if borrower.has_ended(Instant::now() + MAX_LOAN_TIME).await {
                log::info!(peer:% = borrower.address; "an entry that has borrowed connections has ended");
                // The owner's task ends only with the process.
                let _ = events.send(OwnerEvent::BorrowerEnded(origin));
            }
        });
    }
}
