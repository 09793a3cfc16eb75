//! Takes retries out of this entry's budget, or borrows them from an entry that holds the burst.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::BatchClient;
use crate::batch::message::{FromOwner, Loan, ToOwner};
use crate::budget::Spender;
use crate::dialect::Dialect;

/// How long a lender may take to answer, a new connection to it included.
const LOAN_TIMEOUT: Duration = Duration::from_millis(120);

/// How many lenders are asked at most.
const MAX_LENDERS_ASKED: usize = 2;

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
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (replies, mut answers) = mpsc::unbounded_channel();
        let link = self.link(lender);
        if !link.register(id, replies) {
            return false;
        }
        link.send(ToOwner::Borrow(Loan { id, service: service.to_string(), spender, count }));
        let answer = timeout(LOAN_TIMEOUT, answers.recv()).await;
        link.forget(id);
        let lent = matches!(answer, Ok(Some(FromOwner::Lent(_, true))));
        log::info!(peer:% = lender, service:% = service, count, lent,
            in_time = answer.is_ok(); "asked another entry for retries");
        lent
    }
}
