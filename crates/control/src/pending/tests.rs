use tokio::sync::oneshot;
use types::{LogIndex, Term};

use super::{Pending, respond};
use crate::request::{LeaderResponse, LeaderResult, RequestError};

fn not_run() -> RequestError {
    RequestError::NotRun("another leader's entry won".to_owned())
}

fn uncertain(why: &str) -> RequestError {
    RequestError::Uncertain(why.to_owned())
}

/// An event after a proposal in term 2 at index 5.
enum Event {
    Commit(u64, u64),
    FailUpTo(u64),
    Add(u64, u64),
}

fn result_after(events: &[Event]) -> Option<LeaderResult> {
    let mut pending = Pending::default();
    let (responder, mut receiver) = oneshot::channel();
    pending.add(Term(2), LogIndex(5), responder);
    for event in events {
        match event {
            Event::Commit(term, index) => {
                if let Some(responder) = pending.commit(Term(*term), LogIndex(*index)) {
                    respond(responder, Ok(LeaderResponse::Done));
                }
            }
            Event::FailUpTo(index) => pending.fail_up_to(LogIndex(*index)),
            Event::Add(term, index) => {
                pending.add(Term(*term), LogIndex(*index), oneshot::channel().0);
            }
        }
    }
    receiver.try_recv().ok()
}

#[test]
fn only_proof_makes_an_answer_certain() {
    // A leader may propose an entry and lose leadership, and the next leader may still commit that
    // entry. If the loss of leadership counted as proof of failure, an operator would be told that
    // a change did not run, and it would later be in force.
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        answer: Option<LeaderResult>,
    }
    let cases = [
        Case { name: "waits", events: vec![Event::Commit(2, 4)], answer: None },
        Case {
            name: "commits",
            events: vec![Event::Commit(2, 5)],
            answer: Some(Ok(LeaderResponse::Done)),
        },
        Case {
            name: "commits under the next leader",
            events: vec![Event::Commit(2, 4), Event::Commit(2, 5), Event::Commit(3, 6)],
            answer: Some(Ok(LeaderResponse::Done)),
        },
        Case {
            name: "is overwritten",
            events: vec![Event::Commit(3, 5)],
            answer: Some(Err(not_run())),
        },
        Case {
            name: "a snapshot covers it",
            events: vec![Event::FailUpTo(5)],
            answer: Some(Err(uncertain("a snapshot covers it"))),
        },
        Case { name: "a snapshot before it", events: vec![Event::FailUpTo(4)], answer: None },
        Case {
            name: "this node leads again and proposes there",
            events: vec![Event::Add(4, 5)],
            answer: Some(Err(uncertain("leadership was lost"))),
        },
    ];
    for Case { name, events, answer } in cases {
        assert_eq!(result_after(&events), answer, "{name}");
    }
}
