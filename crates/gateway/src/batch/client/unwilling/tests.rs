//! Which entries are asked again, for what, and when.

use super::*;

/// What is asked for, in a table.
#[derive(Clone, Copy)]
enum Asked {
    Connections(u64),
    Room(u64),
    Retries(&'static str, Spender),
}

struct Case {
    name: &'static str,
    first: Asked,
    /// What is asked for next, and how much; the first time it was 2.
    next: Asked,
    amount: u32,
    late: bool,
    after_ms: u64,
    asked: bool,
}

const REFUSED: Case = Case {
    name: "refused just now",
    first: Asked::Connections(1),
    next: Asked::Connections(1),
    amount: 2,
    late: false,
    after_ms: 10,
    asked: false,
};

const ROOM: Case = Case { first: Asked::Room(1), next: Asked::Room(1), ..REFUSED };

const ENTRY: Asked = Asked::Retries("app", Spender::Entry);

const RETRIES: Case = Case { first: ENTRY, next: ENTRY, ..REFUSED };

const CASES: &[Case] = &[
    REFUSED,
    Case { name: "refused a while ago", after_ms: 400, asked: true, ..REFUSED },
    Case { name: "another upstream", next: Asked::Connections(2), asked: true, ..REFUSED },
    Case { name: "late", late: true, ..REFUSED },
    Case { name: "late, another upstream", late: true, next: Asked::Connections(2), ..REFUSED },
    Case { name: "late a while ago", late: true, after_ms: 1_100, asked: true, ..REFUSED },
    Case { name: "room refused just now", ..ROOM },
    Case { name: "room refused a while ago", after_ms: 400, asked: true, ..ROOM },
    Case { name: "room at another upstream", next: Asked::Room(2), asked: true, ..ROOM },
    Case { name: "room, connections refused", first: Asked::Connections(1), asked: true, ..ROOM },
    Case { name: "late for room, retries", late: true, next: ENTRY, ..ROOM },
    Case { name: "retries refused just now", ..RETRIES },
    Case { name: "more retries", amount: 3, ..RETRIES },
    Case { name: "fewer retries", amount: 1, asked: true, ..RETRIES },
    Case { name: "retries refused a while ago", after_ms: 400, asked: true, ..RETRIES },
    Case {
        name: "retries for another service",
        next: Asked::Retries("llm", Spender::Entry),
        asked: true,
        ..RETRIES
    },
    Case {
        name: "retries of another spender",
        next: Asked::Retries("app", Spender::Submitter),
        asked: true,
        ..RETRIES
    },
    Case { name: "late for retries, fewer", late: true, amount: 1, ..RETRIES },
    Case { name: "late for retries, room", late: true, next: Asked::Room(1), ..RETRIES },
];

fn item(asked: Asked) -> Item {
    match asked {
        Asked::Connections(upstream) => Item::Connections(upstream),
        Asked::Room(upstream) => Item::Room(upstream),
        Asked::Retries(service, spender) => Item::Retries(service.into(), spender),
    }
}

/// Guards against an entry that asks for ever more loans the later it is, and against requests that each
/// wait for a lender that stands still.
#[test]
fn a_lender_that_has_none_or_is_late_is_not_asked_at_once() {
    let lender = SocketAddr::from(([127, 0, 0, 1], 1));
    let other = SocketAddr::from(([127, 0, 0, 1], 2));
    for Case { name, first, next, amount, late, after_ms, asked } in CASES {
        let (lenders, now) = (UnwillingLenders::default(), Instant::now());
        if *late {
            lenders.add_late(lender, now);
        } else {
            lenders.add_refused(lender, item(*first), 2, now);
        }
        let then = now + Duration::from_millis(*after_ms);
        let willing = lenders.without(vec![lender, other], &item(*next), *amount, then);
        assert_eq!(willing.contains(&lender), *asked, "{name}");
        assert!(willing.contains(&other), "{name}");
    }
}
