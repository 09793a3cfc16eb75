//! What an entry does beside its requests: takes events from control, reports use and load, lets
//! the router see time pass.

use std::sync::Arc;
use std::time::{Duration, Instant};

use follower::{Event, ServiceSnapshot};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use types::CustomerLimits;
use wire::session::CustomerShare;

use crate::auth::View;
use crate::core::Core;
use crate::session::Session;

/// How often the router refuses queued work whose time no longer suffices.
const TICK: Duration = Duration::from_millis(5);

/// How often calls in flight are reported.
const LOAD: Duration = Duration::from_millis(150);

/// How often use is reported.
const USAGE: Duration = Duration::from_secs(1);

/// How often connections and runs that are over are forgotten.
const SWEEP: Duration = Duration::from_millis(250);

pub(crate) fn spawn<S: Session>(
    core: &Arc<Core<S>>,
    events: mpsc::Receiver<Event>,
) -> Vec<JoinHandle<()>> {
    if let Some(snapshot) = core.session.service() {
        install(core, snapshot);
    }
    vec![
        core.runtime.spawn(follow(Arc::clone(core), events)),
        every(core, TICK, |core| core.router.tick(Instant::now())),
        every(core, LOAD, |core| core.session.load(&core.router.in_flight())),
        every(core, USAGE, last_report),
        every(core, SWEEP, |core| {
            core.peers.sweep();
            core.joins.sweep();
        }),
    ]
}

/// Reports what was used since the last report.
pub(crate) fn last_report<S: Session>(core: &Arc<Core<S>>) {
    core.session.usage(core.usage.report(Instant::now()));
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

async fn follow<S: Session>(core: Arc<Core<S>>, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        match event {
            Event::Service(snapshot) => install(&core, snapshot),
            Event::Digest(digest) => core.router.digest(&digest, Instant::now()),
            Event::Shares(shares) => shares.into_iter().for_each(|share| take(&core, share)),
        }
    }
    log::info!("the session with control has ended");
}

/// Puts a version in force. An older one than that in force is ignored.
fn install<S: Session>(core: &Core<S>, snapshot: Arc<ServiceSnapshot>) {
    let version = snapshot.service.version;
    let current = core.view.load().as_ref().map(|it| it.service().version);
    if current.is_some_and(|it| it >= version) {
        return;
    }
    core.router.install(&snapshot.service, Instant::now());
    let view = Arc::new(View::new(snapshot));
    let pools = view.service().pools.values();
    let known: std::collections::HashSet<_> =
        pools.flat_map(|it| it.upstreams.values()).map(|it| it.address).collect();
    core.calls.keep_only(|address| known.contains(address));
    core.view.store(Some(view));
    log::info!(version:% = version; "service in force");
}

fn take<S: Session>(core: &Core<S>, share: CustomerShare) {
    let CustomerShare { customer, rate, concurrency, tokens } = share;
    core.router.shares(&customer, &CustomerLimits { rate, concurrency, tokens });
}
