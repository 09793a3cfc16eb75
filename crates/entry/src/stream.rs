//! The body of a streamed answer: tokens, then exactly one `end` or `error` event.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use tokio::sync::mpsc;
use types::Outcome;
use xitca_web::body::{Body, Frame};

use crate::handlers::RequestGuards;
use crate::sink::{Item, event};

/// The body of a streamed answer.
///
/// If the run stops without its last item, or the body is dropped before it, the connection is
/// closed without the final chunk, so that a caller cannot take a cut stream for a complete one.
#[derive(Debug)]
pub(crate) struct EventBody {
    first: Option<Item>,
    items: mpsc::Receiver<Item>,
    guards: RequestGuards,
    ended: bool,
}

impl EventBody {
    pub(crate) fn new(first: Item, items: mpsc::Receiver<Item>, guards: RequestGuards) -> Self {
        Self { first: Some(first), items, guards, ended: false }
    }

    fn write(&mut self, item: Item) -> Bytes {
        match item {
            Item::Token(event) => event,
            Item::Last(reply) => {
                self.ended = true;
                let complete = reply.outcome == Outcome::Complete;
                event(if complete { "end" } else { "error" }, &reply.body)
            }
        }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let item = match self.first.take() {
            Some(first) => Some(first),
            None => match self.items.poll_recv(cx) {
                Poll::Ready(item) => item,
                // The error ends the run by dropping this body. `Connections` explains why the
                // caller's connection is polled here.
                Poll::Pending => {
                    ready!(self.guards.connection.poll_closed(cx));
                    None
                }
            },
        };
        match item {
            Some(item) => {
                let bytes = self.write(item);
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            None => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
        }
    }
}

impl Drop for EventBody {
    fn drop(&mut self) {
        if !self.ended {
            self.guards.connection.cut();
        }
    }
}
