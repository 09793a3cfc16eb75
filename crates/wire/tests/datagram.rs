//! Datagrams are accepted only with a valid MAC.

mod common;

use common::{ANY, secret, within};
use tokio::net::UdpSocket;
use wire::{Datagrams, Secret};

/// Guards against forged load reports: without a check of the MAC, the receiver would accept garbage,
/// datagrams with another secret or datagrams with a flipped bit.
#[tokio::test]
async fn only_datagrams_with_a_right_mac_are_taken() {
    let receiver = Datagrams::bind(ANY, &secret()).await.unwrap();
    let sender = Datagrams::bind(ANY, &secret()).await.unwrap();
    let other = Secret::new(b"another secret, as long").unwrap();
    let outsider = Datagrams::bind(ANY, &other).await.unwrap();
    let raw = UdpSocket::bind(ANY).await.unwrap();

    // Captures a valid datagram and flips a bit.
    sender.send(raw.local_addr().unwrap(), &7_u64).await.unwrap();
    let mut corrupted = [0; 64];
    let (length, _) = raw.recv_from(&mut corrupted).await.unwrap();
    corrupted[0] ^= 1;

    let to = receiver.address();
    raw.send_to(b"", to).await.unwrap();
    raw.send_to(&[0; 31], to).await.unwrap();
    raw.send_to(&[0; 100], to).await.unwrap();
    raw.send_to(&corrupted[..length], to).await.unwrap();
    outsider.send(to, &8_u64).await.unwrap();
    sender.send(to, &9_u64).await.unwrap();
    let (from, message) = within("the valid one", receiver.recv::<u64>()).await.unwrap();
    assert_eq!((from, message), (sender.address(), 9));
    assert_eq!(receiver.dropped(), 5);
}

#[tokio::test]
async fn a_datagram_above_the_limit_is_not_sent() {
    let sender = Datagrams::bind(ANY, &secret()).await.unwrap();
    let message = vec![0_u8; wire::MAX_DATAGRAM_BYTES];
    assert!(sender.send(sender.address(), &message).await.is_err());
}
