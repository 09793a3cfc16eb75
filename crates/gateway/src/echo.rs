//! Decides whose answer arrived on a connection, without I/O.
//!
//! An upstream may send an answer a second time, at the point where the next one is expected. The id in
//! it tells whose it is. Some upstreams leave the id out; a second copy of such an answer can't be told
//! from the next answer.

use std::sync::atomic::{AtomicBool, Ordering};

/// The id in an answer, compared with that of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Echo {
    /// The answer has the id of the call.
    Same,
    /// The answer has another id, or several.
    Other,
    /// The answer has no id.
    #[default]
    None,
}

/// Whose answer it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// It answers the call that was sent.
    This,
    /// It may answer another call: it is not believed that the call did not run, but what it asks of callers
    /// is heeded, such as a pause.
    Unclear,
    /// It answers another call, and tells nothing.
    Other,
}

/// Whether an upstream leaves the ids out of its answers, as its connections have shown.
#[derive(Debug, Default)]
pub struct EchoHabit {
    omits: AtomicBool,
}

impl EchoHabit {
    /// Decides whether an answer is that to the call that was sent. `is_first` tells that nothing was sent
    /// on its connection before; then an answer without an id can't be that to another call.
    pub fn judge(&self, echo: Echo, is_first: bool) -> Answers {
        match echo {
            Echo::Same => Answers::This,
            Echo::Other => Answers::Other,
            Echo::None if is_first => {
                self.omits.store(true, Ordering::Relaxed);
                Answers::This
            }
            Echo::None if self.omits.load(Ordering::Relaxed) => Answers::This,
            Echo::None => Answers::Unclear,
        }
    }
}
