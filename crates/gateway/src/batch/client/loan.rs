//! Borrows from other entries: retries, and room at upstreams that name a limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::BatchClient;
use super::unwilling::Item;
use crate::batch::link::Link;
use crate::batch::message::{ConnectionLoan, FromOwner, Loan, RestLoan, RoomLoan, ToOwner};
use crate::brittle::SETTLE_TIME;
use crate::budget::{LOAN_TIME, Retries, RetryPermit, Share, Spender};
use crate::dialect::Dialect;
use crate::place::score;
use crate::upstream::Upstream;

/// How long a lender may take to answer, a new connection to it included.
const LOAN_TIMEOUT: Duration = Duration::from_millis(120);

/// How many lenders of retries are asked at most.
const MAX_LENDERS_ASKED: usize = 3;

/// How many lenders of room are asked at most. Few have some left where the limit is low.
const MAX_ROOM_LENDERS_ASKED: usize = 4;

/// From how many entries an entry borrows connections: enough for a crowd, and so few that the links to
/// them cost little in a large fleet.
const CONNECTION_LENDERS: u32 = 24;

/// How many of them are asked for one request at most.
const MAX_CONNECTION_LENDERS_ASKED: usize = 3;

/// How much longer than its request a connection may be on loan, for the way back.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// How much longer than the first request a connection is borrowed, for others to use it.
const REUSE_TIME: Duration = Duration::from_secs(10);

impl<D: Dialect> BatchClient<D> {
    /// Takes `count` retries for a service, all or none. What this entry is missing it borrows.
    pub(crate) async fn take_retries(
        &self,
        service: &Arc<str>,
        spender: Spender,
        count: u32,
    ) -> Option<Arc<RetryPermit>> {
        let whole = Retries(count.into());
        let missing = match self.take_own(service, spender, whole) {
            Ok(permit) => return Some(Arc::new(permit)),
            Err(missing) => missing,
        };
        let lenders = self.shared.budget.lenders(spender);
        let item = Item::Retries(Arc::clone(service), spender);
        let lenders = self.unwilling.without(lenders, &item, thousandths(missing), Instant::now());
        let asked = lenders.into_iter().sample(&mut rand::rng(), MAX_LENDERS_ASKED);
        for lender in asked {
            let id = self.next_number();
            let loan = Loan { id, service: service.to_string(), spender, count };
            let valid_until = Instant::now() + LOAN_TIME;
            if self.borrow(lender, loan, missing).await {
                // Another request may have taken the rest meanwhile.
                let rest = self.take_own(service, spender, Retries(whole.0 - missing.0)).ok()?;
                return Some(Arc::new(rest.lent_until(valid_until)));
            }
        }
        None
    }

    /// Takes retries from this entry's own budget.
    fn take_own(
        &self,
        service: &Arc<str>,
        spender: Spender,
        amount: Retries,
    ) -> Result<RetryPermit, Retries> {
        self.shared.budget.take(service, spender, amount, Share::OfEntries, Instant::now())
    }

    /// Asks an entry for what is missing of retries; returns whether it lends that.
    async fn borrow(&self, lender: SocketAddr, loan: Loan, missing: Retries) -> bool {
        let (id, service) = (loan.id, loan.service.clone());
        let item = Item::Retries(service.as_str().into(), loan.spender);
        let loan = RestLoan { loan, missing: thousandths(missing) };
        let lent = self.ask_loan(lender, id, ToOwner::BorrowRest(loan)).await;
        self.note_lender(lender, item, thousandths(missing), lent);
        log::info!(peer:% = lender, service:% = service, missing:%, lent = lent.unwrap_or(false),
            in_time = lent.is_some(); "asked another entry for retries");
        lent.unwrap_or(false)
    }

    /// Asks other entries for room at one of the `upstreams` whose limits keep this entry from sending.
    /// Returns the upstream to which one request may be sent now.
    pub(crate) async fn borrow_room(
        &self,
        upstreams: &[Arc<Upstream>],
        tried: &[Arc<str>],
    ) -> Option<Arc<Upstream>> {
        let now = Instant::now();
        let open = upstreams.iter().filter(|it| it.is_open() && !it.is_ejected(now));
        let open = open.filter(|it| !tried.contains(&it.id));
        let in_need = open.filter_map(|it| Some((it, it.borrowable(now)?)));
        let (upstream, (need, holders)) =
            in_need.min_by_key(|(it, _)| (it.total_running(), rand::random::<u16>()))?;
        let item = Item::Room(upstream.id_hash);
        let holders = self.unwilling.without(holders, &item, 1, now);
        let lenders = holders.into_iter().sample(&mut rand::rng(), MAX_ROOM_LENDERS_ASKED);
        for lender in lenders {
            let number = self.next_number();
            let loan = RoomLoan { id: number, upstream: upstream.id.to_string(), need };
            let lent = self.ask_loan(lender, number, ToOwner::BorrowRoom(loan)).await;
            self.note_lender(lender, item.clone(), 1, lent);
            if lent == Some(true) {
                log::info!(peer:% = lender, upstream:% = upstream.id, need:? = need;
                    "another entry lent its room at an upstream in need");
                if need.brittle.is_some() {
                    tokio::spawn(settle(self.link(lender), Arc::clone(upstream)));
                }
                return Some(Arc::clone(upstream));
            }
        }
        upstream.record_no_loan(Instant::now());
        None
    }

    /// Asks other entries for one of their connections to an upstream at which all of this entry's are in
    /// use by requests that have begun. Requests there may use it for a while.
    pub(crate) async fn borrow_connection(&self, upstream: &Arc<Upstream>, deadline: Instant) {
        if !upstream.lacks_connections() {
            return;
        }
        let now = Instant::now();
        let expires = deadline + REUSE_TIME;
        let time_ms = (expires - now + RETURN_TIME).as_millis() as u64;
        let own = score(0, &self.own_address.to_string());
        let lenders = self.shared.directory().entry_list().holders(own, CONNECTION_LENDERS);
        let item = Item::Connections(upstream.id_hash);
        let lenders = self.unwilling.without(lenders, &item, 1, now);
        let asked = lenders.into_iter().sample(&mut rand::rng(), MAX_CONNECTION_LENDERS_ASKED);
        for lender in asked {
            let number = self.next_number();
            let loan = ConnectionLoan { id: number, upstream: upstream.id.to_string(), time_ms };
            let lent = self.ask_loan(lender, number, ToOwner::BorrowConnection(loan)).await;
            self.shared.metrics.loans(lent.into()).inc();
            self.note_lender(lender, item.clone(), 1, lent);
            let link = self.link(lender);
            match lent {
                Some(true) => {
                    let when = upstream.add_borrowed(expires);
                    tokio::spawn(async move {
                        // Closed when the connection is not used any more.
                        let _ = when.await;
                        link.send(ToOwner::ReturnConnection(number));
                    });
                    return;
                }
                Some(false) => {}
                // An answer that comes late must not keep the connection.
                None => link.send(ToOwner::ReturnConnection(number)),
            }
        }
    }

    /// Remembers an entry that has refused an amount of something, or has not answered in time.
    fn note_lender(&self, lender: SocketAddr, item: Item, amount: u32, lent: Option<bool>) {
        match lent {
            Some(true) => {}
            Some(false) => self.unwilling.add_refused(lender, item, amount, Instant::now()),
            None => self.unwilling.add_late(lender, Instant::now()),
        }
    }

    /// Returns the number of the next message that is answered.
    pub(super) fn next_number(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Asks an entry for a loan, with the message that has the number `id`. Returns whether it lends what
    /// is asked for, or `None` if it doesn't answer in time.
    async fn ask_loan(&self, lender: SocketAddr, id: u64, loan: ToOwner) -> Option<bool> {
        let (replies, mut answers) = mpsc::unbounded_channel();
        let link = self.link(lender);
        if !link.register(id, replies) {
            return None;
        }
        link.send(loan);
        let answer = timeout(LOAN_TIMEOUT, answers.recv()).await;
        link.forget(id);
        match answer {
            Ok(Some(FromOwner::Lent(_, lent))) => Some(lent),
            Ok(_) | Err(_) => None,
        }
    }
}

/// Returns an amount of retries in thousandths, not less than it is.
fn thousandths(amount: Retries) -> u32 {
    (amount.0 * 1e3).ceil() as u32
}

/// Tells the lender of room at a brittle upstream once the request can no longer be turned away, unless
/// the upstream has turned one of this entry's away meanwhile.
async fn settle(lender: Arc<Link>, upstream: Arc<Upstream>) {
    let before = upstream.rejections();
    sleep(SETTLE_TIME).await;
    if upstream.rejections() == before {
        lender.send(ToOwner::SettleRoom(upstream.id.to_string()));
    }
}
