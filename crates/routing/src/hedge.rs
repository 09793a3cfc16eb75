//! Decides when a call is hedged with a second one to another upstream.

use std::time::Duration;

use crate::policy::MIN_HEDGE_ATTAINMENT;
use crate::pool::{EntryView, PoolState};

/// Returns the delay after which a second call is worth it: when the first is later than nearly all
/// calls were, if a second one could still end in time and a budget token is left. The budget
/// limits the load that hedges add. They are allowed also when the pool is busy, because then a
/// straggler holds back the most work.
pub(crate) fn delay(
    pool: &PoolState,
    view: &EntryView,
    left: Duration,
    mean: f64,
) -> Option<Duration> {
    let after = pool.hedge_after();
    if !view.rules.hedge || view.attainment < MIN_HEDGE_ATTAINMENT || after == 0 {
        return None;
    }
    let pays = left.as_micros() as f64 > after as f64 + mean;
    (pays && pool.budget.has_token()).then(|| Duration::from_micros(after))
}
