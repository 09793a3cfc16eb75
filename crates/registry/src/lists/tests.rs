use std::net::SocketAddr;

use super::*;
use crate::message::Health;

/// The number of upstreams.
const UPSTREAMS: usize = 2_000;

/// Returns the list after some changes of one upstream each.
fn list(changes: u64) -> NumberedList<Upstream> {
    let upstream = |number: usize| Upstream {
        id: format!("i-{number:010x}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 9)),
        domain: "d".to_owned(),
        slots: 8 + u32::from((number as u64) < changes),
        health: Health::Ready,
        version: "v1".into(),
    };
    let stamp = Stamp { term: 1, count: changes };
    NumberedList::new(stamp, (0..UPSTREAMS).map(upstream).collect())
}

struct Case {
    name: &'static str,
    /// The number of lists by which the entry is behind.
    behind: u64,
    /// The greatest size of the difference in bytes; `None` if there is none.
    most: Option<usize>,
}

const CASES: &[Case] = &[
    Case { name: "it has the list before", behind: 1, most: Some(100) },
    Case { name: "it missed some lists", behind: 5, most: Some(400) },
    Case { name: "it has the oldest one that is kept", behind: 8, most: Some(600) },
    Case { name: "it missed too many", behind: 9, most: None },
];

/// Guards against an entry that is sent the whole list because it missed one: on a busy link that takes
/// longer than the time until the next list, and it misses that one as well.
#[test]
fn an_entry_that_missed_lists_is_sent_one_difference() {
    let mut published = Published::default();
    let newest = 12;
    for changes in 1..=newest {
        published.publish(list(changes)).expect("a list that fits a message");
    }
    for case in CASES {
        let base = Stamp { term: 1, count: newest - case.behind };
        let difference = published.difference(base).expect("a difference that fits a message");
        let size = difference.map(|it| it.list.len());
        assert_eq!(size.is_some(), case.most.is_some(), "{}", case.name);
        assert!(size <= case.most, "{}: {size:?} bytes", case.name);
    }
}
