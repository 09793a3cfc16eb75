//! Runs a stage on a model engine: a stream of tokens that is resumed when it is cut.

use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use types::{CallId, Micros, Tokens};
use upstream::{
    CallError, EngineEvent, EngineStream, EngineUsage, Fault, Generation, Sent, Target,
};

use crate::call::{CallTarget, InFlightCall};
use crate::outcome::{Progress, Reason, RequestError};
use crate::race::{RaceResult, race};
use crate::session::Session;
use crate::sink::Sink;
use crate::step::{Attempts, Retry, StageResult, Step, Used};

/// The length of the start of a prompt, in bytes, by which an engine is chosen that may have it
/// cached.
const PROMPT_PREFIX_BYTES: usize = 256;

#[derive(Serialize)]
struct Prompt<'a> {
    input: &'a RawValue,
    previous: Option<&'a RawValue>,
}

/// The tokens delivered so far.
#[derive(Debug, Default)]
struct Delivered {
    position: u64,
    text: String,
}

/// A stream with its next event. The event decides which of several calls wins.
struct StreamEvent {
    stream: EngineStream,
    event: EngineEvent,
}

/// Runs an engine's stage to its end and passes on each token exactly once.
pub(crate) async fn run<S: Session, T: Sink>(
    step: &Step<'_, S>,
    progress: &mut Progress,
    sink: &mut T,
) -> Result<StageResult, RequestError> {
    let slot = step.wait_for_slot().await?;
    let prompt = prompt(step)?;
    let prefix = prefix(step, &prompt);
    let mut attempts = Attempts::default();
    let mut delivered = Delivered::default();
    let pick = step.pick(&attempts, Some(prefix))?;
    let mut call = InFlightCall::begin(step, pick, false, &mut attempts, progress);
    let mut stream = None;
    loop {
        let next = next_event(step, &prompt, &delivered, call.target(), stream.take());
        let start = |to| next_event(step, &prompt, &delivered, to, None);
        let RaceResult { call: mut winner, result } =
            race(step, (call, next), &mut attempts, progress, start).await;
        let error = match result {
            Ok(StreamEvent { stream: it, event: EngineEvent::End(usage) }) => {
                progress.upstream_answered();
                step.ended(&slot);
                return stage_result(step, winner, (usage, it), &delivered, &attempts);
            }
            Ok(StreamEvent { stream: it, event: EngineEvent::Token { position, text } }) => {
                progress.upstream_answered();
                if position == delivered.position {
                    deliver(step, (position, text), &mut delivered, sink).await?;
                    winner.delivered();
                    (call, stream) = (winner, Some(it));
                    continue;
                }
                gap(&it, delivered.position, position)
            }
            Err(error) => error,
        };
        let (reused, delivered_more) = (error.reused, winner.has_delivered());
        let fault = winner.failed(error, &mut attempts, progress);
        call = match resume(step, &fault, (delivered_more, reused), &mut attempts, progress)? {
            Retry::Same => winner.again(&mut attempts, progress),
            Retry::Other => {
                let pick = step.pick_other(winner, &fault, &mut attempts, Some(prefix))?;
                InFlightCall::begin(step, pick, false, &mut attempts, progress)
            }
        };
    }
}

/// Decides what follows a failed stream. A stream that was cut after it delivered tokens is resumed
/// at the same engine first, which has the prompt and the generated tokens in its cache.
fn resume<S: Session>(
    step: &Step<'_, S>,
    fault: &Fault,
    (delivered_more, reused): (bool, bool),
    attempts: &mut Attempts,
    progress: &Progress,
) -> Result<Retry, RequestError> {
    let cut = matches!(fault, Fault::Truncated(_));
    if delivered_more && cut && step.stage.repeatable {
        step.core.metrics.extra_call(&step.stage.pool, "resume");
        return Ok(Retry::Same);
    }
    step.after_failure(fault, reused, attempts, progress)
}

/// Returns the next event of a stream, or the first one of a new stream that goes on after the
/// delivered tokens.
async fn next_event<S: Session>(
    step: &Step<'_, S>,
    prompt: &str,
    delivered: &Delivered,
    to: CallTarget,
    stream: Option<EngineStream>,
) -> Result<StreamEvent, CallError> {
    let mut stream = match stream {
        Some(stream) => stream,
        None => start(step, prompt, delivered, to).await?,
    };
    let event = stream.next().await?;
    Ok(StreamEvent { stream, event })
}

async fn start<S: Session>(
    step: &Step<'_, S>,
    prompt: &str,
    delivered: &Delivered,
    to: CallTarget,
) -> Result<EngineStream, CallError> {
    let CallTarget { upstream, first_byte, fresh, watch } = to;
    let generation = Generation {
        call: CallId::random(),
        model: upstream.spec.model.as_ref(),
        prompt,
        tokens: step.request.tokens(step.stage),
        priority: step.request.info.priority,
        position: delivered.position,
        delivered: &delivered.text,
    };
    let target = Target { address: upstream.spec.address, fresh };
    step.core.calls.generate(target, generation, step.limits(first_byte), watch).await
}

/// Passes a token on.
async fn deliver<S: Session, T: Sink>(
    step: &Step<'_, S>,
    (position, text): (u64, String),
    delivered: &mut Delivered,
    sink: &mut T,
) -> Result<(), RequestError> {
    delivered.position += 1;
    delivered.text.push_str(&text);
    sink.token(position, &text, step.deadline).await
}

fn gap(stream: &EngineStream, want: u64, got: u64) -> CallError {
    let (peer, fault) = (stream.peer(), Fault::Gap(want, got));
    CallError { step: "check position", peer, fault, sent: Sent::Maybe, reused: false }
}

fn prompt<S: Session>(step: &Step<'_, S>) -> Result<String, RequestError> {
    let prompt = Prompt { input: &step.request.input, previous: step.previous };
    serde_json::to_string(&prompt).map_err(|e| RequestError::new(Reason::BadRequest, e.to_string()))
}

/// Hashes (FNV-1a) the part that requests with a shared cached prefix have in common, so that every
/// entry sends them to the same engine.
fn prefix<S: Session>(step: &Step<'_, S>, prompt: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let name = step.request.info.pipeline.as_str().bytes();
    let bytes = name.chain([0]).chain(prompt.bytes().take(PROMPT_PREFIX_BYTES));
    bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn stage_result<S: Session>(
    step: &Step<'_, S>,
    mut call: InFlightCall<'_, S>,
    (usage, stream): (EngineUsage, EngineStream),
    delivered: &Delivered,
    attempts: &Attempts,
) -> Result<StageResult, RequestError> {
    let cut = Micros::from(attempts.cut_time).0;
    let busy = Micros(usage.busy.0 + cut);
    let used = Used { total: stream.total(), tokens: Tokens(delivered.position), busy };
    call.succeeded(stream.first_byte, used);
    let output = to_raw_value(&delivered.text);
    let output = output.map_err(|e| RequestError::new(Reason::Upstream, e.to_string()))?;
    Ok(StageResult { output, summary: step.summary(call.upstream(), attempts, used) })
}
