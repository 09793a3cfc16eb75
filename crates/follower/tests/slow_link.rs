//! The transfer of a service over a link that is slow for its size.

mod common;

use std::time::Duration;

use common::{Member, document, spawn, within};
use follower::Event;
use standins::proxy::Config;
use types::{Document, Version};
use wire::session::ControlMessage;

/// The delay of each chunk of 16 KiB in the proxy: about 1.2 MB/s, like a link of 10 Mbit/s.
const CHUNK_DELAY: Duration = Duration::from_millis(13);

/// Takes about 2.5 s on that link.
const PADDING_BYTES: usize = 3_000_000;

/// How long the entry's process is paused: longer than its confirmation timeout.
const STALL_DURATION: Duration = Duration::from_millis(1_800);

/// An entry must not leave a working member with `no quorum confirmed for 1.5s` because of its own
/// delay. A busy machine needs 1.6 s to read a document of 3 MB, or the process is paused; the
/// confirmation arrives meanwhile, and the entry checks the time before it reads on. In two of 238
/// runs at a load of 90 the trace was: `renewed: 2944086 bytes received`, then `message took
/// 1.647s`, then `left`, 56 kB after the renewal.
#[tokio::test]
async fn a_member_is_kept_while_the_entry_itself_stands_still() {
    let mut member = Member::bind().await;
    let (_follower, _events, mut session) = common::running(&mut member, 1).await;
    let ticket = session.confirm_ticket().await;
    session.send(ControlMessage::Confirmed { ticket, version: Version(1) }).await;
    // Nothing else runs on this thread: neither the connection nor the entry makes progress.
    std::thread::sleep(STALL_DURATION);
    session.confirm_version = Some(Version(1));
    session.serve();
    let left = tokio::time::timeout(STALL_DURATION, member.session(None)).await;
    assert!(left.is_err(), "the member was left though it had answered");
}

/// An entry used to leave a member after 1.5 s without a confirmation, with `no quorum confirmed
/// for 1.5s`. A confirmation is sent after the document that it confirms. On a link too slow for
/// the document, each member in turn began to send it in full and was left, so that the entry never
/// got a service and its link was always full.
#[tokio::test]
async fn a_member_is_kept_while_a_large_service_arrives() {
    let mut member = Member::bind().await;
    let proxy = standins::proxy::spawn(Config::to(member.address())).await.expect("a proxy");
    proxy.delay(CHUNK_DELAY);
    let (_follower, mut events) = spawn(&[proxy.address()]);
    let version = Version(1);
    let session = member.session(Some(version)).await;
    let base = document().base + &" ".repeat(PADDING_BYTES);
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
