//! What a try needs before it is sent: a permit if it is sent again, room at its upstream, and a connection.

use std::sync::Arc;

use tokio::time::Instant;

use super::Context;
use crate::budget::{RetryPermit, Spender};
use crate::dialect::Dialect;
use crate::upstream::{RunningRequest, Upstream};

/// The upstream of a try that is being prepared.
pub(super) struct Chosen {
    pub(super) upstream: Arc<Upstream>,
    /// Whether room there is claimed, or another entry has lent its own.
    pub(super) has_room: bool,
}

/// Why a try is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotPrepared {
    /// The request may not be sent again.
    NoPermit,
    /// Other requests have used the room of its upstream.
    NoRoom,
}

/// What a try needs before it is sent.
pub(super) struct Prepared {
    pub(super) number: u32,
    pub(super) upstream: Arc<Upstream>,
    pub(super) permit: Option<Arc<RetryPermit>>,
    pub(super) running: RunningRequest,
}

/// Takes what a try needs before it is sent.
pub(super) async fn prepare<D: Dialect>(
    context: Context<'_, D>,
    number: u32,
    Chosen { upstream, has_room }: Chosen,
    again: bool,
) -> (u32, Result<Prepared, NotPrepared>) {
    let Context { shared, batches, request, service } = context;
    let permit = match again {
        true => batches.take_retries(service, Spender::Entry, 1).await,
        false => None,
    };
    if again && permit.is_none() {
        shared.metrics.calls.with_label_values(&["no budget"]).inc();
        return (number, Err(NotPrepared::NoPermit));
    }
    // Room that is claimed can't be given back.
    if !has_room && !upstream.claim_room(Instant::now()) {
        return (number, Err(NotPrepared::NoRoom));
    }
    let running = upstream.begin_request(0);
    batches.borrow_connection(&upstream, request.deadline).await;
    (number, Ok(Prepared { number, upstream, permit, running }))
}
