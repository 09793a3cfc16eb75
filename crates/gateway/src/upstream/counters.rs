//! Counts what is seen of the answers of upstreams.

use prometheus::IntCounterVec;

use crate::exchange::Evidence;
use crate::metrics::Metrics;
use crate::response_limit::{CutCounter, Excess};

/// What becomes of an answer that could be taken for what it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is believed that the call did not run.
    Refusal,
    /// It is not believed to answer the call.
    Foreign,
    /// Its status promises that the request did not run, and no mark says so.
    UnmarkedPromise,
}

impl Taken {
    fn name(self) -> &'static str {
        match self {
            Self::Refusal => "refusal",
            Self::Foreign => "foreign",
            Self::UnmarkedPromise => "unmarked promise",
        }
    }
}

/// The counters of the answers of upstreams; without metrics, nothing is counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerCounters {
    cuts: CutCounter,
    evidence: Option<IntCounterVec>,
}

impl AnswerCounters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let evidence = Some(metrics.evidence.clone());
        Self { cuts: CutCounter::new(&metrics.responses_cut), evidence }
    }

    pub(super) fn record_cut(&self, excess: Excess) {
        self.cuts.record(excess);
    }

    pub(super) fn record_taken(&self, taken: Taken, evidence: &Evidence) {
        if let Some(counts) = &self.evidence {
            counts.with_label_values(&[taken.name(), evidence.identity()]).inc();
        }
    }
}
