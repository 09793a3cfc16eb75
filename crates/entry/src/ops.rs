//! HTTP handlers for the platform and operators: `/livez`, `/readyz`, `/metrics`, `/status`.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderValue, header};
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::http::{StatusCode, WebResponse};

use crate::core::Core;
use crate::session::Session;
use crate::status;

type Context<'a, S> = WebContext<'a, Arc<Core<S>>>;

/// Reports that the process runs.
pub(crate) async fn livez<S: Session>(_context: &Context<'_, S>) -> WebResponse {
    page(StatusCode::OK, "text/plain", "live\n")
}

/// Reports whether the load balancer should send requests to this entry.
pub(crate) async fn readyz<S: Session>(context: &Context<'_, S>) -> WebResponse {
    match status::not_ready(context.state(), Instant::now()) {
        None => page(StatusCode::OK, "text/plain", "ready\n"),
        Some(why) => page(StatusCode::SERVICE_UNAVAILABLE, "text/plain", format!("{why}\n")),
    }
}

/// Returns the metrics.
pub(crate) async fn metrics<S: Session>(context: &Context<'_, S>) -> WebResponse {
    let core = context.state();
    core.metrics.in_flight.set(core.drain.in_flight() as i64);
    core.metrics.connections.set(core.connections.len() as i64);
    page(StatusCode::OK, "text/plain; version=0.0.4", core.metrics.encode())
}

/// Returns the entry's state with its latest routing decisions.
pub(crate) async fn status<S: Session>(context: &Context<'_, S>) -> WebResponse {
    page(StatusCode::OK, "application/json", status::json(context.state(), Instant::now()))
}

fn page(status: StatusCode, kind: &'static str, body: impl Into<Vec<u8>>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
