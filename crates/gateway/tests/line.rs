//! Who waits for room at upstreams, and in which order.

use std::time::Duration;

use gateway::line::{Line, Pace};
use tokio::time::Instant;

/// A request: its rank, and the time within which it must have room, in ms.
type Request = (u8, u64);

struct Case {
    name: &'static str,
    /// The moments at which the entry's own share has room, in ms.
    own: &'static [u64],
    /// The expected time between two loans, in ms; zero if nothing is known of it.
    loans: Option<u64>,
    waiting: &'static [Request],
    newcomer: Request,
    /// How many go before it, or when there would be room for it, in ms.
    joined: Result<usize, Option<u64>>,
}

/// Room every half second.
const EVEN: &[u64] = &[1_000, 1_500, 2_000, 2_500, 3_000, 3_500];

const CASES: &[Case] = &[
    Case {
        name: "nobody waits",
        own: EVEN,
        loans: None,
        waiting: &[],
        newcomer: (1, 3_000),
        joined: Ok(0),
    },
    Case {
        name: "room comes too late",
        own: EVEN,
        loans: None,
        waiting: &[],
        newcomer: (1, 900),
        joined: Err(Some(1_000)),
    },
    Case {
        name: "behind those with the same time",
        own: EVEN,
        loans: None,
        waiting: &[(1, 3_000), (1, 3_000)],
        newcomer: (1, 3_000),
        joined: Ok(2),
    },
    Case {
        name: "its turn would come too late",
        own: EVEN,
        loans: None,
        waiting: &[(1, 3_000), (1, 3_000), (1, 3_000), (1, 3_000), (1, 3_000)],
        newcomer: (1, 3_000),
        joined: Err(Some(3_500)),
    },
    Case {
        name: "less time goes before those that can wait",
        own: EVEN,
        loans: None,
        waiting: &[(1, 2_000), (1, 9_000), (1, 9_000)],
        newcomer: (1, 1_900),
        joined: Ok(0),
    },
    Case {
        name: "behind one with less time, before those that can wait",
        own: EVEN,
        loans: None,
        waiting: &[(1, 1_400), (1, 9_000), (1, 9_000)],
        newcomer: (1, 1_900),
        joined: Ok(1),
    },
    Case {
        name: "nobody loses a turn to one that comes later",
        own: EVEN,
        loans: None,
        waiting: &[(1, 1_400), (1, 2_200)],
        newcomer: (1, 1_300),
        joined: Err(Some(2_000)),
    },
    Case {
        name: "one that has lost its turn holds up nobody",
        own: EVEN,
        loans: None,
        waiting: &[(1, 900), (1, 9_000)],
        newcomer: (1, 1_700),
        joined: Ok(1),
    },
    Case {
        name: "the more urgent goes first",
        own: EVEN,
        loans: None,
        waiting: &[(0, 9_000), (1, 2_000), (2, 2_000)],
        newcomer: (0, 9_000),
        joined: Ok(1),
    },
    Case {
        name: "the less urgent goes last",
        own: EVEN,
        loans: None,
        waiting: &[(0, 9_000), (1, 9_000)],
        newcomer: (2, 1_500),
        joined: Err(Some(2_000)),
    },
    Case {
        name: "room of its own share comes sooner than on average",
        own: &[1_000, 1_000, 1_200],
        loans: None,
        waiting: &[(1, 3_000), (1, 3_000)],
        newcomer: (1, 3_000),
        joined: Ok(2),
    },
    Case {
        name: "its own share is used up",
        own: &[1_000, 1_000, 1_200],
        loans: None,
        waiting: &[(1, 3_000), (1, 3_000), (1, 3_000)],
        newcomer: (1, 3_000),
        joined: Err(None),
    },
    Case {
        name: "loans come between its own",
        own: &[1_000, 4_000],
        loans: Some(900),
        waiting: &[(1, 3_000), (1, 3_000)],
        newcomer: (1, 3_000),
        joined: Ok(2),
    },
    Case {
        name: "loans alone",
        own: &[],
        loans: Some(900),
        waiting: &[(1, 3_000), (1, 3_000), (1, 3_000)],
        newcomer: (1, 3_000),
        joined: Err(Some(3_600)),
    },
    Case {
        name: "nothing is known of the pace",
        own: &[],
        loans: Some(0),
        waiting: &[(1, 3_000), (1, 3_000)],
        newcomer: (1, 1_300),
        joined: Ok(0),
    },
];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that wait for room in vain, and against refusing those that can be served.
#[test]
fn a_request_waits_if_its_turn_comes_in_time() {
    let now = Instant::now();
    for case in CASES {
        let own = case.own.iter().map(|it| now + ms(*it)).collect();
        let pace = Pace { now, own, loans: case.loans.map(ms) };
        let mut line = Line::default();
        for (rank, latest) in case.waiting {
            // Whoever waits joined while there was room soon.
            let soon = Pace { now, own: Vec::new(), loans: Some(Duration::ZERO) };
            line.join(*rank, now + ms(*latest), &soon).expect("joined");
        }
        let (rank, latest) = case.newcomer;
        let joined = line.join(rank, now + ms(latest), &pace);
        let joined = joined.map(|it| line.ahead(it));
        let wanted = case.joined.map_err(|it| it.map(|it| now + ms(it)));
        assert_eq!(joined, wanted, "{}", case.name);
    }
}

/// Guards against a line that stands still because one that has left is still counted.
#[test]
fn whoever_leaves_holds_up_nobody() {
    let now = Instant::now();
    let pace = Pace { now, own: Vec::new(), loans: Some(ms(100)) };
    let mut line = Line::default();
    let numbers: Vec<u64> =
        (0..3).map(|_| line.join(1, now + ms(3_000), &pace).expect("joined")).collect();
    assert_eq!(line.ahead(numbers[2]), 2);
    assert_eq!(line.ahead_of_rank(0), 0, "a more urgent one goes first");
    assert_eq!(line.ahead_of_rank(1), 3);
    line.leave(numbers[0]);
    assert_eq!(line.ahead(numbers[2]), 1);
    line.leave(numbers[1]);
    assert_eq!((line.ahead(numbers[2]), line.len()), (0, 1));
}
