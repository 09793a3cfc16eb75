//! A fake entry for tests.

use std::collections::BTreeMap;
use std::panic::Location;

use tokio::time::timeout;
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, CustomerName, Incarnation, Version, VmName,
};
use wire::loads::LoadNames;
use wire::session::{ControlMessage, CustomerShare, EntryMessage};
use wire::{Hello, Kind, Secret};

use super::{Cluster, TIMEOUT};

/// The entry's side of a session.
pub(crate) struct Entry {
    pub(crate) sender: wire::Sender<EntryMessage>,
    pub(crate) receiver: wire::Receiver<ControlMessage>,
    pub(crate) vm: VmName,
    pub(crate) owner: Incarnation,
    names: LoadNames,
    shares: BTreeMap<CustomerName, CustomerShare>,
}

impl Entry {
    pub(crate) async fn open(cluster: &Cluster, at: usize, vm: &str, owner: u64) -> Self {
        let vm: VmName = vm.parse().expect("a name");
        let owner = Incarnation(owner);
        let me = Hello { kind: Kind::Entry, vm: vm.clone(), node: owner.0 };
        let secret = Secret::new(cluster.settings[0].secret.as_bytes()).expect("long enough");
        let address = cluster.running[at].as_ref().expect("it runs").wire_address();
        let connection =
            wire::connect(address, &secret, me, Kind::Member).await.expect("it connects");
        let (sender, receiver) = connection.split();
        let site = "north".parse().expect("a name");
        let follow = EntryMessage::Follow { vm: vm.clone(), site, owner, have: Version(0) };
        sender.send(&follow).await.expect("it is sent");
        Self { sender, receiver, vm, owner, names: LoadNames::default(), shares: BTreeMap::new() }
    }

    /// Waits for the first message for which `pick` returns a value. Load messages are passed to
    /// `pick` as decoded digests.
    ///
    /// # Panics
    /// Panics after [`TIMEOUT`], with where it was called and what came meanwhile.
    #[track_caller]
    pub(crate) fn wait<T>(
        &mut self,
        pick: impl Fn(ControlMessage) -> Option<T>,
    ) -> impl Future<Output = T> {
        let caller = Location::caller();
        async move {
            let mut received = Vec::new();
            let found = async {
                loop {
                    let message = self.next().await;
                    received.push(format!("{message:?}"));
                    if let Some(found) = pick(message) {
                        return found;
                    }
                }
            };
            let found = timeout(TIMEOUT, found).await;
            found.unwrap_or_else(|_| panic!("waited in vain at {caller}; received {received:#?}"))
        }
    }

    /// Waits until the entry has a share of the customer's limits, and returns the latest one. A
    /// share is sent once, possibly before the responses to the entry's requests.
    pub(crate) async fn share(&mut self, customer: &CustomerName) -> CustomerShare {
        loop {
            if let Some(share) = self.shares.get(customer) {
                return share.clone();
            }
            self.next().await;
        }
    }

    async fn next(&mut self) -> ControlMessage {
        let message = self.receiver.recv().await.expect("the session goes on");
        let message = message.expect("the session goes on");
        if let ControlMessage::Shares(shares) = &message {
            let shares = shares.iter().map(|it| (it.customer.clone(), it.clone()));
            self.shares.extend(shares);
        }
        match message {
            ControlMessage::Loads(numbered) => {
                ControlMessage::Digest(self.names.decode(numbered).expect("none was lost"))
            }
            other => other,
        }
    }

    pub(crate) fn request(&self, key: &str, attempt: u64) -> ClaimRequest {
        let key = ClaimKey {
            customer: "yard".parse().expect("a name"),
            key: key.parse().expect("a key"),
        };
        let ticket = ClaimTicket { vm: self.vm.clone(), owner: self.owner, attempt };
        ClaimRequest { key, fingerprint: [7; 32], ticket }
    }

    pub(crate) async fn claim(&mut self, key: &str, attempt: u64) -> ClaimAnswer {
        let request = self.request(key, attempt);
        self.sender.send(&EntryMessage::Claim { ticket: 1, request }).await.expect("it is sent");
        self.wait(|it| match it {
            ControlMessage::Claim { answer, .. } => Some(answer),
            ControlMessage::Rejected { reason, .. } => panic!("rejected: {reason}"),
            _ => None,
        })
        .await
    }
}
