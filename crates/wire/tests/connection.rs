//! Connections: the order of messages, ends, silent peers and limits.

mod common;

use std::time::Duration;

use common::{Forwarder, cause, listen, pair, within};
use wire::{SILENCE_TIMEOUT, WireError};

type Pair = (wire::Sender<Vec<u8>>, wire::Receiver<Vec<u8>>);

async fn halves() -> (Pair, Pair) {
    let mut listener = listen().await;
    let address = listener.address();
    let (dialed, accepted) = pair(&mut listener, address).await;
    (dialed.split(), accepted.split())
}

#[tokio::test]
async fn messages_come_in_order_and_whole() {
    let ((sender, _keep), (_hold, mut receiver)) = halves().await;
    // One is larger than the byte limit of a queue and than any socket buffer.
    let sizes = [0_usize, 1, 100_000, 9 << 20, 5];
    tokio::spawn(async move {
        for size in sizes {
            sender.send(&vec![7; size]).await.unwrap();
        }
    });
    for size in sizes {
        let message = within("a message", receiver.recv()).await.unwrap();
        assert_eq!(message.unwrap(), vec![7; size]);
    }
}

/// Guards against running out of memory while peers read slowly: a process sends its state to many
/// peers, the state keeps changing, and each update is queued although the previous one still waits.
#[tokio::test]
async fn a_sender_sees_when_all_that_it_queued_is_written() {
    let ((sender, _keep), (_hold, mut receiver)) = halves().await;
    within("an empty queue", sender.flushed()).await.unwrap();
    // Together more than the peer's queue and both socket buffers hold.
    const MESSAGES: usize = 8;
    let large = vec![7; 8 << 20];
    let (task, sent) = (sender.clone(), large.clone());
    let sends = tokio::spawn(async move {
        for _ in 0..MESSAGES {
            task.send(&sent).await.unwrap();
        }
    });
    within("a message", receiver.recv()).await.unwrap();
    let early = tokio::time::timeout(Duration::from_millis(300), sender.flushed()).await;
    assert!(early.is_err(), "the queue counts as empty while a message waits in it");
    assert!(wire::Traffic::read().queued >= large.len() as u64);
    for _ in 1..MESSAGES {
        let message = within("a message", receiver.recv()).await.unwrap();
        assert_eq!(message.map(|it| it.len()), Some(large.len()));
    }
    within("all sent", sends).await.unwrap();
    within("an empty queue", sender.flushed()).await.unwrap();
}

#[tokio::test]
async fn each_side_tells_its_level() {
    let ((dialed, _keep), (accepted, _hold)) = halves().await;
    let max_wait = Duration::from_secs(10);
    dialed.wait_level(max_wait).await;
    accepted.wait_level(max_wait).await;
    assert_eq!((dialed.level(), accepted.level()), (wire::LEVEL, wire::LEVEL));
}

#[tokio::test]
async fn what_was_queued_arrives_before_the_end() {
    let ((sender, unused), (_hold, mut receiver)) = halves().await;
    for number in 0..50_u8 {
        sender.try_send(&vec![number]).unwrap();
    }
    drop((sender, unused));
    for number in 0..50_u8 {
        assert_eq!(receiver.recv().await.unwrap(), Some(vec![number]));
    }
    assert_eq!(within("the end", receiver.recv()).await.unwrap(), None);
}

/// Guards against unused connections that exhaust a listener: a connection that is dropped before it
/// is split has no receiver yet whose drop would end the heartbeats.
#[tokio::test]
async fn a_connection_dropped_whole_is_closed() {
    let mut listener = listen().await;
    let address = listener.address();
    let (dialed, accepted) = pair(&mut listener, address).await;
    let (_sender, mut receiver) = dialed.split::<u64, u64>();
    drop(accepted);
    assert_eq!(within("the end", receiver.recv()).await.unwrap(), None);
}

/// Guards against following a member forever over a dead connection: a device between the two loses
/// track of the connection, which stays open at both ends while new connections work. The state of a
/// socket does not show that.
#[tokio::test]
async fn a_connection_that_carries_nothing_ends_as_silent() {
    let mut listener = listen().await;
    let forwarder = Forwarder::spawn(listener.address()).await;
    let (dialed, accepted) = pair(&mut listener, forwarder.address).await;
    let (sender, mut receiver) = dialed.split::<u64, u64>();
    let (_answer, mut other) = accepted.split::<u64, u64>();
    sender.send(&1).await.unwrap();
    assert_eq!(other.recv().await.unwrap(), Some(1));

    forwarder.stop();
    let near = within("the dialer finds it", receiver.recv()).await.unwrap_err();
    let far = within("the acceptor finds it", other.recv()).await.unwrap_err();
    assert_eq!(cause(&near), WireError::Silent);
    assert_eq!(cause(&far), WireError::Silent);
    assert!(sender.try_send(&2).is_err());
}

/// Guards against ending the connection to a peer that stands still, by a side that allows that, and
/// against keeping a dead one forever.
#[tokio::test]
async fn a_side_that_allows_silence_waits_longer() {
    let mut listener = listen().await;
    let forwarder = Forwarder::spawn(listener.address()).await;
    let (dialed, accepted) = pair(&mut listener, forwarder.address).await;
    let (sender, mut receiver) = dialed.split::<u64, u64>();
    let (_answer, mut other) = accepted.split::<u64, u64>();
    sender.allow_silence(SILENCE_TIMEOUT * 3);
    forwarder.stop();
    let far = within("the acceptor finds it", other.recv()).await.unwrap_err();
    assert_eq!(cause(&far), WireError::Silent);
    let early = tokio::time::timeout(SILENCE_TIMEOUT / 2, receiver.recv()).await;
    assert!(early.is_err(), "the dialer did not wait: {early:?}");
    let near = within("the dialer finds it", receiver.recv()).await.unwrap_err();
    assert_eq!(cause(&near), WireError::Silent);
}

/// Guards against closing healthy connections without messages for longer than the silence timeout,
/// which heartbeats prevent.
#[tokio::test]
async fn a_quiet_connection_stays_open() {
    let ((sender, _keep), (_hold, mut receiver)) = halves().await;
    tokio::time::sleep(SILENCE_TIMEOUT * 2).await;
    sender.send(&vec![1]).await.unwrap();
    assert_eq!(within("a message", receiver.recv()).await.unwrap(), Some(vec![1]));
}

/// Guards against waiting forever for a peer that reads nothing: its process is paused, and its
/// kernel accepts bytes until the buffers are full. A socket reports no error for writes without
/// progress.
#[tokio::test]
async fn a_peer_that_takes_nothing_is_found_and_the_queue_is_bounded() {
    let ((sender, mut receiver), (_hold, other)) = halves().await;
    let filled = async {
        loop {
            if let Err(error) = sender.try_send(&vec![0; 1 << 20]) {
                match cause(&error) {
                    WireError::Full => tokio::time::sleep(Duration::from_millis(10)).await,
                    ended => return ended,
                }
            }
        }
    };
    // The connection of `other` is alive, but nobody receives its messages.
    assert_eq!(within("the sender gives up", filled).await, WireError::Silent);
    assert!(within("the receiver ends", receiver.recv()).await.is_err());
    drop(other);
}

/// Guards against a panic or exhausted memory on messages from another release: one of another type,
/// and one with trailing bytes.
#[tokio::test]
async fn a_message_of_another_type_ends_the_connection() {
    let mut listener = listen().await;
    let address = listener.address();
    for message in [vec![0xff_u8; 40], vec![0; 3]] {
        let (dialed, accepted) = pair(&mut listener, address).await;
        let (sender, mut near) = dialed.split::<Vec<u8>, u64>();
        let (_hold, mut receiver) = accepted.split::<u64, wire::Kind>();
        sender.send(&message).await.unwrap();
        let error = within("the error", receiver.recv()).await.unwrap_err();
        assert!(matches!(cause(&error), WireError::Malformed(_)), "{error}");
        assert!(matches!(within("the end", near.recv()).await, Ok(None)));
    }
}

#[tokio::test]
async fn a_message_above_the_limit_is_not_sent() {
    let ((sender, _keep), (_hold, mut receiver)) = halves().await;
    let error = sender.send(&vec![0; wire::MAX_FRAME_BYTES]).await.unwrap_err();
    assert_eq!(cause(&error), WireError::TooLarge(wire::MAX_FRAME_BYTES));
    sender.send(&vec![1]).await.unwrap();
    assert_eq!(receiver.recv().await.unwrap(), Some(vec![1]));
}
