//! A call, and a second one to another upstream where the first takes unusually long.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::UpstreamView;
use tokio::select;
use tokio::time::sleep;
use upstream::CallError;

use crate::flight::Flight;
use crate::outcome::Progress;
use crate::session::Session;
use crate::step::{Step, Tries};

/// What a call, or the better of two, came to.
pub(crate) struct Raced<'a, S: Session, T> {
    pub(crate) flight: Flight<'a, S>,
    pub(crate) result: Result<T, CallError>,
}

/// Waits for a call that `start` makes, and starts a second one if the first has no result in time
/// and the budget allows it. The first good result wins; dropping the other cancels it.
pub(crate) async fn race<'a, S, T, F, C>(
    step: &'a Step<'a, S>,
    first: Flight<'a, S>,
    tries: &mut Tries,
    progress: &mut Progress,
    start: C,
) -> Raced<'a, S, T>
where
    S: Session,
    F: Future<Output = Result<T, CallError>>,
    C: Fn(Arc<UpstreamView>, Duration) -> F,
{
    let call = start(Arc::clone(first.upstream()), first.first_byte());
    let Some(after) = first.hedge_after() else {
        return Raced { result: call.await, flight: first };
    };
    let mut call = pin!(call);
    select! {
        result = &mut call => return Raced { flight: first, result },
        () = sleep(after) => {}
    }
    let Some(second) = another(step, &first, tries, progress) else {
        return Raced { result: call.await, flight: first };
    };
    let mut hedge = pin!(start(Arc::clone(second.upstream()), second.first_byte()));
    select! {
        result = &mut call => match result {
            Ok(_) => Raced { flight: first, result },
            Err(error) => {
                lost(first, error, progress);
                Raced { result: hedge.await, flight: second }
            }
        },
        result = &mut hedge => match result {
            Ok(_) => Raced { flight: second, result },
            Err(error) => {
                lost(second, error, progress);
                Raced { result: call.await, flight: first }
            }
        },
    }
}

fn lost<S: Session>(mut flight: Flight<'_, S>, error: CallError, progress: &mut Progress) {
    flight.failed(error, false, progress);
}

fn another<'a, S: Session>(
    step: &'a Step<'a, S>,
    first: &Flight<'a, S>,
    tries: &mut Tries,
    progress: &mut Progress,
) -> Option<Flight<'a, S>> {
    let now = Instant::now();
    let left = step.by.saturating_duration_since(now);
    tries.tried.push(first.upstream().name.clone());
    // The choice comes before the budget: a pool without another upstream must not spend it.
    let second = step.pick(tries, None).ok()?;
    step.core.router.spend_hedge(&step.stage.pool, left, now).ok()?;
    step.core.metrics.extra(&step.stage.pool, "hedge");
    Some(Flight::begin(step, second, tries, progress))
}
