//! Mothplank's processes of one run on loopback: three control members and six entries. The entries
//! connect to the control members through proxies that can cut the connections.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use hyper::Request;
use serde_json::{Value, json};
use settings::{Member, NodeSettings};
use standins::proxy::{self, Cut, Direction, Proxy, Scope};
use types::{StepError, StepResult};

use crate::common::{
    self, TOKEN, control_settings, drop_nulls, entry_settings, free_address, retry,
};
use crate::document::SITES;

const CONTROL_COUNT: usize = 3;
const ENTRY_COUNT: usize = 6;

/// The clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The running processes. Dropping this kills them.
pub(crate) struct Processes {
    children: Vec<(String, Child)>,
    proxies: Vec<Proxy>,
    entries: Vec<SocketAddr>,
    started: std::time::Instant,
    _folder: tempfile::TempDir,
}

impl Processes {
    /// Starts all processes and waits until the service document is in force at each entry.
    pub(crate) async fn start(binary: &Path, out: &Path, base: &str) -> StepResult<Self> {
        let folder = tempfile::tempdir().map_err(|e| StepError::new("create folder", e))?;
        let members: Vec<Member> = (0..CONTROL_COUNT).map(member).collect();
        let mut proxies = Vec::new();
        for member in &members {
            proxies.push(proxy::spawn(proxy::Config::to(member.wire)).await?);
        }
        let proxied = members.iter().zip(&proxies);
        let proxied = proxied.map(|(it, proxy)| Member { wire: proxy.address(), ..it.clone() });
        let proxied: Vec<Member> = proxied.collect();
        let mut it = Self {
            children: Vec::new(),
            proxies,
            entries: (0..ENTRY_COUNT).map(|_| free_address()).collect(),
            started: std::time::Instant::now(),
            _folder: folder,
        };
        for number in 0..CONTROL_COUNT {
            let data = it._folder.path().join(format!("data-{number}"));
            std::fs::create_dir_all(&data).map_err(|e| StepError::new("create folder", e))?;
            let settings = NodeSettings {
                control: Some(control_settings(data)),
                ..node_settings(number, &members)
            };
            it.spawn(binary, out, "control", number, &settings)?;
        }
        let http = members[0].http;
        retry("init", || post(http, "/v1/init", json!({}))).await?;
        let document = json!({"base": base, "overlays": SITES.map(|it| (it, "{}"))
            .into_iter().collect::<std::collections::BTreeMap<_, _>>()});
        let id = uuid::Uuid::new_v4();
        let change = json!({"id": id, "base": 0, "document": document});
        retry("apply", || post(http, "/v1/changes", change.clone())).await?;
        for number in 0..ENTRY_COUNT {
            let settings = NodeSettings {
                entry: Some(entry_settings(it.entries[number])),
                ..node_settings(number, &proxied)
            };
            it.spawn(binary, out, "entry", number, &settings)?;
        }
        for entry in it.entries.clone() {
            retry("ready", || get(entry, "/readyz")).await?;
        }
        Ok(it)
    }

    /// Returns the addresses of the entries.
    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Cuts the connections between the entries and the control members.
    pub(crate) fn cut(&self) {
        self.proxies.iter().for_each(|it| it.cut(Cut { way: Direction::Both, scope: Scope::All }));
    }

    /// Ends the cut; entries and control members can connect again.
    pub(crate) fn heal(&self) {
        self.proxies.iter().for_each(Proxy::heal);
    }

    /// Sums the counters of requests and of extra calls over all entries, by their labels.
    pub(crate) async fn request_counts(&self) -> String {
        let mut counts = std::collections::BTreeMap::<String, f64>::new();
        for entry in &self.entries {
            let request = Request::get(format!("http://{entry}/metrics"));
            let text = common::send(&common::http_client(), request, String::new()).await;
            for line in text.unwrap_or_default().lines() {
                let prefixes = ["mothplank_requests_total{", "mothplank_extra_calls_total{"];
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                if prefixes.iter().any(|it| name.starts_with(it)) {
                    let name = name.trim_start_matches("mothplank_").replace('"', "");
                    *counts.entry(name).or_default() += value.parse().unwrap_or(0.0);
                }
            }
        }
        let all: Vec<String> = counts.iter().map(|(name, it)| format!("{name} {it}")).collect();
        format!("<!-- {} -->", all.join(", "))
    }

    /// Returns the share of a core and the memory of each process.
    pub(crate) fn usage(&self) -> String {
        let seconds = self.started.elapsed().as_secs_f64();
        let one = |(name, child): &(String, Child)| {
            let (ticks, megabytes) = read_usage(child.id()).unwrap_or_default();
            format!("{name} {:.1}% {megabytes:.0} MB", 100.0 * ticks / TICKS_PER_SECOND / seconds)
        };
        let all: Vec<String> = self.children.iter().map(one).collect();
        format!("<!-- {} -->", all.join(", "))
    }

    fn spawn(
        &mut self,
        binary: &Path,
        out: &Path,
        kind: &str,
        number: usize,
        settings: &NodeSettings,
    ) -> StepResult<()> {
        let name = format!("{kind}-{number}");
        let start_error = |e: std::io::Error| StepError::new("start process", e).at(&name);
        let file = self._folder.path().join(format!("{name}.json"));
        let mut value = serde_json::to_value(settings).unwrap_or_default();
        drop_nulls(&mut value);
        let text = format!("{value:#}");
        std::fs::write(&file, text).map_err(start_error)?;
        let log = File::create(out.join(format!("{name}.log"))).map_err(start_error)?;
        let child = Command::new(binary)
            .arg(kind)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(start_error)?)
            .stderr(log)
            .spawn()
            .map_err(start_error)?;
        self.children.push((name, child));
        Ok(())
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn member(number: usize) -> Member {
    Member {
        vm: vm(number).parse().expect("a valid name"),
        site: SITES[number % SITES.len()].parse().expect("a valid name"),
        wire: free_address(),
        http: free_address(),
        spare: false,
    }
}

fn node_settings(number: usize, members: &[Member]) -> NodeSettings {
    let site = SITES[number % SITES.len()];
    NodeSettings {
        vm: vm(number).parse().expect("a valid name"),
        site: site.parse().expect("a valid name"),
        domain: site.to_owned(),
        secret: "a secret of the scenarios".to_owned(),
        members: members.to_vec(),
        entry: None,
        control: None,
        log: "warn".to_owned(),
    }
}

fn vm(number: usize) -> String {
    format!("vm-{number}")
}

async fn get(address: SocketAddr, path: &str) -> StepResult<Value> {
    send(Request::get(format!("http://{address}{path}")), String::new()).await
}

async fn post(address: SocketAddr, path: &str, body: Value) -> StepResult<Value> {
    let request = Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("content-type", "application/json");
    send(request, body.to_string()).await
}

async fn send(request: http::request::Builder, body: String) -> StepResult<Value> {
    Ok(serde_json::from_str(&common::send(&common::http_client(), request, body).await?)
        .unwrap_or_default())
}

/// Reads the CPU time in clock ticks and the resident memory in MB of a process.
fn read_usage(process: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some((ticks, kilobytes / 1024.0))
}
