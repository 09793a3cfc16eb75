//! Reads the body of a response to its end.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::fault::Fault;
use crate::limits::Limits;
use crate::watch;

/// Reads the next data of a body; returns `None` at its proper end.
///
/// The HTTP library reports a proper end only after the content length or the last chunk; an earlier
/// close is an error. A body with neither ends at any close, so callers check for an end event in the
/// body or refuse such a body ([`is_delimited`]).
///
/// Calls `silent` at each pause that is longer than the limit, and goes on waiting.
pub(crate) async fn next(
    body: &mut Incoming,
    limits: &Limits,
    silent: impl Fn(),
) -> Result<Option<Bytes>, Fault> {
    let deadline = limits.deadline.into();
    loop {
        let frame = watch::progress(body.frame(), limits.idle, deadline, &silent).await;
        let frame = match frame.ok_or(Fault::Deadline)? {
            Some(Ok(frame)) => frame,
            Some(Err(e)) => return Err(Fault::Truncated(e.to_string())),
            None => return Ok(None),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Returns whether a complete body can be distinguished from a truncated one.
pub(crate) fn is_delimited(response: &http::Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(http::header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}

/// Reads the whole body.
pub(crate) async fn whole(
    body: &mut Incoming,
    limits: &Limits,
    silent: impl Fn(),
) -> Result<Bytes, Fault> {
    if body.size_hint().lower() > limits.max_bytes {
        return Err(Fault::TooLarge(limits.max_bytes));
    }
    let Some(first) = next(body, limits, &silent).await? else {
        return Ok(Bytes::new());
    };
    if body.is_end_stream() {
        return Ok(first);
    }
    let mut all = BytesMut::from(first);
    while let Some(data) = next(body, limits, &silent).await? {
        if (all.len() + data.len()) as u64 > limits.max_bytes {
            return Err(Fault::TooLarge(limits.max_bytes));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
