use super::{Answers, CallKind, Echo, EchoHabit};

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

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Whether a request that may run once needs a new connection afterwards.
    needs_new: bool,
}

use Answers::{Other, This, Unclear};
use CallKind::{Once, Own, Repeatable};
use Echo::{None, Same};

const CASES: &[Case] = &[
    Case {
        name: "answers with ids",
        steps: &[step(Once, Same, false, This), step(Once, Echo::Other, false, Other)],
        needs_new: false,
    },
    Case {
        name: "a foreign answer on a new connection",
        steps: &[step(Once, Echo::Other, true, Other)],
        needs_new: false,
    },
    Case {
        name: "refusals without an id",
        steps: &[step(Once, None, true, This), step(Once, None, false, Unclear)],
        needs_new: true,
    },
    Case {
        name: "a refusal without an id on a used connection",
        steps: &[step(Once, None, false, Unclear), step(Once, None, true, This)],
        needs_new: true,
    },
    Case {
        name: "a success without an id says nothing of refusals",
        steps: &[Step { is_refusal: false, ..step(Once, None, true, This) }],
        needs_new: false,
    },
    Case {
        name: "a refusal with an id after one without",
        steps: &[step(Once, None, true, This), step(Once, Same, false, This)],
        needs_new: false,
    },
    Case {
        name: "the entry's own calls, whose ids are left out",
        steps: &[
            step(Own, None, false, Unclear),
            step(Own, None, true, This),
            step(Own, None, false, This),
            step(Own, Same, false, This),
            step(Own, None, false, This),
            step(Once, None, false, Unclear),
        ],
        needs_new: true,
    },
    Case {
        name: "the entry's own calls say nothing of requests",
        steps: &[step(Own, None, true, This), step(Repeatable, None, false, Unclear)],
        needs_new: true,
    },
    Case {
        name: "a request that may run again",
        steps: &[step(Repeatable, None, true, This), step(Repeatable, None, false, This)],
        needs_new: true,
    },
];

#[test]
fn an_answer_without_an_id_is_believed_where_no_other_can_have_come() {
    for case in CASES {
        let habit = EchoHabit::default();
        for (number, it) in case.steps.iter().enumerate() {
            let answers = habit.judge(it.echo, it.is_first, it.is_refusal, it.kind);
            assert_eq!(answers, it.answers, "{}, answer {number}", case.name);
        }
        assert_eq!(habit.needs_new(Once), case.needs_new, "{}", case.name);
        assert!(!habit.needs_new(Own) && !habit.needs_new(Repeatable), "{}", case.name);
    }
}
