//! Waits until an upstream that is cold may get a request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::reply::Refusal;
use crate::upstream::Upstream;

/// Waits until an upstream has room for a request, if one has before `latest`. To be called when no
/// upstream can be chosen.
///
/// # Errors
/// Returns the refusal for a request that no upstream will take in time.
pub(crate) async fn wait_for_room(
    upstreams: &[Arc<Upstream>],
    tried: &[Arc<str>],
    latest: Instant,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let next = next_room(upstreams, tried, now).ok_or(Refusal::NoUpstream)?;
    if next > latest {
        return Err(Refusal::Overloaded(next.saturating_duration_since(now)));
    }
    sleep_until(next.max(now + MIN_WAIT)).await;
    Ok(())
}

/// The shortest wait, so that requests that wait for the same room don't keep the processor busy.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Returns when an upstream that has not been tried has room for a request of this entry; `None` if
/// there is no such upstream.
fn next_room(upstreams: &[Arc<Upstream>], tried: &[Arc<str>], now: Instant) -> Option<Instant> {
    let open = upstreams.iter().filter(|it| it.is_open() && !tried.contains(&it.id));
    open.map(|it| it.next_room(now).unwrap_or(now)).min()
}
