//! Orders over HTTP: fencing, confirmation by a quorum, waiting for earlier orders, repetition.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{Fake, Quorum, name, service, until, upstream};
use fleet::{Fleet, FleetConfig};
use serde_json::json;
use types::Fencing;

fn is_settled(fleet: &Fleet) -> bool {
    fleet.view().upstreams.get(&name("engine")).is_some_and(|it| it.order.is_empty())
}

/// Guards against an engine that returns to what an earlier leader wanted. A leader whose fencing
/// numbers are behind sends an order, but the engine has seen a higher number: the refused order
/// must not count as done, and must not be sent again under the same number.
#[tokio::test]
async fn an_old_fence_is_refused_and_a_higher_one_is_taken() {
    let engine = Fake::spawn(true, 5).await;
    let quorum = Quorum::default();
    quorum.fence.store(4, Ordering::SeqCst);
    let (fleet, _digests) = Fleet::spawn(FleetConfig::default(), quorum);
    let spec = upstream(engine.address, "a", Fencing::Checks);
    fleet.lead(Arc::new(service("v2", &[("engine", spec)])));
    until("the engine shows the target", || engine.version() == "v2").await;
    let received = engine.received();
    assert_eq!((received[0].fence, received[0].accepted), (4, false));
    assert!(received.iter().all(|it| it.accepted == (it.fence >= 5)), "{received:?}");
    until("nothing is left to order", || is_settled(&fleet)).await;
}

/// Guards against an engine that ignores fencing numbers and serves under an earlier leader's order
/// for good. A leader is frozen right after its quorum's confirmation; another one takes over,
/// sends its order and reads its target back; then the frozen leader resumes and its order arrives.
/// The new leader must not order too early, and must keep reading after its target was shown.
#[tokio::test]
async fn an_ignoring_engine_ends_with_the_new_leaders_target() {
    let engine = Fake::spawn(false, 0).await;
    let quorum = Quorum::default();
    let (fleet, _digests) = Fleet::spawn(FleetConfig::default(), quorum.clone());
    let spec = upstream(engine.address, "a", Fencing::Ignores);
    let service = Arc::new(service("v2", &[("engine", spec)]));
    let led = Instant::now();
    fleet.lead(Arc::clone(&service));
    until("the engine shows the target", || engine.version() == "v2").await;
    let first = engine.received().remove(0);
    assert!(first.at - led >= Duration::from(service.orders.longest));
    let confirmed = || quorum.confirmed.load(Ordering::SeqCst) as usize;
    assert!(confirmed() >= engine.received().len());
    until("its target is read back", || is_settled(&fleet)).await;

    let late = json!({"fence": 0, "model": "m", "version": "v1", "adapters": [], "role": "both"});
    assert!(engine.order(&late));
    until("the engine is ordered again", || engine.version() == "v2").await;
    // One of the received orders is the late one.
    assert!(confirmed() >= engine.received().len() - 1);
    until("nothing is left to order", || is_settled(&fleet)).await;

    // Without its quorum it sends no order, although it still believes that it leads.
    quorum.lost.store(true, Ordering::SeqCst);
    engine.order(&late);
    let refused = || fleet.view().upstreams[&name("engine")].order.contains("no quorum");
    until("the order is refused", refused).await;
    assert_eq!(engine.version(), "v1");

    // Nor does it once it follows, although a quorum would answer again.
    fleet.follow();
    quorum.lost.store(false, Ordering::SeqCst);
    until("it follows", || !fleet.view().leading).await;
    let before = engine.received().len();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(engine.received().len(), before);
}
