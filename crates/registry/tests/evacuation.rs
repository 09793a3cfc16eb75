//! Orders for failure domains are kept, and reach entries.

mod env;

use env::{Env, TIMEOUT, TextValidator, put};
use registry::evacuation::{Action, Evacuations, Order};
use registry::message::ToEntry;
use registry::{EvacuationOutcome, Follower, Member};
use tokio::time::{Instant, sleep, timeout};

use std::time::Duration;

fn order(domain: &str, action: Action) -> Order {
    Order { domain: domain.to_owned(), action, operator: "op".to_owned(), at_ms: 1 }
}

/// Sends an order to the members in turn until one acknowledges it.
async fn send(members: &[&Member<TextValidator>], domain: &str, action: Action) {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        for member in members {
            if let EvacuationOutcome::Stored(_) = member.order(order(domain, action)).await {
                return;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the order for {domain} was not acknowledged");
}

/// Waits until a follower knows exactly these evacuated domains.
async fn wait_for(follower: &Follower, domains: &[&str]) {
    let mut state = follower.state();
    let known = state.wait_for(|it| it.evacuated.domains == domains);
    let known = timeout(TIMEOUT, known).await;
    assert!(
        known.is_ok(),
        "{domains:?} are not known, but {:?}",
        follower.state().borrow().evacuated
    );
}

struct Case {
    name: &'static str,
    orders: &'static [(&'static str, Action)],
    active: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case { name: "none", orders: &[], active: &[] },
    Case { name: "one", orders: &[("d", Action::Evacuate)], active: &["d"] },
    Case {
        name: "sent again",
        orders: &[("d", Action::Evacuate), ("d", Action::Evacuate)],
        active: &["d"],
    },
    Case {
        name: "withdrawn",
        orders: &[("d", Action::Evacuate), ("e", Action::Evacuate), ("d", Action::Withdraw)],
        active: &["e"],
    },
    Case {
        name: "withdrawn twice",
        orders: &[("d", Action::Evacuate), ("d", Action::Withdraw), ("d", Action::Withdraw)],
        active: &[],
    },
    Case {
        name: "evacuated again",
        orders: &[("d", Action::Evacuate), ("d", Action::Withdraw), ("d", Action::Evacuate)],
        active: &["d"],
    },
];

#[test]
fn the_last_order_for_a_domain_counts() {
    for case in CASES {
        let mut evacuations = Evacuations::default();
        for (domain, action) in case.orders {
            evacuations.apply(order(domain, *action));
        }
        assert_eq!(evacuations.domains().domains, case.active, "{}", case.name);
        assert_eq!(evacuations.number(), case.orders.len() as u64, "{}", case.name);
        assert_eq!(evacuations.history().count(), case.orders.len(), "{}", case.name);
    }
}

/// Guards against a history of orders that grows without bound in the replicated state.
#[test]
fn the_history_is_bounded() {
    let mut evacuations = Evacuations::default();
    for _ in 0..1_000 {
        evacuations.apply(order("d", Action::Evacuate));
    }
    assert!(evacuations.history().count() <= 64);
    assert_eq!(evacuations.number(), 1_000);
}

/// Guards against evacuations that are missing from snapshots: a member that joins late knows the plan
/// and not the evacuations, and so do the entries that are connected to it alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_joins_late_knows_the_evacuations() {
    /// Plans of this size make the members write snapshots.
    const PLAN_BYTES: usize = 700 << 10;
    let env = Env::new(3, 1);
    let members = [env.member(0, true).await, env.member(1, true).await];
    let all: Vec<_> = members.iter().collect();
    send(&all, "e", Action::Evacuate).await;
    send(&all, "d", Action::Evacuate).await;
    send(&all, "e", Action::Withdraw).await;
    for version in 1..=12 {
        put(&all, &format!("{version} {}", "x".repeat(PLAN_BYTES))).await;
    }
    let _late = env.member(2, true).await;
    let follower = env.follower_of(vec![env.addresses[2]]);
    wait_for(&follower, &["d"]).await;
}

/// Guards against an entry that starts during an evacuation and serves requests before it knows of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_knows_the_evacuations_before_it_has_a_plan() {
    let env = Env::new(3, 1);
    let mut members = Vec::new();
    for number in 0..3 {
        members.push(env.member(number, true).await);
    }
    let all: Vec<_> = members.iter().collect();
    put(&all, "1 plan").await;
    send(&all, "d", Action::Evacuate).await;
    for address in &env.addresses {
        let (_sender, mut receiver) = env.connect(*address).await;
        let evacuated_first = async {
            let mut known = false;
            loop {
                match receiver.recv().await.expect("a message").expect("an open connection") {
                    ToEntry::Evacuated(it) => known = it.contains("d"),
                    ToEntry::PlanVersion { current: true, .. } => return known,
                    _ => {}
                }
            }
        };
        let first = timeout(TIMEOUT, evacuated_first).await.expect("in time");
        assert!(first, "{address} reported its plan as current before the evacuation");
    }
}

/// Guards against an order for a domain that the deployment does not have.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_domain_is_refused() {
    let env = Env::new(1, 0);
    let member = env.member(0, true).await;
    let refused = member.order(order("nowhere", Action::Evacuate)).await;
    assert!(matches!(refused, EvacuationOutcome::UnknownDomain), "{refused:?}");
}
