//! From a checked request to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::Admission;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;
use types::{ClaimAnswer, ClaimKey, CustomerName, Outcome, RefusalReason, RequestId};

use crate::answer::retry_after;
use crate::claim;
use crate::core::Core;
use crate::drain::UnderWay;
use crate::join::{JoinKey, Running};
use crate::once::Seat;
use crate::outcome::{Asked, Ending, Halt, Problem, Progress, Reason, Unclaimed};
use crate::reply::Reply;
use crate::request::Request;
use crate::run;
use crate::session::Session;
use crate::sink::{EventSink, Item, NoSink};

/// How long past its deadline a caller waits for a run's own outcome, which is more exact.
const GRACE: Duration = Duration::from_millis(250);

/// Events that wait for a slow caller before the run waits for it.
const EVENTS: usize = 64;

/// The most tokens that wait for a slow caller of a run which does not wait for it; far beyond what
/// an engine generates within any deadline.
const TOKENS: u64 = 1 << 20;

/// Starts a request and returns where its items come from.
pub(crate) fn start<S: Session>(core: &Arc<Core<S>>, request: Request) -> mpsc::Receiver<Item> {
    let keyed = request.key.is_some();
    let room = if keyed { request.ask.tokens.0.min(TOKENS) as usize + 2 } else { EVENTS };
    let (items, receiver) = mpsc::channel(room);
    let under_way = UnderWay::begin(&core.drain);
    let task = serve(Arc::clone(core), request, items);
    core.runtime.spawn(async move {
        task.await;
        drop(under_way);
    });
    receiver
}

async fn serve<S: Session>(core: Arc<Core<S>>, request: Request, items: mpsc::Sender<Item>) {
    let customer = request.ask.customer.clone();
    core.usage.arrived(&customer);
    let (id, arrived) = (request.id, request.arrived);
    let reply = if request.key.is_some() {
        once(&core, request, &items).await
    } else if request.stream {
        stream(&core, request, &items).await
    } else {
        select! {
            reply = join(&core, request) => Some(reply),
            // The caller left: leaving the run, which ends it unless others wait for it.
            () = items.closed() => None,
        }
    };
    core.usage.ended(&customer);
    let Some(reply) = reply else {
        core.metrics.request("gone", Reason::CallerGone.as_str(), arrived.elapsed());
        return;
    };
    core.metrics.request(reply.outcome.as_str(), reply.reason, arrived.elapsed());
    log_end(id, &customer, &reply);
    // A caller that left has no use for it.
    let _ = items.send(Item::Last(reply)).await;
}

/// Logs a request that ran and is not complete. Refusals are left to the metrics: there are as many
/// as callers resend, and a line for each would cost more than the refusal.
fn log_end(request: RequestId, customer: &CustomerName, reply: &Reply) {
    if !matches!(reply.outcome, Outcome::Unknown | Outcome::Failed) || reply.retry_after.is_some() {
        return;
    }
    let (outcome, reason) = (reply.outcome, reply.reason);
    log::info!(request:% = request, customer:% = customer, outcome:% = outcome, reason;
        "the request is not complete");
}

fn admit<S: Session>(core: &Core<S>, request: &Request) -> Result<Admission, Halt> {
    Ok(core.router.admit(&request.ask, Instant::now())?)
}

/// Runs a request that needs no claim, to its end.
async fn alone<S: Session, T: crate::sink::Sink>(
    core: &Core<S>,
    request: &Request,
    sink: &mut T,
) -> Ending {
    let unclaimed = Unclaimed::keyless(request.key.as_ref());
    let mut progress = Progress::at_arrival();
    let result = match admit(core, request) {
        Ok(_admission) => run::run(core, request, &mut progress, sink).await,
        Err(halt) => Err(halt),
    };
    match result {
        Ok(whole) => Ending::Complete(Arc::new(whole)),
        Err(halt) => Ending::Problem(Problem::of(&progress, unclaimed, halt)),
    }
}

/// Streams a request that needs no claim; `None` where the caller left.
async fn stream<S: Session>(
    core: &Core<S>,
    request: Request,
    items: &mpsc::Sender<Item>,
) -> Option<Reply> {
    let mut sink = EventSink::new(items.clone());
    let ending = select! {
        ending = alone(core, &request, &mut sink) => ending,
        () = items.closed() => return None,
    };
    if ending.reason() == Reason::CallerGone.as_str() {
        return None;
    }
    Some(Reply::new(&ending, request.id, request.arrived.elapsed()))
}

/// Runs a request that needs no claim, or joins the same one under way.
async fn join<S: Session>(core: &Arc<Core<S>>, request: Request) -> Reply {
    let (id, arrived, by) = (request.id, request.arrived, request.by());
    let key = JoinKey { customer: request.ask.customer.clone(), fingerprint: request.fingerprint };
    let request = Arc::new(request);
    loop {
        let start = || running(core, &request, &key);
        let (running, started) = core.joins.seat(&key, start);
        let ending = timeout_at((by + GRACE).into(), running.ending()).await;
        drop(running);
        let ending = match ending {
            Ok(Some(ending)) => ending,
            // Its first caller left before this one came.
            Ok(None) if !started && Instant::now() < by => continue,
            Ok(None) => broken(),
            Err(_) => late(),
        };
        let shorter =
            matches!(&ending, Ending::Problem(it) if it.halt().reason == Reason::Deadline);
        if shorter && !started && Instant::now() < by {
            continue;
        }
        return Reply::new(&ending, id, arrived.elapsed());
    }
}

fn late() -> Ending {
    let detail = "the deadline passed while the request was under way";
    Ending::Problem(Problem::unknown(Halt::new(Reason::Deadline, detail)))
}

fn broken() -> Ending {
    let detail = "the run broke off inside the entry";
    Ending::Problem(Problem::unknown(Halt::new(Reason::CallLost, detail)))
}

fn running<S: Session>(core: &Arc<Core<S>>, request: &Arc<Request>, key: &JoinKey) -> Running {
    let (sender, ending) = watch::channel(None);
    let (core, request, key) = (Arc::clone(core), Arc::clone(request), key.clone());
    let runtime = core.runtime.clone();
    let task = runtime.spawn(async move {
        let ending = alone(&core, &request, &mut NoSink).await;
        sender.send_replace(Some(ending));
        core.joins.forget(&key);
    });
    Running::new(ending, task.abort_handle())
}

/// Runs a request under its key, or joins the same one under way. Returns `None` only for a
/// request without a key.
async fn once<S: Session>(
    core: &Arc<Core<S>>,
    request: Request,
    items: &mpsc::Sender<Item>,
) -> Option<Reply> {
    let (id, by) = (request.id, request.by());
    let key = ClaimKey { customer: request.ask.customer.clone(), key: request.key.clone()? };
    let mut reply = match core.once.seat(&key, request.fingerprint) {
        Seat::Start(sender, reply) => {
            let events = request.stream.then(|| items.clone());
            core.runtime.spawn(life(Arc::clone(core), request, key, (sender, events)));
            reply
        }
        Seat::Join(reply) => reply,
        Seat::Mismatch => {
            let detail = "this Idempotency-Key is used with another body; send a new key";
            let answer = Asked::now().denied(&ClaimAnswer::Mismatch);
            let halt = Halt::new(Reason::KeyMismatch, detail);
            let problem = Problem::of(&Progress::at_arrival(), answer, halt);
            return Some(Reply::new(&Ending::Problem(problem), id, Duration::ZERO));
        }
        Seat::Full => {
            let reason = Reason::Refused(RefusalReason::NoQuorum);
            let halt = Halt::new(reason, "too many claims wait for a quorum").after(retry_after());
            return Some(Reply::refuse(halt, true, id));
        }
    };
    let ended = timeout_at((by + GRACE).into(), reply.wait_for(Option::is_some)).await;
    let ended = ended.ok().and_then(Result::ok).and_then(|it| it.clone());
    Some(ended.unwrap_or_else(|| under_way(id)))
}

fn under_way(id: RequestId) -> Reply {
    let detail = "the request is still under way; send it again with the same key for its answer";
    let halt = Halt::new(Reason::Running, detail).after(retry_after());
    Reply::new(&Ending::Problem(Problem::under_way(halt)), id, Duration::ZERO)
}

type LifeEnd = (watch::Sender<Option<Reply>>, Option<mpsc::Sender<Item>>);

/// Lives a claim to its committed end. Nothing but the end of the process stops it.
async fn life<S: Session>(core: Arc<Core<S>>, request: Request, key: ClaimKey, end: LifeEnd) {
    let _under_way = UnderWay::begin(&core.drain);
    let (sender, events) = end;
    let reply = match admit(&core, &request) {
        Ok(_admission) => claim::live(Arc::clone(&core), request, key.clone(), events).await,
        Err(halt) => Reply::refuse(halt, true, request.id),
    };
    sender.send_replace(Some(reply));
    core.once.end(&key);
}
