//! Claim operations when answers or connections are lost.

mod common;

use common::{
    Member, answer, claim_ticket, far_deadline, key, near_deadline, request, running, spawn, within,
};
use follower::{ClaimError, Claimed};
use types::{ClaimAnswer, Version};
use wire::session::{ControlMessage, EntryMessage, Ticket};

/// A claim whose connection is lost before its answer must be sent again, because the state answers
/// it in the same way. Otherwise every restart of a control member would fail a non-repeatable
/// request.
#[tokio::test]
async fn a_claim_is_sent_again_over_a_new_connection() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let claim = tokio::spawn(async move { follower.claim(request(), far_deadline()).await });
    let EntryMessage::Claim { request: first, .. } = session.next().await else { panic!() };
    drop(session);

    let mut session = member.session(Some(Version(1))).await;
    let EntryMessage::Claim { ticket, request: again } = session.next().await else { panic!() };
    assert_eq!(again, first);
    let answer = ClaimAnswer::Granted;
    session.send(ControlMessage::Claim { ticket, answer }).await;
    let claimed = Claimed { answer: ClaimAnswer::Granted, open_attempt: true };
    assert_eq!(within("the answer", claim).await.unwrap(), Ok(claimed));
}

#[tokio::test]
async fn a_rejected_or_uncertain_claim_is_sent_again() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let claim = tokio::spawn(async move { follower.claim(request(), far_deadline()).await });
    let EntryMessage::Claim { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Rejected { ticket, reason: "no leader".to_owned() }).await;
    let EntryMessage::Claim { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Uncertain { ticket, reason: "lost".to_owned() }).await;
    let EntryMessage::Claim { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Claim { ticket, answer: ClaimAnswer::Running }).await;
    let claimed = Claimed { answer: ClaimAnswer::Running, open_attempt: true };
    assert_eq!(within("the answer", claim).await.unwrap(), Ok(claimed));
}

/// A claim without an answer until its deadline must be uncertain. If it counted as not run, the
/// caller's resend could be refused for good, or the request could have run after all.
#[tokio::test]
async fn a_claim_whose_answer_is_lost_is_uncertain() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let claim = tokio::spawn(async move { follower.claim(request(), near_deadline()).await });
    let EntryMessage::Claim { .. } = session.next().await else { panic!() };
    let ended = within("the end", claim).await.unwrap();
    assert!(matches!(ended, Err(ClaimError::Uncertain(_))), "{ended:?}");
}

/// A claim may be sent, lose its connection, and be rejected over the next connection. The
/// rejection covers only the second attempt: if it counted for the first one too, the owner would
/// give up a claim that exists.
#[tokio::test]
async fn a_rejection_does_not_undo_an_earlier_sending() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let claim = tokio::spawn(async move {
        let by = std::time::Instant::now() + std::time::Duration::from_secs(3);
        let ended = follower.claim(request(), by).await;
        let _ = stop.send(());
        ended
    });
    let EntryMessage::Claim { .. } = session.next().await else { panic!() };
    drop(session);
    let mut session = member.session(Some(Version(1))).await;
    let reject = async {
        loop {
            if let EntryMessage::Claim { ticket, .. } = session.next().await {
                let reason = "no leader".to_owned();
                session.send(ControlMessage::Rejected { ticket, reason }).await;
            }
        }
    };
    tokio::select! { () = reject => {}, _ = stopped => {} }
    let ended = claim.await.unwrap();
    assert!(matches!(ended, Err(ClaimError::Uncertain(_))), "{ended:?}");
}

#[tokio::test]
async fn a_claim_without_a_quorum_is_rejected_at_once() {
    let member = Member::bind().await;
    let (follower, _events) = spawn(&[member.address()]);
    let ended = within("the end", follower.claim(request(), far_deadline())).await;
    assert!(matches!(ended, Err(ClaimError::Rejected(_))), "{ended:?}");
}

#[tokio::test]
async fn a_claim_that_was_never_sent_is_rejected() {
    let mut member = Member::bind().await;
    let (follower, _events, session) = running(&mut member, 1).await;
    drop((session, member));
    within("the session ends", async {
        while follower.view().member.is_some() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    })
    .await;
    let ended = follower.claim(request(), near_deadline()).await;
    assert!(matches!(ended, Err(ClaimError::Rejected(_))), "{ended:?}");
}

/// Storing an answer must continue past the caller's deadline when the member dies. Otherwise a
/// resend would find a claim that never ends, although the request was answered.
#[tokio::test]
async fn finish_goes_on_past_its_time() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let handle = std::sync::Arc::clone(&follower);
    let finish = tokio::spawn(async move {
        handle.finish(key(), claim_ticket(), answer(), near_deadline()).await
    });
    let EntryMessage::Finish { .. } = session.next().await else { panic!() };
    let ended = within("the end", finish).await.unwrap();
    assert!(matches!(ended, Err(ClaimError::Uncertain(_))), "{ended:?}");
    drop(session);

    let mut session = member.session(Some(Version(1))).await;
    let EntryMessage::Finish { ticket, key: same, answer: stored, .. } = session.next().await
    else {
        panic!()
    };
    assert_eq!((same, stored), (key(), answer()));
    session.send(ControlMessage::Rejected { ticket, reason: "no leader".to_owned() }).await;
    let EntryMessage::Finish { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Committed { ticket }).await;
    // The next message is another operation: the answer is not sent again.
    let release =
        tokio::spawn(async move { follower.release(key(), claim_ticket(), far_deadline()).await });
    let EntryMessage::Release { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Committed { ticket }).await;
    assert_eq!(within("the release", release).await.unwrap(), Ok(()));
}

struct Release {
    name: &'static str,
    /// The member's answers, in order.
    answers: Vec<fn(Ticket) -> ControlMessage>,
    ended: Result<(), ClaimError>,
}

fn releases() -> Vec<Release> {
    let rejected: fn(Ticket) -> ControlMessage =
        |ticket| ControlMessage::Rejected { ticket, reason: "no leader".to_owned() };
    let committed: fn(Ticket) -> ControlMessage = |ticket| ControlMessage::Committed { ticket };
    let lost: fn(Ticket) -> ControlMessage =
        |ticket| ControlMessage::Claim { ticket, answer: ClaimAnswer::OwnerLost };
    vec![
        Release { name: "committed", answers: vec![committed], ended: Ok(()) },
        Release { name: "rejected once", answers: vec![rejected, committed], ended: Ok(()) },
        Release {
            name: "the key has ended",
            answers: vec![rejected, lost],
            ended: Err(ClaimError::Ended(ClaimAnswer::OwnerLost)),
        },
    ]
}

/// A release may fail because the member cannot commit it yet, or because the key has ended
/// meanwhile. The two must be distinguished: otherwise a release would be retried for ever, or be
/// given up while a claim is still in flight.
#[tokio::test]
async fn a_release_tells_a_key_that_ended_from_a_try_without_effect() {
    for case in releases() {
        let mut member = Member::bind().await;
        let (follower, _events, mut session) = running(&mut member, 1).await;
        let release =
            tokio::spawn(
                async move { follower.release(key(), claim_ticket(), far_deadline()).await },
            );
        for answer in case.answers {
            let EntryMessage::Release { ticket, .. } = session.next().await else { panic!() };
            session.send(answer(ticket)).await;
        }
        assert_eq!(within("the end", release).await.unwrap(), case.ended, "{}", case.name);
    }
}
