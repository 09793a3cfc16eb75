//! A connection of an entry to one member.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wire::{Hello, Kind, Secret, Sender};

use crate::message::{EntrySeen, ToEntry, ToMember};

/// The pause before a member that can't be reached is dialled again.
const REDIAL: Duration = Duration::from_millis(100);

/// How long a dial may take: many times the way between regions. A lost first packet is sent again
/// only after a second, and one to a host that is off is never answered, so another dial is sooner:
/// after a loss of all power entries must find members before their callers give up.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// What the connections tell the loop.
pub(super) enum Event {
    Connected(SocketAddr, Sender<ToMember>),
    Lost(SocketAddr),
    Message(SocketAddr, ToEntry),
}

/// Keeps one connection to one member; ends with it.
pub(super) async fn link(
    address: SocketAddr,
    secret: Secret,
    me: Hello,
    entry: EntrySeen,
    events: mpsc::Sender<Event>,
) {
    let dialled = timeout(DIAL_TIMEOUT, wire::connect(address, &secret, me, Kind::Member)).await;
    if let Ok(Ok(connection)) = dialled {
        let (sender, mut receiver) = connection.split::<ToMember, ToEntry>();
        let greeted = sender.send(&ToMember::Hello(entry)).await.is_ok();
        if greeted && events.send(Event::Connected(address, sender)).await.is_ok() {
            while let Ok(Some(message)) = receiver.recv().await {
                if events.send(Event::Message(address, message)).await.is_err() {
                    return;
                }
            }
        }
    } else {
        sleep(REDIAL).await;
    }
    // The loop ends only with the process.
    let _ = events.send(Event::Lost(address)).await;
}
