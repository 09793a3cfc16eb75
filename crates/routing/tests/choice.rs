//! Tests which upstream a call goes to.

mod common;

use std::collections::BTreeMap;

use common::{Bench, load, ms, name, service, upstream};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::{CallEnd, Pick};
use types::{Pool, PoolKind, UpstreamLoad};

/// Picks upstreams for `count` calls that do not end, and counts the calls by upstream.
fn count_picks(bench: &mut Bench, count: usize) -> (Vec<Pick>, BTreeMap<String, usize>) {
    let picks: Vec<_> = (0..count).map(|_| bench.pick(&[]).expect("an upstream")).collect();
    let mut counts = BTreeMap::new();
    for pick in &picks {
        *counts.entry(pick.upstream.name.to_string()).or_insert(0) += 1;
    }
    (picks, counts)
}

// Guards against calls that pile up at one upstream while others are idle: the upstream's load
// shows in the calls of other entries, its own report, a busy answer, or its times, and the choice
// ignores one of them.
#[test]
fn loaded_upstream_gets_less() {
    struct Case {
        name: &'static str,
        set: fn(&mut Bench),
    }
    let cases = [
        Case { name: "by others", set: |it| it.digest(4, &[load("write-000", 40)]) },
        Case {
            name: "by its report",
            set: |it| {
                let report = UpstreamLoad { reported: Some(40), ..load("write-000", 0) };
                it.digest(4, &[report]);
            },
        },
        Case {
            name: "by a busy answer",
            set: |it| loop {
                let pick = it.pick(&[]).expect("an upstream");
                if pick.upstream.name.as_str() == "write-000" {
                    return it.router.call_ended(&pick, CallEnd::Busy, it.now);
                }
            },
        },
        Case {
            name: "by slow calls",
            set: |it| {
                it.calls(200, |who| if who == "write-000" { ms(2_000) } else { ms(200) });
            },
        },
    ];
    for case in cases {
        let mut bench = Bench::writers(4, 10);
        (case.set)(&mut bench);
        let (_picks, counts) = count_picks(&mut bench, 16);
        let least = counts.get("write-000").copied().unwrap_or(0);
        assert!(least <= 1, "{}: {counts:?}", case.name);
    }
}

// Guards against a straggler that gets ten more calls before its first one ends: one call to it
// does not end while others do. This happens if times are learned only from calls that ended.
#[test]
fn call_that_does_not_end_counts_as_slow() {
    let mut bench = Bench::writers(3, 10);
    bench.calls(100, |_| ms(200));
    let stuck = bench.pick(&[]).expect("an upstream");
    let name = stuck.upstream.name.to_string();
    bench.pass(ms(1_500));
    let (_picks, counts) = count_picks(&mut bench, 10);
    assert!(!counts.contains_key(&name), "{name}: {counts:?}");
}

// Guards against entries that all send their next calls to the same upstream: eight entries get one
// digest in which one upstream is slightly less loaded, and each picks a few. This happens if each
// chooses the best upstream of an outdated view.
#[test]
fn entries_with_one_stale_view_do_not_choose_alike() {
    let loads: Vec<_> =
        (0..12).map(|it| load(&format!("write-{it:03}"), if it == 5 { 3 } else { 4 })).collect();
    let mut chosen = BTreeMap::new();
    for entry in 0..8 {
        let mut bench = Bench::writers(12, 8);
        bench.rng = SmallRng::seed_from_u64(entry);
        bench.digest(8, &loads);
        for (who, count) in count_picks(&mut bench, 4).1 {
            *chosen.entry(who).or_insert(0) += count;
        }
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 6, "32 calls over 12 upstreams: {chosen:?}");
}

// Guards against an upstream of four times the capacity that is as loaded as a small one. This
// happens if counts are compared without regard to the capacity.
#[test]
fn load_is_relative_to_capacity() {
    let upstreams = [(name("big"), upstream(40)), (name("small"), upstream(10))];
    let write = Pool { kind: PoolKind::Generate, upstreams: upstreams.into(), ..Pool::default() };
    let mut bench = Bench::open(service(Pool::default(), write));
    let (_picks, counts) = count_picks(&mut bench, 40);
    assert!((28..=36).contains(&counts["big"]), "{counts:?}");
}

// Guards against a retry that goes to the upstream that just failed, though others are free. An
// exclusion must not be a mere preference, and neither a probe nor a prefix may evade it.
#[test]
fn tried_upstreams_are_never_chosen_again() {
    let mut bench = Bench::writers(3, 10);
    let tried = [name("write-000"), name("write-002")];
    for prefix in 0..50 {
        let pick = bench.pick_prefix(Some(prefix << 40), &tried).expect("one is left");
        assert_eq!(pick.upstream.name.as_str(), "write-001");
    }
    let all = [name("write-000"), name("write-001"), name("write-002")];
    bench.pick(&all).expect_err("none is left");
}

// Guards against prompts with a common prefix that are computed anew at every upstream: one prefix
// comes again and again, and its upstream is not remembered.
#[test]
fn prefix_returns_to_its_upstream_while_that_has_room() {
    let mut bench = Bench::writers(8, 10);
    let first = bench.pick_prefix(Some(77 << 40), &[]).expect("an upstream");
    let holder = first.upstream.name.to_string();
    bench.end(first, ms(200));
    for _ in 0..20 {
        let pick = bench.pick_prefix(Some(77 << 40), &[]).expect("an upstream");
        assert_eq!(pick.upstream.name.as_str(), holder);
        bench.end(pick, ms(200));
    }
    let picks: Vec<_> =
        (0..40).map(|_| bench.pick_prefix(Some(77 << 40), &[]).expect("an upstream")).collect();
    let followed = picks.iter().filter(|it| it.upstream.name.as_str() == holder).count();
    assert!(
        followed <= 15,
        "a popular prefix overflows its upstream: {followed} of 40 at one of 8"
    );
}

// Guards against calls that follow a prefix to an upstream with slightly more load and gain
// nothing: their times to the first byte are those of other calls. The gain must be measured.
#[test]
fn prefix_that_gains_nothing_is_not_followed() {
    let mut bench = Bench::writers(8, 10);
    for round in 0..400_u64 {
        let pick = bench.pick_prefix(Some((round % 9) << 50), &[]).expect("an upstream");
        bench.now += ms(1);
        bench.end(pick, ms(200));
    }
    bench.digest(4, &[]);
    let pick = bench.pick_prefix(Some(3 << 50), &[]).expect("an upstream");
    let holder = pick.upstream.name.to_string();
    bench.end(pick, ms(200));
    bench.digest(4, &[load(&holder, 1)]);
    let away = (0..20).filter(|_| {
        let pick = bench.pick_prefix(Some(3 << 50), &[]).expect("an upstream");
        pick.upstream.name.as_str() != holder
    });
    let away = away.count();
    assert!(away >= 18, "{away} of 20 went elsewhere");
}

// Guards against four replicas with two slots each of which one has thirteen calls and another is
// idle: calls take 20 ms, and entries that get one digest in which one replica is free pick three
// each. This happens if counts that are as old as several calls still weigh half.
#[test]
fn entries_do_not_crowd_the_free_replica_of_a_quick_pool() {
    let loads: Vec<_> =
        (0..4).map(|it| load(&format!("write-{it:03}"), if it == 2 { 0 } else { 6 })).collect();
    let mut chosen = BTreeMap::new();
    for entry in 0..60 {
        let mut bench = Bench::writers(4, 2);
        bench.rng = SmallRng::seed_from_u64(entry);
        bench.calls(100, |_| ms(20));
        bench.digest(6, &loads);
        bench.now += ms(100);
        for (who, count) in count_picks(&mut bench, 3).1 {
            *chosen.entry(who).or_insert(0) += count;
        }
    }
    let free = chosen.get("write-002").copied().unwrap_or(0);
    assert!(free <= 55, "an even share of 180 calls is 45: {chosen:?}");
}
