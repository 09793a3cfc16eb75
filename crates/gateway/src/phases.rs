//! Where the time of a request goes until its first event.

use std::fmt::{self, Write as _};
use std::sync::Arc;
use std::time::Duration;

use crate::batch::StageTimes;

/// One stage of a request that is done.
#[derive(Clone, Debug)]
pub(crate) struct StagePhase {
    /// Its number.
    pub(crate) stage: usize,
    pub(crate) service: Arc<str>,
    pub(crate) pieces: u32,
    /// The wait and the call of the pieces that came last, as the owner saw them.
    pub(crate) times: StageTimes,
    /// From handing the pieces to an owner until all results were there. What it is more than wait and
    /// call went to the way, or to an owner that was passed over.
    pub(crate) total: Duration,
}

/// The phases of a request, in the order in which they ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Phases(pub(crate) Vec<StagePhase>);

impl fmt::Display for Phases {
    /// Writes `stage:pieces:wait:call:total` for each stage, times in ms.
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
