//! Requests that run at most once: every answer of the state, and every way the call can end.

mod support;

use std::sync::Arc;
use std::time::Duration;

use entry::Entry;
use follower::ClaimError;
use serde_json::json;
use support::fake::{Act, Fake, Seen, response, stage_ok};
use support::{Answer, Asked, FakeSession, Pools, open, post, request, under_way, until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use types::{ClaimAnswer, Outcome, StoredAnswer};

const BODY: &str = r#"{"input": {"artist": 4}}"#;
const HEADERS: &str = "idempotency-key: k1\r\nmothplank-deadline-ms: 1500\r\n";

/// What an upstream does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    Answers,
    Closes,
    Errs,
    Swaps,
    Declines,
    Refuses,
}

fn script(does: Does, seen: &Seen) -> Vec<Act> {
    match does {
        Does::Answers | Does::Refuses => stage_ok(seen, &json!("booked")),
        Does::Closes => vec![Act::Close],
        Does::Errs => vec![Act::Write(response(500, &seen.id, "", ""))],
        Does::Declines => vec![Act::Write(response(429, &seen.id, "", ""))],
        Does::Swaps => {
            let other = types::CallId::random().to_string();
            vec![Act::Write(response(200, &other, "", "{}"))]
        }
    }
}

struct Rig {
    entry: Entry<FakeSession>,
    session: Arc<FakeSession>,
    encode: Fake,
    book: [Fake; 2],
}

impl Rig {
    /// Returns how often the service was called, over both its upstreams.
    fn calls(&self) -> usize {
        self.book.iter().map(|it| it.count("/v1/book")).sum()
    }
}

async fn rig(encode: Does, book: Does) -> Rig {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fakes = (
        Fake::spawn(move |seen| script(encode, seen)).await,
        [
            Fake::spawn(move |seen| script(book, seen)).await,
            Fake::spawn(move |seen| script(book, seen)).await,
        ],
    );
    let address = |does, fake: &Fake| if does == Does::Refuses { gone } else { fake.address };
    let pools = Pools {
        encode: vec![address(encode, &fakes.0)],
        book: fakes.1.iter().map(|it| address(book, it)).collect(),
        ..Pools::default()
    };
    let (entry, session) = open(&pools).await;
    Rig { entry, session, encode: fakes.0, book: fakes.1 }
}

fn words(session: &FakeSession) -> Vec<String> {
    let word = |asked: &Asked| match asked {
        Asked::Claim(_) => "claim".to_owned(),
        Asked::Release(_) => "release".to_owned(),
        Asked::Finish(_, answer) => format!("finish {}", answer.outcome),
    };
    session.asked().iter().map(word).collect()
}

fn rejected<T>() -> Result<T, ClaimError> {
    Err(ClaimError::Rejected("no quorum".to_owned()))
}

fn uncertain<T>() -> Result<T, ClaimError> {
    Err(ClaimError::Uncertain("answer lost".to_owned()))
}

fn stored(body: Option<&str>) -> Result<ClaimAnswer, ClaimError> {
    let body = body.map(|it| it.as_bytes().to_vec());
    let answer = StoredAnswer { outcome: Outcome::Complete, status: 200, body, digest: [7; 32] };
    Ok(ClaimAnswer::Done(answer))
}

struct Case {
    name: &'static str,
    claims: Vec<Result<ClaimAnswer, ClaimError>>,
    encode: Does,
    book: Does,
    releases: Vec<Result<(), ClaimError>>,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    asked: &'static [&'static str],
    calls: usize,
}

impl Case {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            claims: Vec::new(),
            encode: Does::Answers,
            book: Does::Answers,
            releases: Vec::new(),
            status: 200,
            outcome: "complete",
            reason: "",
            asked: &["claim"],
            calls: 0,
        }
    }

    fn says(mut self, status: u16, outcome: &'static str, reason: &'static str) -> Self {
        (self.status, self.outcome, self.reason) = (status, outcome, reason);
        self
    }
}

fn granted() -> Vec<Case> {
    let released: &[&str] = &["claim", "release"];
    vec![
        Case { asked: &["claim", "finish complete"], calls: 1, ..Case::new("it is answered") },
        Case {
            book: Does::Closes,
            asked: &["claim", "finish unknown"],
            calls: 1,
            ..Case::new("its answer is lost").says(504, "unknown", "call-lost")
        },
        Case {
            book: Does::Swaps,
            asked: &["claim", "finish unknown"],
            calls: 1,
            ..Case::new("another call's answer comes").says(504, "unknown", "call-lost")
        },
        Case {
            book: Does::Errs,
            asked: &["claim", "finish failed"],
            calls: 1,
            ..Case::new("the service says it failed").says(502, "failed", "upstream")
        },
        Case {
            book: Does::Declines,
            asked: released,
            calls: 2,
            ..Case::new("the service declines").says(502, "failed", "declined")
        },
        Case {
            book: Does::Refuses,
            asked: released,
            ..Case::new("the service is not there").says(502, "failed", "no-upstream")
        },
        Case {
            encode: Does::Errs,
            asked: released,
            ..Case::new("a stage before it fails").says(502, "failed", "upstream")
        },
        Case {
            encode: Does::Refuses,
            asked: released,
            ..Case::new("no stage could be called").says(503, "not-run", "no-upstream")
        },
        Case {
            encode: Does::Refuses,
            releases: vec![uncertain(), Ok(())],
            asked: &["claim", "release", "release"],
            ..Case::new("the first release is lost").says(503, "not-run", "no-upstream")
        },
        Case {
            encode: Does::Refuses,
            releases: vec![rejected(), Ok(())],
            asked: &["claim", "release", "release"],
            ..Case::new("the first release is rejected").says(503, "not-run", "no-upstream")
        },
        Case {
            claims: vec![Ok(ClaimAnswer::Granted), Ok(ClaimAnswer::Running)],
            encode: Does::Refuses,
            releases: vec![rejected(), Ok(())],
            asked: &["claim", "release", "release"],
            ..Case::new("another attempt holds the key while the first release is rejected").says(
                503,
                "not-run",
                "no-upstream",
            )
        },
        Case {
            encode: Does::Refuses,
            releases: vec![Err(ClaimError::Ended(ClaimAnswer::OwnerLost))],
            asked: &["claim", "release"],
            ..Case::new("the claim is no longer ours").says(409, "unknown", "claim-lost")
        },
        Case {
            claims: vec![uncertain(), Ok(ClaimAnswer::Granted)],
            asked: &["claim", "claim", "finish complete"],
            calls: 1,
            ..Case::new("the first answer to the claim is lost")
        },
    ]
}

fn not_granted() -> Vec<Case> {
    let one = |answer| vec![Ok(answer)];
    vec![
        Case {
            claims: one(ClaimAnswer::Running),
            ..Case::new("running").says(409, "unknown", "running")
        },
        Case {
            claims: vec![uncertain(), Ok(ClaimAnswer::Running)],
            asked: &["claim", "claim", "release"],
            ..Case::new("running, and a sending before was lost").says(409, "unknown", "running")
        },
        Case {
            claims: vec![uncertain(), stored(Some("{\"a\":1}"))],
            asked: &["claim", "claim"],
            ..Case::new("done, and a sending before was lost")
        },
        Case { claims: vec![stored(Some("{\"a\":1}"))], ..Case::new("done") },
        Case { claims: vec![stored(None)], ..Case::new("done, too large to keep") },
        Case {
            claims: one(ClaimAnswer::OwnerLost),
            ..Case::new("owner lost").says(504, "unknown", "owner-lost")
        },
        Case {
            claims: one(ClaimAnswer::Mismatch),
            ..Case::new("other body").says(422, "not-run", "key-mismatch")
        },
        Case {
            claims: one(ClaimAnswer::Expired),
            ..Case::new("too old").says(422, "unknown", "key-expired")
        },
        Case {
            claims: one(ClaimAnswer::Full),
            ..Case::new("no room").says(503, "not-run", "keys-full")
        },
    ]
}

/// Symptom: a booking runs twice, or a caller hears "not run" about one that ran, or hears it about
/// a key that can never run again. Sequence: each answer of the state, and each way the call that
/// may not be repeated can end. Cause: one branch of this table is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn every_answer_and_every_end_is_told_as_it_is() {
    for case in granted().into_iter().chain(not_granted()) {
        let name = case.name;
        let rig = rig(case.encode, case.book).await;
        rig.session.claims.lock().unwrap().extend(case.claims);
        rig.session.releases.lock().unwrap().extend(case.releases);
        let answer = post(rig.entry.address(), "booking", HEADERS, BODY).await;
        assert_eq!(rig.calls(), case.calls, "calls: {name}");
        let told = (answer.status, answer.outcome(), answer.reason());
        assert_eq!(told, (case.status, case.outcome, case.reason.to_owned()), "{name}: {answer:?}");
        assert_eq!(words(&rig.session), case.asked, "{name}");
        let comes_back = matches!(case.status, 409 | 503);
        assert!(!comes_back || answer.header("retry-after").is_some(), "{name}: {answer:?}");
        rig.entry.drain().await;
    }
}

/// Symptom: a key is held for ever by a request that was told nothing ran. Sequence: no answer to
/// the claim comes until the deadline, and the claim is committed late. Cause: the entry gives up
/// without a durable release.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_was_never_answered_is_released() {
    let rig = rig(Does::Answers, Does::Answers).await;
    rig.session.claims.lock().unwrap().extend((0..50).map(|_| uncertain()));
    let headers = "idempotency-key: k1\r\nmothplank-deadline-ms: 300\r\n";
    let answer = post(rig.entry.address(), "booking", headers, BODY).await;
    // 409 where the release took longer than the caller waits.
    assert!(matches!(answer.status, 409 | 503) && answer.outcome() == "unknown", "{answer:?}");
    until(|| words(&rig.session).last().is_some_and(|it| it == "release")).await;
    let tickets: Vec<_> = rig
        .session
        .asked()
        .into_iter()
        .filter_map(|it| if let Asked::Claim(claim) = it { Some(claim.ticket) } else { None })
        .collect();
    assert!(tickets.windows(2).all(|it| it[0] == it[1]), "another ticket: {tickets:?}");
    assert_eq!(rig.calls(), 0);
    rig.entry.drain().await;
}

/// Symptom: bookings are refused at every change of the leader; or they pile up for as long as there
/// is no quorum. Sequence: one claim is rejected, the next is not; then all are. Cause: a rejected
/// claim is refused at once, or is always asked for again.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_loss_of_the_quorum_is_waited_out_and_a_long_one_is_not() {
    let rig = rig(Does::Answers, Does::Answers).await;
    let ask = async |key: &str| {
        let headers = format!("idempotency-key: {key}\r\n");
        post(rig.entry.address(), "booking", &headers, BODY).await
    };
    rig.session.claims.lock().unwrap().push_back(rejected());
    let answer = ask("k1").await;
    assert_eq!(answer.outcome(), "complete", "{answer:?}");

    rig.session.claims.lock().unwrap().extend((0..100).map(|_| rejected()));
    let first = ask("k2").await;
    let asked = rig.session.asked().len();
    let second = ask("k3").await;
    for answer in [first, second] {
        let told = (answer.status, answer.outcome(), answer.reason());
        assert_eq!(told, (503, "unknown", "no-quorum".to_owned()), "{answer:?}");
    }
    assert_eq!(rig.session.asked().len(), asked + 1);
    assert_eq!(rig.calls(), 1);
    rig.entry.drain().await;
}

async fn send(rig: &Rig, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(rig.entry.address()).await.unwrap();
    let headers = format!("{}{HEADERS}", support::bearer());
    stream.write_all(request("booking", &headers, body).as_bytes()).await.unwrap();
    stream
}

/// Symptom: a resend gets another answer than the first caller got. Sequence: the answer is written
/// to the caller, the entry dies before it is committed, the resend is told "unknown". Cause: the
/// answer goes out before its commit.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_gets_an_answer_before_it_is_committed() {
    let rig = rig(Does::Answers, Does::Answers).await;
    let hold = Arc::new(Notify::new());
    *rig.session.hold.lock().unwrap() = Some(Arc::clone(&hold));
    let early = post(rig.entry.address(), "booking", HEADERS, BODY).await;
    assert_eq!((early.status, early.reason().as_str()), (409, "running"), "{early:?}");
    assert_eq!(rig.calls(), 1);
    let mut resend = send(&rig, BODY).await;
    // The life, and the resend twice: its connection and its wait.
    under_way(rig.entry.address(), 3).await;
    hold.notify_one();
    let answer = support::read(&mut resend).await;
    assert_eq!(answer.outcome(), "complete", "{answer:?}");
    assert_eq!(words(&rig.session), ["claim", "finish complete"]);
    *rig.session.hold.lock().unwrap() = None;
    rig.entry.drain().await;
}

/// Symptom: resends under way each take a claim and a place, or get answers that differ. Sequence:
/// four callers send the same request under one key at once, one sends another body. Cause: the
/// entry forgets what it has under way.
#[tokio::test(flavor = "multi_thread")]
async fn resends_under_way_share_one_claim_and_one_answer() {
    let gate = Arc::new(Notify::new());
    let wait = Arc::clone(&gate);
    let encode = Fake::spawn(|seen| stage_ok(seen, &json!(1))).await;
    let book = Fake::spawn(move |seen| {
        let mut acts = stage_ok(seen, &json!("booked"));
        acts.insert(0, Act::Wait(Arc::clone(&wait)));
        acts
    });
    let book = [book.await, Fake::spawn(|_| vec![Act::Close]).await];
    let pools =
        Pools { encode: vec![encode.address], book: vec![book[0].address], ..Pools::default() };
    let (entry, session) = open(&pools).await;
    let rig = Rig { entry, session, encode, book };
    let mut callers = vec![send(&rig, BODY).await];
    until(|| rig.calls() == 1).await;
    for _ in 0..3 {
        callers.push(send(&rig, BODY).await);
    }
    let mut other = send(&rig, r#"{"input": {"artist": 5}}"#).await;
    let other = support::read(&mut other).await;
    assert_eq!((other.status, other.outcome()), (422, "not-run"), "{other:?}");
    // The life, and each caller twice: its connection and its wait.
    under_way(rig.entry.address(), 9).await;
    gate.notify_one();
    let mut answers: Vec<Answer> = Vec::new();
    for caller in &mut callers {
        answers.push(support::read(caller).await);
    }
    assert!(answers.iter().all(|it| it.status == 200 && it.body == answers[0].body));
    assert_eq!(words(&rig.session), ["claim", "finish complete"]);
    assert_eq!(rig.encode.count("/v1/stage"), 1);
    rig.entry.drain().await;
}

/// Symptom: a booking ran and nobody ever hears so: its resend is told "unknown". Sequence: the
/// caller leaves after the call was sent. Cause: the run ends with the caller's connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_does_not_take_the_claim_with_it() {
    let rig = rig(Does::Answers, Does::Answers).await;
    let hold = Arc::new(Notify::new());
    *rig.session.hold.lock().unwrap() = Some(Arc::clone(&hold));
    let stream = send(&rig, BODY).await;
    until(|| rig.calls() == 1).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(20)).await;
    hold.notify_one();
    until(|| words(&rig.session).len() == 2).await;
    assert_eq!(words(&rig.session), ["claim", "finish complete"]);
    *rig.session.hold.lock().unwrap() = None;
    rig.entry.drain().await;
}
