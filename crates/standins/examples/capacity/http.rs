//! HTTP calls of the measurement, and the printing of its results.

use std::io::Write;
use std::net::SocketAddr;

use hyper::Request;
use serde_json::Value;
use types::StepResult;

use crate::common::{Http, send};

/// Prints a line to standard output.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Sends a GET request and returns the text of the response.
pub(crate) async fn get(client: &Http, address: SocketAddr, path: &str) -> StepResult<String> {
    send(client, Request::get(format!("http://{address}{path}")), String::new()).await
}

/// Sends a POST request with JSON and a bearer key, and returns the text of the response.
pub(crate) async fn post(
    client: &Http,
    address: SocketAddr,
    path: &str,
    key: &str,
    body: &Value,
) -> StepResult<String> {
    send(client, request(address, path, key), body.to_string()).await
}

/// Sends a POST request like [`post`] that asks for a stream of events, and reads the stream to its
/// end.
pub(crate) async fn stream(
    client: &Http,
    address: SocketAddr,
    path: &str,
    key: &str,
    body: &Value,
) -> StepResult<String> {
    let request = request(address, path, key).header("accept", "text/event-stream");
    send(client, request, body.to_string()).await
}

fn request(address: SocketAddr, path: &str, key: &str) -> ::http::request::Builder {
    Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
}
