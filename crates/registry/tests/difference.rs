//! Lists, and what turns one into the next.

use std::net::SocketAddr;

use registry::difference::NumberedList;
use registry::{EntrySeen, Stamp};

fn entries(numbers: &[u16]) -> Vec<EntrySeen> {
    let entry = |number: &u16| EntrySeen {
        name: format!("vm-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], *number)),
        domain: "d".to_owned(),
    };
    numbers.iter().map(entry).collect()
}

fn numbered(count: u64, numbers: &[u16]) -> NumberedList<EntrySeen> {
    NumberedList::new(Stamp { term: 1, count }, entries(numbers))
}

struct Case {
    name: &'static str,
    before: &'static [u16],
    after: &'static [u16],
    gone: usize,
    come: usize,
}

const CASES: &[Case] = &[
    Case { name: "nothing", before: &[], after: &[], gone: 0, come: 0 },
    Case { name: "the first come", before: &[], after: &[2, 1], gone: 0, come: 2 },
    Case { name: "one comes between", before: &[1, 3], after: &[1, 2, 3], gone: 0, come: 1 },
    Case { name: "one goes", before: &[1, 2, 3], after: &[1, 3], gone: 1, come: 0 },
    Case { name: "all others", before: &[1, 2], after: &[3, 4, 5], gone: 2, come: 3 },
];

#[test]
fn a_difference_turns_one_list_into_the_next() {
    for case in CASES {
        let (before, after) = (numbered(1, case.before), numbered(2, case.after));
        let difference = before.difference(&after);
        assert_eq!(difference.removed.len(), case.gone, "{}", case.name);
        assert_eq!(difference.updated.len(), case.come, "{}", case.name);
        assert_eq!(before.apply(difference).as_ref(), Some(&after), "{}", case.name);
    }
}

#[test]
fn what_changed_under_its_key_comes_anew() {
    let before = numbered(1, &[1, 2]);
    let mut list = entries(&[1, 2]);
    list[1].name = "other".to_owned();
    let after = NumberedList::new(Stamp { term: 1, count: 2 }, list);
    let difference = before.difference(&after);
    assert_eq!((difference.removed.len(), difference.updated.len()), (0, 1));
    assert_eq!(before.apply(difference), Some(after));
}

/// Symptom looked for: an entry knows upstreams that no member ever listed together.
/// Sequence: a difference is lost with a connection, the next one is applied.
/// Cause it would have: the number of the list before is not compared.
#[test]
fn a_difference_to_another_list_is_not_applied() {
    let difference = numbered(2, &[1]).difference(&numbered(3, &[1, 2]));
    assert_eq!(numbered(1, &[1]).apply(difference), None);
}
