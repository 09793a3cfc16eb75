//! The writes in flight, and the term and vote that are on disk.

use types::{NodeId, Term};

use crate::message::HardState;

/// The state of the driver's writes, and the term and vote that are on disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiskSync {
    /// Whether writes are in flight.
    writing: bool,
    /// The ticks since those writes were handed out.
    ticks: u32,
    durable: (Term, Option<NodeId>),
}

impl DiskSync {
    /// Starts with the hard state that was restored.
    pub(crate) fn new(hard_state: &HardState) -> Self {
        Self { writing: false, ticks: 0, durable: (hard_state.term, hard_state.vote) }
    }

    /// Counts a tick.
    pub(crate) fn tick(&mut self) {
        if self.writing {
            self.ticks = self.ticks.saturating_add(1);
        }
    }

    /// Records that writes were handed to the driver.
    pub(crate) fn begin(&mut self) {
        self.writing = true;
        self.ticks = 0;
    }

    /// Records that the writes are on disk, with `hard_state` as the hard state. Returns the ticks
    /// that they took.
    pub(crate) fn end(&mut self, hard_state: &HardState) -> u32 {
        if std::mem::take(&mut self.writing) {
            self.durable = (hard_state.term, hard_state.vote);
        }
        std::mem::take(&mut self.ticks)
    }

    /// Returns whether writes are in flight.
    pub(crate) fn is_writing(&self) -> bool {
        self.writing
    }

    /// Returns whether writes have been in flight for `ticks` or longer.
    pub(crate) fn is_stalled(&self, ticks: u32) -> bool {
        self.writing && self.ticks >= ticks
    }

    /// Returns the term that is on disk.
    pub(crate) fn durable_term(&self) -> Term {
        self.durable.0
    }

    /// Returns whether this term with this vote is on disk.
    pub(crate) fn is_durable(&self, term: Term, vote: Option<NodeId>) -> bool {
        self.durable == (term, vote)
    }
}
