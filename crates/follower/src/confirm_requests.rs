//! Requests for a confirmation that are not answered yet.

use std::time::Instant;

use types::Version;
use wire::session::Ticket;

/// The maximum number of open requests; answers to older ones are ignored.
const MAX_OPEN_REQUESTS: usize = 8;

/// A request for a confirmation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmRequest {
    ticket: Ticket,
    /// When the request was made.
    pub(crate) requested_at: Instant,
    /// The version in force at that time.
    pub(crate) have: Version,
}

/// The open requests of one session.
#[derive(Debug, Default)]
pub(crate) struct ConfirmRequests {
    open: Vec<ConfirmRequest>,
}

impl ConfirmRequests {
    /// Records a request before it is sent, because its answer is as old as the request.
    pub(crate) fn add(&mut self, ticket: Ticket, have: Version) {
        if self.open.len() == MAX_OPEN_REQUESTS {
            self.open.remove(0);
        }
        self.open.push(ConfirmRequest { ticket, requested_at: Instant::now(), have });
    }

    /// Removes and returns the request to which an answer belongs.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<ConfirmRequest> {
        let index = self.open.iter().position(|it| it.ticket == ticket)?;
        Some(self.open.remove(index))
    }

    /// Removes all requests, because another session cannot answer them.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}
