//! What an answer shows of the call that it answers.

use std::fmt;

use http::StatusCode;

use crate::dialect::AnswerHead;
use crate::echo::Echo;

/// What an answer shows of whose it is and of whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub(crate) status: StatusCode,
    /// Whether it names the call.
    pub(crate) echo: Echo,
    /// Whether nothing was sent on its connection before.
    pub(crate) is_first: bool,
    /// Whether it bears the mark that the request did not run.
    pub(crate) marked: bool,
    /// Whether it bears the upstream's seal.
    pub(crate) sealed: bool,
}

impl Evidence {
    pub(super) fn new(status: StatusCode, head: &AnswerHead, is_first: bool) -> Self {
        let AnswerHead { echo, marked, sealed, .. } = *head;
        Self { status, echo, is_first, marked, sealed }
    }

    /// Returns the name in metrics of what shows whose answer it is.
    pub(crate) fn identity(&self) -> &'static str {
        match (self.echo, self.is_first) {
            (Echo::Same, _) => "its id",
            (Echo::Other, _) => "another id",
            (Echo::None, true) => "no id, new connection",
            (Echo::None, false) => "no id, used connection",
        }
    }

    /// Returns whether its status promises that the request did not run, and no mark says so.
    pub(crate) fn is_unmarked_promise(&self) -> bool {
        let promises = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        !self.marked && promises.contains(&self.status)
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { status, is_first, marked, sealed, .. } = *self;
        write!(f, "{}, {}", status.as_u16(), self.identity())?;
        if self.echo != Echo::None {
            f.write_str(if is_first { ", new connection" } else { ", used connection" })?;
        }
        f.write_str(if marked { ", marked" } else { ", not marked" })?;
        f.write_str(if sealed { ", sealed" } else { ", not sealed" })
    }
}
