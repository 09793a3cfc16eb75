//! Connections that other processes dial to this member.

use std::sync::Arc;

use tokio::sync::{Semaphore, mpsc};
use types::StepResult;
use wire::loads::LoadNames;
use wire::{Hello, Kind, Listener};

use crate::ask::Denied;
use crate::duties::Inlet;
use crate::member::Member;
use crate::protocol::{ClusterId, MemberMessage, MemberReply, Reply};

/// How many questions of one member run at once; more wait on its connection.
const QUESTION_LIMIT: usize = 4096;

/// Accepts connections until the listener stops.
pub(crate) async fn accept(member: Arc<Member>, inlet: Inlet, mut listener: Listener) {
    loop {
        let (hello, connection) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => return log::info!("accepts no more connections: {e}"),
        };
        match hello.kind {
            Kind::Entry => {
                let session = Arc::clone(&member.sessions).run(connection);
                spawn(&member, session);
            }
            Kind::Member => {
                let serving = serve(Arc::clone(&member), inlet.clone(), connection);
                spawn(&member, async move {
                    if let Err(e) = serving.await {
                        log::debug!(vm:% = hello.vm; "member's connection ended: {e}");
                    }
                });
            }
        }
    }
}

/// Runs a connection until it or the member ends.
fn spawn(member: &Member, connection: impl Future<Output = ()> + Send + 'static) {
    let ended = member.ended.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = connection => {}
            () = ended.cancelled() => {}
        }
    });
}

/// One member's connection.
struct Inbound {
    member: Arc<Member>,
    inlet: Inlet,
    hello: Hello,
    /// The cluster that the other member says it belongs to.
    cluster: Option<ClusterId>,
    replies: mpsc::Sender<MemberReply>,
    room: Arc<Semaphore>,
    /// The upstreams as the other member numbers them on this connection.
    names: LoadNames,
}

async fn serve(member: Arc<Member>, inlet: Inlet, connection: wire::Connection) -> StepResult<()> {
    let hello = connection.hello().clone();
    let (sender, mut receiver) = connection.split::<MemberReply, MemberMessage>();
    let (replies, mut queue) = mpsc::channel(QUESTION_LIMIT);
    let room = Arc::new(Semaphore::new(QUESTION_LIMIT));
    let mut inbound =
        Inbound { member, inlet, hello, cluster: None, replies, room, names: LoadNames::default() };
    loop {
        tokio::select! {
            message = receiver.recv() => match message? {
                Some(message) => inbound.take(message),
                None => return Ok(()),
            },
            Some(reply) = queue.recv() => sender.send(&reply).await?,
        }
    }
}

impl Inbound {
    fn take(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Announce(announce) => {
                if announce.vm == self.hello.vm && announce.node.0 == self.hello.node {
                    self.cluster = announce.cluster;
                    self.member.roster.hear(announce);
                }
            }
            MemberMessage::Consensus(message) => self.step(message),
            MemberMessage::Reserve { ticket } => {
                let reply = Reply::Reserve(self.member.reserve());
                let _ = self.replies.try_send(MemberReply { ticket, reply });
            }
            MemberMessage::Report { ticket, span } => {
                let reply = Reply::Report(self.member.report.rows(span));
                let _ = self.replies.try_send(MemberReply { ticket, reply });
            }
            MemberMessage::Ask { ticket, .. } if !self.is_ours() => {
                let denied = Denied::NotRun("the asker is of no cluster or another".to_owned());
                let reply = Reply::Answer(Err(denied));
                let _ = self.replies.try_send(MemberReply { ticket, reply });
            }
            MemberMessage::Ask { ticket, ask } => {
                // Without room the question is dropped and its asker hears nothing: uncertain.
                let Ok(permit) = Arc::clone(&self.room).try_acquire_owned() else {
                    return;
                };
                let (core, replies) = (self.member.core.clone(), self.replies.clone());
                tokio::spawn(async move {
                    let reply = Reply::Answer(core.ask(ask).await);
                    let _ = replies.send(MemberReply { ticket, reply }).await;
                    drop(permit);
                });
            }
            _ if !self.is_ours() => {}
            MemberMessage::Loads(numbered) => {
                let Some(digest) = self.names.decode(numbered) else {
                    let dropped = self.names.dropped();
                    return log::warn!(vm:% = self.hello.vm, dropped; "a digest was lost");
                };
                self.member.fleet.take_digest(&digest);
                self.member.sessions.digest.take(digest);
            }
            MemberMessage::Shares { term, whole, shares } => {
                self.member.sessions.shares.take(term, whole, shares);
            }
            MemberMessage::Load(report) => self.member.fleet.take_report(report),
            MemberMessage::Usage { vm, report } => self.inlet.usage(vm, report),
        }
    }

    /// Passes a consensus message on, if it is of this member's cluster: another cluster's terms
    /// and logs have nothing to do with this one's. The node itself drops what is for another
    /// life of this VM.
    fn step(&self, message: consensus::Message) {
        if self.is_ours() && message.from.0 == self.hello.node {
            self.member.core.step(message);
        }
    }

    /// Tells whether the other member belongs to this member's cluster.
    fn is_ours(&self) -> bool {
        let mine = self.member.identity.load().as_ref().map(|it| it.cluster);
        mine.is_some() && mine == self.cluster
    }
}

/// Takes entries' load reports for as long as the socket works.
pub(crate) async fn take_loads(member: Arc<Member>, datagrams: wire::Datagrams) {
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
                log::warn!("load reports: {e}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}
