//! What one entry has earned and spent of the retry budget of one service.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The part of a window for which a request funds a retry. What is spent in a window was earned in it,
/// or at most so long before.
const CREDIT_LIFETIME: f64 = 0.25;

/// The number of steps in which a credit's lifetime is counted.
const LIFETIME_STEPS: u32 = 10;

/// Amounts below this are errors of rounding.
const ROUNDING: f64 = 1e-6;

/// The retries that requests have earned and that were not spent, and what was spent of the burst.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// The credits, with the start of the step in which they were earned.
    credits: VecDeque<(Instant, f64)>,
    /// What was taken from the burst, and when.
    spent: VecDeque<(Instant, f64)>,
}

/// What is available to spend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Balance {
    /// What requests have earned.
    pub(super) earned: f64,
    /// What was spent of the burst in the window.
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
        while self.spent.front().is_some_and(|it| it.0 + window <= now) {
            self.spent.pop_front();
        }
    }

    /// Returns what is available at `now`.
    pub(super) fn balance(&mut self, window: Duration, now: Instant) -> Balance {
        self.expire(window, now);
        Balance {
            earned: self.credits.iter().map(|it| it.1).sum(),
            spent: self.spent.iter().map(|it| it.1).sum(),
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
    ) -> Result<(), f64> {
        let balance = self.balance(window, now);
        let from_burst = (amount - balance.earned).max(0.0);
        let missing = from_burst - (share - balance.spent).max(0.0);
        if missing > ROUNDING {
            return Err(missing);
        }
        self.take_credits(amount - from_burst);
        if from_burst > 0.0 {
            self.spent.push_back((now, from_burst));
        }
        Ok(())
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
