//! Calls of one stage beside each other: a further one where those in flight are late or silent.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::select;
use tokio::time::sleep;
use upstream::CallError;

use crate::call::{CallTarget, InFlightCall};
use crate::outcome::Progress;
use crate::session::Session;
use crate::step::{Attempts, MAX_REPEAT_CALLS, Retry, Step};

/// The outcome of a call, or of the first of several that succeeded.
pub(crate) struct RaceResult<'a, S: Session, T> {
    pub(crate) call: InFlightCall<'a, S>,
    pub(crate) result: Result<T, CallError>,
}

/// The calls in flight, by their number; `None` for those that failed.
struct Calls<'a, 'b, S: Session> {
    step: &'a Step<'a, S>,
    calls: Vec<Option<InFlightCall<'a, S>>>,
    attempts: &'b mut Attempts,
    progress: &'b mut Progress,
}

/// Waits for a call in flight, and starts further ones that `start` makes where it is late or silent
/// and the budget allows it. The first successful result wins; the other calls are cancelled by
/// dropping them. A silent call is kept until then: it may be the only one that will ever answer.
pub(crate) async fn race<'a, S, T, F, C>(
    step: &'a Step<'a, S>,
    (first, reply): (InFlightCall<'a, S>, F),
    attempts: &mut Attempts,
    progress: &mut Progress,
    start: C,
) -> RaceResult<'a, S, T>
where
    S: Session,
    F: Future<Output = Result<T, CallError>>,
    C: Fn(CallTarget) -> F,
{
    let hedge_after = first.hedge_after();
    let mut late = pin!(sleep(hedge_after.unwrap_or_default()));
    let mut hedged = hedge_after.is_none();
    let mut reply = pin!(reply);
    let mut others = FuturesUnordered::new();
    let mut calls = Calls { step, calls: vec![Some(first)], attempts, progress };
    loop {
        let further = select! {
            biased;
            result = &mut reply, if calls.is_in_flight(0) => match calls.ended(0, result) {
                Ok(result) => return result,
                Err(further) => further,
            },
            Some((index, result)) = others.next() => match calls.ended(index, result) {
                Ok(result) => return result,
                Err(further) => further,
            },
            () = step.wake.notified() => calls.replace_silent(),
            () = &mut late, if !hedged => {
                hedged = true;
                calls.hedge()
            }
        };
        if let Some(call) = further {
            let (index, next) = (calls.calls.len(), start(call.target()));
            calls.calls.push(Some(call));
            others.push(async move { (index, next.await) });
        }
    }
}

impl<'a, S: Session> Calls<'a, '_, S> {
    fn is_in_flight(&self, index: usize) -> bool {
        self.calls[index].is_some()
    }

    fn in_flight(&self) -> impl DoubleEndedIterator<Item = &InFlightCall<'a, S>> {
        self.calls.iter().flatten()
    }

    /// Handles the result of a call: returns it if it ends the race, or else a further call to start.
    #[allow(clippy::type_complexity)]
    fn ended<T>(
        &mut self,
        index: usize,
        result: Result<T, CallError>,
    ) -> Result<RaceResult<'a, S, T>, Option<InFlightCall<'a, S>>> {
        let Some(mut call) = self.calls[index].take() else {
            return Err(None);
        };
        match result {
            Err(error) if self.in_flight().next().is_some() => {
                let reused = error.reused;
                let fault = call.failed(error, self.attempts, self.progress);
                let all_silent = self.in_flight().all(|it| it.silence().is_some());
                if !all_silent {
                    return Err(None);
                }
                let retry = self.step.after_failure(&fault, reused, self.attempts, self.progress);
                Err(match retry {
                    Ok(Retry::Same) => Some(call.again(self.attempts, self.progress)),
                    Ok(Retry::Other) => self.pick_untried(&call),
                    Err(_) => None,
                })
            }
            result => {
                for loser in self.calls.drain(..).flatten() {
                    loser.replaced(self.attempts);
                }
                Ok(RaceResult { call, result })
            }
        }
    }

    /// Returns a further call if the first one is late and the budget allows it.
    fn hedge(&mut self) -> Option<InFlightCall<'a, S>> {
        let (step, now) = (self.step, Instant::now());
        let name = self.in_flight().next()?.upstream().name.clone();
        self.attempts.tried.push(name);
        // An upstream is chosen before the budget is charged: a pool without another one must not
        // spend it.
        let pick = step.pick(self.attempts, None).ok()?;
        step.core.router.spend_hedge(&step.stage.pool, self.left(now), now).ok()?;
        step.core.metrics.extra_call(&step.stage.pool, "hedge");
        Some(InFlightCall::begin(step, pick, false, self.attempts, self.progress))
    }

    /// Returns a further call if all in flight are silent and it is allowed.
    fn replace_silent(&mut self) -> Option<InFlightCall<'a, S>> {
        let all_silent = self.in_flight().all(|it| it.silence().is_some());
        if !self.step.stage.repeatable || !all_silent {
            return None;
        }
        self.reconnect().or_else(|| self.retry())
    }

    /// Calls the upstream of a silent kept connection once more.
    fn reconnect(&mut self) -> Option<InFlightCall<'a, S>> {
        if self.attempts.reconnects > 0 {
            return None;
        }
        let mut calls = self.calls.iter().flatten().rev();
        let kept = calls.find(|it| it.silence().is_some_and(|silence| silence.reused))?;
        self.attempts.reconnects += 1;
        self.step.core.metrics.extra_call(&self.step.stage.pool, "reconnect");
        Some(kept.again(self.attempts, self.progress))
    }

    /// Calls another upstream, or the only one once more.
    fn retry(&mut self) -> Option<InFlightCall<'a, S>> {
        let (step, now) = (self.step, Instant::now());
        let in_flight = self.calls.iter().flatten().map(|it| it.upstream().name.clone());
        self.attempts.tried.extend(in_flight);
        let pick = step.pick(self.attempts, None);
        let alone = self.in_flight().count() == 1;
        if pick.is_err() && (!alone || self.attempts.calls >= MAX_REPEAT_CALLS) {
            return None;
        }
        step.core.router.spend_retry(&step.stage.pool, self.left(now), now).ok()?;
        step.core.metrics.extra_call(&step.stage.pool, "retry");
        if let Ok(pick) = pick {
            return Some(InFlightCall::begin(step, pick, false, self.attempts, self.progress));
        }
        let only = self.calls.iter().flatten().next()?;
        Some(only.again(self.attempts, self.progress))
    }

    fn pick_untried(&mut self, failed: &InFlightCall<'a, S>) -> Option<InFlightCall<'a, S>> {
        self.attempts.tried.push(failed.upstream().name.clone());
        let tried = self.calls.iter().flatten().map(|it| it.upstream().name.clone());
        self.attempts.tried.extend(tried);
        let pick = self.step.pick(self.attempts, None).ok()?;
        Some(InFlightCall::begin(self.step, pick, false, self.attempts, self.progress))
    }

    fn left(&self, now: Instant) -> Duration {
        self.step.deadline.saturating_duration_since(now)
    }
}
