//! Runs a stage that returns its answer in one piece, with retries and further calls.

use types::{CallId, Tokens};
use upstream::{CallError, StageCall, StageReply, Target};

use crate::call::{CallTarget, InFlightCall};
use crate::outcome::{Progress, RequestError};
use crate::race::{RaceResult, race};
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
    let pick = step.pick(&attempts, None)?;
    let mut call = InFlightCall::begin(step, pick, false, &mut attempts, progress);
    loop {
        let first = send(step, call.target());
        let RaceResult { call: mut winner, result } =
            race(step, (call, first), &mut attempts, progress, |to| send(step, to)).await;
        let error = match result {
            Ok(reply) => {
                step.ended(&slot);
                return Ok(stage_result(step, winner, reply, &attempts, progress));
            }
            Err(error) => error,
        };
        let reused = error.reused;
        let fault = winner.failed(error, &mut attempts, progress);
        call = match step.after_failure(&fault, reused, &mut attempts, progress)? {
            Retry::Same => winner.again(&mut attempts, progress),
            Retry::Other => {
                let pick = step.pick_other(winner, &fault, &mut attempts, None)?;
                InFlightCall::begin(step, pick, false, &mut attempts, progress)
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

async fn send<S: Session>(step: &Step<'_, S>, to: CallTarget) -> Result<StageReply, CallError> {
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
    let target = Target { address: to.upstream.spec.address, fresh: to.fresh };
    step.core.calls.stage(target, call, step.limits(to.first_byte), to.watch).await
}
