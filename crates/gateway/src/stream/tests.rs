//! Streams whose forwarding fails within the entry.

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::pump::spawn_forwarding;
use crate::reply::{ReplyBody, Truncated};

/// Guards against a stream that looks complete to its caller because its forwarding panicked.
#[tokio::test]
async fn a_stream_whose_forwarding_panics_is_cut() {
    let (events, receiver) = mpsc::channel(4);
    spawn_forwarding(events.clone(), async move {
        events.send(Ok(Bytes::from_static(b"id: 1\n\n"))).await.expect("a receiver");
        panic!("a fault");
    });
    let mut body = ReplyBody::stream(receiver);
    assert!(matches!(body.frame().await, Some(Ok(_))), "the event");
    let end = body.frame().await;
    assert!(matches!(end, Some(Err(Truncated))), "{end:?}");
}

#[tokio::test]
async fn a_stream_whose_forwarding_ends_is_whole() {
    let (events, receiver) = mpsc::channel(4);
    spawn_forwarding(events.clone(), async move {
        events.send(Ok(Bytes::from_static(b"id: 1\n\n"))).await.expect("a receiver");
    });
    let mut body = ReplyBody::stream(receiver);
    assert!(matches!(body.frame().await, Some(Ok(_))), "the event");
    let end = body.frame().await;
    assert!(end.is_none(), "{end:?}");
}
