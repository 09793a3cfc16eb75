//! An entry's connection to one member.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use wire::{Hello, Kind, Secret, Sender};

use crate::capacity::Capacity;
use crate::message::{CAPACITIES_LEVEL, EntryInfo, ToEntry, ToMember};

/// The pause before a new attempt to connect to an unreachable member.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// The timeout of opening a socket: many times the latency between regions. TCP resends a lost first
/// packet only after a second, and a host that is off never answers, so a new attempt is faster. After
/// all machines lost power, entries must reach members before their callers give up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout of each fourth attempt: on a full link even the first packets take longer, and an entry
/// that always gave up early would never have a member again.
const PATIENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the timeout of opening a socket after some failed attempts.
pub(super) fn connect_timeout(failures: u32) -> Duration {
    if failures % 4 == 3 { PATIENT_TIMEOUT } else { CONNECT_TIMEOUT }
}

/// An event of a connection.
pub(super) enum Event {
    Connected(SocketAddr, Sender<ToMember>),
    Lost(SocketAddr),
    Message(SocketAddr, ToEntry),
}

/// Connects to one member, opening the socket within `limit`, and forwards its messages until the connection ends.
pub(super) async fn link(
    address: SocketAddr,
    secret: Secret,
    me: Hello,
    entry: EntryInfo,
    limit: Duration,
    events: mpsc::Sender<Event>,
) {
    let connecting = wire::connect_within(limit, address, &secret, me, Kind::Member);
    if let Ok(connection) = connecting.await {
        let (sender, mut receiver) = connection.split::<ToMember, ToEntry>();
        let capacity = entry.capacity;
        let hello_sent = sender.send(&ToMember::Hello(entry)).await.is_ok();
        let announcer = sender.clone();
        if hello_sent && events.send(Event::Connected(address, sender)).await.is_ok() {
            tokio::spawn(announce(announcer, capacity));
            while let Ok(Some(message)) = receiver.recv().await {
                if events.send(Event::Message(address, message)).await.is_err() {
                    return;
                }
            }
        }
    } else {
        sleep(RECONNECT_PAUSE).await;
    }
    // Fails only when the process exits: the loop runs until then.
    let _ = events.send(Event::Lost(address)).await;
}

/// Announces the capacity of this entry's VM, once it is known whether the member can read that.
async fn announce(sender: Sender<ToMember>, capacity: Capacity) {
    let is_known = sender.level_known().await.is_ok();
    if is_known && sender.level() >= CAPACITIES_LEVEL {
        // The connection has ended if this fails; the next one starts with the same messages.
        let _ = sender.send(&ToMember::Capacity(capacity)).await;
    }
}
