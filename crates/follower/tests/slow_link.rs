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

/// How long the entry's process stands still: longer than it waits for a confirmation.
const STALL: Duration = Duration::from_millis(1_800);

/// Symptom: an entry leaves a member that is well, with `no quorum confirmed for 1.5s`.
/// Sequence: the entry reads a document of 3 MB on a busy machine, which takes it 1.6 s, or its process is
/// stopped; the confirmation has been sent meanwhile. Then it looks at the time before it reads on.
/// Cause: the time that the entry itself took counts as the member's silence. In two of 238 runs at a load
/// of 90 the trace was: `renewed: 2944086 bytes received`, then `message took 1.647s`, then `left`, 56 kB
/// after the renewal.
#[tokio::test]
async fn a_member_is_kept_while_the_entry_itself_stands_still() {
    let mut member = Member::bind().await;
    let (_follower, _events, mut session) = common::running(&mut member, 1).await;
    let ticket = session.question().await;
    session.send(ControlMessage::Confirmed { ticket, version: Version(1) }).await;
    // Nothing else runs on this thread: neither the connection nor the entry.
    std::thread::sleep(STALL);
    session.confirms = Some(Version(1));
    session.serve();
    let left = tokio::time::timeout(STALL, member.session(None)).await;
    assert!(left.is_err(), "the member was left though it had answered");
}

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
