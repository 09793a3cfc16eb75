//! Measures the effect of single rules, with six entries and simulated replicas in virtual time.
//!
//! `cargo run --release -p mothplank-routing --example rule_effects -- [SEEDS] [CASE] [RULE]`
#![allow(clippy::print_stdout, reason = "it prints a table")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{load, name, pool, service};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use routing::{CallEnd, Pick, PickRequest, RequestInfo, Router, Rules, SlotResponse};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use types::{Digest, PoolKind, Priority, Refusal, Tokens};

const ENTRIES: usize = 6;
/// The name, replicas, concurrent calls per replica and mean seconds of each stage's pool.
const POOLS: [(&str, usize, usize, f64); 2] = [("find", 4, 4, 0.18), ("write", 12, 8, 1.5)];
/// The name, priority and share of the load of each customer.
const CUSTOMERS: [(&str, u8, f64); 3] = [("yard", 0, 0.5), ("desk", 3, 0.4), ("studio", 3, 0.1)];
const DEADLINE: Duration = Duration::from_secs(5);
/// The time of the fault, from the start of the simulation.
const FAULT_SECONDS: std::ops::Range<f64> = 10.0..20.0;
/// The time in which outcomes are counted, from the start of the simulation.
const MEASURED_SECONDS: std::ops::Range<f64> = 5.0..26.0;

/// A case: its name; the load before and during the fault; how many times slower the first replica
/// and all replicas are; how many replicas fail each call, and how; the share of calls that fail;
/// the milliseconds between digests; the number of entries that get requests of priority 0.
type Case = (&'static str, [f64; 2], [f64; 2], (usize, CallEnd), f64, u64, usize);
const CASES: [Case; 14] = [
    ("steady 70%", [0.7, 0.7], [1.0, 1.0], (0, CallEnd::Failed), 0.0, 100, 6),
    ("burst 150%", [0.7, 1.5], [1.0, 1.0], (0, CallEnd::Failed), 0.0, 100, 6),
    ("one 10x slower", [0.7, 0.7], [10.0, 1.0], (0, CallEnd::Failed), 0.0, 100, 6),
    ("one 10x slower, 150%", [0.7, 1.5], [10.0, 1.0], (0, CallEnd::Failed), 0.0, 100, 6),
    ("third killed", [0.7, 0.7], [1.0, 1.0], (4, CallEnd::Refused), 0.0, 100, 6),
    ("third killed, 150%", [0.7, 1.5], [1.0, 1.0], (4, CallEnd::Refused), 0.0, 100, 6),
    ("third broken", [0.7, 0.7], [1.0, 1.0], (4, CallEnd::Failed), 0.0, 100, 6),
    ("all broken", [0.7, 0.7], [1.0, 1.0], (12, CallEnd::Failed), 0.0, 100, 6),
    ("half of calls fail", [0.7, 0.7], [1.0, 1.0], (0, CallEnd::Failed), 0.5, 100, 6),
    ("all 2.5x slower", [0.7, 0.7], [1.0, 2.5], (0, CallEnd::Failed), 0.0, 100, 6),
    ("burst 150%, skewed", [0.7, 1.5], [1.0, 1.0], (0, CallEnd::Failed), 0.0, 100, 1),
    ("killed 150%, skewed", [0.7, 1.5], [1.0, 1.0], (4, CallEnd::Refused), 0.0, 100, 1),
    ("90%, digest each 1 s", [0.9, 0.9], [1.0, 1.0], (0, CallEnd::Failed), 0.0, 1_000, 6),
    ("90%, digest cut", [0.9, 0.9], [1.0, 1.0], (0, CallEnd::Failed), 0.0, u64::MAX, 6),
];

/// First attempts and those that attained the deadline, by customer; complete answers; busy and
/// useful time; calls; latencies; first attempts and those that attained the deadline, from two
/// seconds after the fault on.
#[derive(Default)]
struct Tally([f64; 3], [f64; 3], f64, f64, f64, f64, Vec<u128>, [f64; 2]);

/// A replica's free slots, cached prefixes, slowdown, outcome of each call if it fails, and the
/// signal that it was killed.
type Replica = (Semaphore, RefCell<VecDeque<u64>>, Cell<f64>, Cell<Option<CallEnd>>, Notify);

struct World {
    case: &'static Case,
    begin: Instant,
    rng: RefCell<SmallRng>,
    routers: Vec<Router>,
    replicas: BTreeMap<String, Replica>,
    tally: RefCell<Tally>,
}

/// A call in flight. When dropped, it tells the router how the call ended.
struct Call<'a>(&'a World, &'a Router, Pick, CallEnd, Option<Instant>);

impl Drop for Call<'_> {
    fn drop(&mut self) {
        let Call(world, router, pick, end, started) = self;
        router.call_ended(pick, *end, now());
        let busy = started.map_or(0.0, |it| (now() - it).as_secs_f64()) * world.measured();
        let mut tally = world.tally.borrow_mut();
        tally.3 += busy;
        tally.4 += if matches!(end, CallEnd::Ok { .. }) { busy } else { 0.0 };
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl World {
    fn open(case: &'static Case, rules: Rules, seed: u64, tally: Tally) -> Rc<Self> {
        let [find, write] = POOLS.map(|it| pool(PoolKind::Generate, it.0, it.1, it.2 as u32));
        let open = |_| Router::with_rules(name("north"), rules);
        let routers: Vec<_> = (0..ENTRIES).map(open).collect();
        let service = service(find, write);
        routers.iter().for_each(|it| it.install(&service, now()));
        let replicas = service.pools.values().flat_map(|it| &it.upstreams).map(|(name, it)| {
            let (cache, slowdown, end) = (RefCell::default(), Cell::new(1.0), Cell::new(None));
            let slots = Semaphore::new(it.capacity as usize);
            (name.to_string(), (slots, cache, slowdown, end, Notify::new()))
        });
        let (replicas, rng) = (replicas.collect(), RefCell::new(SmallRng::seed_from_u64(seed)));
        Rc::new(Self { case, begin: now(), rng, routers, replicas, tally: RefCell::new(tally) })
    }

    fn at(&self) -> f64 {
        (now() - self.begin).as_secs_f64()
    }

    fn measured(&self) -> f64 {
        f64::from(u8::from(MEASURED_SECONDS.contains(&self.at())))
    }

    fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Sends the requests of one customer, without regard to their outcomes.
    async fn arrivals(self: Rc<Self>, customer: usize, mut rng: SmallRng) {
        let (_, count, capacity, mean) = POOLS[1];
        loop {
            // Only the customers of lower priority have bursts. Their load is doubled to reach the
            // whole.
            let [usual, burst] = self.case.1;
            let more = if customer == 0 { 0.0 } else { 2.0 * (burst - usual) };
            let load = usual + if FAULT_SECONDS.contains(&self.at()) { more } else { 0.0 };
            let rate = (count * capacity) as f64 / mean * CUSTOMERS[customer].2 * load;
            sleep(Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)).await;
            spawn_local(Rc::clone(&self).caller(customer));
        }
    }

    /// Sends a request again and again until it is answered.
    async fn caller(self: Rc<Self>, customer: usize) {
        let (sent, mut first) = (now(), self.measured());
        let after = if self.at() > FAULT_SECONDS.end + 2.0 { first } else { 0.0 };
        self.tally.borrow_mut().0[customer] += first;
        self.tally.borrow_mut().7[0] += after;
        loop {
            match timeout(DEADLINE, self.request(customer)).await {
                Ok(Ok(())) => break,
                Ok(Err(refusal)) => sleep(refusal.retry_after).await,
                Err(_) => {}
            }
            first = 0.0;
        }
        let mut tally = self.tally.borrow_mut();
        tally.1[customer] += first;
        tally.7[1] += after * first;
        tally.2 += self.measured();
        tally.6.push((now() - sent).as_millis());
    }

    async fn request(&self, customer: usize) -> Result<(), Refusal> {
        let entries = if customer == 0 { self.case.6 } else { ENTRIES };
        let router = &self.routers[(self.draw() * entries as f64) as usize];
        let (who, priority, _) = CUSTOMERS[customer];
        let (customer, pipeline, priority) = (name(who), name("answer"), Priority(priority));
        let (deadline, tokens) = (now() + DEADLINE, Tokens(1));
        let info = RequestInfo { customer, pipeline, priority, deadline, tokens };
        let _admission = router.admit(&info, now())?;
        let prefix = ((self.draw() * self.draw() * 60.0) as u64 + 1) * 0x0101_9e37_79b9_7f4a;
        for (index, (pool, _, _, mean)) in POOLS.into_iter().enumerate() {
            let (pool, by) = (name(pool), router.stage_deadline(&info, index, now()));
            let _slot = match router.request_slot(&pool, &info, by, now()) {
                SlotResponse::Granted(slot) => slot,
                SlotResponse::Queued(queued) => queued.await.expect("an answer")?,
                SlotResponse::Refused(refusal) => return Err(refusal),
            };
            let (began, mut tried, left) = (now(), Vec::new(), || deadline - now());
            loop {
                let pick = |exclude: &[_]| {
                    let request =
                        PickRequest { pool: &pool, prefix: Some(prefix), exclude, left: left() };
                    router.pick(&request, now(), &mut *self.rng.borrow_mut())
                };
                let first = pick(&tried)?;
                let hedge = first.hedge_after.unwrap_or(DEADLINE);
                tried.push(first.upstream.name.clone());
                let second = async {
                    sleep(hedge).await;
                    match router.spend_hedge(&pool, left(), now()).and_then(|()| pick(&tried)) {
                        Ok(pick) => self.call(router, pick, prefix, mean).await,
                        Err(_) => std::future::pending().await,
                    }
                };
                let answered = tokio::select! {
                    biased;
                    it = self.call(router, first, prefix, mean) => it,
                    it = second => it,
                };
                if answered {
                    break;
                }
                router.spend_retry(&pool, left(), now())?;
            }
            router.stage_ended(&info, index, now() - began, now());
        }
        Ok(())
    }

    /// Calls an upstream. Returns whether it answered.
    async fn call(&self, router: &Router, pick: Pick, prefix: u64, mean: f64) -> bool {
        self.tally.borrow_mut().5 += self.measured();
        let (slots, cache, slowdown, end, killed) = &self.replicas[pick.upstream.name.as_str()];
        let (mut call, sent) = (Call(self, router, pick, CallEnd::Abandoned, None), now());
        if let Some(end) = end.get() {
            call.3 = end;
            return false;
        }
        let served = async {
            let _slot = slots.acquire().await.expect("never closed");
            call.4 = Some(now());
            let held = cache.borrow().iter().position(|it| *it == prefix);
            cache.borrow_mut().remove(held.unwrap_or(11));
            cache.borrow_mut().push_front(prefix);
            let factor = if held.is_some() { 0.75 } else { 1.0 };
            let time = mean * slowdown.get() * factor * (0.6 - 0.4 * (1.0 - self.draw()).ln());
            sleep(Duration::from_secs_f64(time)).await;
            self.at() < FAULT_SECONDS.start || self.draw() >= self.case.4
        };
        let answered = tokio::select! {
            biased;
            () = killed.notified() => false,
            it = served => it,
        };
        let total = now() - sent;
        let success = CallEnd::Ok { first_byte: total, total, tokens: Tokens(1) };
        call.3 = if answered { success } else { CallEnd::Failed };
        answered
    }

    /// Ticks the routers, sends digests and causes the fault.
    async fn control(&self) {
        let (_, _, [first, all], (count, end_kind), _, every, _) = *self.case;
        let (mut sequence, mut next, mut fault) = (0, 0.0, FAULT_SECONDS.start);
        while self.at() < MEASURED_SECONDS.end + 5.0 {
            self.routers.iter().for_each(|it| it.tick(now()));
            if self.at() >= next {
                let every = if self.at() < FAULT_SECONDS.start { every.min(1_000) } else { every };
                (sequence, next) = (sequence + 1, self.at() + every as f64 / 1e3);
                let mut counts = BTreeMap::new();
                for (upstream, count) in self.routers.iter().flat_map(Router::in_flight) {
                    *counts.entry(upstream).or_insert(0) += count;
                }
                let loads = counts.iter().map(|(name, count)| load(name.as_str(), *count));
                let digest = Digest { sequence, loads: loads.collect(), entries: ENTRIES as u32 };
                self.routers.iter().for_each(|it| it.apply_digest(&digest, now()));
            }
            if self.at() >= fault {
                fault = f64::INFINITY;
                let replicas = self.replicas.range("write".to_owned()..).enumerate();
                for (at, (_, (_, _, slowdown, end, killed))) in replicas {
                    slowdown.set(if at == 0 { first * all } else { all });
                    end.set((1..=count).contains(&at).then_some(end_kind));
                    end.get().iter().for_each(|_| killed.notify_waiters());
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

fn run(case: &'static Case, rules: Rules, seeds: u64) {
    let mut tally = Tally::default();
    for seed in 1..=seeds {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
        tally = tokio::task::LocalSet::new().block_on(&runtime, async {
            let world = World::open(case, rules, seed, tally);
            for customer in 0..CUSTOMERS.len() {
                let rng = SmallRng::seed_from_u64(seed * 10 + customer as u64);
                spawn_local(Rc::clone(&world).arrivals(customer, rng));
            }
            world.control().await;
            world.tally.take()
        });
    }
    let Tally(first, attained, good, busy, useful, calls, mut late, after) = tally;
    let time = seeds as f64 * (MEASURED_SECONDS.end - MEASURED_SECONDS.start);
    late.sort_unstable();
    let p95 = late.get(late.len() * 95 / 100).copied().unwrap_or(0);
    let [strong, heavy, light] = [0, 1, 2].map(|it| 100.0 * attained[it] / first[it].max(1.0));
    let (good, calls, work) = (good / time, calls / time, busy / useful.max(1.0));
    println!(
        "{strong:8.2} {heavy:8.2} {light:8.2} {good:8.2} {work:8.3} {calls:8.1} {p95:8} {:7.2}",
        100.0 * after[1] / after[0]
    );
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seeds = args.next().and_then(|it| it.parse().ok()).unwrap_or(3);
    let (only, rule) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    println!("{:31} prio 0%   heavy%   light%   good/s     work  calls/s   p95 ms  after%", "");
    for case in CASES.iter().filter(|it| it.0.contains(&only)) {
        print!("{:20} {:9}", case.0, "all on");
        run(case, Rules::default(), seeds);
        for rule in Rules::NAMES.iter().filter(|it| it.contains(&rule)) {
            print!("{:20} -{rule:8}", "");
            run(case, Rules::without(rule), seeds);
        }
    }
}
