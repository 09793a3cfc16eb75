//! Tables of cases for the decisions, without I/O.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use common::{name, service, upstream};
use fleet::Target;
use fleet::availability::{Answer, Observation, derive_availability};
use fleet::bucket::WeightBucket;
use fleet::digest::DigestMaker;
use fleet::load::EntryLoads;
use fleet::plan::{Decision, Engine, LoadState, Plan, ReadBack};
use fleet::platform::{ListFault, ListedVm, Platform, VmList, VmState};
use types::UpstreamAvailability::{Leaving, Live};
use types::{
    ByteSize, Fence, Fencing, Incarnation, Millis, Rate, Service, UpstreamAvailability,
    UpstreamLoad,
};
use wire::session::LoadReport;

fn list(sequence: u64, vms: &[(&str, VmState)]) -> VmList {
    let vms = vms.iter().map(|(vm, state)| ListedVm { vm: vm.parse().unwrap(), state: *state });
    VmList { sequence, vms: vms.collect() }
}

#[test]
fn which_lists_of_the_platform_are_believed() {
    use VmState::{Leaving, Live};
    struct Case {
        at: u64,
        list: VmList,
        taken: Result<(), ListFault>,
        leaving: Option<bool>,
    }
    let old = |now| Err(ListFault::Old { now, before: 5 });
    let shrunken = Err(ListFault::Shrunken { now: 1, before: 3 });
    let three = |state| [("a", state), ("b", Live), ("c", Live)];
    let cases = [
        Case { at: 0, list: list(1, &[]), taken: Err(ListFault::Empty), leaving: None },
        Case { at: 1, list: list(2, &three(Live)), taken: Ok(()), leaving: Some(false) },
        Case { at: 2, list: list(3, &three(Leaving)), taken: Ok(()), leaving: Some(true) },
        // Neither a list with an equal number nor one without the VM clears it.
        Case { at: 3, list: list(3, &three(Live)), taken: Ok(()), leaving: Some(true) },
        Case { at: 4, list: list(4, &three(Live)[1..]), taken: Ok(()), leaving: Some(true) },
        Case { at: 5, list: list(5, &three(Leaving)), taken: Ok(()), leaving: Some(true) },
        Case { at: 6, list: list(4, &three(Live)), taken: old(4), leaving: Some(true) },
        Case { at: 7, list: list(6, &[]), taken: Err(ListFault::Empty), leaving: Some(true) },
        Case { at: 8, list: list(6, &[("a", Live)]), taken: shrunken, leaving: Some(true) },
        Case { at: 9, list: list(7, &three(Live)), taken: Ok(()), leaving: Some(false) },
        Case { at: 10, list: list(8, &three(Leaving)), taken: Ok(()), leaving: Some(true) },
        // A platform that restarts its numbering is accepted after a while, and clears the state
        // only with a higher number.
        Case {
            at: 11,
            list: list(1, &three(Live)),
            taken: Err(ListFault::Old { now: 1, before: 8 }),
            leaving: Some(true),
        },
        Case { at: 71, list: list(1, &three(Live)), taken: Ok(()), leaving: Some(true) },
        Case { at: 72, list: list(2, &three(Live)), taken: Ok(()), leaving: Some(false) },
    ];
    let mut platform = Platform::default();
    let start = Instant::now();
    for case in cases {
        let taken = platform.take(&case.list, start + Duration::from_secs(case.at));
        assert_eq!(taken, case.taken, "at {}", case.at);
        assert_eq!(platform.is_leaving(&"a".parse().unwrap()), case.leaving, "at {}", case.at);
    }
}

#[test]
fn who_gets_new_work() {
    struct Case {
        name: &'static str,
        seen: fn(&mut Observation),
        availability: UpstreamAvailability,
    }
    let refuse = |it: &mut Observation| (0..3).for_each(|_| it.record_poll(Answer::Refused));
    let cases = [
        Case { name: "nothing seen", seen: |_| {}, availability: Live },
        Case { name: "platform", seen: |it| it.platform = Some(true), availability: Leaving },
        Case { name: "absent", seen: |it| it.platform = None, availability: Live },
        Case { name: "mark", seen: |it| it.set_mark(true), availability: Leaving },
        Case { name: "drain", seen: |it| it.record_poll(Answer::Draining), availability: Leaving },
        Case {
            name: "drain, then silence",
            seen: |it| {
                it.record_poll(Answer::Draining);
                it.record_poll(Answer::NoAnswer);
                it.record_poll(Answer::Refused);
            },
            availability: Leaving,
        },
        Case {
            name: "drain, then its own report",
            seen: |it| {
                it.record_poll(Answer::Draining);
                it.record_poll(Answer::Serving);
            },
            availability: Live,
        },
        Case {
            name: "drain, then a mark taken back",
            seen: |it| {
                it.record_poll(Answer::Draining);
                it.set_mark(true);
                it.set_mark(false);
            },
            availability: Live,
        },
        Case {
            name: "refused once",
            seen: |it| it.record_poll(Answer::Refused),
            availability: Live,
        },
        Case { name: "refused", seen: refuse, availability: Leaving },
        Case { name: "inherited", seen: |it| it.inherited = true, availability: Leaving },
        Case {
            name: "inherited, then its own report",
            seen: |it| {
                it.inherited = true;
                it.record_poll(Answer::Serving);
                it.drop_superseded(true);
            },
            availability: Live,
        },
        Case {
            name: "inherited, then its own report, but not the platform's",
            seen: |it| {
                it.inherited = true;
                it.platform = Some(true);
                it.record_poll(Answer::Serving);
                it.drop_superseded(true);
            },
            availability: Leaving,
        },
    ];
    let address = "127.0.0.1:9".parse().unwrap();
    let spec = upstream(address, "a", Fencing::Checks);
    let service = service("v1", &[("one", spec.clone()), ("two", spec)]);
    let pool = service.pools.values().next().unwrap();
    for case in cases {
        let mut observation = Observation::default();
        (case.seen)(&mut observation);
        let mut observations = BTreeMap::from([(name("one"), observation)]);
        let derived = derive_availability(pool, &observations);
        assert_eq!(derived[&name("one")].availability, case.availability, "{}", case.name);
        assert_eq!(derived[&name("two")].availability, Live, "{}", case.name);
        // Refused connections alone never remove the last upstream of a pool.
        let mut other = Observation::default();
        refuse(&mut other);
        observations.insert(name("two"), other);
        let all_refuse = observations[&name("one")].refused >= 3;
        let expected = if all_refuse || case.availability == Leaving { Live } else { Leaving };
        assert_eq!(
            derive_availability(pool, &observations)[&name("two")].availability,
            expected,
            "{}",
            case.name
        );
    }
}

#[test]
fn reports_of_entries_add_up() {
    struct Case {
        at: u64,
        vm: &'static str,
        owner: u64,
        sequence: u64,
        calls: &'static [(&'static str, u32)],
        full: bool,
        sums: [u32; 2],
        entries: u32,
    }
    let case = |at, vm, owner, sequence, calls, full, sums, entries| Case {
        at,
        vm,
        owner,
        sequence,
        calls,
        full,
        sums,
        entries,
    };
    let cases = [
        case(0, "x", 1, 1, &[("a", 3)], true, [3, 0], 1),
        case(0, "y", 1, 1, &[("a", 1), ("b", 2)], true, [4, 2], 2),
        case(1, "x", 1, 2, &[("b", 5)], false, [4, 7], 2),
        // A partial report is relative to the last full one: `b` is back to zero.
        case(1, "x", 1, 3, &[("a", 2)], false, [3, 2], 2),
        case(1, "x", 1, 2, &[("a", 9)], true, [3, 2], 2),
        case(2, "x", 1, 4, &[], true, [1, 2], 2),
        // A new incarnation starts with a full report; a report of the previous one arrives too
        // late.
        case(3, "x", 2, 1, &[("a", 1)], true, [2, 2], 2),
        case(3, "x", 1, 9, &[("a", 9)], false, [2, 2], 2),
        // `y` has not reported for too long.
        case(6, "x", 2, 2, &[("a", 4)], true, [4, 0], 1),
    ];
    let mut loads = EntryLoads::default();
    let start = Instant::now();
    for (index, case) in cases.into_iter().enumerate() {
        let now = start + Duration::from_secs(case.at);
        let in_flight = case.calls.iter().map(|(it, calls)| (name(it), *calls)).collect();
        let (vm, owner) = (case.vm.parse().unwrap(), Incarnation(case.owner));
        let (sequence, full) = (case.sequence, case.full);
        loads.take(LoadReport { vm, owner, sequence, in_flight, full }, now);
        loads.expire(now);
        let sums = ["a", "b"].map(|it| loads.in_flight(&name(it)));
        assert_eq!((sums, loads.entries()), (case.sums, case.entries), "case {index}");
    }
}

fn load(index: usize, in_flight: u32, availability: UpstreamAvailability) -> UpstreamLoad {
    UpstreamLoad {
        upstream: name(&format!("u{index}")),
        in_flight,
        reported: None,
        report_age: Millis(0),
        availability,
    }
}

#[test]
fn digests_name_what_is_news_within_their_bound() {
    let start = Instant::now();
    let mut maker = DigestMaker::new(10);
    let mut loads: Vec<UpstreamLoad> = (0..300).map(|it| load(it, 1, Live)).collect();
    let first = maker.make(&loads, 2, start).unwrap();
    assert_eq!((first.sequence, first.loads.len(), first.entries), (11, 300, 2));
    assert_eq!(maker.make(&loads, 2, start), None);

    loads[7].in_flight = 4;
    let delta = maker.make(&loads, 2, start).unwrap();
    assert_eq!((delta.sequence, delta.loads), (12, vec![load(7, 4, Live)]));

    // Everything changes: changed availability comes first, then the largest changes.
    for (index, it) in loads.iter_mut().enumerate() {
        it.in_flight += 1 + index as u32;
    }
    loads[0].availability = Leaving;
    let bound = maker.make(&loads, 2, start).unwrap().loads;
    assert_eq!(bound.len(), 192);
    assert_eq!((bound[0].upstream.clone(), bound[1].upstream.clone()), (name("u0"), name("u299")));
    let full = maker.make(&loads, 2, start + Duration::from_secs(10)).unwrap();
    assert_eq!(full.loads.len(), 300);
}

#[test]
fn at_rest_only_a_leaving_upstream_is_named_between_full_digests() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut maker = DigestMaker::new(0);
    let mut loads: Vec<UpstreamLoad> = (0..600).map(|it| load(it, 0, Live)).collect();
    loads[3].availability = Leaving;
    loads.iter_mut().for_each(|it| it.reported = Some(0));
    maker.make(&loads, 8, start).expect("the full one");
    // Each upstream was polled again with the same result, so the reports are fresh.
    assert_eq!(maker.make(&loads, 8, at(1)), None);
    let named = maker.make(&loads, 8, at(2)).expect("the leaving one").loads;
    assert_eq!(named, [loads[3].clone()]);
    loads[3].availability = Live;
    let named = maker.make(&loads, 8, at(3)).expect("it came back").loads;
    assert_eq!(named, [loads[3].clone()]);
    assert_eq!(maker.make(&loads, 8, at(9)), None);
    assert_eq!(maker.make(&loads, 8, at(10)).expect("the next full one").loads.len(), 600);
}

#[test]
fn weights_are_loaded_within_the_stores_rate() {
    let start = Instant::now();
    let mut bucket = WeightBucket::new(start);
    let rate = Rate(100.0);
    assert!(bucket.is_open(rate, start));
    bucket.charge(ByteSize(1_000));
    assert!(!bucket.is_open(rate, start + Duration::from_secs(9)));
    assert!(bucket.is_open(rate, start + Duration::from_secs(10)));
    // Time without loads is not saved up.
    assert!(bucket.is_open(rate, start + Duration::from_secs(1_000)));
    bucket.charge(ByteSize(1_000));
    assert!(!bucket.is_open(rate, start + Duration::from_secs(1_009)));
}

/// Guards against an engine that never gets its first order and shows "what it shows is not read
/// yet". It starts without a model and shows its fields as null. If only strings were accepted, it
/// could not be read, and an engine that is not read gets no order.
#[test]
fn an_engine_that_shows_nothing_is_read() {
    let bare = r#"{"state": "ready"}"#;
    let nulls = r#"{"fence": null, "model": null, "version": null, "adapters": null, "role": null,
        "state": "ready"}"#;
    let read = |text: &str| serde_json::from_str::<ReadBack>(text).unwrap();
    assert_eq!(read(nulls), read(bare));
    assert_eq!(read(bare).model, "");
}

fn shown(model: &str, version: &str, state: LoadState) -> ReadBack {
    let (model, version) = (model.to_owned(), version.to_owned());
    let (fence, role) = (Fence(0), "both".to_owned());
    ReadBack { fence, model, version, adapters: Vec::new(), role, state }
}

fn show(engine: &mut Engine, target: &Target, at: Instant, version: &str, state: LoadState) {
    let model = if version.is_empty() { "" } else { "m" };
    engine.read(shown(model, version, state), Some(target), at);
}

#[test]
fn what_to_do_about_an_engine() {
    use LoadState::{Loading, Ready};
    struct Case {
        name: &'static str,
        fencing: Fencing,
        after: u64,
        seen: fn(&mut Engine, &Target, Instant),
        step: &'static str,
    }
    let case = |name, fencing, after, seen, step| Case { name, fencing, after, seen, step };
    let (checks, ignores) = (Fencing::Checks, Fencing::Ignores);
    let cases = [
        case("unread", checks, 0, |_, _, _| {}, "what it shows is not read yet"),
        case("done", checks, 0, |it, t, at| show(it, t, at, "v2", Ready), "done"),
        case("loads", checks, 0, |it, t, at| show(it, t, at, "v2", Loading), "it loads its target"),
        case("old", checks, 0, |it, t, at| show(it, t, at, "v1", Ready), "order"),
        case("none", checks, 0, |it, t, at| show(it, t, at, "", Ready), "order"),
        case(
            "loads something else",
            checks,
            0,
            |it, t, at| show(it, t, at, "v1", Loading),
            "it loads something else",
        ),
        case(
            "loads something else for long",
            checks,
            1_000,
            |it, t, at| show(it, t, at, "v1", Loading),
            "order",
        ),
        case(
            "early",
            ignores,
            999,
            |it, t, at| show(it, t, at, "v1", Ready),
            "an order of the leader before may be under way",
        ),
        case("waited", ignores, 1_000, |it, t, at| show(it, t, at, "v1", Ready), "order"),
        case("ordered", checks, 0, |it, t, _| it.begin(t.clone()), "an order is under way"),
        case(
            "sent",
            checks,
            0,
            |it, t, at| {
                it.begin(t.clone());
                it.end(false, at);
            },
            "what it shows is not read yet",
        ),
        case(
            "failed",
            checks,
            999,
            |it, t, at| {
                it.begin(t.clone());
                it.end(true, at);
                show(it, t, at, "v1", Ready);
            },
            "the last order failed",
        ),
        case(
            "failed before",
            checks,
            1_000,
            |it, t, at| {
                it.begin(t.clone());
                it.end(true, at);
                show(it, t, at, "v1", Ready);
            },
            "order",
        ),
        case(
            "taken without effect",
            checks,
            999,
            |it, t, at| {
                it.begin(t.clone());
                it.end(false, at);
                show(it, t, at, "v1", Ready);
            },
            "the last order failed",
        ),
        case(
            "failed with another target",
            checks,
            0,
            |it, t, at| {
                it.begin(Target { version: "v1.5".to_owned(), ..t.clone() });
                it.end(true, at);
                show(it, t, at, "v1", Ready);
            },
            "order",
        ),
    ];
    let address = "127.0.0.1:9".parse().unwrap();
    for case in cases {
        let spec = upstream(address, "a", case.fencing);
        let service = service("v2", &[("one", spec.clone())]);
        let target = Target::of(&service, &spec).unwrap();
        let leading_since = Instant::now();
        let mut engine = Engine::default();
        (case.seen)(&mut engine, &target, leading_since);
        let now = leading_since + Duration::from_millis(case.after);
        let plan = Plan { service: &service, leaving: &BTreeSet::new(), leading_since, now };
        let step = match plan.decide(&name("one"), &spec, &engine) {
            Decision::Done => "done",
            Decision::Wait(why) => why,
            Decision::Order { .. } => "order",
        };
        assert_eq!(step, case.step, "{}", case.name);
        let leaving = BTreeSet::from([name("one")]);
        let plan = Plan { leaving: &leaving, ..plan };
        let step = plan.decide(&name("one"), &spec, &engine);
        assert!(!matches!(step, Decision::Order { .. }), "{}, and leaving", case.name);
    }
}

/// Guards against a new version of a model that takes its whole pool out of service. All engines of
/// the pool show the old version and could get an order at once, so orders must not be decided for
/// each engine alone.
#[test]
fn a_pool_is_loaded_a_share_at_a_time() {
    let address = "127.0.0.1:9".parse().unwrap();
    let names: Vec<String> = (0..9).map(|it| format!("e{it}")).collect();
    let spec = upstream(address, "a", Fencing::Checks);
    let engines: Vec<_> = names.iter().map(|it| (it.as_str(), spec.clone())).collect();
    let mut service: Service = service("v2", &engines);
    service.models.values_mut().for_each(|it| it.weights = ByteSize(10));
    service.orders.weights = Rate(1e9);
    let target = Target::of(&service, &spec).unwrap();
    let start = Instant::now();
    let mut known: BTreeMap<_, Engine> = BTreeMap::new();
    for it in &names {
        let model = if it == "e8" { "" } else { "m" };
        let engine = known.entry(name(it)).or_default();
        engine.read(shown(model, "v1", LoadState::Ready), Some(&target), start);
    }
    let leaving = BTreeSet::from([name("e0")]);
    let mut bucket = WeightBucket::new(start);
    let mut round = |known: &BTreeMap<_, Engine>, after: u64| -> Vec<String> {
        let now = start + Duration::from_secs(after);
        let plan = Plan { service: &service, leaving: &leaving, leading_since: start, now };
        let orders = plan.next_orders(known, &mut bucket);
        orders.into_iter().map(|it| it.upstream.to_string()).collect()
    };
    // An engine that serves nothing goes first, and the store allows one load at a time.
    assert_eq!(round(&known, 1), ["e8"]);
    known.get_mut(&name("e8")).unwrap().begin(target.clone());
    assert_eq!(round(&known, 2), ["e1"]);
    known.get_mut(&name("e1")).unwrap().begin(target.clone());
    // A quarter of nine engines load: the next one waits until one of the two serves again.
    assert_eq!(round(&known, 3), Vec::<String>::new());
    let first = known.get_mut(&name("e8")).unwrap();
    first.end(false, start);
    assert_eq!(round(&known, 4), Vec::<String>::new());
    let first = known.get_mut(&name("e8")).unwrap();
    first.read(shown("m", "v2", LoadState::Ready), Some(&target), start);
    assert_eq!(round(&known, 5), ["e2"]);
}
