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

/// What is called, which decides how much an answer without an id proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A call that the entry makes on its own behalf.
    Own,
    /// A caller's request that may run again, at several upstreams.
    Repeatable,
    /// A caller's request that may run once at most, or at one upstream at most.
    Once,
}

/// Which ids an upstream leaves out of its answers, as its connections have shown.
#[derive(Debug, Default)]
pub struct EchoHabit {
    /// Whether those of calls that the entry makes on its own behalf.
    own_calls: AtomicBool,
    /// Whether those of requests that it refuses.
    refusals: AtomicBool,
}

impl EchoHabit {
    /// Decides whether an answer is that to the call that was sent. `is_first` tells that nothing was sent
    /// on its connection before; then an answer without an id can't be that to another call. `is_refusal`
    /// tells that the answer states that the call did not run.
    ///
    /// By habit alone, nothing shows that a request did not run that may run once: on a used connection, the
    /// answer could be a copy of that to any call without an id.
    pub fn judge(&self, echo: Echo, is_first: bool, is_refusal: bool, kind: CallKind) -> Answers {
        let was_habit = self.learn(echo, is_first, is_refusal, kind);
        match echo {
            Echo::Same => Answers::This,
            Echo::Other => Answers::Other,
            Echo::None if is_first || was_habit && kind != CallKind::Once => Answers::This,
            Echo::None => Answers::Unclear,
        }
    }

    /// Learns from an answer; returns what was known before.
    fn learn(&self, echo: Echo, is_first: bool, is_refusal: bool, kind: CallKind) -> bool {
        let (habit, shown) = match kind {
            CallKind::Own => (&self.own_calls, (is_first && echo == Echo::None).then_some(true)),
            CallKind::Repeatable | CallKind::Once => {
                let clear = is_refusal && echo != Echo::Other;
                (&self.refusals, clear.then_some(echo == Echo::None))
            }
        };
        let was_habit = habit.load(Ordering::Relaxed);
        if let Some(omits) = shown.filter(|it| *it != was_habit) {
            habit.store(omits, Ordering::Relaxed);
        }
        was_habit
    }

    /// Returns whether a call needs a connection that has not been used, because a refusal without an id
    /// proves nothing on another one.
    pub fn needs_new(&self, kind: CallKind) -> bool {
        kind == CallKind::Once && self.refusals.load(Ordering::Relaxed)
    }
}
