//! A fake control member that the test drives.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use follower::{Event, Follower, FollowerConfig};
use tokio::sync::mpsc;
use types::{
    ClaimKey, ClaimRequest, ClaimTicket, Document, Incarnation, Outcome, SiteName, StoredAnswer,
    Version, VmName,
};
use wire::session::{ControlMessage, EntryMessage};
use wire::{Datagrams, Hello, Kind, Listener, Receiver, Secret, Sender};

const SECRET: &[u8] = b"a secret of the tests";

const TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) async fn within<T>(what: &str, work: impl Future<Output = T>) -> T {
    let done = tokio::time::timeout(TIMEOUT, work).await;
    done.unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

pub(crate) struct Member {
    listener: Listener,
    pub(crate) datagrams: Datagrams,
}

/// One session with the entry, driven by the test.
pub(crate) struct Session {
    pub(crate) sender: Sender<ControlMessage>,
    pub(crate) receiver: Receiver<EntryMessage>,
    /// The version that answers confirmation requests automatically; `None` leaves them unanswered.
    pub(crate) confirm_version: Option<Version>,
}

impl Member {
    pub(crate) async fn bind() -> Self {
        let secret = Secret::new(SECRET).unwrap();
        let me = Hello { kind: Kind::Member, vm: "control".parse().unwrap(), node: 1 };
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        loop {
            let listener = Listener::bind(any, &secret, me.clone()).await.unwrap();
            // If the port is already taken for datagrams, another one is drawn.
            if let Ok(datagrams) = Datagrams::bind(listener.address(), &secret).await {
                return Self { listener, datagrams };
            }
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Waits for the entry's next session.
    pub(crate) async fn session(&mut self, confirm_version: Option<Version>) -> Session {
        let accepted = within("a session", self.listener.accept()).await;
        let (sender, receiver) = accepted.unwrap().1.split();
        let mut session = Session { sender, receiver, confirm_version };
        let first = session.next().await;
        assert!(matches!(first, EntryMessage::Follow { .. }), "{first:?}");
        session
    }
}

impl Session {
    pub(crate) async fn send(&self, message: ControlMessage) {
        self.sender.send(&message).await.unwrap();
    }

    pub(crate) async fn service(&self, version: u64) {
        let version = Version(version);
        self.send(ControlMessage::Service { version, document: document() }).await;
    }

    /// Returns the next message of any kind.
    pub(crate) async fn next_any(&mut self) -> EntryMessage {
        within("a message", self.receiver.recv()).await.unwrap().expect("an open session")
    }

    /// Returns the ticket of the next confirmation request.
    pub(crate) async fn confirm_ticket(&mut self) -> u64 {
        loop {
            if let EntryMessage::Confirm { ticket, .. } = self.next_any().await {
                return ticket;
            }
        }
    }

    /// Returns the next message that is not a confirmation request; answers such requests
    /// meanwhile.
    pub(crate) async fn next(&mut self) -> EntryMessage {
        within("a message other than a confirmation request", async {
            loop {
                match self.next_any().await {
                    EntryMessage::Confirm { ticket, .. } => {
                        if let Some(version) = self.confirm_version {
                            self.send(ControlMessage::Confirmed { ticket, version }).await;
                        }
                    }
                    message => return message,
                }
            }
        })
        .await
    }

    /// Answers confirmation requests until the session or the test ends.
    pub(crate) fn serve(mut self) {
        tokio::spawn(async move {
            while let Ok(Some(message)) = self.receiver.recv().await {
                if let EntryMessage::Confirm { ticket, .. } = message
                    && let Some(version) = self.confirm_version
                {
                    let _ = self.sender.send(&ControlMessage::Confirmed { ticket, version }).await;
                }
            }
        });
    }
}

pub(crate) fn document() -> Document {
    let base = r#"{
        "sites": {"north": {"region": "south", "domain": "one"}},
        "pools": {}, "pipelines": {}, "customers": {}
    }"#;
    let base = base.to_owned();
    Document { base, ..Document::default() }
}

pub(crate) fn spawn(control: &[SocketAddr]) -> (Arc<Follower>, mpsc::Receiver<Event>) {
    let config = FollowerConfig {
        vm: vm(),
        site: "north".parse::<SiteName>().unwrap(),
        owner: Incarnation(7),
        control: control.to_vec(),
        secret: SECRET.to_vec(),
    };
    Follower::spawn(config).unwrap()
}

/// Starts a follower and installs `version`, confirmed by a quorum.
pub(crate) async fn running(
    member: &mut Member,
    version: u64,
) -> (Arc<Follower>, mpsc::Receiver<Event>, Session) {
    let (follower, mut events) = spawn(&[member.address()]);
    let session = install_version(member, &mut events, version).await;
    (follower, events, session)
}

/// Accepts a session and installs `version` in it.
pub(crate) async fn install_version(
    member: &mut Member,
    events: &mut mpsc::Receiver<Event>,
    version: u64,
) -> Session {
    let mut session = member.session(Some(Version(version))).await;
    session.service(version).await;
    let ticket = session.confirm_ticket().await;
    session.send(ControlMessage::Confirmed { ticket, version: Version(version) }).await;
    let event = within("the service", events.recv()).await.unwrap();
    assert!(matches!(event, Event::Service(_)), "{event:?}");
    session
}

pub(crate) fn vm() -> VmName {
    "entry".parse().unwrap()
}

pub(crate) fn claim_ticket() -> ClaimTicket {
    ClaimTicket { vm: vm(), owner: Incarnation(7), attempt: 1 }
}

pub(crate) fn key() -> ClaimKey {
    ClaimKey { customer: "yard".parse().unwrap(), key: "lot-1".parse().unwrap() }
}

pub(crate) fn request() -> ClaimRequest {
    ClaimRequest { key: key(), fingerprint: [3; 32], ticket: claim_ticket() }
}

pub(crate) fn answer() -> StoredAnswer {
    let body = Some(b"{}".to_vec());
    StoredAnswer { outcome: Outcome::Complete, status: 200, body, digest: [4; 32] }
}

/// Returns a deadline that no test reaches.
pub(crate) fn far_deadline() -> Instant {
    Instant::now() + TIMEOUT
}

pub(crate) fn near_deadline() -> Instant {
    Instant::now() + Duration::from_millis(300)
}
