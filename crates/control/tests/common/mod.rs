//! Control members in this process, each on its own loopback address, and a client for the
//! operators' API.

#![allow(dead_code)] // Each test program uses its own part of this.

pub(crate) mod entry;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use control::{Control, Timing};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use settings::{ControlSettings, Member, NodeSettings, Operator};
use sha2::{Digest, Sha256};
use standins::Ports;
use types::ByteSize;

/// The operator's token.
pub(crate) const TOKEN: &str = "the operator's token";

/// The timeout for conditions, far above the time they normally take.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// The members of one test.
pub(crate) struct Cluster {
    pub(crate) settings: Vec<NodeSettings>,
    pub(crate) running: Vec<Option<Control>>,
    pub(crate) timing: Timing,
    _ports: Vec<Ports>,
    _folder: tempfile::TempDir,
}

impl Cluster {
    /// Prepares members named `c1`, `c2` and so on; the last `spares` of them are spares.
    pub(crate) fn new(count: usize, spares: usize) -> Self {
        Self::prepare(tempfile::tempdir().expect("a temporary folder"), count, spares)
    }

    /// Prepares members whose data folders are inside `folder`.
    pub(crate) fn new_in(folder: &str, count: usize) -> Self {
        Self::prepare(tempfile::tempdir_in(folder).expect("a temporary folder"), count, 0)
    }

    /// Sets the size of the log at which a snapshot replaces it.
    pub(crate) fn log_size(&mut self, bytes: u64) {
        for it in &mut self.settings {
            it.control.as_mut().expect("it has a part").log_size = ByteSize(bytes);
        }
    }

    fn prepare(folder: tempfile::TempDir, count: usize, spares: usize) -> Self {
        let ports: Vec<Ports> = (0..count).map(|_| Ports::open()).collect();
        let member = |(at, ports): (usize, &Ports)| Member {
            vm: format!("c{}", at + 1).parse().expect("a name"),
            site: "north".parse().expect("a name"),
            wire: ports.reserve(),
            http: ports.reserve(),
            spare: at + spares >= count,
        };
        let members: Vec<Member> = ports.iter().enumerate().map(member).collect();
        let node = |it: &Member| NodeSettings {
            vm: it.vm.clone(),
            site: it.site.clone(),
            domain: "one".to_owned(),
            secret: "a secret of the cluster".to_owned(),
            members: members.clone(),
            entry: None,
            control: Some(ControlSettings {
                data: folder.path().join(it.vm.as_str()),
                operators: vec![Operator {
                    name: "ana".parse().expect("a name"),
                    token: hash(TOKEN),
                }],
                platform: None,
                log_size: ByteSize(64 << 10),
            }),
            log: "info".to_owned(),
        };
        let settings: Vec<NodeSettings> = members.iter().map(node).collect();
        let running = settings.iter().map(|_| None).collect();
        Self { settings, running, timing: Timing::default(), _ports: ports, _folder: folder }
    }

    /// Starts one member.
    pub(crate) async fn start(&mut self, at: usize) {
        let settings = self.settings[at].clone();
        let control = control::spawn_with(settings, self.timing).await;
        self.running[at] = Some(control.expect("a member starts"));
    }

    /// Starts all members.
    pub(crate) async fn start_all(&mut self) {
        for at in 0..self.settings.len() {
            self.start(at).await;
        }
    }

    /// Ends one member without a leadership transfer.
    pub(crate) async fn abort(&mut self, at: usize) {
        self.running[at].take().expect("it runs").abort().await;
    }

    /// Drains one member.
    pub(crate) async fn drain(&mut self, at: usize) {
        self.running[at].take().expect("it runs").drain().await;
    }

    /// Removes the data folder of a member that is not running.
    pub(crate) fn empty_folder(&self, at: usize) {
        std::fs::remove_dir_all(self.folder(at)).expect("the folder is removed");
    }

    /// Returns the data folder of a member.
    pub(crate) fn folder(&self, at: usize) -> PathBuf {
        self.settings[at].control.as_ref().expect("it has a part").data.clone()
    }

    /// Sends an API call to one member.
    pub(crate) async fn call(&self, at: usize, method: &str, path: &str, body: Value) -> Answer {
        let address = self.settings[at].members[at].http;
        call(address, method, path, &body, Some(TOKEN)).await
    }

    /// Returns the status of one member.
    pub(crate) async fn status(&self, at: usize) -> Value {
        self.call(at, "GET", "/v1/status", Value::Null).await.body
    }

    /// Waits until the status of one member satisfies a condition.
    pub(crate) async fn wait_for(
        &self,
        at: usize,
        what: &str,
        test: impl Fn(&Value) -> bool,
    ) -> Value {
        let end = Instant::now() + TIMEOUT;
        loop {
            let status = self.status(at).await;
            if test(&status) {
                return status;
            }
            assert!(Instant::now() < end, "timed out waiting for {what}: {status:#}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every running member among these voters lists them and knows a leader.
    pub(crate) async fn wait_for_voters(&self, vms: &[&str]) {
        let is_voter = |at: &usize| vms.contains(&self.settings[*at].vm.as_str());
        let running = (0..self.running.len()).filter(|at| self.running[*at].is_some());
        for at in running.filter(is_voter) {
            self.wait_for(at, "voters", |it| voters(it) == vms && !it["leader"].is_null()).await;
        }
    }

    /// Returns the running member that leads.
    pub(crate) async fn leader(&self) -> usize {
        let end = Instant::now() + TIMEOUT;
        loop {
            for at in (0..self.running.len()).filter(|at| self.running[*at].is_some()) {
                if self.status(at).await["role"] == "leader" {
                    return at;
                }
            }
            assert!(Instant::now() < end, "timed out waiting for a leader");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts the cluster at its first member and waits for the voters.
    pub(crate) async fn init(&mut self, voters: &[&str]) {
        self.start_all().await;
        let answer = self.call(0, "POST", "/v1/init", json!({})).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        self.wait_for_voters(voters).await;
    }

    /// Changes the service to a document that contains `mark`. Repeats the call until the change is
    /// decided.
    pub(crate) async fn change(&self, at: usize, id: &str, base: u64, mark: &str) -> Answer {
        let body = json!({"id": id, "base": base, "document": document(mark)});
        let end = Instant::now() + TIMEOUT;
        loop {
            let answer = self.call(at, "POST", "/v1/changes", body.clone()).await;
            if answer.status != 503 {
                return answer;
            }
            assert!(Instant::now() < end, "timed out waiting for a decision: {}", answer.body);
        }
    }
}

/// Returns the VMs of the voters in a status, in order.
pub(crate) fn voters(status: &Value) -> Vec<String> {
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let voters = members.iter().filter(|it| it["kind"] == "voter");
    let mut vms: Vec<String> =
        voters.map(|it| it["vm"].as_str().unwrap_or_default().to_owned()).collect();
    vms.sort();
    vms
}

/// Returns the node id of a VM in a status.
pub(crate) fn node_of(status: &Value, vm: &str) -> Option<String> {
    let members = status["members"].as_array()?;
    let found = members.iter().find(|it| it["vm"] == vm)?;
    found["node"].as_str().map(str::to_owned)
}

/// Returns a small valid document; `mark` distinguishes it from others.
pub(crate) fn document(mark: &str) -> Value {
    let base = json!({
        "sites": {"north": {"region": "south", "domain": "one"}},
        "customers": {"yard": {"keys": [hash("a caller's key")], "priority": 0, "pipelines": [],
            "limits": {"concurrency": 3}}},
        "pipelines": {},
        "pools": {"engines": {"kind": "generate", "cost": 4.0, "upstreams": {
            "engine-1": {"address": "127.0.0.1:9", "site": "north", "vm": "u1", "capacity": 1},
        }}},
    });
    let base = format!("// {mark}\n{base}");
    json!({"base": base, "overlays": {"north": "{}"}})
}

/// The response to a call.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Sends one API call. A missing response is returned with status 503.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
    token: Option<&str>,
) -> Answer {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut request =
        http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let request = request.body(Full::new(bytes)).expect("a request");
    let lost = |e: &dyn std::fmt::Display| Answer { status: 503, body: json!(e.to_string()) };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(e) => return lost(&e),
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(body) => {
            let bytes = body.to_bytes();
            let text = || Value::String(String::from_utf8_lossy(&bytes).into_owned());
            Answer { status, body: serde_json::from_slice(&bytes).unwrap_or_else(|_| text()) }
        }
        Err(e) => lost(&e),
    }
}

fn hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
