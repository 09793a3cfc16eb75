//! Waits until an upstream that is cold or names a limit may get a request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::reply::Refusal;
use crate::upstream::Upstream;

/// Waits until an upstream has room for a request, if one has before `latest`. To be called when no
/// upstream can be chosen. Nothing waits for an upstream that has asked for a pause: what it will say then is
/// not known.
///
/// # Errors
/// Returns the refusal for a request that no upstream will take in time.
pub(crate) async fn wait_for_room(
    upstreams: &[Arc<Upstream>],
    tried: &[Arc<str>],
    latest: Instant,
) -> Result<(), Refusal> {
    let now = Instant::now();
    if let Some(left) = shortest_pause(upstreams, now) {
        return Err(Refusal::Paused(left));
    }
    let next = next_room(upstreams, tried, now).ok_or(Refusal::NoUpstream)?;
    if next > latest {
        return Err(Refusal::Overloaded(next.saturating_duration_since(now)));
    }
    sleep_until(next.max(now + MIN_WAIT)).await;
    Ok(())
}

/// Returns the shortest time for which an upstream wants nothing, if all of them that may get requests have
/// asked for a pause.
pub(crate) fn shortest_pause(upstreams: &[Arc<Upstream>], now: Instant) -> Option<Duration> {
    let open = upstreams.iter().filter(|it| it.is_open());
    let left: Option<Vec<Duration>> = open.map(|it| it.pause_left(now)).collect();
    left?.into_iter().min()
}

/// The shortest wait, so that requests that wait for the same room don't keep the processor busy.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Returns when an upstream that has not been tried has room for a request of this entry; `None` if
/// there is no such upstream.
fn next_room(upstreams: &[Arc<Upstream>], tried: &[Arc<str>], now: Instant) -> Option<Instant> {
    let open = upstreams.iter().filter(|it| it.is_open() && !tried.contains(&it.id));
    let open = open.filter(|it| it.pause_end(now).is_none());
    open.map(|it| it.next_room(now).unwrap_or(now)).min()
}
