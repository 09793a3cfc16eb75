//! Requests that run at most once: every answer to a claim, and every way in which the call can
//! end.

mod support;

use std::sync::Arc;
use std::time::Duration;

use entry::Entry;
use follower::ClaimError;
use serde_json::json;
use support::fake::{Action, FakeUpstream, Received, response, stage_ok};
use support::{
    Answer, FakeSession, Pools, SessionCall, open, post, request, until, wait_in_flight,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use types::{ClaimAnswer, Outcome, StoredAnswer};

const BODY: &str = r#"{"input": {"artist": 4}}"#;
const HEADERS: &str = "idempotency-key: k1\r\nmothplank-deadline-ms: 1500\r\n";

/// How an upstream responds to a call.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Answers,
    Closes,
    Errs,
    Swaps,
    Declines,
    Refuses,
}

fn script(behavior: Behavior, seen: &Received) -> Vec<Action> {
    match behavior {
        Behavior::Answers | Behavior::Refuses => stage_ok(seen, &json!("booked")),
        Behavior::Closes => vec![Action::Close],
        Behavior::Errs => vec![Action::Write(response(500, &seen.id, "", ""))],
        Behavior::Declines => vec![Action::Write(response(429, &seen.id, "", ""))],
        Behavior::Swaps => {
            let other = types::CallId::random().to_string();
            vec![Action::Write(response(200, &other, "", "{}"))]
        }
    }
}

struct Fixture {
    entry: Entry<FakeSession>,
    session: Arc<FakeSession>,
    encode: FakeUpstream,
    book: [FakeUpstream; 2],
}

impl Fixture {
    /// Returns how often the service was called, over both of its upstreams.
    fn calls(&self) -> usize {
        self.book.iter().map(|it| it.count("/v1/book")).sum()
    }
}

async fn fixture(encode: Behavior, book: Behavior) -> Fixture {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fakes = (
        FakeUpstream::spawn(move |seen| script(encode, seen)).await,
        [
            FakeUpstream::spawn(move |seen| script(book, seen)).await,
            FakeUpstream::spawn(move |seen| script(book, seen)).await,
        ],
    );
    let address = |behavior, fake: &FakeUpstream| {
        if behavior == Behavior::Refuses { gone } else { fake.address }
    };
    let pools = Pools {
        encode: vec![address(encode, &fakes.0)],
        book: fakes.1.iter().map(|it| address(book, it)).collect(),
        ..Pools::default()
    };
    let (entry, session) = open(&pools).await;
    Fixture { entry, session, encode: fakes.0, book: fakes.1 }
}

fn call_names(session: &FakeSession) -> Vec<String> {
    let word = |call: &SessionCall| match call {
        SessionCall::Claim(_) => "claim".to_owned(),
        SessionCall::Release(_) => "release".to_owned(),
        SessionCall::Finish(_, answer) => format!("finish {}", answer.outcome),
    };
    session.received().iter().map(word).collect()
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
    encode: Behavior,
    book: Behavior,
    releases: Vec<Result<(), ClaimError>>,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    session_calls: &'static [&'static str],
    calls: usize,
}

impl Case {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            claims: Vec::new(),
            encode: Behavior::Answers,
            book: Behavior::Answers,
            releases: Vec::new(),
            status: 200,
            outcome: "complete",
            reason: "",
            session_calls: &["claim"],
            calls: 0,
        }
    }

    fn reports(mut self, status: u16, outcome: &'static str, reason: &'static str) -> Self {
        (self.status, self.outcome, self.reason) = (status, outcome, reason);
        self
    }
}

fn granted() -> Vec<Case> {
    let released: &[&str] = &["claim", "release"];
    vec![
        Case {
            session_calls: &["claim", "finish complete"],
            calls: 1,
            ..Case::new("it is answered")
        },
        Case {
            book: Behavior::Closes,
            session_calls: &["claim", "finish unknown"],
            calls: 1,
            ..Case::new("its answer is lost").reports(504, "unknown", "call-lost")
        },
        Case {
            book: Behavior::Swaps,
            session_calls: &["claim", "finish unknown"],
            calls: 1,
            ..Case::new("another call's answer comes").reports(504, "unknown", "call-lost")
        },
        Case {
            book: Behavior::Errs,
            session_calls: &["claim", "finish failed"],
            calls: 1,
            ..Case::new("the service says it failed").reports(502, "failed", "upstream")
        },
        Case {
            book: Behavior::Declines,
            session_calls: released,
            calls: 2,
            ..Case::new("the service declines").reports(502, "failed", "declined")
        },
        Case {
            book: Behavior::Refuses,
            session_calls: released,
            ..Case::new("the service is not there").reports(502, "failed", "no-upstream")
        },
        Case {
            encode: Behavior::Errs,
            session_calls: released,
            ..Case::new("a stage before it fails").reports(502, "failed", "upstream")
        },
        Case {
            encode: Behavior::Refuses,
            session_calls: released,
            ..Case::new("no stage could be called").reports(503, "not-run", "no-upstream")
        },
        Case {
            encode: Behavior::Refuses,
            releases: vec![uncertain(), Ok(())],
            session_calls: &["claim", "release", "release"],
            ..Case::new("the first release is lost").reports(503, "not-run", "no-upstream")
        },
        Case {
            encode: Behavior::Refuses,
            releases: vec![rejected(), Ok(())],
            session_calls: &["claim", "release", "release"],
            ..Case::new("the first release is rejected").reports(503, "not-run", "no-upstream")
        },
        Case {
            claims: vec![Ok(ClaimAnswer::Granted), Ok(ClaimAnswer::Running)],
            encode: Behavior::Refuses,
            releases: vec![rejected(), Ok(())],
            session_calls: &["claim", "release", "release"],
            ..Case::new("another attempt holds the key while the first release is rejected")
                .reports(503, "not-run", "no-upstream")
        },
        Case {
            encode: Behavior::Refuses,
            releases: vec![Err(ClaimError::Ended(ClaimAnswer::OwnerLost))],
            session_calls: &["claim", "release"],
            ..Case::new("the claim is no longer ours").reports(409, "unknown", "claim-lost")
        },
        Case {
            claims: vec![uncertain(), Ok(ClaimAnswer::Granted)],
            session_calls: &["claim", "claim", "finish complete"],
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
            ..Case::new("running").reports(409, "unknown", "running")
        },
        Case {
            claims: vec![uncertain(), Ok(ClaimAnswer::Running)],
            session_calls: &["claim", "claim", "release"],
            ..Case::new("running, and a sending before was lost").reports(409, "unknown", "running")
        },
        Case {
            claims: vec![uncertain(), stored(Some("{\"a\":1}"))],
            session_calls: &["claim", "claim"],
            ..Case::new("done, and a sending before was lost")
        },
        Case { claims: vec![stored(Some("{\"a\":1}"))], ..Case::new("done") },
        Case { claims: vec![stored(None)], ..Case::new("done, too large to keep") },
        Case {
            claims: one(ClaimAnswer::OwnerLost),
            ..Case::new("owner lost").reports(504, "unknown", "owner-lost")
        },
        Case {
            claims: one(ClaimAnswer::Mismatch),
            ..Case::new("other body").reports(422, "not-run", "key-mismatch")
        },
        Case {
            claims: one(ClaimAnswer::Expired),
            ..Case::new("too old").reports(422, "unknown", "key-expired")
        },
        Case {
            claims: one(ClaimAnswer::Full),
            ..Case::new("no room").reports(503, "not-run", "keys-full")
        },
    ]
}

/// Guards against a booking that runs twice, and against a caller that is told "not run" about a
/// request that ran or about a key that can never run again. Covers each answer to a claim and each
/// way in which the call that may not be repeated can end.
#[tokio::test(flavor = "multi_thread")]
async fn every_answer_and_every_end_is_told_as_it_is() {
    for case in granted().into_iter().chain(not_granted()) {
        let name = case.name;
        let fixture = fixture(case.encode, case.book).await;
        fixture.session.claims.lock().unwrap().extend(case.claims);
        fixture.session.releases.lock().unwrap().extend(case.releases);
        let answer = post(fixture.entry.address(), "booking", HEADERS, BODY).await;
        assert_eq!(fixture.calls(), case.calls, "calls: {name}");
        let reported = (answer.status, answer.outcome(), answer.reason());
        assert_eq!(
            reported,
            (case.status, case.outcome, case.reason.to_owned()),
            "{name}: {answer:?}"
        );
        assert_eq!(call_names(&fixture.session), case.session_calls, "{name}");
        let is_retryable = matches!(case.status, 409 | 503);
        assert!(!is_retryable || answer.header("retry-after").is_some(), "{name}: {answer:?}");
        fixture.entry.drain().await;
    }
}

/// Guards against a key that stays claimed by a request that was reported as not run. The claim is
/// not answered before the deadline and is committed late; an entry that gives up without a
/// committed release would leave it claimed.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_was_never_answered_is_released() {
    let fixture = fixture(Behavior::Answers, Behavior::Answers).await;
    fixture.session.claims.lock().unwrap().extend((0..50).map(|_| uncertain()));
    let headers = "idempotency-key: k1\r\nmothplank-deadline-ms: 300\r\n";
    let answer = post(fixture.entry.address(), "booking", headers, BODY).await;
    // 409 if the release took longer than the caller waits.
    assert!(matches!(answer.status, 409 | 503) && answer.outcome() == "unknown", "{answer:?}");
    until(|| call_names(&fixture.session).last().is_some_and(|it| it == "release")).await;
    let tickets: Vec<_> = fixture
        .session
        .received()
        .into_iter()
        .filter_map(|it| if let SessionCall::Claim(claim) = it { Some(claim.ticket) } else { None })
        .collect();
    assert!(tickets.windows(2).all(|it| it[0] == it[1]), "another ticket: {tickets:?}");
    assert_eq!(fixture.calls(), 0);
    fixture.entry.drain().await;
}

/// Guards against bookings that are refused at every change of the leader, and against bookings
/// that pile up while there is no quorum. First a single claim is rejected, then all are: a
/// rejected claim must be retried, but not for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_loss_of_the_quorum_is_waited_out_and_a_long_one_is_not() {
    let fixture = fixture(Behavior::Answers, Behavior::Answers).await;
    let ask = async |key: &str| {
        let headers = format!("idempotency-key: {key}\r\n");
        post(fixture.entry.address(), "booking", &headers, BODY).await
    };
    fixture.session.claims.lock().unwrap().push_back(rejected());
    let answer = ask("k1").await;
    assert_eq!(answer.outcome(), "complete", "{answer:?}");

    fixture.session.claims.lock().unwrap().extend((0..100).map(|_| rejected()));
    let first = ask("k2").await;
    let before = fixture.session.received().len();
    let second = ask("k3").await;
    for answer in [first, second] {
        let reported = (answer.status, answer.outcome(), answer.reason());
        assert_eq!(reported, (503, "unknown", "no-quorum".to_owned()), "{answer:?}");
    }
    assert_eq!(fixture.session.received().len(), before + 1);
    assert_eq!(fixture.calls(), 1);
    fixture.entry.drain().await;
}

async fn send(fixture: &Fixture, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.entry.address()).await.unwrap();
    let headers = format!("{}{HEADERS}", support::bearer());
    stream.write_all(request("booking", &headers, body).as_bytes()).await.unwrap();
    stream
}

/// Guards against a resend that gets another answer than the first caller. If an answer were sent
/// before its commit and the entry died in between, the resend would be told "unknown".
#[tokio::test(flavor = "multi_thread")]
async fn nobody_gets_an_answer_before_it_is_committed() {
    let fixture = fixture(Behavior::Answers, Behavior::Answers).await;
    let hold = Arc::new(Notify::new());
    *fixture.session.hold.lock().unwrap() = Some(Arc::clone(&hold));
    let early = post(fixture.entry.address(), "booking", HEADERS, BODY).await;
    assert_eq!((early.status, early.reason().as_str()), (409, "running"), "{early:?}");
    assert_eq!(fixture.calls(), 1);
    let mut resend = send(&fixture, BODY).await;
    // Counted are the claim task, and the resend twice: its connection and its wait.
    wait_in_flight(fixture.entry.address(), 3).await;
    hold.notify_one();
    let answer = support::read(&mut resend).await;
    assert_eq!(answer.outcome(), "complete", "{answer:?}");
    assert_eq!(call_names(&fixture.session), ["claim", "finish complete"]);
    *fixture.session.hold.lock().unwrap() = None;
    fixture.entry.drain().await;
}

/// Guards against resends that each take a claim and a slot, or that get different answers. Four
/// callers send the same request under one key at once, and one sends another body; the entry must
/// know which keys are in flight.
#[tokio::test(flavor = "multi_thread")]
async fn resends_under_way_share_one_claim_and_one_answer() {
    let gate = Arc::new(Notify::new());
    let wait = Arc::clone(&gate);
    let encode = FakeUpstream::spawn(|seen| stage_ok(seen, &json!(1))).await;
    let book = FakeUpstream::spawn(move |seen| {
        let mut actions = stage_ok(seen, &json!("booked"));
        actions.insert(0, Action::Wait(Arc::clone(&wait)));
        actions
    });
    let book = [book.await, FakeUpstream::spawn(|_| vec![Action::Close]).await];
    let pools =
        Pools { encode: vec![encode.address], book: vec![book[0].address], ..Pools::default() };
    let (entry, session) = open(&pools).await;
    let fixture = Fixture { entry, session, encode, book };
    let mut callers = vec![send(&fixture, BODY).await];
    until(|| fixture.calls() == 1).await;
    for _ in 0..3 {
        callers.push(send(&fixture, BODY).await);
    }
    let mut other = send(&fixture, r#"{"input": {"artist": 5}}"#).await;
    let other = support::read(&mut other).await;
    assert_eq!((other.status, other.outcome()), (422, "not-run"), "{other:?}");
    // Counted are the claim task, and each caller twice: its connection and its wait.
    wait_in_flight(fixture.entry.address(), 9).await;
    gate.notify_one();
    let mut answers: Vec<Answer> = Vec::new();
    for caller in &mut callers {
        answers.push(support::read(caller).await);
    }
    assert!(answers.iter().all(|it| it.status == 200 && it.body == answers[0].body));
    assert_eq!(call_names(&fixture.session), ["claim", "finish complete"]);
    assert_eq!(fixture.encode.count("/v1/stage"), 1);
    fixture.entry.drain().await;
}

/// Guards against a booking that ran but whose resend is told "unknown". The caller leaves after
/// the call was sent, which must not end the run.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_does_not_take_the_claim_with_it() {
    let fixture = fixture(Behavior::Answers, Behavior::Answers).await;
    let hold = Arc::new(Notify::new());
    *fixture.session.hold.lock().unwrap() = Some(Arc::clone(&hold));
    let stream = send(&fixture, BODY).await;
    until(|| fixture.calls() == 1).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(20)).await;
    hold.notify_one();
    until(|| call_names(&fixture.session).len() == 2).await;
    assert_eq!(call_names(&fixture.session), ["claim", "finish complete"]);
    *fixture.session.hold.lock().unwrap() = None;
    fixture.entry.drain().await;
}
