//! Runs a checked request to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use routing::Admission;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;
use types::{ClaimAnswer, ClaimKey, CustomerName, Outcome, RefusalReason, RequestId};

use crate::answer::retry_after;
use crate::claim;
use crate::claim_table::ClaimLookup;
use crate::core::Core;
use crate::drain::InFlightGuard;
use crate::outcome::{ClaimRequested, Ending, Problem, Progress, Reason, RequestError, Unclaimed};
use crate::reply::Reply;
use crate::request::Request;
use crate::run;
use crate::session::Session;
use crate::shared_run::{RunKey, SharedRun};
use crate::sink::{EventSink, Item, NoSink};

/// How long past its deadline a request waits for the outcome of its run, which tells the caller
/// more than a timeout does.
const OUTCOME_WAIT: Duration = Duration::from_millis(250);

/// The maximum number of events that wait for a caller. Once they are as many, the run waits for
/// the caller to read.
const MAX_QUEUED_EVENTS: usize = 64;

/// The maximum number of tokens that wait for a caller whose run does not wait for it; far more
/// than an engine generates within any deadline.
const MAX_QUEUED_TOKENS: u64 = 1 << 20;

/// Starts a request and returns the receiver of its items.
pub(crate) fn start<S: Session>(core: &Arc<Core<S>>, request: Request) -> mpsc::Receiver<Item> {
    let has_key = request.key.is_some();
    let capacity = if has_key {
        request.info.tokens.0.min(MAX_QUEUED_TOKENS) as usize + 2
    } else {
        MAX_QUEUED_EVENTS
    };
    let (items, receiver) = mpsc::channel(capacity);
    let in_flight = InFlightGuard::begin(&core.drain);
    let task = serve(Arc::clone(core), request, items);
    core.runtime.spawn(async move {
        task.await;
        drop(in_flight);
    });
    receiver
}

async fn serve<S: Session>(core: Arc<Core<S>>, request: Request, items: mpsc::Sender<Item>) {
    let customer = request.info.customer.clone();
    core.usage.request_arrived(&customer);
    let (id, arrived) = (request.id, request.arrived);
    let reply = if request.key.is_some() {
        run_claimed(&core, request, &items).await
    } else if request.stream {
        run_streamed(&core, request, &items).await
    } else {
        select! {
            reply = run_coalesced(&core, request) => Some(reply),
            // The caller left. Dropping its share of the run aborts the run unless other callers
            // wait for it.
            () = items.closed() => None,
        }
    };
    core.usage.request_ended(&customer);
    let Some(reply) = reply else {
        core.metrics.request_ended("gone", Reason::CallerGone.as_str(), arrived.elapsed());
        return;
    };
    core.metrics.request_ended(reply.outcome.as_str(), reply.reason, arrived.elapsed());
    log_end(id, &customer, &reply);
    // Fails only if the caller left, in which case nobody needs the item.
    let _ = items.send(Item::Last(reply)).await;
}

/// Logs a request that ran and did not complete. Refusals are only counted in the metrics: there
/// are as many as callers resend, and a log line for each would cost more than the refusal itself.
fn log_end(request: RequestId, customer: &CustomerName, reply: &Reply) {
    if !matches!(reply.outcome, Outcome::Unknown | Outcome::Failed) || reply.retry_after.is_some() {
        return;
    }
    let (outcome, reason) = (reply.outcome, reply.reason);
    log::info!(request:% = request, customer:% = customer, outcome:% = outcome, reason;
        "the request is not complete");
}

fn admit<S: Session>(core: &Core<S>, request: &Request) -> Result<Admission, RequestError> {
    Ok(core.router.admit(&request.info, Instant::now())?)
}

/// Admits and runs a request that needs no claim.
async fn run_unclaimed<S: Session, T: crate::sink::Sink>(
    core: &Core<S>,
    request: &Request,
    sink: &mut T,
) -> Ending {
    let unclaimed = Unclaimed::keyless(request.key.as_ref());
    let mut progress = Progress::at_arrival();
    let result = match admit(core, request) {
        Ok(_admission) => run::run(core, request, &mut progress, sink).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(complete) => Ending::Complete(Arc::new(complete)),
        Err(error) => Ending::Problem(Problem::from_progress(&progress, unclaimed, error)),
    }
}

/// Runs a request that needs no claim and streams its tokens. Returns `None` if the caller left.
async fn run_streamed<S: Session>(
    core: &Core<S>,
    request: Request,
    items: &mpsc::Sender<Item>,
) -> Option<Reply> {
    let mut sink = EventSink::new(items.clone());
    let ending = select! {
        ending = run_unclaimed(core, &request, &mut sink) => ending,
        () = items.closed() => return None,
    };
    if ending.reason() == Reason::CallerGone.as_str() {
        return None;
    }
    Some(Reply::new(&ending, request.id, request.arrived.elapsed()))
}

/// Runs a request that needs no claim, or joins an identical run that is in flight.
async fn run_coalesced<S: Session>(core: &Arc<Core<S>>, request: Request) -> Reply {
    let (id, arrived, deadline) = (request.id, request.arrived, request.deadline());
    if Instant::now() >= deadline {
        // Refused as not run, however slow the process is: a run of its own might not be awaited.
        let ending = run_unclaimed(core, &request, &mut NoSink).await;
        return Reply::new(&ending, id, arrived.elapsed());
    }
    let key = RunKey { customer: request.info.customer.clone(), fingerprint: request.fingerprint };
    let request = Arc::new(request);
    loop {
        let start = || spawn_run(core, &request, &key);
        let (run, started) = core.shared_runs.get_or_start(&key, start);
        let ending = timeout_at((deadline + OUTCOME_WAIT).into(), run.ending()).await;
        drop(run);
        let ending = match ending {
            Ok(Some(ending)) => ending,
            // The caller that started the run left before this one joined.
            Ok(None) if !started && Instant::now() < deadline => continue,
            Ok(None) => run_aborted(),
            Err(_) => deadline_passed(),
        };
        // The caller that started the run may have set an earlier deadline than this one.
        let run_timed_out =
            matches!(&ending, Ending::Problem(it) if it.error().reason == Reason::Deadline);
        if run_timed_out && !started && Instant::now() < deadline {
            continue;
        }
        return Reply::new(&ending, id, arrived.elapsed());
    }
}

fn deadline_passed() -> Ending {
    let detail = "the deadline passed while the request was under way";
    Ending::Problem(Problem::unknown(RequestError::new(Reason::Deadline, detail)))
}

fn run_aborted() -> Ending {
    let detail = "the run broke off inside the entry";
    Ending::Problem(Problem::unknown(RequestError::new(Reason::CallLost, detail)))
}

fn spawn_run<S: Session>(core: &Arc<Core<S>>, request: &Arc<Request>, key: &RunKey) -> SharedRun {
    let (sender, ending) = watch::channel(None);
    let (core, request, key) = (Arc::clone(core), Arc::clone(request), key.clone());
    let runtime = core.runtime.clone();
    let task = runtime.spawn(async move {
        let ending = run_unclaimed(&core, &request, &mut NoSink).await;
        sender.send_replace(Some(ending));
        core.shared_runs.remove_finished(&key);
    });
    SharedRun::new(ending, task.abort_handle())
}

/// Runs a request under its idempotency key, or joins the same request if it is in flight. Returns
/// `None` only for a request without a key.
async fn run_claimed<S: Session>(
    core: &Arc<Core<S>>,
    request: Request,
    items: &mpsc::Sender<Item>,
) -> Option<Reply> {
    let (id, deadline) = (request.id, request.deadline());
    let key = ClaimKey { customer: request.info.customer.clone(), key: request.key.clone()? };
    let mut reply = match core.claims.lookup_or_insert(&key, request.fingerprint) {
        ClaimLookup::Start(sender, reply) => {
            let events = request.stream.then(|| items.clone());
            core.runtime.spawn(claim_task(Arc::clone(core), request, key, (sender, events)));
            reply
        }
        ClaimLookup::Join(reply) => reply,
        ClaimLookup::Mismatch => {
            let detail = "this Idempotency-Key is used with another body; send a new key";
            let answer = ClaimRequested::now().denied(&ClaimAnswer::Mismatch);
            let error = RequestError::new(Reason::KeyMismatch, detail);
            let problem = Problem::from_progress(&Progress::at_arrival(), answer, error);
            return Some(Reply::new(&Ending::Problem(problem), id, Duration::ZERO));
        }
        ClaimLookup::Full => {
            let reason = Reason::Refused(RefusalReason::NoQuorum);
            let error = RequestError::new(reason, "too many claims wait for a quorum")
                .retry_after(retry_after());
            return Some(Reply::refuse(error, true, id));
        }
    };
    let ended = timeout_at((deadline + OUTCOME_WAIT).into(), reply.wait_for(Option::is_some)).await;
    let ended = ended.ok().and_then(Result::ok).and_then(|it| it.clone());
    Some(ended.unwrap_or_else(|| still_running(id)))
}

fn still_running(id: RequestId) -> Reply {
    let detail = "the request is still under way; send it again with the same key for its answer";
    let error = RequestError::new(Reason::Running, detail).retry_after(retry_after());
    Reply::new(&Ending::Problem(Problem::in_flight(error)), id, Duration::ZERO)
}

type ClaimOutput = (watch::Sender<Option<Reply>>, Option<mpsc::Sender<Item>>);

/// Runs a request until the end of its claim is committed. Only the end of the process stops this
/// task.
async fn claim_task<S: Session>(
    core: Arc<Core<S>>,
    request: Request,
    key: ClaimKey,
    end: ClaimOutput,
) {
    let _in_flight = InFlightGuard::begin(&core.drain);
    let (sender, events) = end;
    let reply = match admit(&core, &request) {
        Ok(_admission) => claim::execute(Arc::clone(&core), request, key.clone(), events).await,
        Err(error) => Reply::refuse(error, true, request.id),
    };
    sender.send_replace(Some(reply));
    core.claims.remove(&key);
}
