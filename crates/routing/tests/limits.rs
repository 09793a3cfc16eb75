//! Tests the limits per customer.

mod common;

use common::{Bench, ms, name};
use types::{CustomerLimits, Rate, RefusalReason, Tokens};

/// Admits as many requests as the limits allow at once, and keeps them in flight.
fn burst(bench: &Bench) -> (Vec<routing::Admission>, RefusalReason) {
    let mut admitted = Vec::new();
    loop {
        match bench.router.admit(&bench.request("yard", 0, ms(60_000)), bench.now) {
            Ok(admission) => admitted.push(admission),
            Err(refusal) => return (admitted, refusal.reason),
        }
        assert!(admitted.len() < 1_000, "no limit");
    }
}

// Guards against a customer that gets its whole limit at each entry: there are several entries,
// whose shares are not assigned yet, assigned, or older than a lowered limit.
#[test]
fn limits_hold_across_entries() {
    struct Case {
        name: &'static str,
        entries: u32,
        limit: u32,
        share: Option<u32>,
        max: usize,
    }
    let cases = [
        Case {
            name: "nothing known: at least one other",
            entries: 0,
            limit: 40,
            share: None,
            max: 20,
        },
        Case { name: "no share yet", entries: 8, limit: 40, share: None, max: 5 },
        Case { name: "fewer slots than entries", entries: 8, limit: 3, share: None, max: 1 },
        Case { name: "a share", entries: 8, limit: 40, share: Some(30), max: 30 },
        Case {
            name: "an old share over the limit",
            entries: 8,
            limit: 10,
            share: Some(30),
            max: 10,
        },
    ];
    for case in cases {
        let mut bench = Bench::writers(1, 1_000);
        if case.entries == 0 {
            bench = Bench { router: routing::Router::new(name("north")), ..bench };
        } else {
            bench.digest(case.entries, &[]);
        }
        let concurrency = Some(case.limit);
        bench.limits("yard", CustomerLimits { concurrency, ..CustomerLimits::default() });
        if case.share.is_some() {
            let share = CustomerLimits { concurrency: case.share, ..CustomerLimits::default() };
            bench.router.set_shares(&name("yard"), &share);
        }
        let (admitted, reason) = burst(&bench);
        assert_eq!(admitted.len(), case.max, "{}", case.name);
        assert_eq!(reason, RefusalReason::CustomerConcurrency);
        drop(admitted);
        assert_eq!(burst(&bench).0.len(), case.max, "{}: given back", case.name);
    }
}

// Guards against a customer that sends a day's requests in one second, and against one that is
// refused at a steady, permitted rate: a burst at a limit of 10 a second, then one request each 100
// ms. The accumulated credit must be bounded, but not zero.
#[test]
fn rate_allows_a_burst_and_then_its_pace() {
    let mut bench = Bench::writers(1, 1_000);
    let rate = Some(Rate(10.0));
    bench.limits("yard", CustomerLimits { rate, ..CustomerLimits::default() });
    let (first, reason) = burst(&bench);
    assert_eq!((first.len(), reason), (10, RefusalReason::CustomerRate));
    for _ in 0..50 {
        bench.pass(ms(100));
        assert_eq!(burst(&bench).0.len(), 1);
    }
    bench.pass(ms(60_000));
    assert_eq!(burst(&bench).0.len(), 10, "an idle customer accumulates a second's worth");
}

// Guards against a customer that generates ten times its tokens, as no request says how many it
// will need: requests run, and are charged afterwards for more than the limit.
#[test]
fn generated_tokens_are_a_debt() {
    let mut bench = Bench::writers(1, 1_000);
    let tokens = Some(Rate(1_000.0));
    bench.limits("yard", CustomerLimits { tokens, ..CustomerLimits::default() });
    let admit = |bench: &Bench| bench.router.admit(&bench.request("yard", 0, ms(5_000)), bench.now);
    drop(admit(&bench).expect("no debt"));
    bench.router.charge(&name("yard"), Tokens(5_000), bench.now);
    let refusal = admit(&bench).expect_err("five seconds' worth");
    assert_eq!(refusal.reason, RefusalReason::CustomerTokens);
    assert!(refusal.retry_after > ms(1_500), "{refusal}");
    bench.pass(ms(4_100));
    drop(admit(&bench).expect("the debt is down to a second's worth"));
}

// Guards against refusals of one customer that make another one wait for minutes: one is refused
// hundreds of times, another once. This happens if all customers share one count.
#[test]
fn time_to_retry_is_the_customers_own() {
    let mut bench = Bench::writers(1, 1_000);
    let limits = CustomerLimits { concurrency: Some(0), ..CustomerLimits::default() };
    for customer in ["yard", "studio"] {
        bench.limits(customer, limits.clone());
        bench.router.set_shares(&name(customer), &limits);
    }
    let admit = |who: &str| bench.router.admit(&bench.request(who, 0, ms(5_000)), bench.now);
    (0..300).for_each(|_| drop(admit("yard")));
    let heavy = admit("yard").expect_err("over").retry_after;
    let light = admit("studio").expect_err("over").retry_after;
    assert!(heavy > 10 * light, "{heavy:?} and {light:?}");
}
