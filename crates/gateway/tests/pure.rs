//! Decisions without sockets: events, lengths, places, budgets.

use std::sync::Arc;
use std::time::Duration;

use gateway::Upstream;
use gateway::budget::{Budget, BudgetSpec};
use gateway::dialect::{Generation, PromptPart};
use gateway::events::Splitter;
use gateway::guard::Scanner;
use gateway::life::{Born, Life};
use gateway::pace::Paces;
use gateway::place::{Load, Placing, place};
use gateway::room::Room;
use tokio::time::Instant;

struct EventCase {
    name: &'static str,
    reads: &'static [&'static str],
    ids: &'static [Option<u64>],
    rest: bool,
}

const EVENTS: &[EventCase] = &[
    EventCase { name: "one", reads: &["id: 1\ndata: a\n\n"], ids: &[Some(1)], rest: false },
    EventCase {
        name: "two at once",
        reads: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"],
        ids: &[Some(1), Some(2)],
        rest: false,
    },
    EventCase {
        name: "cut between the line ends",
        reads: &["id: 1\ndata: a\n", "\nid: 2\n", "\n"],
        ids: &[Some(1), Some(2)],
        rest: false,
    },
    EventCase {
        name: "cut in an event",
        reads: &["id: 1\n\nid: 2\nda"],
        ids: &[Some(1)],
        rest: true,
    },
    EventCase { name: "no number", reads: &["data: a\n\n"], ids: &[None], rest: false },
    EventCase {
        name: "a first line before the number",
        reads: &["x: 3\nid: 4\ndata: a\n\n"],
        ids: &[Some(4)],
        rest: false,
    },
];

#[test]
fn events_come_out_whole() {
    for case in EVENTS {
        let mut splitter = Splitter::default();
        let mut ids = Vec::new();
        for read in case.reads {
            splitter.push(read.as_bytes());
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
            }
        }
        assert_eq!(ids, case.ids, "{}", case.name);
        assert_eq!(splitter.has_rest(), case.rest, "{}", case.name);
    }
}

struct LengthCase {
    name: &'static str,
    reads: &'static [&'static str],
    conflict: bool,
}

const LENGTHS: &[LengthCase] = &[
    LengthCase {
        name: "a length",
        reads: &["POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na"],
        conflict: false,
    },
    LengthCase {
        name: "both in one head",
        reads: &["POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n"],
        conflict: true,
    },
    LengthCase {
        name: "both, cut in a name",
        reads: &[
            "POST / HTTP/1.1\r\ntransfer-enco",
            "ding: chunked\r\ncontent-le",
            "ngth: 1\r\n\r\n",
        ],
        conflict: true,
    },
    LengthCase {
        name: "one each in two heads",
        reads: &[
            "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        ],
        conflict: false,
    },
];

/// Symptom: an upstream runs a request that no caller sent.
/// Sequence: a head gives a length and chunks; the body holds a request after its chunks.
/// Cause: the rest of the body is taken for the connection's next request.
#[test]
fn a_head_with_two_lengths_is_seen() {
    for case in LENGTHS {
        let mut scanner = Scanner::default();
        let seen = case.reads.iter().any(|it| scanner.push(it.as_bytes()));
        assert_eq!(seen, case.conflict, "{}", case.name);
    }
}

fn upstreams(count: usize) -> Vec<Arc<Upstream>> {
    let make = |number: usize| {
        let listed = registry::Upstream {
            id: format!("u-{number}"),
            service: "s".to_owned(),
            address: ([10, 0, 0, 1], 1000 + number as u16).into(),
            domain: format!("d-{}", number % 3),
            slots: 8,
            health: registry::Health::Ready,
        };
        Arc::new(Upstream::new(&listed, 4))
    };
    (0..count).map(make).collect()
}

fn prompt(first: u64, deep: u64) -> [PromptPart; 3] {
    [(first, 800), (deep, 400), (deep + 1, 200)].map(|(id, tokens)| PromptPart { id, tokens })
}

fn idle(_: &Upstream) -> Load {
    Load::default()
}

fn even(_: &Upstream) -> f64 {
    1.0
}

fn placing(parts: &[PromptPart]) -> Placing<'_> {
    Placing { parts, left: Duration::from_millis(800), domain: None, token_ms: 0.02 }
}

#[test]
fn prompts_that_share_parts_meet() {
    let all = upstreams(12);
    let mut reversed = all.clone();
    reversed.reverse();
    let mut used = std::collections::BTreeSet::new();
    for deep in 0..200 {
        let parts = prompt(7, deep * 31);
        let here = place(&placing(&parts), &all, even, idle).expect("an upstream");
        let there = place(&placing(&parts), &reversed, even, idle).expect("an upstream");
        assert_eq!(here.id, there.id, "two entries differ");
        used.insert(Arc::clone(&here.id));
    }
    assert!(used.len() >= 10, "the sessions of a first part use {} upstreams", used.len());
}

/// Where a prompt goes, from the first in rank.
#[derive(Debug, PartialEq)]
enum Goes {
    Home,
    /// To another one in the domain of the inputs.
    Near,
    Away,
}

struct PlaceCase {
    name: &'static str,
    /// Tokens that wait at the first in rank, at others in the domain of the inputs, and elsewhere.
    waiting: [f64; 3],
    running: f64,
    goes: Goes,
}

/// At 0.02 ms a token and 800 ms left, 29,000 tokens fill the time.
const PLACES: &[PlaceCase] = &[
    PlaceCase { name: "all idle", waiting: [0.0; 3], running: 0.0, goes: Goes::Home },
    PlaceCase {
        name: "busy, yet in time",
        waiting: [20_000.0, 0.0, 0.0],
        running: 9.0,
        goes: Goes::Home,
    },
    PlaceCase {
        name: "not in time",
        waiting: [40_000.0, 0.0, 0.0],
        running: 0.0,
        goes: Goes::Near,
    },
    PlaceCase {
        name: "all near are full",
        waiting: [40_000.0, 40_000.0, 0.0],
        running: 0.0,
        goes: Goes::Away,
    },
    PlaceCase {
        name: "none is in time",
        waiting: [90_000.0, 80_000.0, 70_000.0],
        running: 0.0,
        goes: Goes::Away,
    },
    PlaceCase {
        name: "in time elsewhere, for too small a gain",
        waiting: [30_000.0, 24_000.0, 24_000.0],
        running: 0.0,
        goes: Goes::Home,
    },
    PlaceCase {
        name: "none, and home is soonest",
        waiting: [50_000.0, 80_000.0, 70_000.0],
        running: 0.0,
        goes: Goes::Home,
    },
];

/// Symptom: first events of long prompts are late in a burst while other upstreams have little to do,
/// or shared parts are read again everywhere.
/// Sequence: some long prompts go to one upstream within a second; it runs few requests, so the next
/// one follows them there.
/// Cause: load was a count of requests of all entries, with the tokens of one's own alone.
#[test]
fn a_prompt_leaves_its_upstream_only_to_be_in_time() {
    let all = upstreams(12);
    for case in PLACES {
        let parts = prompt(7, 9);
        let home = Arc::clone(place(&placing(&parts), &all, even, idle).expect("an upstream"));
        let load = |it: &Upstream| {
            let at = if it.id == home.id { 0 } else { 1 + usize::from(it.domain != home.domain) };
            Load { running: case.running, tokens: case.waiting[at] }
        };
        let asked = Placing { domain: Some(&home.domain), ..placing(&parts) };
        let chosen = place(&asked, &all, even, load).expect("an upstream");
        let goes = match (chosen.id == home.id, chosen.domain == home.domain) {
            (true, _) => Goes::Home,
            (false, true) => Goes::Near,
            (false, false) => Goes::Away,
        };
        assert_eq!(goes, case.goes, "{}", case.name);
    }
}

#[test]
fn weights_move_prompts() {
    let all = upstreams(12);
    let heavy = |it: &Upstream| if &*it.domain == "d-0" { 2.0 } else { 0.5 };
    let at_heavy = (0..300u64).filter(|it| {
        let parts = prompt(it * 977, it * 31);
        let chosen = place(&placing(&parts), &all, heavy, idle);
        chosen.is_some_and(|it| &*it.domain == "d-0")
    });
    // Two thirds of the weight; the bounds are six standard deviations wide.
    let count = at_heavy.count();
    assert!((150..250).contains(&count), "{count} of 300");
}

#[test]
fn repeats_stay_within_ratio_and_burst() {
    let start = Instant::now();
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 40.0 };
    let budget = Budget::new(spec, start);
    let service: Arc<str> = "s".into();
    for _ in 0..100 {
        budget.request(&service, start);
    }
    let granted = (0..100).filter(|_| budget.take(&service, 1, 8, start)).count();
    // A fifth of 100 requests and an eighth of the burst.
    assert!(granted <= 25, "{granted} repeats");
    assert!(granted >= 18, "{granted} repeats");
    let later = start + Duration::from_secs(11);
    let again = (0..100).filter(|_| budget.take(&service, 1, 8, later)).count();
    assert!(again <= 5, "{again} repeats of no request");
}

/// Symptom: in a burst the longest prompts are refused, or all prompts leave the upstreams that hold
/// their parts.
/// Sequence: most prompts wait for others at their engine, a fifth meet an idle one.
/// Cause: the time to read a token is taken from the mean, waits included.
#[test]
fn reading_by_itself_is_told_from_waiting() {
    let paces = Paces::default();
    let service: Arc<str> = "s".into();
    let parts = vec![PromptPart { id: 1, tokens: 10_000 }];
    let prompt = Generation { prompt: 10_000, output: 100, parts };
    for turn in 0..200 {
        // 0.02 ms a token by itself, and three times as long for four of five.
        let took = if turn % 5 == 0 { 220 } else { 620 };
        paces.learn(&service, &prompt, Duration::from_millis(took));
    }
    let bare = paces.token_ms("s");
    assert!((0.014..0.035).contains(&bare), "{bare} ms a token");
    let (least, likely) = (paces.least("s", &prompt), paces.first_event("s", &prompt));
    assert!(least * 2 < likely, "{least:?} by itself, {likely:?} in the mean");
}

struct LifeCase {
    name: &'static str,
    /// What messages tell, in the order in which they come.
    told: &'static [Option<u64>],
    /// What the last of them is.
    last: Life,
}

const LIVES: &[LifeCase] = &[
    LifeCase { name: "the first that tells", told: &[None, Some(7)], last: Life::Same },
    LifeCase { name: "the same again", told: &[Some(7), Some(7)], last: Life::Same },
    LifeCase { name: "one that does not tell", told: &[Some(7), None], last: Life::Same },
    LifeCase { name: "a new life", told: &[Some(7), Some(9)], last: Life::New },
    LifeCase { name: "a late word of the old life", told: &[Some(9), Some(7)], last: Life::Past },
    LifeCase { name: "after a late word", told: &[Some(9), Some(7), Some(9)], last: Life::Same },
];

/// Symptom: requests are given results that are gone, or a sound upstream loses what it is known for.
/// Sequence: an upstream starts again under its id; answers of both lives arrive out of order.
/// Cause: the id alone doesn't tell which life an answer is of.
#[test]
fn lives_under_one_id_are_told_apart() {
    for case in LIVES {
        let upstream = &upstreams(1)[0];
        let seen: Vec<Life> = case.told.iter().map(|it| upstream.observe(it.map(Born))).collect();
        assert_eq!(seen.last(), Some(&case.last), "{}", case.name);
    }
}

/// Symptom: an entry runs out of memory and is killed with all it has under way.
/// Sequence: many callers send large bodies, slowly, at the same time.
/// Cause: each body is bounded and their sum is not, or room that was given up stays taken.
#[test]
fn bodies_together_stay_within_their_room() {
    let room = Room::new(10);
    let (mut one, mut two) = (room.hold(), room.hold());
    assert!(one.grow(6));
    assert!(!two.grow(5), "more than there is");
    assert!(two.grow(4));
    assert!(!one.grow(1));
    drop(one);
    assert!(two.grow(6), "the room of a body that is gone is free again");
    drop(two);
    assert!(room.hold().grow(10));
}
