//! Where the time of a request went until its first event.

use std::fmt::{self, Write as _};
use std::sync::Arc;
use std::time::Duration;

use crate::batch::StageTimes;

/// The time of one finished stage of a request.
#[derive(Clone, Debug)]
pub(crate) struct StagePhase {
    /// The number of the stage.
    pub(crate) stage: usize,
    pub(crate) service: Arc<str>,
    pub(crate) pieces: u32,
    /// The wait and the call of the last pieces, as measured by the owner.
    pub(crate) times: StageTimes,
    /// The time from handing the pieces to an owner until all results were there. What exceeds the
    /// wait and the call was spent on the network, or on an owner that did not answer and was
    /// replaced.
    pub(crate) total: Duration,
}

/// The finished stages of a request, in the order in which they finished.
#[derive(Clone, Debug, Default)]
pub(crate) struct Phases(pub(crate) Vec<StagePhase>);

impl fmt::Display for Phases {
    /// Writes `stage:pieces:wait:call:total` for each stage, with times in ms.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, it) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_char(' ')?;
            }
            let (wait, call) = (it.times.wait.as_millis(), it.times.call.as_millis());
            write!(f, "{}:{}:{wait}:{call}:{}", it.stage, it.pieces, it.total.as_millis())?;
        }
        Ok(())
    }
}
