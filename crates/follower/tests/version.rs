//! Which version comes into force, and how its freshness is measured.

mod common;

use std::time::{Duration, Instant};

use common::{Member, document, running, spawn, within};
use follower::{Event, OfferDecision, Versions};
use types::{Digest, Document, Version};
use wire::edit::DocumentEdit;
use wire::session::{ControlMessage, EntryMessage};

/// A restarted entry may ask a member that lags. If it installed the offer before a quorum
/// confirmed it, it would serve with a version that was replaced long ago.
#[tokio::test]
async fn no_service_before_a_quorum_confirmed_it() {
    let mut member = Member::bind().await;
    let (follower, mut events) = spawn(&[member.address()]);
    let mut session = member.session(None).await;
    session.service(3).await;
    // The digest is sent after the offer: once it has arrived, the offer was handled.
    session.send(ControlMessage::Digest(Digest::default())).await;
    let event = within("the digest", events.recv()).await.unwrap();
    assert!(matches!(event, Event::Digest(_)), "{event:?}");
    assert!(follower.service().is_none());

    // A quorum confirms a higher version, so the offered one is never installed.
    let ticket = session.confirm_ticket().await;
    session.send(ControlMessage::Confirmed { ticket, version: Version(5) }).await;
    session.service(5).await;
    let ticket = session.confirm_ticket().await;
    assert!(follower.service().is_none());
    session.send(ControlMessage::Confirmed { ticket, version: Version(5) }).await;
    let event = within("the service", events.recv()).await.unwrap();
    let Event::Service(snapshot) = event else { panic!("{event:?}") };
    assert_eq!(snapshot.service.version, Version(5));
}

/// An entry may move to a member that lags and offers the previous version. If it installed every
/// version that differs, an accepted change would be undone at this entry.
#[tokio::test]
async fn a_lower_version_is_never_installed() {
    let mut member = Member::bind().await;
    let (follower, mut events, mut session) = running(&mut member, 5).await;
    session.service(4).await;
    session.service(5).await;
    session.service(6).await;
    let event = within("the higher one", events.recv()).await.unwrap();
    let Event::Service(snapshot) = event else { panic!("{event:?}") };
    assert_eq!(snapshot.service.version, Version(6));
    assert_eq!(follower.view().lower_offers, 1);
    // A confirmation of a lower version than was in force at the time of the request does not
    // count.
    let before = loop {
        if let EntryMessage::Confirm { ticket, have: Version(6) } = session.next_any().await {
            break ticket;
        }
    };
    session.send(ControlMessage::Confirmed { ticket: before, version: Version(2) }).await;
    within("it is counted", async {
        while follower.view().lower_offers != 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert_eq!(follower.service().unwrap().service.version, Version(6));
}

/// A request or its answer may be in flight for long. If freshness counted from the arrival of the
/// answer, the entry would trust its version for longer than its freshness bound.
#[tokio::test]
async fn freshness_counts_from_the_question() {
    let mut member = Member::bind().await;
    let (follower, mut events) = spawn(&[member.address()]);
    let mut session = member.session(None).await;
    session.service(1).await;
    let ticket = session.confirm_ticket().await;
    let seen = Instant::now();
    tokio::time::sleep(Duration::from_millis(400)).await;
    session.send(ControlMessage::Confirmed { ticket, version: Version(1) }).await;
    within("the service", events.recv()).await.unwrap();
    within("freshness", async {
        while follower.age(Instant::now()).is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let now = Instant::now();
    let age = follower.age(now).unwrap();
    // The request was sent before the member received it, so its age is at least this.
    assert!(age >= now - seen, "{age:?}");
}

/// A quorum may confirm a version that the entry does not have. Such a confirmation must not make
/// the entry fresh, because it knows that it is behind.
#[tokio::test]
async fn a_confirmation_of_another_version_is_not_fresh() {
    let mut member = Member::bind().await;
    let (follower, mut events, mut session) = running(&mut member, 1).await;
    // The only valid confirmation belongs to a request from before this moment.
    let seen = Instant::now();
    let ticket = session.confirm_ticket().await;
    session.send(ControlMessage::Confirmed { ticket, version: Version(2) }).await;
    session.send(ControlMessage::Digest(Digest::default())).await;
    within("the digest", events.recv()).await.unwrap();
    let now = Instant::now();
    assert!(follower.age(now).unwrap() >= now - seen);
}

/// An entry of an older release may receive a document that it cannot resolve. It must neither end
/// the session nor replace the service with nothing, and it must install the next version that
/// resolves.
#[tokio::test]
async fn an_unresolvable_version_is_rejected_and_reported() {
    let mut member = Member::bind().await;
    let (follower, mut events, mut session) = running(&mut member, 1).await;
    let broken = Document { base: "{ not a document".to_owned(), ..document() };
    session.send(ControlMessage::Service { version: Version(2), document: broken }).await;
    let told = session.next().await;
    assert!(matches!(told, EntryMessage::VersionRejected { version: Version(2), .. }), "{told:?}");
    assert_eq!(follower.service().unwrap().service.version, Version(1));
    assert!(follower.view().rejected.is_some());

    session.service(3).await;
    within("the next one", events.recv()).await.unwrap();
    assert_eq!(follower.service().unwrap().service.version, Version(3));
    assert_eq!(follower.view().rejected, None);
}

/// An edit may belong to another document, or to a version that the entry does not have. If it were
/// applied to the text at hand, the entry would use a service that nobody wrote, or go back to an
/// older one.
#[tokio::test]
async fn a_change_that_does_not_fit_asks_for_the_whole_document() {
    struct Case {
        name: &'static str,
        /// The base version of the edit, and the text from which the edit was made.
        base: u64,
        text: String,
    }
    let cases = [
        Case { name: "another text", base: 1, text: format!("// other\n{}", document().base) },
        Case { name: "another version", base: 7, text: document().base },
    ];
    for Case { name, base, text } in cases {
        let mut member = Member::bind().await;
        let (follower, mut events, mut session) = running(&mut member, 1).await;
        let before = Document { base: text, ..document() };
        let after = Document { base: format!("{} ", before.base), ..document() };
        let edit = DocumentEdit::between(&before, &after);
        let message = ControlMessage::Edit { version: Version(8), base: Version(base), edit };
        session.send(message).await;
        assert_eq!(session.next().await, EntryMessage::NeedWhole, "{name}");
        assert_eq!(follower.service().unwrap().service.version, Version(1), "{name}");
        assert_eq!(follower.view().failed_edits, 1, "{name}");

        // The full document, then an edit that applies, then an older version that is ignored.
        session.service(8).await;
        within("the whole one", events.recv()).await.unwrap();
        let after = Document { base: format!("{} ", document().base), ..document() };
        let edit = DocumentEdit::between(&document(), &after);
        let message = ControlMessage::Edit { version: Version(9), base: Version(8), edit };
        session.send(message).await;
        within("the changed one", events.recv()).await.unwrap();
        assert_eq!(follower.service().unwrap().service.version, Version(9), "{name}");
        session.service(8).await;
        session.send(ControlMessage::Digest(Digest::default())).await;
        within("the digest", events.recv()).await.unwrap();
        assert_eq!(follower.service().unwrap().service.version, Version(9), "{name}");
    }
}

#[test]
fn offers() {
    struct Case {
        name: &'static str,
        have: u64,
        offers: &'static [(u64, OfferDecision)],
    }
    let cases = [
        Case {
            name: "first",
            have: 0,
            offers: &[(3, OfferDecision::Hold), (2, OfferDecision::Lower)],
        },
        Case {
            name: "first again",
            have: 0,
            offers: &[(3, OfferDecision::Hold), (3, OfferDecision::Hold)],
        },
        Case { name: "same", have: 3, offers: &[(3, OfferDecision::Same)] },
        Case { name: "higher", have: 3, offers: &[(4, OfferDecision::Install)] },
        Case {
            name: "lower",
            have: 3,
            offers: &[(2, OfferDecision::Lower), (0, OfferDecision::Lower)],
        },
    ];
    for case in cases {
        let mut versions = Versions::default();
        if case.have > 0 {
            versions.offer(Version(case.have));
            assert!(versions.confirm(Version(case.have)));
            versions.installed(Version(case.have));
        }
        for (version, offer) in case.offers {
            assert_eq!(versions.offer(Version(*version)), *offer, "{}", case.name);
        }
        assert_eq!(versions.have(), Version(case.have), "{}", case.name);
    }
}
