//! A service on its way to an entry whose link is slow beside its size.

mod common;

use std::time::Duration;

use common::{Member, document, spawn, within};
use follower::Event;
use standins::proxy::Config;
use types::{Document, Version};
use wire::session::ControlMessage;

/// How long the proxy holds back each chunk of 16 KiB: some 1.2 MB/s, as a link of 10 Mbit/s.
const CHUNK_DELAY: Duration = Duration::from_millis(13);

/// Some 2.5 s on that link.
const BYTES: usize = 3_000_000;

/// An entry gave a member up once no quorum had confirmed its version for 1.5 s, and asked another. A
/// confirmation goes behind the document that it confirms, and a document that takes the entry's link
/// longer than that never arrived: each member in turn began to send it whole and was left, with
/// `no quorum confirmed for 1.5s`, so that the entry served nothing and its link was always full.
#[tokio::test]
async fn a_member_is_kept_while_a_large_service_arrives() {
    let mut member = Member::bind().await;
    let proxy = standins::proxy::spawn(Config::to(member.address())).await.expect("a proxy");
    proxy.delay(CHUNK_DELAY);
    let (_follower, mut events) = spawn(&[proxy.address()]);
    let version = Version(1);
    let session = member.session(Some(version)).await;
    let base = document().base + &" ".repeat(BYTES);
    let document = Document { base, ..Document::default() };
    session.send(ControlMessage::Service { version, document }).await;
    session.serve();
    tokio::select! {
        event = within("the service", events.recv()) => {
            assert!(matches!(event, Some(Event::Service(_))), "{event:?}");
        }
        _ = member.session(None) => panic!("the member was left while it was sending"),
    }
}
