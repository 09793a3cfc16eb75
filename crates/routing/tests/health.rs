//! Tests ejection, readmission, leaving, retries and hedges.

mod common;

use common::{Bench, load, ms, name};
use routing::{CallEnd, Rules};
use types::{RefusalReason, UpstreamAvailability, UpstreamLoad, UpstreamName};

/// Makes calls. Those that reach the upstreams in `who` end with `end`, all others succeed.
fn calls(bench: &mut Bench, count: usize, who: &[&str], end: CallEnd) -> usize {
    let mut hits = 0;
    for _ in 0..count {
        let Ok(pick) = bench.pick(&[]) else { continue };
        bench.now += ms(1);
        if who.contains(&pick.upstream.name.as_str()) {
            hits += 1;
            bench.router.call_ended(&pick, end, bench.now);
        } else {
            bench.end(pick, ms(200));
        }
    }
    hits
}

// Guards against a replica that fails each call at once, so looks the least loaded and attracts all
// calls. A connection that went silent must not count as much as an error.
#[test]
fn failing_upstream_is_ejected_after_few_calls() {
    struct Case {
        end: CallEnd,
        hits: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { end: CallEnd::Refused, hits: 1..=1 },
        Case { end: CallEnd::Failed, hits: 3..=3 },
        Case { end: CallEnd::Silent, hits: 5..=5 },
        Case { end: CallEnd::Abandoned, hits: 20..=200 },
    ];
    for case in cases {
        let mut bench = Bench::writers(8, 10);
        let hits = calls(&mut bench, 400, &["write-003"], case.end);
        assert!(case.hits.contains(&hits), "{:?}: {hits}", case.end);
    }
}

// Guards against one silent connection that takes an upstream out of service: silent calls
// alternate with complete answers, and count like errors.
#[test]
fn silent_connections_between_whole_answers_eject_nobody() {
    let mut bench = Bench::writers(4, 10);
    let mut hits = 0;
    for _ in 0..300 {
        let pick = bench.pick(&[]).expect("an upstream");
        bench.now += ms(1);
        hits += usize::from(pick.upstream.name.as_str() == "write-002");
        if pick.upstream.name.as_str() == "write-002" && hits % 2 == 1 {
            bench.router.call_ended(&pick, CallEnd::Silent, bench.now);
        } else {
            bench.end(pick, ms(200));
        }
    }
    assert!(hits > 40, "{hits}");
    assert_eq!(bench.counted("eject", "silent"), 0);
}

// Guards against an upstream that recovered and gets no work, or all of it at once, and against an
// empty pool: the upstream is ejected, down at the first probe, and up at a later one. It must
// return by a successful probe, and not every waiting call may probe it.
#[test]
fn ejected_upstream_returns_by_single_probes() {
    let mut bench = Bench::writers(4, 10);
    calls(&mut bench, 40, &["write-001"], CallEnd::Refused);
    bench.pass(ms(600));
    assert_eq!(calls(&mut bench, 100, &["write-001"], CallEnd::Refused), 1, "one probe fails");
    bench.pass(ms(1_200));
    let probes = calls(&mut bench, 60, &["write-001"], CallEnd::Abandoned);
    assert!(probes <= 1, "one probe at a time, {probes}");
    bench.pass(ms(11_000));
    bench.calls(100, |_| ms(200));
    assert_eq!(bench.counted("return", "probe-succeeded"), 1);
}

// Guards against a pool that refuses everything because every upstream is ejected: half of the pool
// fails, then all of it.
#[test]
fn ejection_never_empties_a_pool() {
    let mut bench = Bench::writers(4, 10);
    let all = ["write-000", "write-001", "write-002", "write-003"];
    calls(&mut bench, 400, &all, CallEnd::Failed);
    for _ in 0..50 {
        bench.pick(&[]).expect("an upstream of a failing pool");
    }
    assert!(bench.counted("keep", "too-many-ejected") > 0);
    let mut single = Bench::writers(1, 10);
    calls(&mut single, 50, &["write-000"], CallEnd::Refused);
    single.pick(&[]).expect("the only upstream");
}

// Guards against new work for an upstream that reported that it is leaving: digests made before its
// report, and then after it, call it live. An older state must not override a newer one.
#[test]
fn leaving_is_sticky_until_a_newer_report() {
    struct Case {
        name: &'static str,
        /// The availability in each digest, and the milliseconds before it.
        digests: &'static [(u64, UpstreamAvailability)],
        back: bool,
    }
    use UpstreamAvailability::{Leaving, Live};
    let cases = [
        Case { name: "no digest", digests: &[], back: false },
        Case { name: "one that was on its way", digests: &[(50, Live)], back: false },
        Case { name: "many of lagging sources", digests: &[(50, Live), (500, Live)], back: false },
        Case { name: "live after leaving", digests: &[(50, Leaving), (50, Live)], back: true },
        Case { name: "live after the hold", digests: &[(50, Live), (6_000, Live)], back: true },
    ];
    for case in cases {
        let mut bench = Bench::writers(2, 10);
        calls(&mut bench, 20, &["write-000"], CallEnd::Leaving);
        for (after, availability) in case.digests {
            bench.pass(ms(*after));
            let load = UpstreamLoad { availability: *availability, ..load("write-000", 0) };
            bench.digest(1, &[load]);
        }
        let hits = calls(&mut bench, 50, &["write-000"], CallEnd::Abandoned);
        assert_eq!(hits > 0, case.back, "{}", case.name);
    }
}

// Guards against a leaving upstream that gets work because all others are excluded, ejected or
// leaving: the only other upstream was tried; then both are leaving. Unlike an ejected one, a
// leaving upstream must not be used as a last resort.
#[test]
fn leaving_upstream_gets_nothing_even_as_the_last_one() {
    let mut bench = Bench::writers(2, 10);
    let leaving = |who: &str| {
        let availability = UpstreamAvailability::Leaving;
        UpstreamLoad { availability, ..load(who, 0) }
    };
    bench.digest(1, &[leaving("write-000")]);
    assert_eq!(bench.counted("eject", "leaving"), 1, "an operator sees that it gets no calls");
    let tried: [UpstreamName; 1] = [name("write-001")];
    let refusal = bench.pick(&tried).expect_err("the other one is leaving");
    assert_eq!(refusal.reason, RefusalReason::NoUpstream);
    bench.digest(1, &[leaving("write-001")]);
    bench.pick(&[]).expect_err("both are leaving");
    let response = bench.slot("yard", 0, ms(5_000));
    assert!(
        matches!(response, routing::SlotResponse::Refused(it) if it.reason == RefusalReason::NoUpstream)
    );
}

// Guards against retries that keep a failing pool down: every new call asks for a retry. Retries
// must be limited, and there must be time for them.
#[test]
fn retries_are_a_share_of_fresh_work() {
    let mut bench = Bench::writers(4, 10);
    let pool = name("write");
    let mut granted = 0;
    for _ in 0..1_000 {
        drop(bench.pick(&[]).expect("an upstream"));
        let retry = bench.router.spend_retry(&pool, ms(5_000), bench.now);
        granted += usize::from(retry.is_ok());
    }
    // The budget was filled at the install, assuming one other entry: 2 * 40 / 2.
    assert!((139..=141).contains(&granted), "a tenth of 1000, and 40: {granted}");
    let refusal = bench.router.spend_retry(&pool, ms(5_000), bench.now).expect_err("spent");
    assert_eq!(refusal.reason, RefusalReason::RetryBudget);
    let late = bench.router.spend_retry(&pool, ms(50), bench.now).expect_err("200 ms of work");
    assert_eq!(late.reason, RefusalReason::DeadlineTooShort);
}

// Guards against hedges that cannot end in time, and against hedges where only cost counts: calls
// take 20 to 60 ms to the first byte, then picks have more or less time. The delay must follow the
// measured times, the time left and the policy.
#[test]
fn hedge_is_offered_only_where_it_pays() {
    struct Case {
        name: &'static str,
        left: u64,
        attainment: f64,
        rules: Rules,
        offered: bool,
    }
    let on = Rules::default();
    let off = Rules { hedge: false, ..on };
    let cases = [
        Case { name: "enough time", left: 5_000, attainment: 0.8, rules: on, offered: true },
        Case { name: "too late", left: 150, attainment: 0.8, rules: on, offered: false },
        Case { name: "cost counts", left: 5_000, attainment: 0.1, rules: on, offered: false },
        Case { name: "rule off", left: 5_000, attainment: 0.8, rules: off, offered: false },
    ];
    for case in cases {
        let mut service = Bench::writers(4, 10).service;
        service.policy.attainment = case.attainment;
        let mut bench = Bench::with_rules(service, case.rules);
        for turn in 0..200 {
            bench.calls(1, |_| ms(80 + turn % 160));
        }
        let pool = name("write");
        let request =
            routing::PickRequest { pool: &pool, prefix: None, exclude: &[], left: ms(case.left) };
        let pick = bench.router.pick(&request, bench.now, &mut bench.rng).expect("an upstream");
        assert_eq!(pick.hedge_after.is_some(), case.offered, "{}", case.name);
        if let Some(after) = pick.hedge_after {
            assert!((ms(50)..ms(70)).contains(&after), "{after:?}");
        }
        assert!(
            pick.first_byte_limit >= ms(150),
            "three times the highest: {:?}",
            pick.first_byte_limit
        );
    }
}

// Guards against an operator who can't tell why requests were refused: there is an ejection, and
// then thousands of refusals, which must neither displace it nor lack reasons.
#[test]
fn decisions_say_why_and_refusals_do_not_flood_them() {
    let mut bench = Bench::writers(4, 10);
    calls(&mut bench, 40, &["write-001"], CallEnd::Refused);
    for _ in 0..5_000 {
        drop(bench.slot("desk", 3, ms(0)));
    }
    let decisions = bench.router.decisions();
    assert_eq!((decisions[0].what, decisions[0].subject.as_str()), ("refuse", "write"));
    let ejected = decisions.iter().find(|it| it.what == "eject").expect("kept");
    assert_eq!(ejected.subject, "write-001");
    assert!(ejected.why.starts_with("errors: "), "{}", ejected.why);
    assert_eq!(bench.counted("refuse", "deadline-too-short"), 5_000);
}

// Guards against a pool of which every call counts as silent, for good: it takes 5 s to the first
// byte, and calls are abandoned at their limit. This happens if only calls within the limit can
// raise it.
#[test]
fn pool_slower_than_the_first_byte_limit_is_learned() {
    let mut bench = Bench::writers(4, 10);
    let answered = (0..20).any(|_| {
        let pick = bench.pick(&[]).expect("an upstream");
        bench.now += pick.first_byte_limit.min(ms(5_000));
        let silent = pick.first_byte_limit < ms(5_000);
        if silent {
            bench.router.call_ended(&pick, CallEnd::Silent, bench.now);
        } else {
            bench.end(pick, ms(5_000));
        }
        !silent
    });
    assert!(answered, "the limit never reached the pool's time");
    let pick = bench.pick(&[]).expect("an upstream");
    assert!(
        pick.first_byte_limit > ms(5_000),
        "one answer is enough to learn: {:?}",
        pick.first_byte_limit
    );
}
