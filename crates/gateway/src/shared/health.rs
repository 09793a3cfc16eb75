//! Exchanges the outcomes of requests with the other entries, and passes over upstreams that fail.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use registry::outcomes::{OutcomeReport, OutcomeTotals};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Shared;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::health::{Change, Judge, Return};

/// The interval at which outcomes are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(75);

/// How long the sums are valid without new ones. The leader sends the same ones again in less.
const TOTALS_LIFETIME: Duration = Duration::from_millis(2_500);

/// What an entry knows of the outcomes at all entries.
struct Exchange {
    judge: Judge,
    /// The services in the sums.
    watched: HashSet<Arc<str>>,
    received: Instant,
}

impl<D: Dialect> Shared<D> {
    /// Reports outcomes, and judges upstreams by the sums of all entries, for as long as the
    /// process lives.
    pub(crate) async fn exchange_outcomes(
        self: Arc<Self>,
        reports: mpsc::Sender<OutcomeReport>,
        mut totals: watch::Receiver<Arc<OutcomeTotals>>,
    ) {
        let now = Instant::now();
        let mut exchange =
            Exchange { judge: Judge::default(), watched: HashSet::new(), received: now };
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let report = self.directory().report_outcomes(&exchange.watched, Instant::now());
                    if !report.upstreams.is_empty() && reports.try_send(report).is_err() {
                        log::info!("a report of outcomes is dropped: the last one is not sent yet");
                    }
                    self.expire_totals(&mut exchange);
                }
                changed = totals.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let totals = Arc::clone(&totals.borrow_and_update());
                    self.take_totals(&mut exchange, &totals);
                }
            }
        }
    }

    /// Judges the upstreams in new sums.
    fn take_totals(&self, exchange: &mut Exchange, totals: &OutcomeTotals) {
        let directory = self.directory();
        if totals.upstreams_stamp != directory.listed() {
            return;
        }
        let now = Instant::now();
        exchange.received = now;
        let views = directory.service_views(totals);
        exchange.watched = views.iter().map(|it| Arc::clone(it.service)).collect();
        let judged = views.iter().flat_map(|it| exchange.judge.judge(it, now));
        let changes = judged.collect::<Vec<_>>();
        self.apply_changes(&directory, &exchange.judge, &changes);
    }

    /// Returns upstreams that were not tried, and all without sums.
    fn expire_totals(&self, exchange: &mut Exchange) {
        let now = Instant::now();
        let directory = self.directory();
        let is_known = now < exchange.received + TOTALS_LIFETIME;
        if !is_known {
            // Nobody sums the reports.
            exchange.watched.clear();
        }
        let changes = if is_known || exchange.judge.passed().next().is_none() {
            exchange.judge.expire(|id| directory.upstream(id).is_some(), now)
        } else {
            exchange.judge.clear()
        };
        if !changes.is_empty() {
            self.apply_changes(&directory, &exchange.judge, &changes);
        }
    }

    fn apply_changes(&self, directory: &Directory, judge: &Judge, changes: &[Change]) {
        for change in changes {
            let id = match change {
                Change::Passed { id, .. } | Change::Returned { id, .. } => id,
            };
            let Some(upstream) = directory.upstream(id) else { continue };
            let service = &*upstream.service;
            match change {
                Change::Passed { rate, usual, outcomes, .. } => {
                    log::warn!(upstream:% = id, service, rate:% = rate, usual:% = usual,
                        sound = outcomes.sound, failed = outcomes.failed, slow = outcomes.slow;
                        "an upstream is passed over: it fails more often than others, as all entries see it");
                }
                Change::Returned { why, .. } => {
                    upstream.set_trials(None);
                    log::warn!(upstream:% = id, service, why:% = why;
                        "an upstream that was passed over gets requests again");
                }
            }
            self.metrics.count_health(service, change.name());
        }
        for upstream in judge.passed().filter_map(|it| directory.upstream(it)) {
            upstream.set_trials(judge.trials(&upstream.id));
        }
        if !changes.is_empty() {
            self.metrics.set_passed_over(directory.passed_over());
        }
    }
}

impl Change {
    /// Returns the name of the change in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Passed { .. } => "passed over",
            Self::Returned { why, .. } => why.name(),
        }
    }
}

impl Return {
    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Restarted => "restarted",
            Self::Untried => "untried",
            Self::Needed => "needed",
            Self::Unknown => "unknown",
        }
    }
}
