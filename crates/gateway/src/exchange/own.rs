//! Calls that an entry makes on its own behalf: pieces of stages, reports, releases.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use tokio::time::Instant;
use types::CallId;

use super::{CallTerms, Cause, Fault, Opened, discard, read_short, read_whole, send};
use crate::budget::RetryPermit;
use crate::dialect::{Dialect, ForwardHead, Handle, PieceAnswer, PieceCall, SpaceReport};
use crate::echo::CallKind;
use crate::upstream::Upstream;

/// The timeout of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_millis(800);

/// The largest result of a piece in an answer, in bytes. A handle is an address and an id.
const RESULT_BYTES: usize = 1 << 10;

/// The most bytes of an answer to a call with pieces beside their results.
const ANSWER_BYTES: usize = 4 << 10;

/// Sends pieces to an upstream; the answer must have one result for each.
pub(crate) async fn pieces<D: Dialect>(
    upstream: &Arc<Upstream>,
    calls: &[PieceCall],
    permits: &[Arc<RetryPermit>],
    deadline: Instant,
) -> Result<PieceAnswer, Fault> {
    let call = OwnCall::post(D::PIECES_PATH, D::encode_pieces(calls));
    let opened = call.send::<D>(upstream, permits, deadline).await?;
    let status = opened.response.status();
    if status != StatusCode::OK {
        let evidence = opened.evidence;
        if opened.head.not_run {
            discard(upstream, opened, true);
            return Err(Fault::refused(status).with_evidence(evidence));
        }
        let cause = Cause::Malformed("a status other than 200");
        return Err(Fault::unknown(cause).with_evidence(evidence));
    }
    let Opened { mut response, lease, head, .. } = opened;
    let most = ANSWER_BYTES + calls.len() * RESULT_BYTES;
    let body = read_whole(upstream, (response.body_mut(), &lease), most, deadline).await?;
    let answer = D::decode_results(&body, calls.len()).map_err(|why| {
        log::warn!(upstream:% = upstream.id, cause = why.as_str();
            "failed to decode the results of a call");
        Fault::unknown(Cause::Malformed("unreadable results"))
    })?;
    lease.keep(head.keep_alive);
    Ok(answer)
}

/// Asks an upstream how much space it has left for results.
pub(crate) async fn query_space<D: Dialect>(
    upstream: &Arc<Upstream>,
    deadline: Instant,
) -> Result<SpaceReport, Fault> {
    let call = OwnCall { method: Method::GET, path: D::REPORT_PATH, body: Bytes::new() };
    let Opened { mut response, lease, head, .. } = call.send::<D>(upstream, &[], deadline).await?;
    let body = read_short(upstream, (response.body_mut(), &lease), deadline).await?;
    lease.keep(head.keep_alive);
    match response.status() {
        StatusCode::OK => Ok(D::decode_space(&body)),
        status => Err(Fault::refused(status)),
    }
}

/// Tells an upstream that results are not needed any more.
pub(crate) async fn free<D: Dialect>(
    upstream: &Arc<Upstream>,
    handles: &[Handle],
) -> Result<(), Fault> {
    let deadline = Instant::now() + FREE_TIMEOUT;
    let call = OwnCall::post(D::FREE_PATH, D::encode_free(handles));
    let Opened { mut response, lease, head, .. } = call.send::<D>(upstream, &[], deadline).await?;
    read_short(upstream, (response.body_mut(), &lease), deadline).await?;
    lease.keep(head.keep_alive);
    Ok(())
}

/// A call that the entry makes on its own behalf.
struct OwnCall {
    method: Method,
    path: &'static str,
    body: Bytes,
}

impl OwnCall {
    fn post(path: &'static str, body: Bytes) -> Self {
        Self { method: Method::POST, path, body }
    }

    /// Sends the call under an id of its own, and waits for the head of its answer.
    async fn send<D: Dialect>(
        self,
        upstream: &Arc<Upstream>,
        permits: &[Arc<RetryPermit>],
        deadline: Instant,
    ) -> Result<Opened, Fault> {
        let id = CallId::random();
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = Uri::from_static(self.path);
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&upstream.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let head =
            ForwardHead { upstream: &upstream.id, call: Some(id), left, ..Default::default() };
        D::add_headers(headers, &head);
        let terms = CallTerms::until(deadline, CallKind::Own);
        send::<D>(upstream, request, &id.to_string(), permits, terms).await
    }
}
