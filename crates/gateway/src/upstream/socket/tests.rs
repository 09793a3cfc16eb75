//! When a connection counts as lost.

use super::*;

struct Case {
    name: &'static str,
    looks: (Sending, Sending),
    waited: Duration,
    lost: bool,
}

const fn unanswered(ms: u64) -> Sending {
    Sending::Unanswered(Duration::from_millis(ms))
}

const fn case(name: &'static str, looks: (Sending, Sending), waited_ms: u64, lost: bool) -> Case {
    Case { name, looks, waited: Duration::from_millis(waited_ms), lost }
}

const CASES: &[Case] = &[
    case("all acknowledged", (Sending::Free, Sending::Free), 9_000, false),
    case("no room", (Sending::NoRoom, Sending::NoRoom), 9_000, false),
    case("asked after a long pause", (Sending::NoRoom, unanswered(3_200)), 9_000, false),
    case("answered", (unanswered(2_000), Sending::NoRoom), 9_000, false),
    case("one question without an answer", (unanswered(900), unanswered(1_400)), 9_000, false),
    case("an idle connection", (unanswered(3_500), unanswered(4_000)), 1_000, false),
    case("path cut", (unanswered(1_800), unanswered(2_300)), 2_300, true),
    case("path cut, idle before", (unanswered(6_000), unanswered(6_500)), 2_500, true),
];

/// Guards against giving up a peer without room, and against waiting for one that can't be reached.
#[test]
fn a_connection_is_lost_when_its_peer_answers_nothing() {
    for Case { name, looks: (before, now), waited, lost } in CASES {
        assert_eq!(is_lost(*before, *now, *waited), *lost, "{name}");
    }
}
