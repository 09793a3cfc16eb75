//! Borrows from other entries: retries, and room at upstreams that name a limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::BatchClient;
use crate::batch::link::Link;
use crate::batch::message::{FromOwner, Loan, RoomLoan, ToOwner};
use crate::brittle::SETTLE_TIME;
use crate::budget::Spender;
use crate::dialect::Dialect;
use crate::upstream::Upstream;

/// How long a lender may take to answer, a new connection to it included.
const LOAN_TIMEOUT: Duration = Duration::from_millis(120);

/// How many lenders of retries are asked at most.
const MAX_LENDERS_ASKED: usize = 2;

/// How many lenders of room are asked at most. Few have some left where the limit is low.
const MAX_ROOM_LENDERS_ASKED: usize = 4;

impl<D: Dialect> BatchClient<D> {
    /// Takes `count` retries for a service, all or none; returns whether they may be sent.
    pub(crate) async fn take_retries(
        &self,
        service: &Arc<str>,
        spender: Spender,
        count: u32,
    ) -> bool {
        let share = self.shared.budget_share(service);
        if self.shared.budget.take(service, spender, count, share, Instant::now()) {
            return true;
        }
        let Some(lenders) = self.shared.budget.lenders(spender, self.shared.entries()) else {
            return false;
        };
        let mut lenders = self.shared.first_entries(service, lenders);
        lenders.retain(|it| *it != self.own_address);
        let start = rand::random_range(0..lenders.len().max(1));
        for lender in lenders.iter().cycle().skip(start).take(MAX_LENDERS_ASKED.min(lenders.len()))
        {
            if self.borrow(*lender, service, spender, count).await {
                return true;
            }
        }
        false
    }

    /// Asks an entry for retries; returns whether it lends them.
    async fn borrow(
        &self,
        lender: SocketAddr,
        service: &Arc<str>,
        spender: Spender,
        count: u32,
    ) -> bool {
        let loan = |id| ToOwner::Borrow(Loan { id, service: service.to_string(), spender, count });
        let lent = self.ask_loan(lender, loan).await;
        log::info!(peer:% = lender, service:% = service, count, lent = lent.unwrap_or(false),
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
        let lenders = holders.into_iter().sample(&mut rand::rng(), MAX_ROOM_LENDERS_ASKED);
        for lender in lenders {
            let id = upstream.id.to_string();
            let loan = |number| ToOwner::BorrowRoom(RoomLoan { id: number, upstream: id, need });
            if self.ask_loan(lender, loan).await == Some(true) {
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

    /// Sends an entry the message that `loan` makes of the request's number. Returns whether it lends
    /// what is asked for, or `None` if it doesn't answer in time.
    async fn ask_loan(
        &self,
        lender: SocketAddr,
        loan: impl FnOnce(u64) -> ToOwner,
    ) -> Option<bool> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (replies, mut answers) = mpsc::unbounded_channel();
        let link = self.link(lender);
        if !link.register(id, replies) {
            return None;
        }
        link.send(loan(id));
        let answer = timeout(LOAN_TIMEOUT, answers.recv()).await;
        link.forget(id);
        match answer {
            Ok(Some(FromOwner::Lent(_, lent))) => Some(lent),
            Ok(_) | Err(_) => None,
        }
    }
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
