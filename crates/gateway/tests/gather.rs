//! How many upstreams share the prompts that begin alike, on virtual time.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gateway::Upstream;
use gateway::dialect::PromptPart;
use gateway::place::{Load, Placement, place, place_gathered, width};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The time that an upstream needs to read a token, in ms.
const TOKEN_MS: f64 = 0.026;

/// The tokens of a prompt's parts: the first, one of a session, and its own.
const PART_TOKENS: [u32; 3] = [4_000, 2_300, 2_900];

/// The time left until the first event is due.
const LEFT: Duration = Duration::from_millis(800);

/// By how much longer than expected first events take.
const MARGIN: Duration = Duration::from_millis(160);

/// How long an answer takes after its prompt was read, in ms.
const ANSWER_MS: f64 = 1_000.0;

/// How old the loads are that an entry knows, in ms.
const LOADS_AGE_MS: f64 = 300.0;

/// The length of a play in ms.
const PLAY_MS: f64 = 20_000.0;

fn upstreams(count: usize) -> Vec<Arc<Upstream>> {
    let make = |number: usize| {
        let listed = registry::Upstream {
            id: format!("u-{number}"),
            service: "s".to_owned(),
            address: ([10, 0, (number >> 8) as u8, number as u8], 1_000).into(),
            domain: format!("d-{}", number % 5),
            slots: 64,
            health: registry::Health::Ready,
            version: "v1".into(),
        };
        Arc::new(Upstream::new(&listed, 4))
    };
    (0..count).map(make).collect()
}

/// A request at an upstream.
struct Run {
    sent: f64,
    read: f64,
    end: f64,
    tokens: f64,
}

/// An upstream during a play.
#[derive(Default)]
struct Engine {
    read: BTreeSet<u64>,
    free: f64,
    runs: Vec<Run>,
}

impl Engine {
    /// Returns the load that entries know at `now`.
    fn load(&self, now: f64) -> Load {
        let known = now - LOADS_AGE_MS;
        let running = self.runs.iter().filter(|it| it.sent <= known && known < it.end);
        let waiting = self.runs.iter().filter(|it| it.sent <= known && known < it.read);
        Load { running: running.count() as f64, tokens: waiting.map(|it| it.tokens).sum() }
    }

    /// Runs a prompt; returns the time until it is read, in ms.
    fn run(&mut self, parts: &[PromptPart], now: f64) -> f64 {
        let unread = parts.iter().filter(|it| self.read.insert(it.id));
        let tokens: f64 = unread.map(|it| f64::from(it.tokens)).sum();
        self.free = self.free.max(now) + tokens * TOKEN_MS;
        let read = self.free;
        self.runs.push(Run { sent: now, read, end: read + ANSWER_MS, tokens });
        read - now
    }
}

/// How upstreams are chosen.
#[derive(Clone, Copy)]
enum Way {
    /// Among all, by a deep part.
    Everywhere,
    /// Among a few for each first part.
    Gathered,
}

struct Case {
    name: &'static str,
    upstreams: usize,
    /// The requests of all entries per second.
    rate: f64,
    /// The number of different first parts.
    firsts: u64,
    /// The greatest share of the first parts' reads of the other way that gathering may need.
    most: f64,
}

const CASES: &[Case] = &[
    Case { name: "an idle fleet", upstreams: 5_600, rate: 100.0, firsts: 1, most: 0.25 },
    Case { name: "twice as large", upstreams: 11_200, rate: 200.0, firsts: 2, most: 0.25 },
    Case { name: "busy", upstreams: 160, rate: 400.0, firsts: 3, most: 1.0 },
    Case { name: "few upstreams", upstreams: 12, rate: 20.0, firsts: 3, most: 1.0 },
];

/// The outcome of a play.
#[derive(Default)]
struct Outcome {
    first_reads: usize,
    late: usize,
    requests: usize,
}

fn play(case: &Case, way: Way, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let all = upstreams(case.upstreams);
    let mut engines: HashMap<Arc<str>, Engine> = HashMap::new();
    let mut outcome = Outcome::default();
    let mut now = 0.0;
    while now < PLAY_MS {
        now -= rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * 1e3 / case.rate;
        let first = 1 + rng.random_range(0..case.firsts);
        let ids = [first, 1_000 + rng.random_range(0..2_000u64), rng.random()];
        let parts: Vec<PromptPart> = ids
            .into_iter()
            .zip(PART_TOKENS)
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect();
        let placement = Placement {
            parts: &parts,
            left: LEFT,
            margin: MARGIN,
            domain: None,
            token_ms: TOKEN_MS,
        };
        let load = |it: &Upstream| engines.get(&it.id).map_or(Load::default(), |it| it.load(now));
        let running: f64 = engines.values().map(|it| it.load(now).running).sum();
        let chosen = match way {
            Way::Everywhere => place(&placement, &all, |_| 1.0, load),
            Way::Gathered => {
                let width = width(running as usize, all.len());
                place_gathered(&placement, &all, width, |_| 1.0, load)
            }
        };
        let chosen = chosen.expect("an upstream").upstream;
        let engine = engines.entry(Arc::clone(&chosen.id)).or_default();
        outcome.first_reads += usize::from(!engine.read.contains(&first));
        outcome.late += usize::from(engine.run(&parts, now) > LEFT.as_secs_f64() * 1e3);
        outcome.requests += 1;
    }
    outcome
}

fn check(case: &Case, seed: u64) {
    let everywhere = play(case, Way::Everywhere, seed);
    let gathered = play(case, Way::Gathered, seed);
    let (reads, before) = (gathered.first_reads, everywhere.first_reads);
    assert!(
        reads as f64 <= case.most * before as f64,
        "{}, seed {seed}: {reads} reads of {before}",
        case.name
    );
    let allowed = everywhere.late + gathered.requests / 100;
    assert!(
        gathered.late <= allowed,
        "{}, seed {seed}: {} late, {allowed} allowed",
        case.name,
        gathered.late
    );
}

/// Guards against a fleet with many more upstreams than its requests keep busy, in which nearly every
/// request reads the first part of its prompt at an upstream that has not read it.
#[test]
fn prompts_that_begin_alike_are_gathered_while_upstreams_are_idle() {
    thread::scope(|scope| {
        for case in CASES {
            for seed in 0..3 {
                scope.spawn(move || check(case, seed));
            }
        }
    });
}

struct Width {
    running: usize,
    upstreams: usize,
    width: usize,
}

const WIDTHS: &[Width] = &[
    Width { running: 0, upstreams: 12, width: 12 },
    Width { running: 0, upstreams: 5_000, width: 64 },
    Width { running: 400, upstreams: 5_000, width: 200 },
    Width { running: 1_000, upstreams: 5_000, width: 500 },
    Width { running: 1_500, upstreams: 5_000, width: 5_000 },
    Width { running: 25, upstreams: 90, width: 90 },
    Width { running: 20_000, upstreams: 5_000, width: 5_000 },
];

#[test]
fn the_width_follows_what_runs() {
    for case in WIDTHS {
        assert_eq!(width(case.running, case.upstreams), case.width, "{} running", case.running);
    }
}

/// Guards against prompts that stay on a few upstreams which can't answer in time.
#[test]
fn prompts_leave_the_gathered_upstreams_once_these_are_late() {
    let all = upstreams(500);
    let parts = [PromptPart { id: 7, tokens: 4_000 }, PromptPart { id: 8, tokens: 900 }];
    let placement =
        Placement { parts: &parts, left: LEFT, margin: MARGIN, domain: None, token_ms: TOKEN_MS };
    let choose = |load: &dyn Fn(&Upstream) -> Load| {
        place_gathered(&placement, &all, 64, |_| 1.0, load).expect("an upstream").upstream
    };
    let home = choose(&|_| Load::default());
    let near: BTreeSet<Arc<str>> = (0..2_000)
        .map(|id| {
            let parts = [parts[0], PromptPart { id: 100 + id, tokens: 1 }, parts[1]];
            let placement = Placement { parts: &parts, ..placement };
            let chosen = place_gathered(&placement, &all, 64, |_| 1.0, |_| Load::default());
            Arc::clone(&chosen.expect("an upstream").upstream.id)
        })
        .collect();
    assert!(near.contains(&home.id) && near.len() == 64, "{} upstreams are used", near.len());
    let full = |it: &Upstream| Load {
        running: 0.0,
        tokens: if near.contains(&it.id) { 90_000.0 } else { 0.0 },
    };
    assert!(!near.contains(&choose(&full).id), "the prompt stays where it is late");
}
