//! Which answer of the leader confirms which connections, and when questions are resent.

use super::*;

/// An event, and the connections (0, 1, …) that are answered by it.
struct Step {
    event: Event,
    answered: &'static [usize],
}

enum Event {
    /// A connection starts to wait.
    Add,
    /// This many ms pass, after which a question is sent or not.
    Due { ms: u64, sends: bool },
    /// Another node is elected as leader.
    Elected,
    /// The leader answers the question that was sent this many questions ago; 0 is the latest.
    Answer { back: u64, index: u64 },
    /// The log is applied up to this index.
    Applied(u64),
}

use Event::{Add, Answer, Applied, Due, Elected};

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const fn step(event: Event, answered: &'static [usize]) -> Step {
    Step { event, answered }
}

const CASES: &[Case] = &[
    Case {
        name: "answered once the log index is applied",
        steps: &[
            step(Add, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Applied(7), &[]),
            step(Answer { back: 0, index: 8 }, &[]),
            step(Applied(7), &[]),
            step(Applied(8), &[0]),
        ],
    },
    Case {
        name: "a connection that comes after the question waits for the next one",
        steps: &[
            step(Add, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Add, &[]),
            step(Due { ms: 1, sends: false }, &[]),
            step(Answer { back: 0, index: 3 }, &[]),
            step(Applied(3), &[0]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Answer { back: 0, index: 3 }, &[]),
            step(Applied(3), &[1]),
        ],
    },
    Case {
        name: "a lost question is resent, and a late answer to it counts",
        steps: &[
            step(Add, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Due { ms: 199, sends: false }, &[]),
            step(Due { ms: 1, sends: true }, &[]),
            step(Answer { back: 0, index: 3 }, &[]),
            step(Answer { back: 0, index: 3 }, &[]),
            step(Applied(3), &[0]),
        ],
    },
    Case {
        name: "an answer to an earlier question confirms nothing",
        steps: &[
            step(Add, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Answer { back: 0, index: 3 }, &[]),
            step(Applied(3), &[0]),
            step(Add, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Answer { back: 1, index: 3 }, &[]),
            step(Applied(3), &[]),
        ],
    },
    Case {
        name: "a silent leader is asked with growing pauses, a new leader at once",
        steps: &[
            step(Add, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Due { ms: 200, sends: true }, &[]),
            step(Due { ms: 399, sends: false }, &[]),
            step(Due { ms: 1, sends: true }, &[]),
            step(Due { ms: 800, sends: true }, &[]),
            step(Due { ms: 1_600, sends: true }, &[]),
            step(Due { ms: 3_200, sends: true }, &[]),
            step(Due { ms: 3_199, sends: false }, &[]),
            step(Due { ms: 1, sends: true }, &[]),
            step(Elected, &[]),
            step(Due { ms: 0, sends: true }, &[]),
            step(Due { ms: 199, sends: false }, &[]),
            step(Due { ms: 1, sends: true }, &[]),
            step(Answer { back: 0, index: 3 }, &[]),
            step(Applied(3), &[0]),
        ],
    },
    Case { name: "no connection waits", steps: &[step(Due { ms: 500, sends: false }, &[])] },
];

#[test]
fn a_connection_is_answered_only_by_a_question_that_came_after_it() {
    for case in CASES {
        let mut confirmations = Confirmations::new();
        let mut now = Instant::now();
        let mut leader = (NodeId(1), Term(1));
        let mut waiting = Vec::new();
        for (number, Step { event, answered }) in case.steps.iter().enumerate() {
            let name = format!("{}, step {number}", case.name);
            match *event {
                Add => {
                    let (reply, confirmed) = oneshot::channel();
                    confirmations.add(reply);
                    waiting.push(confirmed);
                }
                Due { ms, sends } => {
                    now += Duration::from_millis(ms);
                    assert_eq!(confirmations.next_question(now, leader).is_some(), sends, "{name}");
                }
                Elected => leader.1 = Term(leader.1.0 + 1),
                Answer { back, index } => {
                    confirmations
                        .record_answer(confirmations.ticket.wrapping_sub(back), LogIndex(index));
                }
                Applied(index) => confirmations.answer_applied(LogIndex(index)),
            }
            let done: Vec<usize> = waiting
                .iter_mut()
                .enumerate()
                .filter_map(|(index, it)| it.try_recv().is_ok().then_some(index))
                .collect();
            assert_eq!(done, *answered, "{name}");
        }
    }
}
