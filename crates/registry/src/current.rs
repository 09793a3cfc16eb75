//! Tells whether a member may hold every plan that was ever acknowledged, by what it knows itself. Pure.
//!
//! It can't know of what it has not heard of; a quorum confirms it besides, for each entry that connects.

use types::{LogIndex, Term};

/// What a member knows of its log and its leader.
#[derive(Clone, Copy, Debug)]
pub struct CurrentView {
    /// The term that it is in.
    pub term: Term,
    /// Whether it knows who leads in that term.
    pub led: bool,
    /// Whether it belongs to the newest membership.
    pub member: bool,
    /// The newest entry that it knows to be committed.
    pub commit: LogIndex,
    /// The term of that entry, where its log still tells.
    pub commit_term: Option<Term>,
    /// The newest entry that it has applied.
    pub applied: LogIndex,
}

impl CurrentView {
    /// Whether the plan that was applied last is the newest that was acknowledged, as far as the
    /// present leader can know.
    ///
    /// What goes wrong without a look at the term: after a loss of all power a leader first tells
    /// the commit of before, which is behind what was acknowledged last; a member that takes that for
    /// all vouches for an older plan, and an entry that has just started puts it in force. An entry
    /// of the present term that is committed has all before it committed.
    pub fn is_current(&self) -> bool {
        let settled = self.commit_term == Some(self.term);
        self.led && self.member && settled && self.applied >= self.commit
    }
}
