//! Whether an upstream accepts connections, as other entries see it.
//!
//! An entry whose connections are refused can't tell an upstream that has ended from a path that is
//! cut. A cut takes some entries, those of a failure domain for instance; what all others are refused
//! by too has ended.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout, timeout_at};
use wire::Sender;

use super::client::RelayClient;
use super::{FromRelay, ToRelay};
use crate::batch::message::{FromOwner, REACH_LEVEL, ToOwner};
use crate::dialect::Dialect;
use crate::path::Paths;
use crate::shared::Shared;

/// The number of entries that are asked about an upstream.
const MAX_ASKED: usize = 3;

/// How many of them must be refused, if there are as many: one alone may be cut off too.
const MIN_REFUSED: usize = 2;

/// The number of upstreams about which an entry asks others at the same time; more of them wait.
pub(super) const MAX_ASKED_ABOUT: usize = 4;

/// How long asking about an upstream may take, its turn included.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// How long an entry that is asked tries to connect to the upstream.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether an upstream accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Reach {
    /// A connection was opened.
    Accepted,
    /// Nothing listens at its address.
    Refused,
    /// There was no answer in time, or none that tells.
    Unknown,
}

impl Paths {
    /// Tries whether the upstream at `address` accepts connections on the entry's own path.
    pub(crate) async fn reach(&self, address: SocketAddr, limit: Duration) -> Reach {
        match timeout(limit, self.dial(address)).await {
            Ok(Ok(_)) => Reach::Accepted,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reach::Refused,
            Ok(Err(_)) | Err(_) => Reach::Unknown,
        }
    }

    /// Asks other entries whether the upstream at `address` accepts connections.
    pub(crate) async fn reach_of_others(&self, address: SocketAddr) -> Reach {
        match self.relays.get() {
            Some(relays) => relays.ask_reach(address).await,
            None => Reach::Unknown,
        }
    }
}

impl RelayClient {
    async fn ask_reach(&self, upstream: SocketAddr) -> Reach {
        let deadline = Instant::now() + ASK_TIMEOUT;
        let Ok(Ok(_permit)) = timeout_at(deadline, self.asking.acquire()).await else {
            return Reach::Unknown;
        };
        let peers = self.apart();
        let asked = peers.iter().map(|it| self.ask_one(*it, upstream, deadline));
        summarize(&join_all(asked).await)
    }

    /// Returns the entries to ask: of as many failure domains as possible.
    fn apart(&self) -> Vec<SocketAddr> {
        let peers = self.peers.load();
        let mut shuffled: Vec<_> = peers.iter().collect();
        shuffled.shuffle(&mut rand::rng());
        let mut domains = HashSet::new();
        let (first, rest): (Vec<_>, Vec<_>) =
            shuffled.into_iter().partition(|it| domains.insert(it.domain.as_str()));
        first.into_iter().chain(rest).take(MAX_ASKED).map(|it| it.address).collect()
    }

    async fn ask_one(&self, peer: SocketAddr, upstream: SocketAddr, deadline: Instant) -> Reach {
        let Some((sender, mut receiver)) = self.connect(peer, REACH_LEVEL, deadline).await else {
            return Reach::Unknown;
        };
        if sender.send(&ToOwner::Relayed(ToRelay::Reach(upstream))).await.is_err() {
            return Reach::Unknown;
        }
        match timeout_at(deadline, receiver.recv()).await {
            Ok(Ok(Some(FromOwner::Relayed(FromRelay::Reach(reach))))) => reach,
            Ok(_) | Err(_) => Reach::Unknown,
        }
    }
}

/// Returns what the answers of all entries that were asked tell together.
fn summarize(answers: &[Reach]) -> Reach {
    let count = |reach| answers.iter().filter(|it| **it == reach).count();
    if count(Reach::Accepted) > 0 {
        Reach::Accepted
    } else if !answers.is_empty() && count(Reach::Refused) >= MIN_REFUSED.min(answers.len()) {
        Reach::Refused
    } else {
        Reach::Unknown
    }
}

/// Tells another entry whether this one reaches the upstream at `address`.
pub(crate) async fn tell_reach<D: Dialect>(
    shared: &Shared<D>,
    sender: Sender<FromOwner>,
    address: SocketAddr,
) {
    let permit = shared.relays.try_acquire();
    let is_listed = shared.directory().holder(address).is_some();
    let reach = match permit {
        Some(_) if is_listed => shared.paths.reach(address, DIAL_TIMEOUT).await,
        _ => Reach::Unknown,
    };
    // If the other entry is gone, nobody waits for the answer.
    let _ = sender.send(&FromOwner::Relayed(FromRelay::Reach(reach))).await;
}
