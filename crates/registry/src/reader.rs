//! Reads the platform's list of upstreams while this member leads.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use types::StepResult;

use crate::cold::ColdUpstream;
use crate::driver::View;
use crate::hub::Hub;
use crate::message::{Stamp, Upstream, UpstreamList};

/// The interval between two reads. The list itself lags by almost a second, and an upstream that is
/// about to terminate must get no new work some seconds later; this interval is a small part of both.
const READ_INTERVAL: Duration = Duration::from_millis(450);

/// The interval between two reads for each page that a read takes, so that a longer list does not
/// take more calls of the platform per second.
const PAGE_INTERVAL: Duration = Duration::from_millis(20);

/// The longest interval between two reads: upstreams that are about to terminate take new work for a
/// few seconds only.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Returns the interval between two reads of a list with this number of pages.
pub fn read_interval(pages: usize) -> Duration {
    let pages = u32::try_from(pages).unwrap_or(u32::MAX);
    PAGE_INTERVAL.saturating_mul(pages).clamp(READ_INTERVAL, MAX_READ_INTERVAL)
}

/// The timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The result of one read of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Those of them that are cold.
    pub cold: Vec<ColdUpstream>,
    /// Why entries of the list could not be parsed; such entries are left out.
    pub unreadable: Vec<String>,
    /// The number of calls of the platform that the read took.
    pub pages: usize,
}

/// A source of the list of upstreams.
pub trait ListSource: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Fails if a page of the list can't be read.
    fn read(&self) -> impl Future<Output = StepResult<Listing>> + Send;
}

/// Reads the list periodically while the member leads, and publishes it when it changes.
pub(crate) async fn run<L: ListSource>(
    source: L,
    hub: Arc<Hub>,
    view: tokio::sync::watch::Receiver<View>,
) {
    let mut last = UpstreamList::default();
    let mut failing = false;
    let mut unreadable = Vec::new();
    let mut pages = 0;
    let mut next = Instant::now();
    loop {
        sleep_until(next).await;
        next = Instant::now() + read_interval(pages);
        let term = match &*view.borrow() {
            it if it.leads() => it.term,
            _ => {
                // A new leader reads at once, however long the list is.
                next = Instant::now() + READ_INTERVAL;
                continue;
            }
        };
        let read = tokio::time::timeout(READ_TIMEOUT, source.read()).await;
        let listing = match read {
            Ok(Ok(it)) => it,
            Ok(Err(error)) => {
                log_failure(&mut failing, &error.to_string());
                continue;
            }
            Err(_) => {
                log_failure(&mut failing, "no answer in time");
                continue;
            }
        };
        pages = listing.pages;
        // Before the upstreams, so that no entry takes a new one for one that is not cold.
        hub.set_cold(&listing.cold, term);
        let upstreams = listing.upstreams;
        if unreadable != listing.unreadable {
            unreadable = listing.unreadable;
            log::warn!(entries = unreadable.len(), cause = unreadable.first().map(String::as_str);
                "some entries of the list of upstreams can't be parsed; they are left out");
        }
        if failing {
            log::info!(upstreams = upstreams.len(); "the list of upstreams can be read again");
            failing = false;
        }
        if last.stamp.term == term && last.upstreams == upstreams {
            continue;
        }
        let count = if last.stamp.term == term { last.stamp.count + 1 } else { 1 };
        last = UpstreamList { stamp: Stamp { term, count }, upstreams };
        log::info!(stamp:% = last.stamp, upstreams = last.upstreams.len();
            "the list of upstreams changed");
        // Before the upstreams, without which an entry sends no requests yet.
        hub.load_holds(&view.borrow());
        hub.set_upstreams(last.clone());
    }
}

/// Logs the first of a series of failures to read the list.
fn log_failure(failing: &mut bool, why: &str) {
    if !*failing {
        log::warn!(cause = why; "the list of upstreams can't be read; the last one stays in use");
    }
    *failing = true;
}
