//! Proposals that still wait for a response, by log index.

use std::collections::BTreeMap;

use types::{LogIndex, Term};

use crate::request::{LeaderResult, RequestError, Responder};

/// The maximum number of proposals and reads that wait at once; further ones are rejected as not
/// run.
pub(crate) const MAX_PENDING_REQUESTS: usize = 8192;

/// Proposals by log index.
///
/// A proposal stays here after the member lost leadership. The entry that commits at its index
/// decides whether it took effect: if the terms match, it is the proposed entry; otherwise the
/// proposal was overwritten and can never commit.
#[derive(Default)]
pub(crate) struct Pending {
    waiting: BTreeMap<LogIndex, (Term, Responder)>,
}

impl Pending {
    /// Adds a proposal.
    pub(crate) fn add(&mut self, term: Term, index: LogIndex, responder: Responder) {
        let Some((_, previous)) = self.waiting.insert(index, (term, responder)) else {
            return;
        };
        // This node led before, lost that entry and leads again. Its new entry replaces the
        // previous one at this index in its own log, but the previous one may still exist in the
        // log of another node.
        let _ = previous.send(Err(RequestError::Uncertain("leadership was lost".to_owned())));
    }

    /// Returns the responder of the proposal that committed at `index`. If another entry overwrote
    /// the proposal, responds that it did not run.
    pub(crate) fn commit(&mut self, term: Term, index: LogIndex) -> Option<Responder> {
        let (proposed, responder) = self.waiting.remove(&index)?;
        if proposed == term {
            return Some(responder);
        }
        let _ = responder.send(Err(RequestError::NotRun("another leader's entry won".to_owned())));
        None
    }

    /// Responds to every proposal up to `index` that its result is uncertain, because a snapshot
    /// does not tell which entries it covers.
    pub(crate) fn fail_up_to(&mut self, index: LogIndex) {
        let rest = self.waiting.split_off(&LogIndex(index.0 + 1));
        for (_, responder) in std::mem::replace(&mut self.waiting, rest).into_values() {
            let _ = responder.send(Err(RequestError::Uncertain("a snapshot covers it".to_owned())));
        }
    }

    /// Returns the number of waiting proposals.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

/// Sends a result. Ignores a requester that is gone.
pub(crate) fn respond(responder: Responder, answer: LeaderResult) {
    let _ = responder.send(answer);
}

#[cfg(test)]
mod tests;
