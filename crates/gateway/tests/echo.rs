//! Whose answer arrived on a connection, without sockets.

use gateway::echo::Answers::{Other, This, Unclear};
use gateway::echo::{Answers, Echo, EchoHabit};

struct Case {
    name: &'static str,
    /// The answers of an upstream in order: the id, whether it is the first on its connection, and whose
    /// it is.
    answers: &'static [(Echo, bool, Answers)],
}

const CASES: &[Case] = &[
    Case {
        name: "the id of the call",
        answers: &[(Echo::Same, true, This), (Echo::Same, false, This)],
    },
    Case {
        name: "another id",
        answers: &[(Echo::Other, true, Other), (Echo::Other, false, Other)],
    },
    Case {
        name: "no id after answers that had one",
        answers: &[(Echo::Same, true, This), (Echo::None, false, Unclear)],
    },
    Case {
        name: "an upstream that leaves ids out",
        answers: &[
            (Echo::None, true, This),
            (Echo::None, false, This),
            (Echo::Other, false, Other),
        ],
    },
    Case {
        name: "an upstream that leaves some ids out",
        answers: &[(Echo::Same, true, This), (Echo::None, true, This), (Echo::None, false, This)],
    },
];

/// Guards against believing the answer to another call, and against giving up an upstream that leaves ids
/// out.
#[test]
fn an_answer_belongs_to_the_call_that_it_names() {
    for Case { name, answers } in CASES {
        let habit = EchoHabit::default();
        for (at, (echo, is_first, whose)) in answers.iter().enumerate() {
            assert_eq!(habit.judge(*echo, *is_first), *whose, "{name}: answer {at}");
        }
    }
}
