//! Lists that are brought up to date by their content.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::*;
use registry::content::{BucketDigest, Held, Summary, bucket_count};
use registry::difference::NumberedList;
use registry::{Health, Stamp, Upstream};

fn upstream(number: u16, slots: u32) -> Upstream {
    Upstream {
        id: format!("i-{number:06x}"),
        service: format!("s-{}", number % 5),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_000)),
        domain: format!("d-{}", number % 3),
        slots,
        health: Health::Ready,
        version: "v1".into(),
    }
}

fn numbered(term: u64, elements: &BTreeMap<u16, u32>) -> NumberedList<Upstream> {
    let list = elements.iter().map(|(number, slots)| upstream(*number, *slots)).collect();
    NumberedList::new(Stamp { term, count: 1 }, list)
}

/// Returns the list that an entry has after it was offered `newest`, and how many elements it was sent.
fn exchange(
    held: &NumberedList<Upstream>,
    newest: &NumberedList<Upstream>,
) -> (NumberedList<Upstream>, usize) {
    let summary = Summary::of(&newest.list, bucket_count(newest.list.len()));
    let offer = summary.offer(newest.stamp);
    match offer.answer(&held.list) {
        Held::Nothing => (newest.clone(), newest.list.len()),
        Held::Same => (NumberedList::new(offer.stamp, held.list.clone()), 0),
        Held::Buckets(buckets) => {
            let patch = summary.patch(newest, &buckets).expect("the same number of buckets");
            let sent = patch.elements.len();
            (patch.apply(&held.list).expect("a patch of this list"), sent)
        }
    }
}

fn elements(most: usize) -> impl Strategy<Value = BTreeMap<u16, u32>> {
    prop::collection::btree_map(0..2_000u16, 1..4u32, 0..most)
}

proptest! {
    /// Guards against an entry that keeps a removed upstream, misses a new one or mixes the readings of
    /// two leaders: whatever list it holds, from whichever leaders, it has the newest one afterwards.
    #[test]
    fn an_entry_has_the_list_of_the_newest_leader(
        lists in prop::collection::vec(elements(300), 1..6),
    ) {
        let mut held = NumberedList::<Upstream>::default();
        for (term, list) in lists.iter().enumerate() {
            let newest = numbered(term as u64 + 1, list);
            held = exchange(&held, &newest).0;
            prop_assert_eq!(&held, &newest);
        }
    }

    /// Guards against a patch that is applied to another list than the one it was made for.
    #[test]
    fn a_patch_fits_only_the_list_that_was_named(
        named in elements(200),
        newest in elements(200),
        other in elements(200),
    ) {
        let (named, newest, other) = (numbered(1, &named), numbered(2, &newest), numbered(1, &other));
        let count = bucket_count(newest.list.len());
        let summary = Summary::of(&newest.list, count);
        let held: Vec<BucketDigest> = Summary::of(&named.list, count).buckets;
        let patch = summary.patch(&newest, &held).expect("the same number of buckets");
        let applied = patch.apply(&other.list);
        prop_assert!(applied.is_none_or(|it| it == newest));
    }
}

struct Case {
    name: &'static str,
    elements: u16,
    changed: u16,
    /// The greatest number of elements that may be sent.
    most: usize,
}

const CASES: &[Case] = &[
    Case { name: "nothing has changed", elements: 10_000, changed: 0, most: 0 },
    Case { name: "one has changed", elements: 10_000, changed: 1, most: 64 },
    Case { name: "a few of twice as many", elements: 20_000, changed: 10, most: 640 },
    Case { name: "a short list", elements: 3, changed: 1, most: 3 },
];

#[test]
fn only_what_differs_is_sent() {
    for case in CASES {
        let before: BTreeMap<u16, u32> = (0..case.elements).map(|it| (it, 1)).collect();
        let mut after = before.clone();
        after.extend((0..case.changed).map(|it| (it * 7, 2)));
        let (held, sent) = exchange(&numbered(1, &before), &numbered(2, &after));
        assert_eq!(held, numbered(2, &after), "{}", case.name);
        assert!(sent <= case.most, "{}: {sent} elements", case.name);
    }
}
