//! Tests which calls start, wait or are refused.

mod common;

use common::{Bench, load, ms, name, pool, service, stage};
use routing::{Slot, SlotResponse};
use types::{Pipeline, PoolKind, Refusal, RefusalReason};

type Queued = tokio::sync::oneshot::Receiver<Result<Slot, Refusal>>;

fn expect_granted(response: SlotResponse) -> Slot {
    match response {
        SlotResponse::Granted(slot) => slot,
        other => panic!("expected a slot, got {other:?}"),
    }
}

fn expect_queued(response: SlotResponse) -> Queued {
    match response {
        SlotResponse::Queued(queued) => queued,
        other => panic!("expected to wait, got {other:?}"),
    }
}

fn expect_refused(response: SlotResponse) -> Refusal {
    match response {
        SlotResponse::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Removes the queued call that got its slot.
fn started(queued: &mut [Queued]) -> Option<(usize, Slot)> {
    let tries = queued.iter_mut().enumerate();
    tries.into_iter().find_map(|(at, it)| Some((at, it.try_recv().ok()?.ok()?)))
}

// Guards against a request of priority 0 that is answered late because calls of lower priority that
// were queued before it start first: the pool is full, and one call ends. The queue must not be in
// order of arrival.
#[test]
fn higher_priority_starts_before_lower_that_came_first() {
    let bench = Bench::writers(1, 1);
    let running = expect_granted(bench.slot("desk", 3, ms(5_000)));
    let mut queued = [
        expect_queued(bench.slot("desk", 3, ms(5_000))),
        expect_queued(bench.slot("desk", 3, ms(4_000))),
        expect_queued(bench.slot("desk", 0, ms(6_000))),
    ];
    drop(running);
    let (first, slot) = started(&mut queued).expect("a start");
    assert_eq!(first, 2, "the one of higher priority");
    drop(slot);
    let (second, _slot) = started(&mut queued).expect("a start");
    assert_eq!(second, 1, "the one with the earlier deadline");
}

// Guards against a customer with few requests that waits behind hundreds of another's of the same
// priority. This happens if calls of one priority are ordered by deadline alone.
#[test]
fn customers_of_one_priority_take_turns() {
    let bench = Bench::writers(1, 1);
    let mut running = expect_granted(bench.slot("yard", 3, ms(5_000)));
    let mut queued: Vec<_> =
        (0..6).map(|_| expect_queued(bench.slot("yard", 3, ms(4_000)))).collect();
    queued.push(expect_queued(bench.slot("studio", 3, ms(6_000))));
    let mut turn = None;
    for at in 0..3 {
        drop(running);
        let (who, slot) = started(&mut queued).expect("a start");
        running = slot;
        if who == 6 {
            turn = Some(at);
        }
    }
    let soon = turn.is_some_and(|it| it <= 1);
    assert!(soon, "the light customer waits for one call at most, its turn was {turn:?}");
}

// Guards against answers that are late when their stage starts, and against a pool that is kept
// busy with them: a call waits behind a long one until less time is left than its stage takes. This
// happens if the queue only checks a call when its turn comes.
#[test]
fn queued_call_leaves_once_its_time_no_longer_suffices() {
    let mut bench = Bench::writers(1, 1);
    let _running = expect_granted(bench.slot("desk", 3, ms(5_000)));
    let mut queued = expect_queued(bench.slot("yard", 0, ms(700)));
    bench.pass(ms(400));
    assert!(queued.try_recv().is_err(), "300 ms are left for 200 ms of work");
    bench.pass(ms(150));
    let refusal = queued.try_recv().expect("an answer").expect_err("a refusal");
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
}

// Guards against a request of high priority that is refused because the queue is full of calls of
// lower priority. This happens if the bound of the queue ignores priorities.
#[test]
fn higher_priority_displaces_the_lowest() {
    let bench = Bench::writers(1, 1);
    let _running = expect_granted(bench.slot("desk", 3, ms(60_000)));
    let mut queued: Vec<_> =
        (0..8).map(|_| expect_queued(bench.slot("desk", 3, ms(60_000)))).collect();
    let full = expect_refused(bench.slot("desk", 3, ms(60_000)));
    assert_eq!(full.reason, RefusalReason::QueueFull);
    let _higher = expect_queued(bench.slot("desk", 0, ms(60_000)));
    let out: Vec<_> = queued.iter_mut().filter_map(|it| it.try_recv().ok()).collect();
    let [Err(refusal)] = out.as_slice() else { panic!("expected one refusal, got {out:?}") };
    assert_eq!(refusal.reason, RefusalReason::Displaced);
}

// Guards against a customer that fills the queue, so that another one of the same priority is
// refused. This happens if the bound of the queue ignores customers.
#[test]
fn light_customer_displaces_the_longest_queue() {
    let bench = Bench::writers(1, 1);
    let _running = expect_granted(bench.slot("yard", 3, ms(60_000)));
    let mut queued: Vec<_> =
        (0..8).map(|_| expect_queued(bench.slot("yard", 3, ms(60_000)))).collect();
    let _light = expect_queued(bench.slot("studio", 3, ms(60_000)));
    assert_eq!(queued.iter_mut().filter_map(|it| it.try_recv().ok()).count(), 1);
}

// Guards against a request that fails at generation after retrieval ran for it: generation has a
// backlog longer than the deadline. This happens if only the first stage is checked.
#[test]
fn request_that_would_fail_at_a_later_stage_is_refused_at_once() {
    let bench = Bench::writers(1, 1);
    let admitted: Vec<_> = (0..9)
        .map(|_| {
            bench.router.admit(&bench.request("desk", 3, ms(7_000)), bench.now).expect("admitted")
        })
        .collect();
    let refusal = bench.router.admit(&bench.request("desk", 3, ms(1_000)), bench.now);
    let refusal = refusal.expect_err("nine calls of 200 ms are ahead");
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
    bench.router.admit(&bench.request("yard", 0, ms(1_000)), bench.now).expect("nothing is ahead");
    bench
        .router
        .admit(&bench.request("studio", 3, ms(1_000)), bench.now)
        .expect("its customer's turn");
    drop(admitted);
    bench
        .router
        .admit(&bench.request("desk", 3, ms(1_000)), bench.now)
        .expect("the backlog is gone");
}

// Guards against pipelines that need only retrieval and are refused during a burst of generation.
// This happens if all pools share one queue or one backlog.
#[test]
fn burst_of_generation_leaves_retrieval_alone() {
    let bench = Bench::writers(1, 1);
    let _admitted: Vec<_> = (0..30)
        .map(|_| {
            bench.router.admit(&bench.request("desk", 3, ms(9_000)), bench.now).expect("admitted")
        })
        .collect();
    let _running = expect_granted(bench.slot("desk", 3, ms(9_000)));
    let _queued: Vec<_> = (0..8).map(|_| bench.slot("desk", 3, ms(9_000))).collect();
    let mut info = bench.request("studio", 5, ms(200));
    info.pipeline = name("search");
    bench.router.admit(&info, bench.now).expect("retrieval is free");
    expect_granted(bench.router.request_slot(&name("find"), &info, info.deadline, bench.now));
}

// Guards against refused callers that all retry at once, again and again, so that the overload
// never ends: hundreds are refused within an instant, and all are told the same time.
#[test]
fn time_to_retry_grows_with_the_overload_and_is_spread() {
    let bench = Bench::writers(1, 1);
    let _running = expect_granted(bench.slot("desk", 3, ms(60_000)));
    let times: Vec<_> =
        (0..200).map(|_| expect_refused(bench.slot("desk", 3, ms(100))).retry_after).collect();
    let mean = |part: &[std::time::Duration]| part.iter().sum::<std::time::Duration>() / 20;
    assert!(mean(&times[180..]) > 4 * mean(&times[..20]), "{times:?}");
    let distinct: std::collections::BTreeSet<_> = times[180..].iter().collect();
    assert!(distinct.len() > 15, "spread: {distinct:?}");
}

// Guards against eight entries that each fill the whole pool, and against one entry that uses an
// eighth of an idle pool. Digests report how much the others use; the entries share 46 calls in a
// pool of 40. The limit must neither ignore the others nor always be an even share.
#[test]
fn entry_takes_its_share_of_what_is_free() {
    struct Case {
        name: &'static str,
        others: u32,
        digests: usize,
        starts: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { name: "first digest, others idle", others: 0, digests: 1, starts: 13..=13 },
        Case { name: "others idle for long", others: 0, digests: 30, starts: 44..=46 },
        Case { name: "others use half", others: 20, digests: 30, starts: 24..=26 },
        Case { name: "others use all", others: 48, digests: 30, starts: 13..=13 },
    ];
    for case in cases {
        let mut bench = Bench::writers(4, 10);
        let mut running = Vec::new();
        for _ in 0..case.digests {
            // The digest counts calls at upstreams; these slots never pick one, so none counts as
            // own.
            let loads: Vec<_> =
                (0..4).map(|it| load(&format!("write-{it:03}"), case.others / 4)).collect();
            bench.digest(4, &loads);
            while let SlotResponse::Granted(slot) = bench.slot("desk", 3, ms(5_000)) {
                running.push(slot);
            }
            bench.pass(ms(50));
        }
        assert!(case.starts.contains(&running.len()), "{}: {}", case.name, running.len());
    }
}

// Guards against a slot that is lost for good when a queued caller leaves: the receiver is dropped
// before the running call ends, and the slot goes to it.
#[test]
fn slot_of_a_caller_that_is_gone_goes_to_the_next() {
    let bench = Bench::writers(1, 1);
    let running = expect_granted(bench.slot("desk", 3, ms(5_000)));
    drop(expect_queued(bench.slot("desk", 3, ms(4_000))));
    let mut second = expect_queued(bench.slot("desk", 3, ms(5_000)));
    drop(running);
    let slot = second.try_recv().expect("an answer").expect("a slot");
    drop(slot);
    expect_granted(bench.slot("desk", 3, ms(5_000)));
}

// Guards against an idle pool that refuses everything for good: a few calls took longer than the
// deadline, so the estimate says that none can end in time. Only the refused calls could correct
// it.
#[test]
fn idle_pool_takes_a_call_whatever_the_estimate_says() {
    let mut bench = Bench::writers(1, 1);
    bench.calls(20, |_| ms(60_000));
    let info = bench.request("desk", 3, ms(5_000));
    let admission = bench.router.admit(&info, bench.now).expect("nothing is admitted");
    let slot = expect_granted(bench.slot("desk", 3, ms(5_000)));
    assert_eq!(
        expect_refused(bench.slot("desk", 3, ms(5_000))).reason,
        RefusalReason::DeadlineTooShort
    );
    bench.router.admit(&info, bench.now).expect_err("one is admitted");
    drop((admission, slot));
}

// Guards against a stage that uses up the time of later stages, or is cut off with time to spare.
// This happens if all stages get the same deadline, or equal parts of the time.
#[test]
fn deadline_is_split_by_measured_times() {
    struct Case {
        name: &'static str,
        left: u64,
        first: std::ops::RangeInclusive<u128>,
    }
    let cases = [
        Case { name: "all slack is the first stage's", left: 5_000, first: 4_790..=4_810 },
        Case { name: "just enough", left: 230, first: 25..=35 },
        Case { name: "too little: by parts", left: 110, first: 9..=11 },
    ];
    let mut bench = Bench::writers(2, 10);
    let info = bench.request("yard", 0, ms(9_000));
    for _ in 0..100 {
        bench.pass(ms(1));
        bench.router.stage_ended(&info, 0, ms(20), bench.now);
        bench.router.stage_ended(&info, 1, ms(200), bench.now);
    }
    for case in cases {
        let info = bench.request("yard", 0, ms(case.left));
        let first = bench.router.stage_deadline(&info, 0, bench.now) - bench.now;
        assert!(case.first.contains(&first.as_millis()), "{}: {first:?}", case.name);
        assert_eq!(bench.router.stage_deadline(&info, 1, bench.now), info.deadline);
    }
}

// Guards against more running calls than slots, and against a queued call that waits for ever:
// eight threads enter, wait for their slots and leave, without a tick. A slot must not be counted
// or granted twice by two threads, nor seen as free by none.
#[test]
fn threads_share_the_slots_of_a_pool() {
    let bench = Bench::writers(3, 1);
    let running = std::sync::atomic::AtomicUsize::new(0);
    let work = |customer: &str| {
        for _ in 0..2_000 {
            let slot = match bench.slot(customer, 3, ms(3_600_000)) {
                SlotResponse::Granted(slot) => slot,
                SlotResponse::Queued(queued) => {
                    queued.blocking_recv().expect("an answer").expect("a slot")
                }
                SlotResponse::Refused(refusal) => panic!("the queue holds eight calls: {refusal}"),
            };
            let others = running.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            assert!(others < 3, "{others} others run");
            running.fetch_sub(1, std::sync::atomic::Ordering::SeqCst);
            drop(slot);
        }
    };
    std::thread::scope(|scope| {
        for at in 0..8 {
            scope.spawn(move || work(["yard", "desk", "studio"][at % 3]));
        }
    });
}

// Guards against requests of priority 0 that are late while the pool is full of others: they all
// come to one entry of four, and exceed its share, while the other entries use the rest of the
// pool.
#[test]
fn priority_0_exceeds_the_share_of_its_entry() {
    let mut bench = Bench::writers(4, 10);
    let loads: Vec<_> = (0..4).map(|it| load(&format!("write-{it:03}"), 12)).collect();
    bench.digest(4, &loads);
    let mut running: Vec<_> =
        (0..13).map(|_| expect_granted(bench.slot("desk", 3, ms(9_000)))).collect();
    let _lower = expect_queued(bench.slot("desk", 3, ms(9_000)));
    running.extend((0..10).map(|_| expect_granted(bench.slot("yard", 0, ms(9_000)))));
    let _no_more = expect_queued(bench.slot("yard", 0, ms(9_000)));
}

// Guards against short stages that are refused with `deadline-too-short` on idle upstreams after a
// burst of long ones in the same pool: the short ones are slow in the burst, then only long ones
// run, then a short one comes. An estimate without new samples must not keep the old time for
// minutes, nor approach the pool's mean.
#[test]
fn short_stage_is_not_taken_for_the_long_one_beside_it() {
    let find = pool(PoolKind::Retrieve, "find", 4, 100);
    let mut service = service(find, pool(PoolKind::Generate, "write", 4, 10));
    let long = Pipeline { stages: vec![stage("write", 2_000)], ..Pipeline::default() };
    service.pipelines.insert(name("long"), long);
    let mut bench = Bench::open(service);
    let mut short = bench.request("desk", 3, ms(1_000));
    let mut long = bench.request("yard", 4, ms(9_000));
    long.pipeline = name("long");
    for _ in 0..30 {
        bench.router.stage_ended(&short, 1, ms(1_500), bench.now);
    }
    for _ in 0..200 {
        bench.calls(1, |_| ms(2_000));
        bench.router.stage_ended(&long, 0, ms(2_000), bench.now);
        bench.pass(ms(200));
    }
    let _running = expect_granted(bench.slot("yard", 4, ms(9_000)));
    long.deadline = bench.now + ms(9_000);
    let _admitted = bench.router.admit(&long, bench.now).expect("admitted");
    short.deadline = bench.now + ms(800);
    let admitted = bench.router.admit(&short, bench.now);
    assert!(admitted.is_ok(), "200 ms of work in 800 ms: {admitted:?}");
}

// Guards against `queue-full` refusals while a pool of three to five replicas has free slots: six
// entries share eight slots, and one has three calls at once while others have none. The even share
// of a small pool is one or two slots, and the digest lags.
#[test]
fn entry_may_run_more_than_its_even_share_of_a_small_pool() {
    struct Case {
        name: &'static str,
        replicas: usize,
        slots: u32,
        starts: usize,
    }
    let cases = [
        Case { name: "8 slots", replicas: 4, slots: 2, starts: 3 },
        Case { name: "6 slots", replicas: 3, slots: 2, starts: 2 },
        Case { name: "48 slots", replicas: 12, slots: 4, starts: 10 },
        Case { name: "600 slots", replicas: 100, slots: 6, starts: 107 },
    ];
    for case in cases {
        let mut bench = Bench::writers(case.replicas, case.slots);
        let busy = |it| load(&format!("write-{it:03}"), case.slots);
        let loads: Vec<_> = (0..case.replicas).map(busy).collect();
        bench.digest(6, &loads);
        let slots = std::iter::from_fn(|| match bench.slot("desk", 3, ms(5_000)) {
            SlotResponse::Granted(slot) => Some(slot),
            _ => None,
        });
        assert_eq!(slots.collect::<Vec<_>>().len(), case.starts, "{}", case.name);
    }
}

// Guards against requests that fail with `queue-full` after their first stage ran, and are retried
// to fail again: the queue of a later stage is full, and admission checks only times.
#[test]
fn full_queue_of_a_later_stage_refuses_at_admission() {
    let bench = Bench::writers(1, 1);
    let _running = expect_granted(bench.slot("desk", 3, ms(60_000)));
    let _queued: Vec<_> =
        (0..8).map(|_| expect_queued(bench.slot("desk", 3, ms(60_000)))).collect();
    let refusal = bench.router.admit(&bench.request("desk", 3, ms(60_000)), bench.now);
    assert_eq!(refusal.expect_err("the later queue is full").reason, RefusalReason::QueueFull);
    for (customer, priority) in [("yard", 0), ("yard", 2), ("studio", 3)] {
        let other = bench.router.admit(&bench.request(customer, priority, ms(60_000)), bench.now);
        assert!(other.is_ok(), "{customer}, priority {priority}, displaces: {other:?}");
    }
}

// Guards against a request of priority 0 that is refused once, told to retry after its deadline,
// and late: many requests of lower priority are refused before it, and all of them count as ahead
// of it.
#[test]
fn refused_callers_of_lower_priority_are_not_ahead_of_a_higher_one() {
    let bench = Bench::writers(1, 1);
    let _running = expect_granted(bench.slot("desk", 3, ms(60_000)));
    let low = (0..100).map(|_| expect_refused(bench.slot("desk", 3, ms(100))).retry_after);
    let low = low.last().expect("a refusal");
    let high = expect_refused(bench.slot("yard", 0, ms(100))).retry_after;
    assert!(high < ms(400), "one call of 200 ms at most is ahead: {high:?}");
    assert!(low > ms(5_000), "a hundred calls are ahead: {low:?}");
}
