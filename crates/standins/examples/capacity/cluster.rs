//! The processes of one measurement: three control members, the entries and the fake upstreams.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use settings::{Member, NodeSettings};
use standins::engine::{self, Engine};
use standins::stage::{self, ServiceTime, Stage};
use tokio::task::JoinHandle;
use types::{Micros, StepError, StepResult};

use crate::common::{
    self, Http, TOKEN, control_settings, drop_nulls, entry_settings, free_address, retry,
};
use crate::http;
use crate::sample::Usage;
use crate::service::{self, SITES};
use crate::{REQUESTS_PER_SECOND, Sizes};

const CONTROL_COUNT: usize = 3;
const ENGINE_COUNT: usize = 4;

/// The service time of a stage call.
const CALL_TIME: Micros = Micros(5_000);

/// The time between tokens; a stream has 50 tokens per second.
const TOKEN_TIME: Micros = Micros(20_000);

/// The running processes. Dropping this kills them.
pub(crate) struct Cluster {
    controls: Vec<(Child, SocketAddr)>,
    entries: Vec<(Child, SocketAddr)>,
    upstreams: Vec<SocketAddr>,
    sizes: Sizes,
    client: Http,
    _fakes: Vec<Stage>,
    engines: Vec<Engine>,
    _folder: tempfile::TempDir,
}

impl Cluster {
    /// Starts all processes and waits until the service document is in force at each entry.
    pub(crate) async fn start(binary: &Path, sizes: Sizes) -> StepResult<Self> {
        let folder = tempfile::tempdir().map_err(|e| StepError::new("create folder", e))?;
        let mut fakes = Vec::new();
        for _ in 0..sizes.upstreams {
            let time = ServiceTime::Fixed(CALL_TIME);
            fakes.push(stage::spawn(stage::Config { time, ..Default::default() }).await?);
        }
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            let config =
                engine::Config { capacity: 1_000, token: TOKEN_TIME, ..Default::default() };
            engines.push(engine::spawn(config).await?);
        }
        let members: Vec<Member> = (0..CONTROL_COUNT).map(member).collect();
        let mut it = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            upstreams: fakes.iter().map(Stage::address).collect(),
            sizes,
            client: common::http_client(),
            _fakes: fakes,
            engines,
            _folder: folder,
        };
        for number in 0..CONTROL_COUNT {
            let data = it._folder.path().join(format!("data-{number}"));
            std::fs::create_dir_all(&data).map_err(|e| StepError::new("create folder", e))?;
            let settings = NodeSettings {
                control: Some(control_settings(data)),
                ..node_settings(number, &members)
            };
            let child = it.spawn(binary, "control", number, &settings)?;
            it.controls.push((child, members[number].http));
        }
        retry("init", || it.post_as_operator(0, "/v1/init", json!({}))).await?;
        it.apply(0).await?;
        for number in 0..sizes.entries {
            let listen = free_address();
            let settings = NodeSettings {
                entry: Some(entry_settings(listen)),
                ..node_settings(CONTROL_COUNT + number, &members)
            };
            let child = it.spawn(binary, "entry", number, &settings)?;
            it.entries.push((child, listen));
        }
        for (_, entry) in &it.entries {
            retry("ready", || http::get(&it.client, *entry, "/readyz")).await?;
        }
        Ok(it)
    }

    /// Reads the resource usage of each process, control members first.
    pub(crate) async fn usages(&self) -> StepResult<Vec<Usage>> {
        let mut usages = Vec::new();
        for (child, address) in self.controls.iter().chain(&self.entries) {
            let metrics = http::get(&self.client, *address, "/metrics").await?;
            usages.push(Usage::read(child.id(), &metrics)?);
        }
        Ok(usages)
    }

    /// Applies a change and returns the time until it was in force at every entry.
    pub(crate) async fn change(&self, number: u64) -> StepResult<Duration> {
        let from = Instant::now();
        let version = self.apply(number).await?;
        for (_, entry) in &self.entries {
            loop {
                let status = http::get(&self.client, *entry, "/status").await?;
                let status: Value = serde_json::from_str(&status).unwrap_or_default();
                if status["version"].as_u64() >= Some(version) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        Ok(from.elapsed())
    }

    /// Sends requests to every entry at [`REQUESTS_PER_SECOND`] for `span`. Returns the number of
    /// requests that were answered successfully.
    pub(crate) fn call(&self, span: Duration) -> JoinHandle<u64> {
        let tasks = self.entries.iter().enumerate().map(|(number, (_, entry))| {
            let (client, entry, customers) = (self.client.clone(), *entry, self.sizes.customers);
            tokio::spawn(async move { send_requests(client, entry, customers, number, span).await })
        });
        let tasks: Vec<_> = tasks.collect();
        tokio::spawn(async move {
            let mut sum = 0;
            for task in tasks {
                sum += task.await.unwrap_or(0);
            }
            sum
        })
    }

    /// Keeps token streams open through every entry for `span`. Returns the number of tokens
    /// received.
    pub(crate) fn stream(&self, span: Duration) -> JoinHandle<u64> {
        let until = Instant::now() + span;
        let targets = self.entries.iter().flat_map(|(_, entry)| vec![*entry; self.sizes.streams]);
        let one = |entry| tokio::spawn(read_streams(self.client.clone(), entry, until));
        let tasks: Vec<_> = targets.map(one).collect();
        tokio::spawn(async move {
            let mut sum = 0;
            for task in tasks {
                sum += task.await.unwrap_or(0);
            }
            sum
        })
    }

    /// Applies the document of version `number + 1` and returns the version.
    async fn apply(&self, number: u64) -> StepResult<u64> {
        let engines: Vec<_> = self.engines.iter().map(Engine::address).collect();
        let customers = self.sizes.customers;
        let document = service::document(&self.upstreams, &engines, customers, number);
        let id = uuid::Uuid::new_v4();
        let change = json!({"id": id, "base": number, "document": document});
        let answer = retry("apply", || {
            self.post_as_operator(number as usize % CONTROL_COUNT, "/v1/changes", change.clone())
        });
        let answer: Value = serde_json::from_str(&answer.await?).unwrap_or_default();
        answer["version"].as_u64().ok_or_else(|| StepError::new("apply", answer.to_string()))
    }

    async fn post_as_operator(&self, member: usize, path: &str, body: Value) -> StepResult<String> {
        http::post(&self.client, self.controls[member].1, path, TOKEN, &body).await
    }

    fn spawn(
        &self,
        binary: &Path,
        kind: &str,
        number: usize,
        settings: &NodeSettings,
    ) -> StepResult<Child> {
        let name = format!("{kind}-{number}");
        let start_error = |e: std::io::Error| StepError::new("start process", e).at(&name);
        let file = self._folder.path().join(format!("{name}.json"));
        let mut value = serde_json::to_value(settings).unwrap_or_default();
        drop_nulls(&mut value);
        std::fs::write(&file, value.to_string()).map_err(start_error)?;
        let mut command = Command::new(binary);
        command.arg(kind).arg("--settings").arg(&file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().map_err(start_error)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (child, _) in self.entries.iter_mut().chain(&mut self.controls) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn send_requests(
    client: Http,
    entry: SocketAddr,
    customers: usize,
    first: usize,
    span: Duration,
) -> u64 {
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
    let until = Instant::now() + span;
    let mut complete = 0;
    let mut customer = first;
    while Instant::now() < until {
        ticks.tick().await;
        customer = (customer + 7) % customers;
        let body = json!({"input": {"marker": customer}});
        let key = service::key(customer);
        let answer = http::post(&client, entry, "/v1/pipelines/one", &key, &body).await;
        complete += u64::from(answer.is_ok());
    }
    complete
}

async fn read_streams(client: Http, entry: SocketAddr, until: Instant) -> u64 {
    let mut tokens = 0;
    let mut number = 0_u64;
    while Instant::now() < until {
        number += 1;
        let body =
            json!({"input": {"marker": format!("{number}-{tokens}-{}", uuid::Uuid::new_v4())}});
        let key = service::key(0);
        let answer = http::stream(&client, entry, "/v1/pipelines/tokens", &key, &body).await;
        let text = answer.unwrap_or_default();
        tokens += text.matches("event: token").count() as u64;
    }
    tokens
}

fn member(number: usize) -> Member {
    Member {
        vm: vm(number),
        site: SITES[number % SITES.len()].parse().expect("a valid name"),
        wire: free_address(),
        http: free_address(),
        spare: false,
    }
}

fn vm(number: usize) -> types::VmName {
    format!("vm-{number}").parse().expect("a valid name")
}

fn node_settings(number: usize, members: &[Member]) -> NodeSettings {
    let site = SITES[number % SITES.len()];
    NodeSettings {
        vm: vm(number),
        site: site.parse().expect("a valid name"),
        domain: site.to_owned(),
        secret: "a secret of the measurement".to_owned(),
        members: members.to_vec(),
        entry: None,
        control: None,
        log: "error".to_owned(),
    }
}
