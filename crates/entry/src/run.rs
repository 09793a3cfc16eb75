//! Runs the stages of a pipeline in order, each with the output of the one before.

use crate::answer::CompleteAnswer;
use crate::core::Core;
use crate::generate;
use crate::outcome::{Progress, Reason, RequestError};
use crate::request::Request;
use crate::session::Session;
use crate::sink::{NoSink, Sink};
use crate::stage;
use crate::step::{StageResult, Step};

/// Runs the pipeline and passes the tokens of the last stage to `sink` as they arrive.
pub(crate) async fn run<S: Session, T: Sink>(
    core: &Core<S>,
    request: &Request,
    progress: &mut Progress,
    sink: &mut T,
) -> Result<CompleteAnswer, RequestError> {
    let count = request.pipeline.stages.len();
    let mut stages = Vec::with_capacity(count);
    let mut previous = None;
    for (index, stage) in request.pipeline.stages.iter().enumerate() {
        let step = Step::new(core, request, index, previous.as_deref());
        let done = if !request.is_engine(stage) {
            stage::run(&step, progress).await?
        } else if index + 1 == count {
            generate::run(&step, progress, sink).await?
        } else {
            generate::run(&step, progress, &mut NoSink).await?
        };
        let StageResult { output, summary } = done;
        stages.push(summary);
        previous = Some(output);
    }
    let no_stage = || RequestError::new(Reason::NoPipeline, "the pipeline has no stage");
    Ok(CompleteAnswer { output: previous.ok_or_else(no_stage)?, stages })
}
