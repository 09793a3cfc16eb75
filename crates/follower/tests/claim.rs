//! Claim operations across lost answers and lost connections.

mod common;

use common::{Member, answer, key, later, proof, request, running, soon, spawn, within};
use follower::{ClaimError, Claimed};
use types::{ClaimAnswer, Version};
use wire::session::{ControlMessage, EntryMessage, Ticket};

/// Symptom: a non-repeatable request fails whenever a control member restarts.
/// Sequence: the claim is sent, and the connection is lost before its answer.
/// Cause would be: a claim that is not sent again although its state answers it the same way.
#[tokio::test]
async fn a_claim_is_sent_again_over_a_new_connection() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let claim = tokio::spawn(async move { follower.claim(request(), later()).await });
    let EntryMessage::Claim { request: first, .. } = session.next().await else { panic!() };
    drop(session);

    let mut session = member.session(Some(Version(1))).await;
    let EntryMessage::Claim { ticket, request: again } = session.next().await else { panic!() };
    assert_eq!(again, first);
    let answer = ClaimAnswer::Granted;
    session.send(ControlMessage::Claim { ticket, answer }).await;
    let claimed = Claimed { answer: ClaimAnswer::Granted, doubt: true };
    assert_eq!(within("the answer", claim).await.unwrap(), Ok(claimed));
}

#[tokio::test]
async fn a_rejected_or_uncertain_claim_is_sent_again() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let claim = tokio::spawn(async move { follower.claim(request(), later()).await });
    let EntryMessage::Claim { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Rejected { ticket, reason: "no leader".to_owned() }).await;
    let EntryMessage::Claim { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Uncertain { ticket, reason: "lost".to_owned() }).await;
    let EntryMessage::Claim { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Claim { ticket, answer: ClaimAnswer::Running }).await;
    let claimed = Claimed { answer: ClaimAnswer::Running, doubt: true };
    assert_eq!(within("the answer", claim).await.unwrap(), Ok(claimed));
}

/// Symptom: a caller is told not-run, and its resend is refused for good, or it ran after all.
/// Sequence: the claim is sent, and no answer comes in time.
/// Cause would be: a lost answer that is taken for a no.
#[tokio::test]
async fn a_claim_whose_answer_is_lost_is_uncertain() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let claim = tokio::spawn(async move { follower.claim(request(), soon()).await });
    let EntryMessage::Claim { .. } = session.next().await else { panic!() };
    let ended = within("the end", claim).await.unwrap();
    assert!(matches!(ended, Err(ClaimError::Uncertain(_))), "{ended:?}");
}

/// Symptom: a claim stands that its owner has given up as not run.
/// Sequence: it was sent and its connection lost; over the next connection it is rejected.
/// Cause would be: the rejection of the second sending taken for one of the first.
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
    let ended = within("the end", follower.claim(request(), later())).await;
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
    let ended = follower.claim(request(), soon()).await;
    assert!(matches!(ended, Err(ClaimError::Rejected(_))), "{ended:?}");
}

/// Symptom: a resend finds a claim that never ends, although the request was answered.
/// Sequence: the entry stores the answer; the member dies; the caller's time is up.
/// Cause would be: an answer that is given up together with its caller's wait.
#[tokio::test]
async fn finish_goes_on_past_its_time() {
    let mut member = Member::bind().await;
    let (follower, _events, mut session) = running(&mut member, 1).await;
    let handle = std::sync::Arc::clone(&follower);
    let finish = tokio::spawn(async move { handle.finish(key(), proof(), answer(), soon()).await });
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
    // What comes next is something else: the answer is not sent once more.
    let release = tokio::spawn(async move { follower.release(key(), proof(), later()).await });
    let EntryMessage::Release { ticket, .. } = session.next().await else { panic!() };
    session.send(ControlMessage::Committed { ticket }).await;
    assert_eq!(within("the release", release).await.unwrap(), Ok(()));
}

struct Release {
    name: &'static str,
    /// What the member answers, one after the other.
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

/// Symptom: a release is tried for ever, or given up while a claim is still on its way.
/// Sequence: the member cannot commit it yet, or the key has ended meanwhile.
/// Cause would be: one word for both.
#[tokio::test]
async fn a_release_tells_a_key_that_ended_from_a_try_without_effect() {
    for case in releases() {
        let mut member = Member::bind().await;
        let (follower, _events, mut session) = running(&mut member, 1).await;
        let release = tokio::spawn(async move { follower.release(key(), proof(), later()).await });
        for answer in case.answers {
            let EntryMessage::Release { ticket, .. } = session.next().await else { panic!() };
            session.send(answer(ticket)).await;
        }
        assert_eq!(within("the end", release).await.unwrap(), case.ended, "{}", case.name);
    }
}
