//! Runs a stage that returns its answer in one piece, with retries and hedged calls.

use std::sync::Arc;
use std::time::Duration;

use routing::UpstreamView;
use types::{CallId, Tokens};
use upstream::{CallError, StageCall, StageReply, Target};

use crate::call::InFlightCall;
use crate::hedge::{RaceResult, race};
use crate::outcome::{Progress, RequestError};
use crate::request::Request;
use crate::session::Session;
use crate::step::{Attempts, Retry, StageResult, Step, Used};

/// Runs a stage to its result.
pub(crate) async fn run<S: Session>(
    step: &Step<'_, S>,
    progress: &mut Progress,
) -> Result<StageResult, RequestError> {
    let slot = step.wait_for_slot().await?;
    let mut attempts = Attempts::default();
    let mut fresh = !step.stage.repeatable;
    let mut call = InFlightCall::begin(step, step.pick(&attempts, None)?, &mut attempts, progress);
    loop {
        let start = |upstream, first_byte| send(step, upstream, first_byte, fresh);
        let RaceResult { call: mut winner, result } =
            race(step, call, &mut attempts, progress, start).await;
        let error = match result {
            Ok(reply) => {
                step.ended(&slot);
                return Ok(stage_result(step, winner, reply, &attempts, progress));
            }
            Err(error) => error,
        };
        let reused = error.reused;
        let fault = winner.failed(error, false, progress);
        (call, fresh) = match step.after_failure(&fault, reused, &mut attempts, progress)? {
            Retry::Same => (winner.retried(&mut attempts, progress), true),
            Retry::Other => {
                let pick = step.pick_other(winner, &fault, &mut attempts, None)?;
                (InFlightCall::begin(step, pick, &mut attempts, progress), !step.stage.repeatable)
            }
        };
    }
}

fn stage_result<S: Session>(
    step: &Step<'_, S>,
    mut call: InFlightCall<'_, S>,
    reply: StageReply,
    attempts: &Attempts,
    progress: &mut Progress,
) -> StageResult {
    progress.upstream_answered();
    let used = Used { total: reply.total, tokens: Tokens(0), busy: reply.busy };
    call.succeeded(reply.first_byte, used);
    StageResult { output: reply.output, summary: step.summary(call.upstream(), attempts, used) }
}

async fn send<S: Session>(
    step: &Step<'_, S>,
    upstream: Arc<UpstreamView>,
    first_byte: Duration,
    fresh: bool,
) -> Result<StageReply, CallError> {
    let request = step.request;
    let call = StageCall {
        call: CallId::random(),
        request: request.id,
        stage: &step.stage.name,
        priority: request.info.priority,
        deadline_ms: Request::left(step.deadline).as_millis() as u64,
        input: &request.input,
        previous: step.previous,
        path: step.stage.path.as_deref(),
        key: request.key.as_ref(),
    };
    let target = Target { address: upstream.spec.address, fresh };
    step.core.calls.stage(target, call, step.limits(first_byte)).await
}
