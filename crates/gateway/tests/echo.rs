//! Whose answer arrived on a connection, without sockets.

use gateway::echo::{Echo, EchoHabit};

struct Case {
    name: &'static str,
    /// The answers of an upstream in order: the id, whether it is the first on its connection, and whether
    /// it belongs to its call.
    answers: &'static [(Echo, bool, bool)],
}

const CASES: &[Case] = &[
    Case {
        name: "the id of the call",
        answers: &[(Echo::Same, true, true), (Echo::Same, false, true)],
    },
    Case {
        name: "another id",
        answers: &[(Echo::Other, true, false), (Echo::Other, false, false)],
    },
    Case {
        name: "no id after answers that had one",
        answers: &[(Echo::Same, true, true), (Echo::None, false, false)],
    },
    Case {
        name: "an upstream that leaves ids out",
        answers: &[
            (Echo::None, true, true),
            (Echo::None, false, true),
            (Echo::Other, false, false),
        ],
    },
    Case {
        name: "an upstream that leaves some ids out",
        answers: &[(Echo::Same, true, true), (Echo::None, true, true), (Echo::None, false, true)],
    },
];

/// Guards against believing the answer to another call, and against giving up an upstream that leaves ids
/// out.
#[test]
fn an_answer_belongs_to_the_call_that_it_names() {
    for Case { name, answers } in CASES {
        let habit = EchoHabit::default();
        for (at, (echo, is_first, own)) in answers.iter().enumerate() {
            assert_eq!(habit.is_own(*echo, *is_first), *own, "{name}: answer {at}");
        }
    }
}
