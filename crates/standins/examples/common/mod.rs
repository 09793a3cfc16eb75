//! Common parts of the examples: settings of mothplank's processes, and HTTP calls to them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use settings::{ControlSettings, EntrySettings, Operator};
use sha2::{Digest, Sha256};
use types::{ByteSize, Millis, StepError, StepResult};

/// The operator's bearer token.
pub(crate) const TOKEN: &str = "token-of-the-operator";

/// The maximum number of tries of a step.
const MAX_TRIES: u32 = 600;
/// The pause between two tries of a step.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// An HTTP client that keeps its connections open.
pub(crate) type Http = Client<HttpConnector, Full<Bytes>>;

/// Creates a client.
pub(crate) fn http_client() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Returns the SHA-256 of a key in hexadecimal, the form in which settings store keys.
pub(crate) fn key_hash(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the settings of a control member with one operator.
///
/// # Panics
/// Never panics, because the operator's name is valid.
pub(crate) fn control_settings(data: PathBuf) -> ControlSettings {
    let name = "operator".parse().expect("a valid name");
    let operators = vec![Operator { name, token: key_hash(TOKEN) }];
    ControlSettings { data, operators, platform: None, log_size: ByteSize(8 << 20) }
}

/// Returns the settings of an entry.
pub(crate) fn entry_settings(listen: SocketAddr) -> EntrySettings {
    EntrySettings { listen, threads: 4, connections: 4_096, notice: Millis(200) }
}

/// Removes fields with the value `null`: settings files leave absent fields out.
pub(crate) fn drop_nulls(value: &mut Value) {
    if let Value::Object(fields) = value {
        fields.retain(|_, it| !it.is_null());
        fields.values_mut().for_each(drop_nulls);
    }
}

/// Returns a loopback address whose port is free for both TCP and UDP.
///
/// # Panics
/// Panics if the system has no free port.
pub(crate) fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Sends a request and returns the text of the response.
///
/// # Errors
/// Returns an error if there is no response, or if its status is not a success.
pub(crate) async fn send(
    client: &Http,
    request: ::http::request::Builder,
    body: String,
) -> StepResult<String> {
    let request = request.body(Full::new(Bytes::from(body)));
    let request = request.map_err(|e| StepError::new("build request", e))?;
    let response = client.request(request).await.map_err(|e| StepError::new("send", e))?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|e| StepError::new("read", e))?;
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if !status.is_success() {
        return Err(StepError::new("read answer", format!("{status}: {text}")));
    }
    Ok(text)
}

/// Retries a step until it succeeds.
///
/// # Errors
/// Returns the error of the last try if none succeeds.
pub(crate) async fn retry<T, F: Future<Output = StepResult<T>>>(
    step: &'static str,
    f: impl Fn() -> F,
) -> StepResult<T> {
    let mut last = StepError::new(step, "not tried");
    for _ in 0..MAX_TRIES {
        match f().await {
            Ok(value) => return Ok(value),
            Err(e) => last = e,
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(StepError::new(step, last))
}
