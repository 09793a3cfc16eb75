//! Detects entry processes that are gone, so that callers do not wait for their claims.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use state::Command;
use types::{Incarnation, Term, VmName};

use crate::member::Member;
use crate::protocol::EntryStatus;

/// How long an entry may be without a session before it is declared lost.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout that applies while a voter is silent, because the entry may have a session with that
/// voter.
pub(crate) const SILENCE_TIMEOUT_WITH_SILENT_VOTER: Duration = Duration::from_secs(20);

/// The timeout of a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

/// Tracks when each incarnation of an entry last had a session.
#[derive(Debug, Default)]
pub struct EntryMonitor {
    term: Term,
    last_seen: BTreeMap<(VmName, Incarnation), Instant>,
}

impl EntryMonitor {
    /// Returns the incarnations that are lost. An incarnation that was not seen in this term counts
    /// as seen when the term began, because a new leader learns of sessions only after a while.
    pub fn lost(
        &mut self,
        term: Term,
        now: Instant,
        incarnations: &[(VmName, Incarnation)],
        entries: &[EntryStatus],
        silence_timeout: Duration,
    ) -> Vec<(VmName, Incarnation)> {
        if term != self.term {
            self.term = term;
            self.last_seen.clear();
        }
        self.last_seen.retain(|it, _| incarnations.contains(it));
        for incarnation in incarnations {
            let is_alive =
                entries.iter().any(|it| it.vm == incarnation.0 && it.owner == incarnation.1);
            let last_seen = self.last_seen.entry(incarnation.clone()).or_insert(now);
            if is_alive {
                *last_seen = now;
            }
        }
        let lost = self
            .last_seen
            .iter()
            .filter(|(_, last_seen)| now.duration_since(**last_seen) >= silence_timeout);
        lost.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Declares in the replicated state which incarnations are lost.
    pub(crate) async fn declare_lost(&mut self, member: &Member) {
        let list_incarnations = |state: &state::State| {
            state.live_incarnations().map(|(vm, owner)| (vm.clone(), owner)).collect::<Vec<_>>()
        };
        let Some(incarnations) = member.core.inspect(list_incarnations).await else {
            return;
        };
        let view = member.core.view();
        let silence_timeout = if hears_all_voters(member) {
            SILENCE_TIMEOUT
        } else {
            SILENCE_TIMEOUT_WITH_SILENT_VOTER
        };
        let entries = member.entries();
        for (vm, owner) in
            self.lost(view.term, Instant::now(), &incarnations, &entries, silence_timeout)
        {
            log::warn!(vm:% = vm, owner:% = owner;
                "declaring an entry lost: it has had no session for too long");
            let deadline = tokio::time::Instant::now() + COMMAND_TIMEOUT;
            if let Err(e) =
                member.leader_client.command(Command::Lost { vm, owner }, deadline).await
            {
                return log::warn!(
                    "an entry could not be declared lost; the next round tries again: {e}"
                );
            }
        }
    }
}

fn hears_all_voters(member: &Member) -> bool {
    let view = member.core.view();
    let announcements = member.announcements.all();
    let is_heard = |node| announcements.iter().any(|it| it.announce.node == node && it.is_fresh());
    view.membership.voters.keys().all(|it| *it == member.node || is_heard(*it))
}
