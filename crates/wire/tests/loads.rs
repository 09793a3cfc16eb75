//! Digests with numbers decode to the digests with names that were encoded.

use types::{Digest, Millis, UpstreamAvailability, UpstreamLoad};
use wire::loads::{LoadNames, LoadNumbers};

fn load(number: u32, in_flight: u32, is_leaving: bool) -> UpstreamLoad {
    UpstreamLoad {
        upstream: format!("engine-{number}").parse().expect("a name"),
        in_flight,
        reported: in_flight.checked_sub(1),
        report_age: Millis(120),
        availability: if is_leaving {
            UpstreamAvailability::Leaving
        } else {
            UpstreamAvailability::Live
        },
    }
}

fn digest(sequence: u64, loads: Vec<UpstreamLoad>) -> Digest {
    Digest { sequence, loads, entries: 8 }
}

#[test]
fn every_digest_comes_out_as_it_went_in() {
    let (mut numbers, mut names) = (LoadNumbers::default(), LoadNames::default());
    let digests = [
        digest(1, Vec::new()),
        digest(2, vec![load(3, 0, false), load(1, 5, true)]),
        digest(3, vec![load(1, 5, false), load(2, 1, true), load(3, 9, true)]),
        digest(4, vec![load(2, 0, false)]),
        digest(5, Vec::new()),
    ];
    for digest in digests {
        assert_eq!(names.decode(numbers.encode(&digest)), Some(digest));
    }
    assert_eq!(names.dropped(), 0);
}

#[test]
fn a_known_upstream_takes_few_bytes() {
    let mut numbers = LoadNumbers::default();
    let all = digest(1, (0..600).map(|it| load(it, 3, false)).collect());
    numbers.encode(&all);
    let frame = wire::encode(&numbers.encode(&all)).expect("it fits");
    assert!(frame.len() <= 600 * 5 + 10, "{} bytes", frame.len());
}

#[test]
fn after_a_loss_digests_are_dropped_until_the_numbering_begins_anew() {
    // Guards against marking the wrong upstream as draining: a digest with new names is lost between
    // two members, and the receiver assigns its own next numbers to the names of later digests.
    let (mut numbers, mut names) = (LoadNumbers::default(), LoadNames::default());
    names.decode(numbers.encode(&digest(1, vec![load(1, 0, false)]))).expect("it is whole");
    let _lost = numbers.encode(&digest(2, vec![load(2, 0, false)]));
    assert_eq!(names.decode(numbers.encode(&digest(3, vec![load(2, 0, true)]))), None);
    assert_eq!(names.decode(numbers.encode(&digest(4, vec![load(3, 0, true)]))), None);
    assert_eq!(names.dropped(), 2);
    let restarted = digest(5, vec![load(2, 0, true)]);
    assert_eq!(names.decode(LoadNumbers::default().encode(&restarted)), Some(restarted));
}
