//! What one entry has earned and spent of the retry budget of one service.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The number of steps in which a credit's lifetime is counted.
const LIFETIME_STEPS: u32 = 10;

/// How much longer than the window a retry counts from when it is sent: its way to the upstream.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

/// Amounts below this are errors of rounding.
const ROUNDING: f64 = 1e-6;

/// The times by which an account counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// The window in which what is spent of the burst counts.
    pub(super) window: Duration,
    /// How long what a request has earned may be spent.
    pub(super) lifetime: Duration,
}

/// The retries that requests have earned and that were not spent, and what was spent of the burst.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// The credits, with the start of the step in which they were earned.
    credits: VecDeque<(Instant, f64)>,
    /// What was taken from the burst for retries that have not been sent yet.
    pending: f64,
    /// What was taken from the burst for retries that were sent, and when.
    spent: Vec<(Instant, f64)>,
}

/// From what retries were taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charge {
    earned: f64,
    /// When the oldest of it was earned.
    since: Instant,
    burst: f64,
}

/// What is available to spend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Balance {
    /// What requests have earned.
    pub(super) earned: f64,
    /// What was spent of the burst in the window, and is about to be.
    pub(super) spent: f64,
}

impl Account {
    /// Adds what a request has earned.
    pub(super) fn earn(&mut self, amount: f64, terms: Terms, now: Instant) {
        let step = terms.lifetime / LIFETIME_STEPS;
        match self.credits.back_mut() {
            Some((start, credit)) if now < *start + step => *credit += amount,
            _ => self.credits.push_back((now, amount)),
        }
    }

    /// Forgets credits that have expired, and what was spent before the window.
    fn expire(&mut self, terms: Terms, now: Instant) {
        while self.credits.front().is_some_and(|it| it.0 + terms.lifetime <= now) {
            self.credits.pop_front();
        }
        self.spent.retain(|it| now < it.0 + terms.window + TRANSIT_TIME);
    }

    /// Returns what is available at `now`.
    pub(super) fn balance(&mut self, terms: Terms, now: Instant) -> Balance {
        self.expire(terms, now);
        Balance {
            earned: self.credits.iter().map(|it| it.1).sum(),
            spent: self.pending + self.spent.iter().map(|it| it.1).sum::<f64>(),
        }
    }

    /// Takes an amount, first from what was earned and then from a share of the burst, all or nothing.
    ///
    /// # Errors
    /// Returns how much is missing.
    pub(super) fn take(
        &mut self,
        amount: f64,
        share: f64,
        terms: Terms,
        now: Instant,
    ) -> Result<Charge, f64> {
        let balance = self.balance(terms, now);
        let from_burst = (amount - balance.earned).max(0.0);
        let missing = from_burst - (share - balance.spent).max(0.0);
        if missing > ROUNDING {
            return Err(missing);
        }
        let since = self.credits.front().map_or(now, |it| it.0);
        let charge = Charge { earned: amount - from_burst, since, burst: from_burst };
        self.take_credits(charge.earned);
        self.pending += charge.burst;
        Ok(charge)
    }

    /// Records that what was taken was sent at `sent`.
    pub(super) fn settle(&mut self, charge: Charge, sent: Instant) {
        self.pending -= charge.burst;
        if charge.burst > 0.0 {
            self.spent.push((sent, charge.burst));
        }
    }

    /// Gives back what was taken for something that was not sent. Credits expire when they would have.
    pub(super) fn refund(&mut self, charge: Charge) {
        self.pending -= charge.burst;
        if charge.earned > 0.0 {
            self.credits.push_front((charge.since, charge.earned));
        }
    }

    /// Takes an amount from the credits, the oldest first.
    fn take_credits(&mut self, amount: f64) {
        let mut left = amount;
        while let Some((_, credit)) = self.credits.front_mut() {
            let taken = credit.min(left);
            *credit -= taken;
            left -= taken;
            if *credit > ROUNDING {
                return;
            }
            self.credits.pop_front();
        }
    }
}
