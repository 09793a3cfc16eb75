//! Whose answer arrived on a connection, without sockets.

use gateway::echo::Answers::{Other, This, Unclear};
use gateway::echo::CallKind::{Once, Own, Repeatable};
use gateway::echo::{Answers, CallKind, Echo, EchoHabit};

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
        for kind in [Own, Repeatable] {
            let habit = EchoHabit::default();
            for (at, (echo, is_first, whose)) in answers.iter().enumerate() {
                let judged = habit.judge(*echo, *is_first, true, kind);
                assert_eq!(judged, *whose, "{name}, {kind:?}: answer {at}");
            }
        }
    }
}

/// An answer, and what is decided of it.
struct Step {
    echo: Echo,
    is_first: bool,
    is_refusal: bool,
    kind: CallKind,
    answers: Answers,
}

const fn step(kind: CallKind, echo: Echo, is_first: bool, answers: Answers) -> Step {
    Step { echo, is_first, is_refusal: true, kind, answers }
}

struct KindCase {
    name: &'static str,
    steps: &'static [Step],
    /// Whether a request that may run once needs a new connection afterwards.
    needs_new: bool,
}

const KIND_CASES: &[KindCase] = &[
    KindCase {
        name: "answers with ids",
        steps: &[step(Once, Echo::Same, false, This), step(Once, Echo::Other, false, Other)],
        needs_new: false,
    },
    KindCase {
        name: "a foreign answer on a new connection",
        steps: &[step(Once, Echo::Other, true, Other)],
        needs_new: false,
    },
    KindCase {
        name: "refusals without an id",
        steps: &[step(Once, Echo::None, true, This), step(Once, Echo::None, false, Unclear)],
        needs_new: true,
    },
    KindCase {
        name: "a refusal without an id on a used connection",
        steps: &[step(Once, Echo::None, false, Unclear), step(Once, Echo::None, true, This)],
        needs_new: true,
    },
    KindCase {
        name: "a success without an id says nothing of refusals",
        steps: &[Step { is_refusal: false, ..step(Once, Echo::None, true, This) }],
        needs_new: false,
    },
    KindCase {
        name: "a refusal with an id after one without",
        steps: &[step(Once, Echo::None, true, This), step(Once, Echo::Same, false, This)],
        needs_new: false,
    },
    KindCase {
        name: "the entry's own calls, whose ids are left out",
        steps: &[
            step(Own, Echo::None, false, Unclear),
            step(Own, Echo::None, true, This),
            step(Own, Echo::None, false, This),
            step(Own, Echo::Same, false, This),
            step(Own, Echo::None, false, This),
            step(Once, Echo::None, false, Unclear),
        ],
        needs_new: true,
    },
    KindCase {
        name: "the entry's own calls say nothing of requests",
        steps: &[step(Own, Echo::None, true, This), step(Repeatable, Echo::None, false, Unclear)],
        needs_new: true,
    },
    KindCase {
        name: "a request that may run again",
        steps: &[
            step(Repeatable, Echo::None, true, This),
            step(Repeatable, Echo::None, false, This),
        ],
        needs_new: true,
    },
];

/// Guards against believing by habit that a request did not run which may run once.
#[test]
fn an_answer_without_an_id_is_believed_where_no_other_can_have_come() {
    for case in KIND_CASES {
        let habit = EchoHabit::default();
        for (number, it) in case.steps.iter().enumerate() {
            let answers = habit.judge(it.echo, it.is_first, it.is_refusal, it.kind);
            assert_eq!(answers, it.answers, "{}, answer {number}", case.name);
        }
        assert_eq!(habit.needs_new(Once), case.needs_new, "{}", case.name);
        assert!(!habit.needs_new(Own) && !habit.needs_new(Repeatable), "{}", case.name);
    }
}
