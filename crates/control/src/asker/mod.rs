//! Brings a question to whichever member leads, and tells certain failures from uncertain ones.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use state::{Command, Reply};
use tokio::time::{Instant, sleep, timeout_at};
use types::{LogIndex, NodeId, Term, VmName};

use crate::ask::{Answer, Ask, Denied, Told};
use crate::handle::CoreHandle;
use crate::peers::Peers;
use crate::view::View;

/// How long an attempt waits at least where another one could take effect besides it, or where no leader
/// is known any more.
const ATTEMPT: Duration = Duration::from_millis(1_500);

/// How often an attempt looks whether the leader that it asked still leads.
const LOOK: Duration = Duration::from_millis(100);

/// The pause before another attempt.
const PAUSE: Duration = Duration::from_millis(40);

/// Asks the leader, wherever it is.
#[derive(Clone)]
pub(crate) struct Asker {
    pub(crate) vm: VmName,
    pub(crate) core: CoreHandle,
    pub(crate) peers: Arc<Peers>,
}

impl Asker {
    /// Asks until there is an answer, at most until `by`.
    ///
    /// Once an attempt ended uncertain it may take effect at any later time, so a later attempt
    /// that certainly did not run makes the whole no more certain.
    pub(crate) async fn ask(&self, ask: Ask, by: Instant) -> Answer {
        self.ask_doubting(ask, by).await.0
    }

    /// The same; tells too whether an attempt before the answer may yet take effect.
    async fn ask_doubting(&self, ask: Ask, by: Instant) -> (Answer, bool) {
        let mut uncertain = None;
        loop {
            let denied = match self.attempt(ask.clone(), by).await {
                Ok(told) => return (Ok(told), uncertain.is_some()),
                Err(Denied::Refused(why)) if uncertain.is_none() => {
                    return (Err(Denied::Refused(why)), false);
                }
                Err(denied) => denied,
            };
            if matches!(denied, Denied::Uncertain(_)) {
                if !ask.is_idempotent() {
                    return (Err(denied), true);
                }
                uncertain = Some(denied.clone());
            }
            if Instant::now() + PAUSE >= by {
                let doubt = uncertain.is_some();
                return (Err(uncertain.unwrap_or(denied)), doubt);
            }
            sleep(PAUSE).await;
        }
    }

    /// Commits a command of an entry. An answer to a claim that an attempt before it may yet change
    /// counts as uncertain: the entry asks again, and knows then.
    pub(crate) async fn entry_command(
        &self,
        command: Command,
        by: Instant,
    ) -> Result<Reply, Denied> {
        let is_claim = matches!(command, Command::Claim { .. });
        let (answer, doubt) = self.ask_doubting(Ask::Command(Box::new(command)), by).await;
        match answer? {
            Told::Reply(_, Reply::Claim(answer)) if is_claim && doubt && !answer.is_settled() => {
                Err(Denied::Uncertain(format!("{answer:?}, and an attempt before it is open")))
            }
            Told::Reply(_, reply) => Ok(reply),
            told => Err(Denied::Uncertain(format!("unexpected answer {told:?}"))),
        }
    }

    /// Commits a command; the index tells where.
    pub(crate) async fn command(
        &self,
        command: Command,
        by: Instant,
    ) -> Result<(LogIndex, Reply), Denied> {
        match self.ask(Ask::Command(Box::new(command)), by).await? {
            Told::Reply(index, reply) => Ok((index, reply)),
            told => Err(Denied::Uncertain(format!("unexpected answer {told:?}"))),
        }
    }

    /// Confirms with a quorum, and waits until this member applied all that was committed when
    /// this was called.
    pub(crate) async fn read(&self, by: Instant) -> Result<(), Denied> {
        let Told::Read(index) = self.ask(Ask::Read, by).await? else {
            return Err(Denied::NotRun("unexpected answer to a read".to_owned()));
        };
        match timeout_at(by, self.core.applied(index)).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(Denied::NotRun("member stopped".to_owned())),
            Err(_) => Err(Denied::NotRun("this member lags behind the leader".to_owned())),
        }
    }

    async fn attempt(&self, ask: Ask, by: Instant) -> Answer {
        let view = self.core.view();
        let led = Led::of(&view);
        let again = ask.is_idempotent();
        if view.leads() {
            return self.wait(self.core.ask(ask), led, again, by).await;
        }
        let known = view.leader.and_then(|it| view.vm(it));
        match known.or_else(|| self.peers.leader()) {
            Some(vm) if vm != self.vm => {
                self.wait(self.peers.ask(&vm, ask, by), led, again, by).await
            }
            _ => Err(Denied::NotRun("no leader is known".to_owned())),
        }
    }

    /// Waits for the answer of the leader that was asked, for as long as that leads: its disk or the
    /// others' may be slow, and to ask again would only give them more to write.
    async fn wait(
        &self,
        answer: impl Future<Output = Answer>,
        led: Led,
        again: bool,
        by: Instant,
    ) -> Answer {
        let least = Instant::now() + ATTEMPT;
        let mut answer = pin!(answer);
        loop {
            let look = by.min(Instant::now() + LOOK);
            if let Ok(answer) = timeout_at(look, answer.as_mut()).await {
                return answer;
            }
            let now = Led::of(&self.core.view());
            let moved = now != led && (now.leader.is_some() && again || Instant::now() >= least);
            if moved || Instant::now() >= by {
                return Err(Denied::Uncertain("no quorum committed it in time".to_owned()));
            }
        }
    }
}

/// Who leads, as far as this member knows.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Led {
    term: Term,
    leader: Option<NodeId>,
}

impl Led {
    fn of(view: &View) -> Self {
        Self { term: view.term, leader: view.leader }
    }
}

#[cfg(test)]
mod tests;
