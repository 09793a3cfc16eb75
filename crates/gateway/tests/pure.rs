//! Decisions without sockets: events, placement, budgets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::Upstream;
use gateway::body_memory::MemoryBudget;
use gateway::budget::{Budget, BudgetSpec, Retries, Share, Spender, Start};
use gateway::dialect::{Generation, PromptPart};
use gateway::events::EventSplitter;
use gateway::incarnation::{Incarnation, StartTime};
use gateway::place::{Load, Placement, place};
use gateway::prefill::PrefillTimes;
use tokio::time::Instant;

/// One retry.
const ONE: Retries = Retries(1.0);

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 9))
}

/// Returns the entry at an address.
fn position(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all are of version 4") };
    let [.., high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

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
        name: "a field before the number",
        reads: &["x: 3\nid: 4\ndata: a\n\n"],
        ids: &[Some(4)],
        rest: false,
    },
];

#[test]
fn events_come_out_whole() {
    for case in EVENTS {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        for read in case.reads {
            splitter.push(read.as_bytes());
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
            }
        }
        assert_eq!(ids, case.ids, "{}", case.name);
        assert_eq!(splitter.has_partial_event(), case.rest, "{}", case.name);
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
            version: "v1".into(),
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

fn placement(parts: &[PromptPart]) -> Placement<'_> {
    let (left, margin) = (Duration::from_millis(800), Duration::from_millis(160));
    Placement { parts, left, margin, domain: None, token_ms: 0.02 }
}

#[test]
fn prompts_that_share_parts_use_one_upstream() {
    let all = upstreams(12);
    let mut reversed = all.clone();
    reversed.reverse();
    let mut used = std::collections::BTreeSet::new();
    for deep in 0..200 {
        let parts = prompt(7, deep * 31);
        let here = place(&placement(&parts), &all, even, idle).expect("an upstream").upstream;
        let there = place(&placement(&parts), &reversed, even, idle).expect("an upstream").upstream;
        assert_eq!(here.id, there.id, "two entries differ");
        used.insert(Arc::clone(&here.id));
    }
    assert!(used.len() >= 10, "the sessions of a first part use {} upstreams", used.len());
}

/// Where a prompt goes, relative to the upstream that is first in rank.
#[derive(Debug, PartialEq)]
enum Destination {
    Home,
    /// To another upstream in the failure domain of the inputs.
    Near,
    Away,
}

struct PlaceCase {
    name: &'static str,
    /// The unread tokens at the first in rank, at others in the domain of the inputs, and
    /// elsewhere.
    waiting: [f64; 3],
    running: f64,
    destination: Destination,
}

/// At 0.02 ms per token and 800 ms left, 29,000 tokens fill the time.
const PLACES: &[PlaceCase] = &[
    PlaceCase { name: "all idle", waiting: [0.0; 3], running: 0.0, destination: Destination::Home },
    PlaceCase {
        name: "busy, yet in time",
        waiting: [20_000.0, 0.0, 0.0],
        running: 9.0,
        destination: Destination::Home,
    },
    PlaceCase {
        name: "not in time",
        waiting: [40_000.0, 0.0, 0.0],
        running: 0.0,
        destination: Destination::Near,
    },
    PlaceCase {
        name: "all near are full",
        waiting: [40_000.0, 40_000.0, 0.0],
        running: 0.0,
        destination: Destination::Away,
    },
    PlaceCase {
        name: "none is in time",
        waiting: [90_000.0, 80_000.0, 70_000.0],
        running: 0.0,
        destination: Destination::Away,
    },
    PlaceCase {
        name: "in time elsewhere, for too small a gain",
        waiting: [30_000.0, 24_000.0, 24_000.0],
        running: 0.0,
        destination: Destination::Home,
    },
    PlaceCase {
        name: "none, and home is soonest",
        waiting: [50_000.0, 80_000.0, 70_000.0],
        running: 0.0,
        destination: Destination::Home,
    },
];

/// Guards against late first events of long prompts in a burst while other upstreams are nearly
/// idle, and against shared parts that are read again everywhere. Several long prompts go to one
/// upstream within a second; it runs few requests, so the next prompt would follow them. This
/// happens if the load is a count of all entries' requests with the tokens of the entry's own
/// requests only.
#[test]
fn a_prompt_leaves_its_upstream_only_to_be_in_time() {
    let all = upstreams(12);
    for case in PLACES {
        let parts = prompt(7, 9);
        let home = place(&placement(&parts), &all, even, idle).expect("an upstream").upstream;
        let load = |it: &Upstream| {
            let at = if it.id == home.id { 0 } else { 1 + usize::from(it.domain != home.domain) };
            Load { running: case.running, tokens: case.waiting[at] }
        };
        let asked = Placement { domain: Some(&home.domain), ..placement(&parts) };
        let chosen = place(&asked, &all, even, load).expect("an upstream").upstream;
        let destination = match (chosen.id == home.id, chosen.domain == home.domain) {
            (true, _) => Destination::Home,
            (false, true) => Destination::Near,
            (false, false) => Destination::Away,
        };
        assert_eq!(destination, case.destination, "{}", case.name);
    }
}

struct MarginCase {
    name: &'static str,
    /// The time left, and by how much longer than expected first events took, in ms.
    left: u64,
    margin: u64,
    /// The tokens that wait at the home.
    waiting: f64,
    stays: bool,
}

/// At 0.02 ms per token; 1,500 tokens or so of the prompt's own, and 60 ms besides.
const MARGINS: &[MarginCase] = &[
    MarginCase {
        name: "only just in time",
        left: 4_000,
        margin: 0,
        waiting: 190_000.0,
        stays: true,
    },
    MarginCase { name: "too late", left: 4_000, margin: 0, waiting: 200_000.0, stays: false },
    MarginCase {
        name: "in time if nothing comes between",
        left: 4_000,
        margin: 300,
        waiting: 190_000.0,
        stays: false,
    },
    MarginCase {
        name: "a short objective and the same margin",
        left: 800,
        margin: 300,
        waiting: 15_000.0,
        stays: true,
    },
    MarginCase { name: "late already", left: 0, margin: 0, waiting: 15_000.0, stays: false },
];

/// Guards against prompts that leave the upstream which has read their shared parts, because of a margin that
/// grows with the objective of their route and not with the error of what is expected.
#[test]
fn a_prompt_stays_within_the_error_of_what_is_expected() {
    let all = upstreams(12);
    for case in MARGINS {
        let parts = prompt(7, 9);
        let home = place(&placement(&parts), &all, even, idle).expect("an upstream").upstream;
        let load = |it: &Upstream| Load {
            running: 0.0,
            tokens: if it.id == home.id { case.waiting } else { 0.0 },
        };
        let (left, margin) = (Duration::from_millis(case.left), Duration::from_millis(case.margin));
        let asked = Placement { left, margin, ..placement(&parts) };
        let chosen = place(&asked, &all, even, load).expect("an upstream").upstream;
        assert_eq!(chosen.id == home.id, case.stays, "{}", case.name);
    }
}

#[test]
fn weights_move_prompts() {
    let all = upstreams(12);
    let heavy = |it: &Upstream| if &*it.domain == "d-0" { 2.0 } else { 0.5 };
    let at_heavy = (0..300u64).filter(|it| {
        let parts = prompt(it * 977, it * 31);
        let chosen = place(&placement(&parts), &all, heavy, idle);
        chosen.is_some_and(|it| &*it.upstream.domain == "d-0")
    });
    // Two thirds of the weight; the bounds are six standard deviations wide.
    let count = at_heavy.count();
    assert!((150..250).contains(&count), "{count} of 300");
}

#[test]
fn retries_stay_within_ratio_and_burst() {
    let start = Instant::now();
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 40.0 };
    let budget = Budget::new(spec, address(0), Start::First, start);
    budget.learn((0..8).map(address), start);
    let (service, share): (Arc<str>, _) = ("s".into(), Share::OfEntries);
    for _ in 0..100 {
        budget.record(&service, Spender::Entry, 1, start);
    }
    let granted = (0..100)
        .filter(|_| {
            budget
                .take(&service, Spender::Entry, ONE, share, start)
                .is_ok_and(|it| it.begin_send(start))
        })
        .count();
    // A fifth of 100 requests, and an eighth of the burst.
    assert!(granted <= 25, "{granted} retries");
    assert!(granted >= 18, "{granted} retries");
    let later = start + Duration::from_secs(11);
    let again = (0..100)
        .filter(|_| {
            budget
                .take(&service, Spender::Entry, ONE, share, later)
                .is_ok_and(|it| it.begin_send(later))
        })
        .count();
    assert!(again <= 5, "{again} retries without requests");
}

/// Guards against a budget that is used up by requests that were never sent again: no connection was there.
#[test]
fn a_retry_that_was_not_sent_is_given_back() {
    let start = Instant::now();
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 40.0 };
    let budget = Budget::new(spec, address(0), Start::First, start);
    budget.learn((0..8).map(address), start);
    let service: Arc<str> = "s".into();
    budget.record(&service, Spender::Entry, 10, start);
    let take = || budget.take(&service, Spender::Entry, ONE, Share::OfEntries, start);
    for _ in 0..100 {
        assert!(take().is_ok());
    }
    let kept: Vec<_> = (0..100).map_while(|_| take().ok()).collect();
    assert!(kept.len() < 7, "{} retries that are about to be sent", kept.len());
    drop(kept);
    let lent = take().expect("a retry").lent_until(start);
    assert!(!lent.begin_send(start + Duration::from_millis(1)), "it is no longer lent");
}

/// Guards against an owner that may repeat next to nothing because its budget is that of one entry of
/// many: in a burst, results find no space at their upstreams, or a call is lost, and each piece of it
/// fails its request.
#[test]
fn an_owner_may_repeat_the_pieces_of_all_entries() {
    /// The entries, each with its submitted pieces in the window.
    const ENTRIES: u32 = 89;
    const PIECES: u32 = 40;
    let start = Instant::now();
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 218.0 };
    let service: Arc<str> = "s".into();
    let granted = |budget: &Budget, spender, share| {
        (0..10_000)
            .filter(|_| {
                budget
                    .take(&service, spender, ONE, share, start)
                    .is_ok_and(|it| it.begin_send(start))
            })
            .count()
    };
    let spawn = || Budget::new(spec, address(0), Start::First, start);
    let owner = spawn();
    owner.record(&service, Spender::Owner, ENTRIES * PIECES, start);
    let by_owner = granted(&owner, Spender::Owner, Share::Equal(1));
    assert!(by_owner >= 300, "{by_owner} repeated pieces");
    let submitter = spawn();
    submitter.learn((0..ENTRIES as usize).map(address), start);
    submitter.record(&service, Spender::Submitter, PIECES, start);
    let by_submitter = granted(&submitter, Spender::Submitter, Share::OfEntries);
    // With the next owner of the same section, which has got as many pieces again.
    let all = 2 * by_owner + ENTRIES as usize * by_submitter;
    let allowed = 0.2 * f64::from(2 * ENTRIES * PIECES) + 218.0;
    assert!(all as f64 <= allowed, "{all} repeated pieces of {allowed}");
}

struct Fleet {
    entries: usize,
    burst: f64,
    /// The entry of which a request has failed.
    failed: usize,
}

const FLEETS: &[Fleet] = &[
    Fleet { entries: 8, burst: 56.0, failed: 7 },
    Fleet { entries: 830, burst: 1_040.0, failed: 829 },
    Fleet { entries: 985, burst: 1_040.0, failed: 984 },
    Fleet { entries: 2_000, burst: 1_040.0, failed: 1_999 },
    Fleet { entries: 20_000, burst: 1_040.0, failed: 5 },
    Fleet { entries: 20_000, burst: 2.0, failed: 700 },
];

/// Guards against a fleet in which no request may be sent again: the burst, divided by the number of
/// entries, is less than one retry.
#[test]
fn one_retry_is_possible_in_an_idle_fleet_of_any_size() {
    let start = Instant::now();
    let service: Arc<str> = "s".into();
    for case in FLEETS {
        let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: case.burst };
        let spawn = |own| {
            let budget = Budget::new(spec, address(own), Start::First, start);
            budget.learn((0..case.entries).map(address), start);
            budget
        };
        let lenders = spawn(case.failed).lenders(Spender::Entry);
        let lenders: BTreeSet<usize> = lenders.into_iter().map(position).collect();
        // Where a few entries lend, some others stand for all.
        let shown = if lenders.len() + 1 < case.entries { 50 } else { case.entries };
        let others = (0..case.entries).step_by(case.entries.div_ceil(shown));
        let played: BTreeSet<usize> =
            lenders.iter().copied().chain(others).chain([case.failed]).collect();
        let budgets: BTreeMap<usize, Budget> = played.iter().map(|it| (*it, spawn(*it))).collect();
        let take = |it: &usize| {
            budgets[it]
                .take(&service, Spender::Entry, ONE, Share::OfEntries, start)
                .is_ok_and(|it| it.begin_send(start))
        };
        let borrowed = |own: usize| take(&own) || lenders.iter().any(take);
        assert!(borrowed(case.failed), "no retry at {} entries", case.entries);
        let all = 1 + played
            .iter()
            .map(|own| (0..100).take_while(|_| borrowed(*own)).count())
            .sum::<usize>();
        assert!(all as f64 <= case.burst, "{all} retries at {} entries", case.entries);
        assert!(all as f64 >= case.burst / 2.0, "{all} retries at {} entries", case.entries);
    }
}

/// Guards against refusing the longest prompts of a burst, and against prompts that leave the
/// upstreams holding their parts. Most prompts wait for others at their engine, a fifth meet an
/// idle one; a reading time taken from the mean would include the waits.
#[test]
fn unloaded_reading_time_excludes_waiting() {
    let times = PrefillTimes::default();
    let service: Arc<str> = "s".into();
    let parts = vec![PromptPart { id: 1, tokens: 10_000 }];
    let prompt = Generation { prompt: 10_000, output: 100, parts };
    for turn in 0..200 {
        // 0.02 ms per token at an idle engine, and three times as long for four of five prompts.
        let took = if turn % 5 == 0 { 220 } else { 620 };
        times.record(&service, &prompt, Duration::from_millis(took));
    }
    let unloaded = times.token_ms("s");
    assert!((0.014..0.035).contains(&unloaded), "{unloaded} ms per token");
    let (idle, likely) =
        (times.unloaded_first_event("s", &prompt), times.expected_first_event("s", &prompt));
    assert!(idle * 2 < likely, "{idle:?} at an idle engine, {likely:?} in the mean");
}

struct IncarnationCase {
    name: &'static str,
    /// The start times in the messages, in the order in which they arrive.
    messages: &'static [Option<u64>],
    /// The result for the last message.
    last: Incarnation,
}

const INCARNATIONS: &[IncarnationCase] = &[
    IncarnationCase {
        name: "the first with a start time",
        messages: &[None, Some(7)],
        last: Incarnation::Current,
    },
    IncarnationCase {
        name: "the same again",
        messages: &[Some(7), Some(7)],
        last: Incarnation::Current,
    },
    IncarnationCase {
        name: "one without a start time",
        messages: &[Some(7), None],
        last: Incarnation::Current,
    },
    IncarnationCase {
        name: "a newer incarnation",
        messages: &[Some(7), Some(9)],
        last: Incarnation::Newer,
    },
    IncarnationCase {
        name: "a late message of the older incarnation",
        messages: &[Some(9), Some(7)],
        last: Incarnation::Ended,
    },
    IncarnationCase {
        name: "after a late message",
        messages: &[Some(9), Some(7), Some(9)],
        last: Incarnation::Current,
    },
];

/// Guards against requests that get results that are gone, and against a working upstream whose
/// state is discarded. An upstream restarts under the same id, and answers of both incarnations
/// arrive out of order; the id alone doesn't tell them apart.
#[test]
fn incarnations_under_one_id_are_told_apart() {
    for case in INCARNATIONS {
        let upstream = &upstreams(1)[0];
        let seen: Vec<Incarnation> =
            case.messages.iter().map(|it| upstream.observe(it.map(StartTime))).collect();
        assert_eq!(seen.last(), Some(&case.last), "{}", case.name);
    }
}

/// Guards against an entry that runs out of memory and is killed with everything it has in flight.
/// Many callers send large bodies slowly and at the same time. This happens if each body is limited
/// but not their sum, or if memory that was released stays counted.
#[test]
fn bodies_together_stay_within_the_memory_budget() {
    let body_memory = MemoryBudget::new(10);
    let (mut one, mut two) = (body_memory.reserve(), body_memory.reserve());
    assert!(one.grow(6));
    assert!(!two.grow(5), "more than is left");
    assert!(two.grow(4));
    assert!(!one.grow(1));
    drop(one);
    assert!(two.grow(6), "the memory of a dropped body is free again");
    drop(two);
    assert!(body_memory.reserve().grow(10));
}
