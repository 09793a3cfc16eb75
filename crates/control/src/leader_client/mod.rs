//! Sends requests to the current leader and distinguishes certain failures from uncertain ones.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use state::{Command, Reply};
use tokio::time::{Instant, sleep, timeout_at};
use types::{LogIndex, NodeId, Term, VmName};

use crate::handle::CoreHandle;
use crate::peers::Peers;
use crate::request::{LeaderRequest, LeaderResponse, LeaderResult, RequestError};
use crate::view::View;

/// The minimum time that an attempt waits before it is abandoned, when a second attempt could take
/// effect in addition to it or when no leader is known any more.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1_500);

/// How often an attempt checks whether the leader it addressed still leads.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Sends requests to the leader, which may be this member or another one.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    pub(crate) vm: VmName,
    pub(crate) core: CoreHandle,
    pub(crate) peers: Arc<Peers>,
}

impl LeaderClient {
    /// Sends a request and retries it until it has a response or `deadline` has passed.
    ///
    /// An attempt that ended uncertain may still take effect at any later time. The result
    /// therefore stays uncertain even if a later attempt certainly did not run.
    pub(crate) async fn request(&self, request: LeaderRequest, deadline: Instant) -> LeaderResult {
        self.request_tracking_attempts(request, deadline).await.0
    }

    /// Does the same as [`Self::request`] and also returns whether an earlier attempt may still
    /// take effect.
    async fn request_tracking_attempts(
        &self,
        request: LeaderRequest,
        deadline: Instant,
    ) -> (LeaderResult, bool) {
        let mut uncertain = None;
        loop {
            let error = match self.attempt(request.clone(), deadline).await {
                Ok(response) => return (Ok(response), uncertain.is_some()),
                Err(RequestError::Refused(reason)) if uncertain.is_none() => {
                    return (Err(RequestError::Refused(reason)), false);
                }
                Err(error) => error,
            };
            if matches!(error, RequestError::Uncertain(_)) {
                if !request.is_idempotent() {
                    return (Err(error), true);
                }
                uncertain = Some(error.clone());
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                let has_open_attempt = uncertain.is_some();
                return (Err(uncertain.unwrap_or(error)), has_open_attempt);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Commits a command of an entry. If an earlier attempt may still change the answer to a claim,
    /// the result is uncertain: the entry sends the claim again and then gets the final answer.
    pub(crate) async fn entry_command(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<Reply, RequestError> {
        let is_claim = matches!(command, Command::Claim { .. });
        let (answer, has_open_attempt) = self
            .request_tracking_attempts(LeaderRequest::Command(Box::new(command)), deadline)
            .await;
        match answer? {
            LeaderResponse::Reply(_, Reply::Claim(answer))
                if is_claim && has_open_attempt && !answer.is_settled() =>
            {
                Err(RequestError::Uncertain(format!(
                    "{answer:?}, and an attempt before it is open"
                )))
            }
            LeaderResponse::Reply(_, reply) => Ok(reply),
            response => Err(RequestError::Uncertain(format!("unexpected answer {response:?}"))),
        }
    }

    /// Commits a command and returns its log index and the reply to it.
    pub(crate) async fn command(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<(LogIndex, Reply), RequestError> {
        match self.request(LeaderRequest::Command(Box::new(command)), deadline).await? {
            LeaderResponse::Reply(index, reply) => Ok((index, reply)),
            response => Err(RequestError::Uncertain(format!("unexpected answer {response:?}"))),
        }
    }

    /// Confirms the committed index with a quorum and waits until this member has applied
    /// everything that was committed when the call started.
    pub(crate) async fn read(&self, deadline: Instant) -> Result<(), RequestError> {
        let LeaderResponse::Read(index) = self.request(LeaderRequest::Read, deadline).await? else {
            return Err(RequestError::NotRun("unexpected answer to a read".to_owned()));
        };
        match timeout_at(deadline, self.core.applied(index)).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(RequestError::NotRun("member stopped".to_owned())),
            Err(_) => Err(RequestError::NotRun("this member lags behind the leader".to_owned())),
        }
    }

    async fn attempt(&self, request: LeaderRequest, deadline: Instant) -> LeaderResult {
        let view = self.core.view();
        let leader_before = KnownLeader::of(&view);
        let is_idempotent = request.is_idempotent();
        if view.leads() {
            return self
                .wait_while_leading(
                    self.core.request(request),
                    leader_before,
                    is_idempotent,
                    deadline,
                )
                .await;
        }
        let leader_vm = view.leader.and_then(|it| view.vm(it));
        match leader_vm.or_else(|| self.peers.leader()) {
            Some(vm) if vm != self.vm => {
                self.wait_while_leading(
                    self.peers.request(&vm, request, deadline),
                    leader_before,
                    is_idempotent,
                    deadline,
                )
                .await
            }
            _ => Err(RequestError::NotRun("no leader is known".to_owned())),
        }
    }

    /// Waits for the response as long as the addressed leader keeps leading. Its disk or the disks
    /// of the other members may be slow, and a repeated request would only add to what they must
    /// write.
    async fn wait_while_leading(
        &self,
        answer: impl Future<Output = LeaderResult>,
        leader_before: KnownLeader,
        is_idempotent: bool,
        deadline: Instant,
    ) -> LeaderResult {
        let min_end = Instant::now() + MIN_ATTEMPT_TIME;
        let mut answer = pin!(answer);
        loop {
            let next_check = deadline.min(Instant::now() + LEADER_CHECK_INTERVAL);
            if let Ok(answer) = timeout_at(next_check, answer.as_mut()).await {
                return answer;
            }
            let leader_now = KnownLeader::of(&self.core.view());
            let should_abandon = leader_now != leader_before
                && (leader_now.leader.is_some() && is_idempotent || Instant::now() >= min_end);
            if should_abandon || Instant::now() >= deadline {
                return Err(RequestError::Uncertain("no quorum committed it in time".to_owned()));
            }
        }
    }
}

/// The leader and term known to this member.
#[derive(Clone, Copy, PartialEq, Eq)]
struct KnownLeader {
    term: Term,
    leader: Option<NodeId>,
}

impl KnownLeader {
    fn of(view: &View) -> Self {
        Self { term: view.term, leader: view.leader }
    }
}

#[cfg(test)]
mod tests;
