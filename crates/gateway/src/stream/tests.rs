//! Streams whose forwarding fails within the entry.

use std::future::poll_fn;

use bytes::Bytes;

use super::pump::spawn_forwarding;
use crate::reply::{Truncated, chunks};

/// Guards against a stream that looks complete to its caller because its forwarding panicked.
#[tokio::test]
async fn a_stream_whose_forwarding_panics_is_cut() {
    let (events, mut receiver) = chunks::channel(4);
    spawn_forwarding(async move {
        events.send(Bytes::from_static(b"id: 1\n\n")).await.expect("a receiver");
        panic!("a fault");
    });
    assert!(matches!(poll_fn(|cx| receiver.poll_next(cx)).await, Some(Ok(_))), "the event");
    let end = poll_fn(|cx| receiver.poll_next(cx)).await;
    assert!(matches!(end, Some(Err(Truncated))), "{end:?}");
}

#[tokio::test]
async fn a_stream_whose_forwarding_ends_is_whole() {
    let (events, mut receiver) = chunks::channel(4);
    spawn_forwarding(async move {
        events.send(Bytes::from_static(b"id: 1\n\n")).await.expect("a receiver");
        events.finish();
    });
    assert!(matches!(poll_fn(|cx| receiver.poll_next(cx)).await, Some(Ok(_))), "the event");
    let end = poll_fn(|cx| receiver.poll_next(cx)).await;
    assert!(end.is_none(), "{end:?}");
}
