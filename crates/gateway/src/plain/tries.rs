//! Decides when a request is sent to another upstream, and when it ends.
//!
//! A try is dropped only for one that takes over: while an upstream is silent, another one may get the
//! request beside it, and the first answer wins. Where no other gets it, the silent one keeps it.

#[cfg(test)]
mod tests;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Look for an upstream for another try.
    Begin,
    /// Wait for the tries that are open.
    Wait,
    /// No try is open, and none follows.
    Finish,
}

/// How a try ended that brought no answer to be forwarded at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// It failed, and may have run.
    Failed,
    /// It may have run, and another one would be of no use: the time of the request was over, or the
    /// request itself is suspected of ending upstreams.
    Last,
    /// It did not run.
    NotRun {
        /// Whether any byte was sent.
        sent: bool,
        /// Whether the request may be offered to another upstream.
        more: bool,
    },
    /// It was not begun, because it might not be sent again.
    NoPermit,
}

/// The tries of one request.
#[derive(Debug)]
pub(super) struct Tries {
    /// How many may run.
    limit: u32,
    /// How many ended that may have run.
    ran: u32,
    open: u32,
    /// The number of the try that was begun last.
    newest: u32,
    /// Whether one that has ended was sent.
    sent: bool,
    /// Whether another one is wanted.
    wanted: bool,
}

impl Tries {
    /// Creates the tries of a request of which `limit` may run.
    pub(super) fn new(limit: u32) -> Self {
        Self { limit: limit.max(1), ran: 0, open: 0, newest: 0, sent: false, wanted: true }
    }

    /// Returns what to do next.
    pub(super) fn step(&self) -> Step {
        if self.wanted && self.may_follow() {
            Step::Begin
        } else if self.is_open() {
            Step::Wait
        } else {
            Step::Finish
        }
    }

    /// Records that another try begins; returns its number.
    pub(super) fn begin(&mut self) -> u32 {
        self.wanted = false;
        self.open += 1;
        self.newest += 1;
        self.newest
    }

    /// Records that no upstream takes another try now.
    pub(super) fn record_nobody(&mut self) {
        self.wanted = false;
    }

    /// Records that the newest try has been silent for long.
    pub(super) fn record_silence(&mut self) {
        self.wanted = true;
    }

    /// Records the end of a try. While a newer one is open, no other follows at once.
    pub(super) fn record_end(&mut self, number: u32, end: End) {
        self.open -= 1;
        let (more, ran, sent) = match end {
            End::Failed => (true, true, true),
            End::Last => (false, true, true),
            End::NotRun { sent, more } => (more, false, sent),
            End::NoPermit => (false, false, false),
        };
        self.ran += u32::from(ran);
        self.sent |= sent;
        if number == self.newest || !self.is_open() {
            self.wanted = more;
        }
    }

    /// Returns whether another try may run beside those that are open.
    pub(super) fn may_follow(&self) -> bool {
        self.ran + self.open < self.limit
    }

    /// Returns whether a try is open.
    pub(super) fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Returns whether a try has ended that may have run.
    pub(super) fn have_run(&self) -> bool {
        self.ran > 0
    }

    /// Returns whether the request may have run, or may run now.
    pub(super) fn may_have_run(&self) -> bool {
        self.have_run() || self.is_open()
    }

    /// Returns whether another try sends the request again.
    pub(super) fn needs_permit(&self) -> bool {
        self.sent || self.is_open()
    }
}
