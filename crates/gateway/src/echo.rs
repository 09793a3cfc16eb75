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

/// Whether an upstream leaves the ids out of its answers, as its connections have shown.
#[derive(Debug, Default)]
pub struct EchoHabit {
    omits: AtomicBool,
}

impl EchoHabit {
    /// Decides whether an answer belongs to the call that was sent. `is_first` tells that nothing was
    /// sent on its connection before; then an answer without an id can't be that of another call.
    pub fn is_own(&self, echo: Echo, is_first: bool) -> bool {
        match echo {
            Echo::Same => true,
            Echo::Other => false,
            Echo::None if is_first => {
                self.omits.store(true, Ordering::Relaxed);
                true
            }
            Echo::None => self.omits.load(Ordering::Relaxed),
        }
    }
}
