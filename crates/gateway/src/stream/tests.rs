//! Streams whose forwarding fails within the entry.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::pump::spawn_forwarding;
use crate::reply::Truncated;

/// Guards against a stream that looks complete to its caller because its forwarding panicked.
#[tokio::test]
async fn a_stream_whose_forwarding_panics_is_cut() {
    let (events, mut receiver) = mpsc::channel(4);
    spawn_forwarding(events.clone(), async move {
        events.send(Ok(Bytes::from_static(b"id: 1\n\n"))).await.expect("a receiver");
        panic!("a fault");
    });
    assert!(matches!(receiver.recv().await, Some(Ok(_))), "the event");
    let end = receiver.recv().await;
    assert!(matches!(end, Some(Err(Truncated))), "{end:?}");
}

#[tokio::test]
async fn a_stream_whose_forwarding_ends_is_whole() {
    let (events, mut receiver) = mpsc::channel(4);
    spawn_forwarding(events.clone(), async move {
        events.send(Ok(Bytes::from_static(b"id: 1\n\n"))).await.expect("a receiver");
    });
    assert!(matches!(receiver.recv().await, Some(Ok(_))), "the event");
    let end = receiver.recv().await;
    assert!(end.is_none(), "{end:?}");
}
