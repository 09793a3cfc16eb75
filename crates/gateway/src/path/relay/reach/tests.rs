//! Tests of what the answers of other entries tell together.

use super::*;

struct Case {
    name: &'static str,
    answers: &'static [Reach],
    told: Reach,
}

const CASES: &[Case] = &[
    Case { name: "no other entry", answers: &[], told: Reach::Unknown },
    Case { name: "the only one is refused", answers: &[Reach::Refused], told: Reach::Refused },
    Case {
        name: "one of several is refused, as one that is cut off is",
        answers: &[Reach::Refused, Reach::Unknown, Reach::Unknown],
        told: Reach::Unknown,
    },
    Case {
        name: "two are refused",
        answers: &[Reach::Refused, Reach::Unknown, Reach::Refused],
        told: Reach::Refused,
    },
    Case {
        name: "most are cut off, one reaches it",
        answers: &[Reach::Refused, Reach::Refused, Reach::Accepted],
        told: Reach::Accepted,
    },
    Case { name: "all are silent", answers: &[Reach::Unknown; 3], told: Reach::Unknown },
];

/// Guards against an upstream that counts as ended, or as running, by the word of entries that are cut off.
#[test]
fn answers_of_other_entries_are_summed_up() {
    for Case { name, answers, told } in CASES {
        assert_eq!(summarize(answers), *told, "{name}");
    }
}
