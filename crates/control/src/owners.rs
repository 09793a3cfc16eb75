//! Finds entry processes that are gone, so that callers do not wait for their claims.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use state::Command;
use types::{Incarnation, Term, VmName};

use crate::member::Member;
use crate::protocol::EntrySeen;

/// How long an entry may have no session with any member.
pub(crate) const SILENT: Duration = Duration::from_secs(5);

/// The same while a voter is not heard: the entry's session may be with that one.
pub(crate) const SILENT_UNHEARD: Duration = Duration::from_secs(20);

/// How long a command may take.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

/// The leader's memory of when each life was last seen.
#[derive(Debug, Default)]
pub struct Owners {
    term: Term,
    seen: BTreeMap<(VmName, Incarnation), Instant>,
}

impl Owners {
    /// Returns the lives that are lost. A life that was never seen in this term counts as seen
    /// when the term began: a new leader hears of sessions only after a while.
    pub fn lost(
        &mut self,
        term: Term,
        now: Instant,
        lives: &[(VmName, Incarnation)],
        entries: &[EntrySeen],
        silent: Duration,
    ) -> Vec<(VmName, Incarnation)> {
        if term != self.term {
            self.term = term;
            self.seen.clear();
        }
        self.seen.retain(|it, _| lives.contains(it));
        for life in lives {
            let is_alive = entries.iter().any(|it| it.vm == life.0 && it.owner == life.1);
            let seen = self.seen.entry(life.clone()).or_insert(now);
            if is_alive {
                *seen = now;
            }
        }
        let lost = self.seen.iter().filter(|(_, seen)| now.duration_since(**seen) >= silent);
        lost.map(|(life, _)| life.clone()).collect()
    }

    /// Declares lost what is lost.
    pub(crate) async fn turn(&mut self, member: &Member) {
        let own = |state: &state::State| {
            state.live_incarnations().map(|(vm, owner)| (vm.clone(), owner)).collect::<Vec<_>>()
        };
        let Some(lives) = member.core.look(own).await else {
            return;
        };
        let view = member.core.view();
        let silent = if all_heard(member) { SILENT } else { SILENT_UNHEARD };
        let entries = member.entries();
        for (vm, owner) in self.lost(view.term, Instant::now(), &lives, &entries, silent) {
            log::warn!(vm:% = vm, owner:% = owner; "entry has no session any more: it is lost");
            let by = tokio::time::Instant::now() + COMMAND_TIMEOUT;
            if let Err(e) = member.asker.command(Command::Lost { vm, owner }, by).await {
                return log::warn!("declaring an entry lost: {e}");
            }
        }
    }
}

fn all_heard(member: &Member) -> bool {
    let view = member.core.view();
    let heard = member.roster.all();
    let is_heard = |node| heard.iter().any(|it| it.announce.node == node && it.is_fresh());
    view.membership.voters.keys().all(|it| *it == member.node || is_heard(*it))
}
