//! What one entry was sent, and what it is sent next.

use std::sync::Arc;
use std::time::Instant;

use wire::Sender;

use super::ListSet;
use crate::cold::ColdEnds;
use crate::driver::View;
use crate::lists::{EncodedLoads, EncodedOutcomes, SentList};
use crate::message::{CAPACITIES_LEVEL, DOMAINS_LEVEL, OUTCOMES_LEVEL, Stamp, ToEntry};

/// The state that one entry was sent last.
#[derive(Default)]
pub(super) struct Sent {
    pub(super) plan: Option<(types::Version, bool)>,
    /// The number of the last order for a failure domain.
    evacuations: Option<u64>,
    members: Vec<std::net::SocketAddr>,
    pub(super) upstreams: SentList,
    pub(super) entries: SentList,
    loads: Option<Arc<EncodedLoads>>,
    outcomes: Option<Arc<EncodedOutcomes>>,
    pub(super) quarantine: Stamp,
    cold: Stamp,
}

impl Sent {
    pub(super) async fn send_view(
        &mut self,
        sender: &Sender<ToEntry>,
        view: &View,
        confirmed: bool,
    ) -> types::StepResult<()> {
        let evacuations = &view.state.evacuations;
        // Sent before the plan's version: an entry that has just started serves requests once a member
        // has confirmed that version, and must know the evacuations by then.
        if sender.level() >= DOMAINS_LEVEL && self.evacuations != Some(evacuations.number()) {
            self.evacuations = Some(evacuations.number());
            sender.send(&ToEntry::Evacuated(evacuations.domains())).await?;
        }
        let (version, current) = (view.state.plan.version, confirmed && view.current);
        if self.plan != Some((version, current)) {
            self.plan = Some((version, current));
            sender.send(&ToEntry::PlanVersion { version, current }).await?;
        }
        if !view.members.is_empty() && self.members != view.members {
            self.members.clone_from(&view.members);
            sender.send(&ToEntry::Members(view.members.clone())).await?;
        }
        Ok(())
    }

    /// Sends the cold upstreams. Sent before the list that names them.
    pub(super) async fn send_cold(
        &mut self,
        sender: &Sender<ToEntry>,
        term: u64,
        cold: &ColdEnds,
    ) -> types::StepResult<()> {
        let outdated = cold.stamp.term == term && self.cold < cold.stamp;
        if !outdated || sender.level() < DOMAINS_LEVEL {
            return Ok(());
        }
        self.cold = cold.stamp;
        sender.send(&ToEntry::Cold(cold.list(Instant::now()))).await
    }

    pub(super) async fn send_loads(
        &mut self,
        sender: &Sender<ToEntry>,
        loads: Option<Arc<EncodedLoads>>,
    ) -> types::StepResult<()> {
        let Some(loads) = loads else { return Ok(()) };
        if self.loads.as_ref().is_some_and(|it| Arc::ptr_eq(it, &loads)) {
            return Ok(());
        }
        let sent = sender.send_encoded(&loads.message).await;
        self.loads = Some(loads);
        sent
    }

    pub(super) async fn send_outcomes(
        &mut self,
        sender: &Sender<ToEntry>,
        outcomes: Option<Arc<EncodedOutcomes>>,
    ) -> types::StepResult<()> {
        let Some(outcomes) = outcomes.filter(|_| sender.level() >= OUTCOMES_LEVEL) else {
            return Ok(());
        };
        if self.outcomes.as_ref().is_some_and(|it| Arc::ptr_eq(it, &outcomes)) {
            return Ok(());
        }
        let sent = sender.send_encoded(&outcomes.message).await;
        self.outcomes = Some(outcomes);
        sent
    }

    pub(super) async fn send_lists(
        &mut self,
        sender: &Sender<ToEntry>,
        term: u64,
        lists: &ListSet,
    ) -> types::StepResult<()> {
        if lists.upstreams.numbered.stamp.term == term {
            lists.upstreams.send_newer(sender, &mut self.upstreams).await?;
        }
        if lists.entries.numbered.stamp.term == term {
            if sender.level() >= CAPACITIES_LEVEL {
                lists.entries_with_capacities.send_newer(sender, &mut self.entries).await?;
            } else {
                lists.entries.send_newer(sender, &mut self.entries).await?;
            }
        }
        Ok(())
    }
}
