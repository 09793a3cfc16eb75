//! Reads the platform's list of upstreams on the leader.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use types::StepResult;

use crate::driver::View;
use crate::hub::Hub;
use crate::message::{Stamp, Upstream, UpstreamList};

/// The time between two readings. The list itself lags by most of a second, and an upstream that
/// leaves may get no new work some seconds later; twice a second uses a small part of both.
const PERIOD: Duration = Duration::from_millis(450);

/// How long one reading may take.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// What one reading of the list brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Why the entries that can't be read can't be; these name no upstream to use.
    pub unreadable: Vec<String>,
}

/// Where the list of upstreams comes from.
pub trait ListSource: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Where a page can't be had.
    fn read(&self) -> impl Future<Output = StepResult<Listing>> + Send;
}

/// Reads the list for as long as the member leads, and hands it out when it changed.
pub(crate) async fn run<L: ListSource>(
    source: L,
    hub: Arc<Hub>,
    view: tokio::sync::watch::Receiver<View>,
) {
    let mut last = UpstreamList::default();
    let mut lost = false;
    let mut unreadable = Vec::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let term = match &*view.borrow() {
            it if it.leads() => it.term,
            _ => continue,
        };
        let read = tokio::time::timeout(TIMEOUT, source.read()).await;
        let listing = match read {
            Ok(Ok(it)) => it,
            Ok(Err(error)) => {
                report(&mut lost, &error.to_string());
                continue;
            }
            Err(_) => {
                report(&mut lost, "no answer in time");
                continue;
            }
        };
        let upstreams = listing.upstreams;
        if unreadable != listing.unreadable {
            unreadable = listing.unreadable;
            log::warn!(entries = unreadable.len(), cause = unreadable.first().map(String::as_str);
                "entries of the list of upstreams that can't be read name none to use");
        }
        if lost {
            log::info!(upstreams = upstreams.len(); "the list of upstreams is readable again");
            lost = false;
        }
        if last.stamp.term == term && last.upstreams == upstreams {
            continue;
        }
        let count = if last.stamp.term == term { last.stamp.count + 1 } else { 1 };
        last = UpstreamList { stamp: Stamp { term, count }, upstreams };
        log::info!(stamp:% = last.stamp, upstreams = last.upstreams.len();
            "the list of upstreams changed");
        hub.set_upstreams(last.clone());
    }
}

fn report(lost: &mut bool, why: &str) {
    if !*lost {
        log::warn!(cause = why; "the list of upstreams can't be read; the last one stays in use");
    }
    *lost = true;
}
