//! What the example programs share: settings of the product's processes, and calls to them.

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

/// The operator's key.
pub(crate) const TOKEN: &str = "token-of-the-operator";

/// How often, and how long after each other, a step of the start is tried.
const TRIES: u32 = 600;
const PAUSE: Duration = Duration::from_millis(50);

/// A client that keeps its connections.
pub(crate) type Http = Client<HttpConnector, Full<Bytes>>;

/// Opens a client.
pub(crate) fn open() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Returns what the product keeps of a key.
pub(crate) fn hash(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the settings of a control member with one operator.
///
/// # Panics
/// Never: the operator's name is valid.
pub(crate) fn control(data: PathBuf) -> ControlSettings {
    let name = "operator".parse().expect("a valid name");
    let operators = vec![Operator { name, token: hash(TOKEN) }];
    ControlSettings { data, operators, platform: None, log_size: ByteSize(8 << 20) }
}

/// Returns the settings of an entry.
pub(crate) fn entry(listen: SocketAddr) -> EntrySettings {
    EntrySettings { listen, threads: 4, connections: 4_096, notice: Millis(200) }
}

/// Removes absent fields: a settings file leaves them out.
pub(crate) fn drop_nulls(value: &mut Value) {
    if let Value::Object(fields) = value {
        fields.retain(|_, it| !it.is_null());
        fields.values_mut().for_each(drop_nulls);
    }
}

/// Returns an address that is free for TCP and UDP.
///
/// # Panics
/// Where the system has no free port.
pub(crate) fn free() -> SocketAddr {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Sends a request and returns its answer's text.
///
/// # Errors
/// Where there is no answer, or one that says that it failed.
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

/// Tries a step until it is done.
///
/// # Errors
/// With the last try's where none succeeds.
pub(crate) async fn until<T, F: Future<Output = StepResult<T>>>(
    step: &'static str,
    f: impl Fn() -> F,
) -> StepResult<T> {
    let mut last = StepError::new(step, "not tried");
    for _ in 0..TRIES {
        match f().await {
            Ok(done) => return Ok(done),
            Err(e) => last = e,
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(StepError::new(step, last))
}
