//! The HTTP server of the operators' API: xitca-web on its own threads.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use tokio::sync::watch;
use tokio::time::timeout;
use types::{StepError, StepResult};
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::{App, WebContext};

use crate::operators::{Call, MAX_BODY_BYTES, Operators};
use crate::responses::HttpResponse;

/// The timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for receiving a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long running calls may take during shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The running server.
pub(crate) struct HttpServer {
    address: SocketAddr,
    /// Stops the server; `true` waits for running calls.
    stop: Box<dyn Fn(bool) + Send + Sync>,
    ended: watch::Receiver<bool>,
}

impl HttpServer {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or no thread can be started.
    pub(crate) fn bind(address: SocketAddr, operators: Arc<Operators>) -> StepResult<Self> {
        let fault = |e: std::io::Error| StepError::new("bind operators' HTTP", e).at(address);
        let listener = TcpListener::bind(address).map_err(fault)?;
        let bound = listener.local_addr().map_err(fault)?;
        let mut server = App::new()
            .at("/{*rest}", handler_service(serve))
            .with_state(operators)
            .serve()
            .disable_signal()
            .worker_threads(1)
            .request_head_timeout(HEAD_TIMEOUT)
            .keep_alive_timeout(IDLE_TIMEOUT)
            .listen(listener)
            .map_err(fault)?
            .run();
        let handle = server.handle().map_err(fault)?;
        let (ended_sender, ended) = watch::channel(false);
        std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || {
                if let Err(e) = server.wait() {
                    log::error!("the operators' HTTP server failed: {e}");
                }
                ended_sender.send_replace(true);
            })
            .map_err(fault)?;
        let stop = Box::new(move |graceful| handle.stop(graceful));
        Ok(Self { address: bound, stop, ended })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server after the running calls, or after [`SHUTDOWN_TIMEOUT`]. The port is free
    /// afterwards.
    pub(crate) async fn stop(&self) {
        let mut ended = self.ended.clone();
        (self.stop)(true);
        if timeout(SHUTDOWN_TIMEOUT, ended.wait_for(|it| *it)).await.is_err() {
            (self.stop)(false);
            let _ = timeout(SHUTDOWN_TIMEOUT, ended.wait_for(|it| *it)).await;
        }
    }
}

async fn serve(ctx: &WebContext<'_, Arc<Operators>>) -> Result<WebResponse, Infallible> {
    let result = match read(ctx).await {
        Ok(call) => ctx.state().answer(call).await,
        Err(error) => error,
    };
    let mut response = WebResponse::new(ResponseBody::bytes(result.body));
    *response.status_mut() = result.status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(result.kind));
    Ok(response)
}

async fn read(ctx: &WebContext<'_, Arc<Operators>>) -> Result<Call, HttpResponse> {
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    let body = match timeout(BODY_TIMEOUT, collect(body)).await {
        Ok(body) => body?,
        Err(_) => {
            return Err(HttpResponse::error(
                StatusCode::REQUEST_TIMEOUT,
                "the body came too slowly",
            ));
        }
    };
    let request = ctx.req();
    let authorization = request.headers().get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    Ok(Call {
        method: request.method().clone(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        authorization: authorization.map(str::to_owned),
        body,
    })
}

async fn collect(body: RequestBody) -> Result<Vec<u8>, HttpResponse> {
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.as_mut().data().await {
        let part = part.map_err(|e| {
            HttpResponse::error(StatusCode::BAD_REQUEST, &format!("read body: {e}"))
        })?;
        bytes.extend_from_slice(part.as_ref());
        if bytes.len() > MAX_BODY_BYTES {
            let why = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            return Err(HttpResponse::error(StatusCode::PAYLOAD_TOO_LARGE, &why));
        }
    }
    Ok(bytes)
}
