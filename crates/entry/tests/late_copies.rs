//! Upstreams that send an answer a second time, when the next request has arrived on the connection.

mod support;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::json;
use support::fake::{Action, FakeUpstream, Received, response, stage_ok};
use support::{Pools, open, post};

const BODY: &str = r#"{"input": {"artist": 4}}"#;
const BOOK_PATH: &str = "/v1/book";

/// How many calls an upstream runs before it leaves.
const RUNS_BEFORE_LEAVING: usize = 8;

/// How an upstream answers the calls that may run once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answers {
    Runs,
    /// It declines each second one.
    DeclinesHalf,
    /// It declines all but the first few, as it is leaving.
    Leaves,
}

/// What an upstream has done.
#[derive(Debug, Default)]
struct Seen {
    /// The keys of the calls that it ran, in order.
    runs: Mutex<Vec<String>>,
    calls: AtomicUsize,
    copies: AtomicUsize,
    /// The last answer on each connection.
    last: Mutex<HashMap<usize, Vec<u8>>>,
}

impl Seen {
    fn runs(&self, key: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|it| *it == key).count()
    }

    /// Returns a copy of the answer before this one on the connection, and then the answer to the request.
    fn reply(&self, answers: Answers, received: &Received) -> Vec<Action> {
        let reply = self.own_reply(answers, received);
        let [Action::Write(bytes)] = &reply[..] else { panic!("not one answer: {reply:?}") };
        let copy = self.last.lock().unwrap().insert(received.connection, bytes.clone());
        self.copies.fetch_add(usize::from(copy.is_some()), Ordering::SeqCst);
        copy.map(Action::Write).into_iter().chain(reply).collect()
    }

    fn own_reply(&self, answers: Answers, received: &Received) -> Vec<Action> {
        if received.path == BOOK_PATH {
            let number = self.calls.fetch_add(1, Ordering::SeqCst);
            match answers {
                Answers::DeclinesHalf if number.is_multiple_of(2) => {
                    return vec![Action::Write(response(429, &received.id, "", ""))];
                }
                Answers::Leaves if number >= RUNS_BEFORE_LEAVING => {
                    let lines = "x-draining: true\r\n";
                    return vec![Action::Write(response(503, &received.id, lines, ""))];
                }
                _ => self.runs.lock().unwrap().push(received.key.clone().unwrap_or_default()),
            }
        }
        stage_ok(received, &json!([received.path, received.key]))
    }
}

/// Guards against a call that may run once and runs twice, or runs after its caller was told that it was
/// declined, or has the output of another one: the answer to an earlier call on the connection comes a
/// second time, and passes for its own.
#[tokio::test]
async fn a_late_copy_is_no_answer_to_a_call_that_may_run_once() {
    const REQUESTS: usize = 24;
    for answers in [Answers::Runs, Answers::DeclinesHalf, Answers::Leaves] {
        let seen = [Arc::new(Seen::default()), Arc::new(Seen::default())];
        let spawn = |seen: &Arc<Seen>| {
            let seen = Arc::clone(seen);
            FakeUpstream::spawn(move |received| seen.reply(answers, received))
        };
        let fakes = [spawn(&seen[0]).await, spawn(&seen[1]).await];
        let addresses: Vec<_> = fakes.iter().map(|it| it.address).collect();
        // One address for both stages: kept connections of the first could carry the second.
        let pools = Pools { encode: addresses.clone(), book: addresses, ..Pools::default() };
        let (entry, _session) = open(&pools).await;
        let mut complete = 0;
        for number in 0..REQUESTS {
            let key = format!("k{number}");
            let headers = format!("idempotency-key: {key}\r\nmothplank-deadline-ms: 3000\r\n");
            let answer = post(entry.address(), "booking", &headers, BODY).await;
            let runs: usize = seen.iter().map(|it| it.runs(&key)).sum();
            let allowed = match answer.outcome() {
                "complete" => 1..=1,
                // Either nothing was sent, or each upstream declined.
                "not-run" | "failed" => 0..=0,
                _ => 0..=1,
            };
            assert!(allowed.contains(&runs), "{answers:?}, {key}: ran {runs} times, {answer:?}");
            if answer.outcome() == "complete" {
                assert_eq!(answer.json()["output"], json!([BOOK_PATH, key]), "{answers:?}");
                complete += 1;
            }
        }
        let copies: usize = seen.iter().map(|it| it.copies.load(Ordering::SeqCst)).sum();
        eprintln!("{answers:?}: {copies} copies, {complete} of {REQUESTS} requests complete");
        assert!(copies >= REQUESTS / 4, "{answers:?}: {copies} copies");
        assert!(complete >= REQUESTS / 2, "{answers:?}: {complete} complete");
    }
}
