//! Hedged calls: a second call to another upstream if the first takes unusually long.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::UpstreamView;
use tokio::select;
use tokio::time::sleep;
use upstream::CallError;

use crate::call::InFlightCall;
use crate::outcome::Progress;
use crate::session::Session;
use crate::step::{Attempts, Step};

/// The outcome of a call, or of the better of two.
pub(crate) struct RaceResult<'a, S: Session, T> {
    pub(crate) call: InFlightCall<'a, S>,
    pub(crate) result: Result<T, CallError>,
}

/// Waits for a call that `start` makes, and starts a second one if the first has no result in time
/// and the budget allows it. The first successful result wins; the other call is cancelled by
/// dropping it.
pub(crate) async fn race<'a, S, T, F, C>(
    step: &'a Step<'a, S>,
    first: InFlightCall<'a, S>,
    attempts: &mut Attempts,
    progress: &mut Progress,
    start: C,
) -> RaceResult<'a, S, T>
where
    S: Session,
    F: Future<Output = Result<T, CallError>>,
    C: Fn(Arc<UpstreamView>, Duration) -> F,
{
    let reply = start(Arc::clone(first.upstream()), first.first_byte());
    let Some(after) = first.hedge_after() else {
        return RaceResult { result: reply.await, call: first };
    };
    let mut reply = pin!(reply);
    select! {
        result = &mut reply => return RaceResult { call: first, result },
        () = sleep(after) => {}
    }
    let Some(second) = start_hedge(step, &first, attempts, progress) else {
        return RaceResult { result: reply.await, call: first };
    };
    let mut hedge = pin!(start(Arc::clone(second.upstream()), second.first_byte()));
    select! {
        result = &mut reply => match result {
            Ok(_) => RaceResult { call: first, result },
            Err(error) => {
                record_failure(first, error, progress);
                RaceResult { result: hedge.await, call: second }
            }
        },
        result = &mut hedge => match result {
            Ok(_) => RaceResult { call: second, result },
            Err(error) => {
                record_failure(second, error, progress);
                RaceResult { result: reply.await, call: first }
            }
        },
    }
}

fn record_failure<S: Session>(
    mut call: InFlightCall<'_, S>,
    error: CallError,
    progress: &mut Progress,
) {
    call.failed(error, false, progress);
}

fn start_hedge<'a, S: Session>(
    step: &'a Step<'a, S>,
    first: &InFlightCall<'a, S>,
    attempts: &mut Attempts,
    progress: &mut Progress,
) -> Option<InFlightCall<'a, S>> {
    let now = Instant::now();
    let left = step.deadline.saturating_duration_since(now);
    attempts.tried.push(first.upstream().name.clone());
    // An upstream is chosen before the budget is charged: a pool without another one must not spend
    // it.
    let second = step.pick(attempts, None).ok()?;
    step.core.router.spend_hedge(&step.stage.pool, left, now).ok()?;
    step.core.metrics.extra_call(&step.stage.pool, "hedge");
    Some(InFlightCall::begin(step, second, attempts, progress))
}
