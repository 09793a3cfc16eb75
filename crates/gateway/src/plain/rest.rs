//! The rest of an answer that is forwarded while it comes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::response_limit::{Excess, ResponseMeter};

/// Up to this many bytes, frames are gathered before they are forwarded.
const GATHER_BYTES: usize = 16 << 10;

/// How long a frame waits for others to be gathered with.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    Whole,
    /// Its connection ended, or its time was over.
    Lost,
    /// It went beyond a bound.
    Cut(Excess),
}

/// The rest of an answer.
pub(super) struct Rest {
    body: Incoming,
    meter: ResponseMeter,
    deadline: Instant,
    /// How it ended, if that was seen behind bytes that were still to be returned.
    ended: Option<Ended>,
}

impl Rest {
    /// Creates the rest of an answer of which `meter` has counted the start.
    pub(super) fn new(body: Incoming, meter: ResponseMeter, deadline: Instant) -> Self {
        Self { body, meter, deadline, ended: None }
    }

    /// Returns the next bytes.
    ///
    /// # Errors
    /// Returns how the answer ended if no bytes come any more.
    pub(super) async fn next(&mut self) -> Result<Bytes, Ended> {
        if let Some(ended) = self.ended {
            return Err(ended);
        }
        let Some(first) = self.frame(self.deadline).await? else { return Err(Ended::Lost) };
        if first.len() >= GATHER_BYTES {
            return Ok(first);
        }
        let mut gathered = BytesMut::from(&*first);
        let by = self.deadline.min(Instant::now() + GATHER_TIME);
        while gathered.len() < GATHER_BYTES {
            match self.frame(by).await {
                Ok(Some(more)) => gathered.extend_from_slice(&more),
                Ok(None) => break,
                Err(ended) => {
                    self.ended = Some(ended);
                    break;
                }
            }
        }
        Ok(gathered.freeze())
    }

    /// Returns the next frame, or `None` if there is none until `by`.
    async fn frame(&mut self, by: Instant) -> Result<Option<Bytes>, Ended> {
        let frame = match timeout_at(by, self.body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(self.meter.cut().map_or(Ended::Lost, Ended::Cut)),
            Ok(None) => return Err(Ended::Whole),
            Err(_) => return Ok(None),
        };
        self.meter.add(frame.len()).map_err(Ended::Cut)?;
        Ok(Some(frame))
    }
}
