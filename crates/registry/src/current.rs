//! Decides, without I/O, whether a member's plan is the newest acknowledged one, as far as it knows.
//!
//! A member may not have heard of the newest commit, so for each entry that connects a quorum confirms
//! the log index as well.

use types::{LogIndex, Term};

/// The state of a member's log and its knowledge of the leader.
#[derive(Clone, Copy, Debug)]
pub struct CurrentView {
    /// The current term.
    pub term: Term,
    /// Whether the leader of that term is known.
    pub has_leader: bool,
    /// Whether this node belongs to the newest membership.
    pub is_member: bool,
    /// The log index up to which the log is known to be committed.
    pub commit: LogIndex,
    /// The term of the entry at that index, if the log still holds it.
    pub commit_term: Option<Term>,
    /// The log index up to which the log is applied.
    pub applied: LogIndex,
}

impl CurrentView {
    /// Returns whether the applied plan is the newest acknowledged one, as far as the current leader
    /// can know.
    ///
    /// The commit index must be of the current term. After all members lose power, a new leader first
    /// sends a commit index of an earlier term, which may be lower than what was acknowledged last. A
    /// member that trusted it would report an older plan as current, and an entry that has just started
    /// would serve it. Once an entry of the current term is committed, so are all log entries before it.
    pub fn is_current(&self) -> bool {
        let settled = self.commit_term == Some(self.term);
        self.has_leader && self.is_member && settled && self.applied >= self.commit
    }
}
