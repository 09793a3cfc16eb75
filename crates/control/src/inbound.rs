//! Connections that other processes open to this member.

use std::sync::Arc;

use tokio::sync::{Semaphore, mpsc};
use types::StepResult;
use wire::loads::LoadNames;
use wire::{Hello, Kind, Listener};

use crate::background::UsageSender;
use crate::member::Member;
use crate::protocol::{ClusterId, MemberMessage, MemberReply, Reply};
use crate::request::RequestError;

/// The maximum number of concurrent requests of one member.
const MAX_MEMBER_REQUESTS: usize = 4096;

/// Accepts connections until the listener stops.
pub(crate) async fn accept(member: Arc<Member>, usage_sender: UsageSender, mut listener: Listener) {
    loop {
        let (hello, connection) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                return log::info!("the listener stopped, no more connections are accepted: {e}");
            }
        };
        match hello.kind {
            Kind::Entry => {
                let session = Arc::clone(&member.sessions).run(connection);
                spawn(&member, session);
            }
            Kind::Member => {
                let serving = serve(Arc::clone(&member), usage_sender.clone(), connection);
                spawn(&member, async move {
                    if let Err(e) = serving.await {
                        log::debug!(vm:% = hello.vm; "the connection from a member ended: {e}");
                    }
                });
            }
        }
    }
}

/// Runs a connection's task until it or the member ends.
fn spawn(member: &Member, connection: impl Future<Output = ()> + Send + 'static) {
    let ended = member.shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = connection => {}
            () = ended.cancelled() => {}
        }
    });
}

/// A connection from another member.
struct Inbound {
    member: Arc<Member>,
    usage_sender: UsageSender,
    hello: Hello,
    /// The cluster to which the other member says it belongs.
    cluster: Option<ClusterId>,
    replies: mpsc::Sender<MemberReply>,
    permits: Arc<Semaphore>,
    /// The numbers that the other member uses for upstreams on this connection.
    load_names: LoadNames,
}

async fn serve(
    member: Arc<Member>,
    usage_sender: UsageSender,
    connection: wire::Connection,
) -> StepResult<()> {
    let hello = connection.hello().clone();
    let (sender, mut receiver) = connection.split::<MemberReply, MemberMessage>();
    let (replies, mut queue) = mpsc::channel(MAX_MEMBER_REQUESTS);
    let permits = Arc::new(Semaphore::new(MAX_MEMBER_REQUESTS));
    let mut inbound = Inbound {
        member,
        usage_sender,
        hello,
        cluster: None,
        replies,
        permits,
        load_names: LoadNames::default(),
    };
    loop {
        tokio::select! {
            message = receiver.recv() => match message? {
                Some(message) => inbound.handle(message),
                None => return Ok(()),
            },
            Some(reply) = queue.recv() => sender.send(&reply).await?,
        }
    }
}

impl Inbound {
    fn handle(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Announce(announce) => {
                if announce.vm == self.hello.vm && announce.node.0 == self.hello.node {
                    self.cluster = announce.cluster;
                    self.member.announcements.record(announce);
                }
            }
            MemberMessage::Consensus(message) => self.step(message),
            MemberMessage::Reserve { ticket } => {
                let reply = Reply::Reserve(self.member.reserve());
                let _ = self.replies.try_send(MemberReply { ticket, reply });
            }
            MemberMessage::Report { ticket, span } => {
                let reply = Reply::Report(self.member.usage_store.rows(span));
                let _ = self.replies.try_send(MemberReply { ticket, reply });
            }
            MemberMessage::LeaderRequest { ticket, .. } if !self.is_same_cluster() => {
                let error =
                    RequestError::NotRun("the asker is of no cluster or another".to_owned());
                let reply = Reply::LeaderResult(Err(error));
                let _ = self.replies.try_send(MemberReply { ticket, reply });
            }
            MemberMessage::LeaderRequest { ticket, request } => {
                // At the limit the request is dropped without a reply, which the sender treats as
                // uncertain.
                let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                    return;
                };
                let (core, replies) = (self.member.core.clone(), self.replies.clone());
                tokio::spawn(async move {
                    let reply = Reply::LeaderResult(core.request(request).await);
                    let _ = replies.send(MemberReply { ticket, reply }).await;
                    drop(permit);
                });
            }
            _ if !self.is_same_cluster() => {}
            MemberMessage::Loads(numbered) => {
                let Some(digest) = self.load_names.decode(numbered) else {
                    let dropped = self.load_names.dropped();
                    return log::warn!(vm:% = self.hello.vm, dropped;
                        "dropped a digest that refers to a lost one");
                };
                self.member.fleet.take_digest(&digest);
                self.member.sessions.digest.apply(digest);
            }
            MemberMessage::Shares { term, is_full, shares } => {
                self.member.sessions.shares.update(term, is_full, shares);
            }
            MemberMessage::Load(report) => self.member.fleet.take_report(report),
            MemberMessage::Usage { vm, report } => self.usage_sender.send(vm, report),
        }
    }

    /// Passes a consensus message to the node if it comes from this member's cluster; the terms and
    /// logs of another cluster are unrelated. The node itself drops messages for another
    /// incarnation of this VM's data folder.
    fn step(&self, message: consensus::Message) {
        if self.is_same_cluster() && message.from.0 == self.hello.node {
            self.member.core.step(message);
        }
    }

    /// Returns whether the other member belongs to this member's cluster.
    fn is_same_cluster(&self) -> bool {
        let own_cluster = self.member.identity.load().as_ref().map(|it| it.cluster);
        own_cluster.is_some() && own_cluster == self.cluster
    }
}

/// Receives the entries' load reports for as long as the socket works. A member that does not lead
/// forwards them to the leader.
pub(crate) async fn receive_loads(member: Arc<Member>, datagrams: wire::Datagrams) {
    loop {
        match datagrams.recv::<wire::session::LoadReport>().await {
            Ok((_, report)) if member.core.view().leads() => member.fleet.take_report(report),
            Ok((_, report)) => {
                let view = member.core.view();
                if let Some(vm) = view.leader.and_then(|it| view.vm(it)) {
                    member.peers.send(&vm, &MemberMessage::Load(report));
                }
            }
            Err(e) => {
                log::warn!("receiving load reports failed; trying again: {e}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}
