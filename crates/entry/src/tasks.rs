//! Background tasks of an entry: apply events from control, report usage and load, and drive the
//! router's timers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use follower::{Event, ServiceSnapshot};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use types::CustomerLimits;
use wire::session::CustomerShare;

use crate::auth::ServiceView;
use crate::core::Core;
use crate::session::Session;

/// How often the router refuses queued work that can no longer meet its deadline.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How often calls in flight are reported.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// How often usage is reported.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How often closed connections and abandoned runs are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) fn spawn<S: Session>(
    core: &Arc<Core<S>>,
    events: mpsc::Receiver<Event>,
) -> Vec<JoinHandle<()>> {
    if let Some(snapshot) = core.session.service() {
        install(core, snapshot);
    }
    vec![
        core.runtime.spawn(handle_events(Arc::clone(core), events)),
        every(core, QUEUE_CHECK_INTERVAL, |core| core.router.tick(Instant::now())),
        every(core, LOAD_REPORT_INTERVAL, |core| core.session.load(&core.router.in_flight())),
        every(core, USAGE_REPORT_INTERVAL, report_usage),
        every(core, SWEEP_INTERVAL, |core| {
            core.connections.sweep();
            core.shared_runs.remove_abandoned();
        }),
    ]
}

/// Reports the usage since the last report.
pub(crate) fn report_usage<S: Session>(core: &Arc<Core<S>>) {
    core.session.usage(core.usage.take_report(Instant::now()));
}

fn every<S: Session>(
    core: &Arc<Core<S>>,
    period: Duration,
    work: impl Fn(&Arc<Core<S>>) + Send + 'static,
) -> JoinHandle<()> {
    let core = Arc::clone(core);
    let runtime = core.runtime.clone();
    runtime.spawn(async move {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            work(&core);
        }
    })
}

async fn handle_events<S: Session>(core: Arc<Core<S>>, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        match event {
            Event::Service(snapshot) => install(&core, snapshot),
            Event::Digest(digest) => core.router.apply_digest(&digest, Instant::now()),
            Event::Shares(shares) => shares.into_iter().for_each(|share| apply_share(&core, share)),
        }
    }
    log::info!(
        "session with control has ended: no more service versions, digests or shares arrive"
    );
}

/// Puts a service version in force, unless the current one is as new or newer.
fn install<S: Session>(core: &Core<S>, snapshot: Arc<ServiceSnapshot>) {
    let version = snapshot.service.version;
    let current = core.view.load().as_ref().map(|it| it.service().version);
    if current.is_some_and(|it| it >= version) {
        return;
    }
    core.router.install(&snapshot.service, Instant::now());
    let view = Arc::new(ServiceView::new(snapshot));
    let pools = view.service().pools.values();
    let known: std::collections::HashSet<_> =
        pools.flat_map(|it| it.upstreams.values()).map(|it| it.address).collect();
    core.calls.keep_only(|address| known.contains(address));
    core.view.store(Some(view));
    log::info!(version:% = version; "service in force");
}

fn apply_share<S: Session>(core: &Core<S>, share: CustomerShare) {
    let CustomerShare { customer, rate, concurrency, tokens } = share;
    core.router.set_shares(&customer, &CustomerLimits { rate, concurrency, tokens });
}
