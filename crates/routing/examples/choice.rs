//! Measures the cost of decisions: the nanoseconds of a choice by the size of the pool, and of a
//! refusal.
//!
//! `cargo run --release -p mothplank-routing --example choice -- [PICKS]`
#![allow(clippy::print_stdout, reason = "it prints a table")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::time::{Duration, Instant};

use common::{Bench, load, ms, name, pool, service};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::{PickRequest, Router, Rules};
use types::{PoolKind, PoolName};

const SIZES: [usize; 3] = [20, 200, 600];
const RUNS: usize = 5;

/// Creates one of eight entries, with a generating pool of this size under load.
fn bench(size: usize, rules: Rules) -> Bench {
    let find = pool(PoolKind::Retrieve, "find", 4, 16);
    let service = service(find, pool(PoolKind::Generate, "write", size, 8));
    let mut bench = Bench::with_rules(service, rules);
    bench.calls(size * 10, |_| ms(200));
    let loads: Vec<_> =
        (0..size).map(|it| load(&format!("write-{it:03}"), it as u32 % 7)).collect();
    bench.digest(8, &loads);
    bench
}

/// Picks an upstream `count` times with eight calls in flight. Returns the nanoseconds of one pick.
fn picks(router: &Router, begin: Instant, count: u64, prefixes: u64) -> f64 {
    let pool: PoolName = name("write");
    let mut rng = SmallRng::seed_from_u64(count);
    let mut in_flight = [const { None }; 8];
    let start = Instant::now();
    for at in 0..count {
        let prefix =
            (prefixes > 0).then(|| (at % prefixes.max(1)).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let request = PickRequest { pool: &pool, prefix, exclude: &[], left: ms(5_000) };
        let now = begin + Duration::from_micros(at / 4);
        in_flight[at as usize % 8] = black_box(router.pick(&request, now, &mut rng)).ok();
    }
    start.elapsed().as_nanos() as f64 / count as f64
}

fn median(mut runs: Vec<f64>) -> f64 {
    runs.sort_unstable_by(f64::total_cmp);
    runs[runs.len() / 2]
}

fn main() {
    let count = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(1_000_000);
    println!("upstreams   pick ns   with prefix ns   4 threads ns   all compared ns");
    let mut costs = Vec::new();
    for size in SIZES {
        let every = bench(size, Rules::without("sampling"));
        let every = picks(&every.router, every.now, count / 20, 0);
        let bench = bench(size, Rules::default());
        let runs = |prefixes| {
            let one = |_| picks(&bench.router, bench.now, count, prefixes);
            median((0..RUNS).map(one).collect())
        };
        let (plain, prefixed) = (runs(0), runs(500));
        let threads = std::thread::scope(|scope| {
            let all = [(); 4].map(|()| scope.spawn(|| picks(&bench.router, bench.now, count, 0)));
            median(all.map(|it| it.join().expect("a thread that ends")).into())
        });
        println!("{size:9} {plain:9.0} {prefixed:16.0} {threads:14.0} {every:17.0}");
        costs.push(plain);
    }
    let slope = (costs[2] - costs[0]) / (SIZES[2] - SIZES[0]) as f64;
    println!("slope: {slope:.3} ns for each upstream more");

    let bench = bench(20, Rules::default());
    let info = bench.request("desk", 3, ms(2_000));
    let mut admitted = Vec::new();
    while let Ok(admission) = bench.router.admit(&bench.request("desk", 3, ms(7_000)), bench.now) {
        admitted.push(admission);
    }
    let start = Instant::now();
    for at in 0..count {
        let now = bench.now + Duration::from_nanos(at);
        drop(black_box(bench.router.admit(&info, now)));
    }
    let refusal = start.elapsed().as_nanos() as f64 / count as f64;
    println!("refusal of a resend with {} under way: {refusal:.0} ns", admitted.len());
}
