//! What one entry has earned and spent of the retry budget of one service.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The part of a window for which a request funds a retry. What is spent in a window was earned in it,
/// or at most so long before.
const CREDIT_LIFETIME: f64 = 0.25;

/// The number of steps in which a credit's lifetime is counted.
const LIFETIME_STEPS: u32 = 10;

/// How much longer than the window a retry counts from when it is sent: its way to the upstream.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

/// Amounts below this are errors of rounding.
const ROUNDING: f64 = 1e-6;

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
    pub(super) fn earn(&mut self, amount: f64, window: Duration, now: Instant) {
        let step = window.mul_f64(CREDIT_LIFETIME) / LIFETIME_STEPS;
        match self.credits.back_mut() {
            Some((start, credit)) if now < *start + step => *credit += amount,
            _ => self.credits.push_back((now, amount)),
        }
    }

    /// Forgets credits that have expired, and what was spent before the window.
    fn expire(&mut self, window: Duration, now: Instant) {
        let lifetime = window.mul_f64(CREDIT_LIFETIME);
        while self.credits.front().is_some_and(|it| it.0 + lifetime <= now) {
            self.credits.pop_front();
        }
        self.spent.retain(|it| now < it.0 + window + TRANSIT_TIME);
    }

    /// Returns what is available at `now`.
    pub(super) fn balance(&mut self, window: Duration, now: Instant) -> Balance {
        self.expire(window, now);
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
        window: Duration,
        now: Instant,
    ) -> Result<Charge, f64> {
        let balance = self.balance(window, now);
        let from_burst = (amount - balance.earned).max(0.0);
        let missing = from_burst - (share - balance.spent).max(0.0);
        if missing > ROUNDING {
            return Err(missing);
        }
        let charge = Charge { earned: amount - from_burst, burst: from_burst };
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

    /// Gives back what was taken for something that was not sent.
    pub(super) fn refund(&mut self, charge: Charge, now: Instant) {
        self.pending -= charge.burst;
        if charge.earned > 0.0 {
            self.credits.push_back((now, charge.earned));
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
