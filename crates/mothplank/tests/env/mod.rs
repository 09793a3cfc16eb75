//! The environment of the integration tests: processes of the actual binary on loopback.
//!
//! ```no_run
//! let mut env = TestEnv::start(Plan { controls: 3, entries: 2, ..Plan::default() });
//! let reply = env.call(1, "appraise", json!({"lot": 1}), &[]);
//! assert_eq!(reply.outcome(), "complete");
//! ```
//!
//! Each environment has its own loopback address and reserved ports, so that tests do not interfere
//! with each other. Tests wait for conditions ([`wait_until`]), never only for time to pass. All
//! processes are killed by their ids when the environment is dropped; after a failed test the last
//! lines of their logs are printed.

// Each test file includes the whole environment and uses a part of it.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod document;
mod http;
mod nodes;
mod process;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::Ports;
use standins::proxy::{self, Proxy};
use tempfile::TempDir;

pub use document::{CUSTOMER_KEY, Document};
pub use http::{Http, HttpError, Reply};
pub use nodes::{OPERATOR_TOKEN, OPERATORS, SECRET, SITES};
pub use process::{Process, Signal, command};

/// The time after which a test fails because a condition is still not true. It is long, because
/// only a fault or a machine that hangs should reach it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The parts of an environment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of control members that are voters from the start, on `vm-1` and following.
    pub controls: usize,
    /// The number of further VMs that may become members.
    pub spares: usize,
    /// The number of entries, on `vm-1` and following.
    pub entries: usize,
    /// Whether connections between members, and from entries to members, go through proxies, which
    /// [`TestEnv::link`] returns. UDP between them is then lost.
    pub proxied: bool,
    /// How long an entry keeps serving after SIGTERM until the balancer notices, in milliseconds.
    pub notice: u64,
    /// The log size, in bytes, at which a member compacts its log into a snapshot; `None` for the
    /// default of the settings.
    pub log_size: Option<u64>,
    /// The log level of members and entries; `MOTHPLANK_TEST_LOG` sets the default.
    pub log: String,
}

impl Default for Plan {
    fn default() -> Self {
        let log = std::env::var("MOTHPLANK_TEST_LOG").unwrap_or_else(|_| "info".to_owned());
        let (proxied, log_size) = (false, None);
        Self { controls: 1, spares: 0, entries: 2, proxied, notice: 100, log_size, log }
    }
}

/// A running environment.
pub struct TestEnv {
    /// The plan of the environment.
    pub plan: Plan,
    /// A blocking HTTP client, cheap to clone and usable from many threads.
    pub http: Http,
    /// The document that [`TestEnv::start`] applied; tests may change it and apply it again.
    pub document: Document,
    /// The runtime for stand-ins and proxies in the test process.
    pub runtime: tokio::runtime::Runtime,
    /// The ports of the environment's loopback address.
    pub ports: Ports,
    nodes: nodes::Nodes,
    links: BTreeMap<(usize, usize), Proxy>,
    processes: BTreeMap<String, Process>,
    standins: BTreeMap<String, SocketAddr>,
    folder: TempDir,
}

impl TestEnv {
    /// Creates an environment without processes: addresses, settings files and proxies.
    pub fn open(plan: Plan) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let folder = tempfile::Builder::new().prefix("mothplank-test").tempdir().unwrap();
        let ports = Ports::open();
        let nodes = nodes::Nodes::plan(&plan, &ports, folder.path());
        let mut env = Self {
            http: Http::open(runtime.handle().clone()),
            document: Document::default(),
            runtime,
            ports,
            nodes,
            links: BTreeMap::new(),
            processes: BTreeMap::new(),
            standins: BTreeMap::new(),
            folder,
            plan,
        };
        env.open_links();
        env.nodes.write(&env.links);
        env
    }

    /// Creates an environment, starts all its processes, creates the cluster, applies the default
    /// document and waits until every entry is ready.
    pub fn start(plan: Plan) -> Self {
        let mut env = Self::open(plan);
        env.start_standins();
        env.start_controls();
        env.init();
        for n in 1..=env.plan.entries {
            env.start_entry(n);
        }
        let document = env.document.clone();
        env.apply(&document);
        for n in 1..=env.plan.entries {
            env.wait_ready(env.entry_address(n));
        }
        env.wait_voters(env.plan.controls);
        env
    }

    /// Starts all planned control members and waits until each is live.
    pub fn start_controls(&mut self) {
        for n in 1..=self.plan.controls {
            self.start_control(n);
        }
        for n in 1..=self.plan.controls {
            self.wait_started(&format!("control-{n}"), self.control_address(n));
        }
    }

    /// Waits until a started process answers; fails at once if the process has exited.
    fn wait_started(&mut self, name: &str, address: SocketAddr) {
        wait_until(&format!("{name} to be live at {address}"), || {
            assert!(!self.process(name).has_ended(), "{name} ended at its start");
            self.http.get(address, "/livez").is_ok_and(|it| it.status == 200)
        });
    }

    /// Starts control member `n`, counted from 1; spares follow the voters.
    pub fn start_control(&mut self, n: usize) -> &mut Process {
        let settings = self.nodes.file(n);
        self.spawn(&format!("control-{n}"), &["control", "--settings", path_text(&settings)])
    }

    /// Starts entry `n`, counted from 1.
    pub fn start_entry(&mut self, n: usize) -> &mut Process {
        let settings = self.nodes.file(n);
        self.spawn(&format!("entry-{n}"), &["entry", "--settings", path_text(&settings)])
    }

    /// Creates the cluster.
    pub fn init(&self) {
        self.run_ok(&["init", "--within-ms", "60000"]);
    }

    /// Starts a stand-in as a process and returns its address.
    pub fn start_standin(&mut self, name: &str, args: &[&str]) -> SocketAddr {
        let listen = self.ports.reserve().to_string();
        let args = [&["standin"], args, &["--listen", &listen]].concat();
        let process = self.spawn(name, &args);
        let line = process.first_line();
        let line: Value = serde_json::from_str(&line).unwrap();
        let address = line["address"].as_str().unwrap().parse().unwrap();
        self.standins.insert(name.to_owned(), address);
        address
    }

    /// Starts the default stand-ins, each as a process, and adds them to `document`: two encoders,
    /// two retrievers, two rerankers, two engines and two plain services.
    pub fn start_standins(&mut self) {
        for (pool, kind, args) in document::STANDINS {
            for i in 1..=document::REPLICAS {
                let name = format!("{pool}-{i}");
                let address = self.start_standin(&name, args);
                self.document.upstream(pool, kind, &name, address);
            }
        }
    }

    /// Applies a document and waits until it is in force at every entry; returns its version.
    pub fn apply(&self, document: &Document) -> u64 {
        let mut args = vec!["apply"];
        let (base, overlays) = document.write(&self.folder.path().join("service"));
        args.push(path_text(&base));
        if let Some(overlays) = &overlays {
            args.extend(["--overlays", path_text(overlays)]);
        }
        args.extend(["--wait", "--wait-ms", "60000", "--within-ms", "60000"]);
        let answer = self.run_ok(&args);
        assert_eq!(answer["outcome"], "accepted", "{answer}");
        answer["version"].as_u64().unwrap()
    }

    /// Sends one request to entry `n` and returns the response, whatever it is; never resends.
    ///
    /// # Panics
    /// Panics if there is no complete response, for which [`Http::call`] returns an error.
    pub fn call(&self, n: usize, pipeline: &str, input: Value, headers: &[(&str, &str)]) -> Reply {
        let reply =
            self.http.call(self.entry_address(n), pipeline, &json!({"input": input}), headers);
        reply.unwrap_or_else(|e| panic!("call at entry {n}: {e:?}"))
    }

    /// Runs a command and returns its exit code and its standard output as JSON. Standard error is
    /// copied to the standard error of the test.
    pub fn run(&self, args: &[&str]) -> (i32, Value) {
        let members: Vec<String> =
            (1..=self.plan.controls).map(|n| self.control_address(n).to_string()).collect();
        let output = process::command(args)
            .args(["--output", "json"])
            .env("MOTHPLANK_CONTROL", members.join(","))
            .env("MOTHPLANK_TOKEN", OPERATOR_TOKEN)
            .env("MOTHPLANK_KEY", CUSTOMER_KEY)
            .output()
            .unwrap();
        eprint!("{}", String::from_utf8_lossy(&output.stderr));
        let lines = String::from_utf8_lossy(&output.stdout).into_owned();
        let values: Vec<Value> =
            lines.lines().filter_map(|it| serde_json::from_str(it).ok()).collect();
        let value = if values.len() == 1 { values[0].clone() } else { Value::Array(values) };
        (output.status.code().unwrap_or(-1), value)
    }

    /// Runs a command that must succeed.
    pub fn run_ok(&self, args: &[&str]) -> Value {
        let (code, value) = self.run(args);
        assert_eq!(code, 0, "{args:?} ended with {code}: {value}");
        value
    }

    /// Returns the process with this name, such as `control-1`, `entry-2` or `engines-1`.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Returns the id of the process with this name.
    pub fn process_id(&self, name: &str) -> u32 {
        self.processes[name].id()
    }

    /// Returns the address of the stand-in with this name.
    pub fn standin_address(&self, name: &str) -> SocketAddr {
        self.standins[name]
    }

    /// Sends a signal to the process with this name.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        self.process(name).signal(signal);
    }

    /// Kills the process with this name and waits until it has exited; it may be started again.
    pub fn kill(&mut self, name: &str) {
        self.process(name).kill();
    }

    /// Starts a proxy to `target` in the test process.
    pub fn start_proxy(&self, target: SocketAddr) -> Proxy {
        self.runtime.block_on(proxy::spawn(proxy::Config::to(target))).unwrap()
    }

    /// Returns the proxy that VM `from` uses to reach member `to`; only with [`Plan::proxied`].
    pub fn link(&self, from: usize, to: usize) -> &Proxy {
        &self.links[&(from, to)]
    }

    /// Returns the address of entry `n` for callers.
    pub fn entry_address(&self, n: usize) -> SocketAddr {
        self.nodes.node(n).entry
    }

    /// Returns the address of control member `n` for operators.
    pub fn control_address(&self, n: usize) -> SocketAddr {
        self.nodes.node(n).http
    }

    /// Returns the data folder of control member `n`.
    pub fn data_folder(&self, n: usize) -> PathBuf {
        self.nodes.node(n).data.clone()
    }

    /// Returns the settings file of VM `n`.
    pub fn settings_file(&self, n: usize) -> PathBuf {
        self.nodes.file(n)
    }

    /// Returns the status as reported by member `n`, or `None` if it does not answer.
    pub fn status(&self, n: usize) -> Option<Value> {
        let reply = self.http.operator(self.control_address(n), "GET", "/v1/status", &Value::Null);
        reply.ok().filter(|it| it.status == 200).map(|it| it.json())
    }

    /// Waits until one of `members` reports that it is the leader, and returns its number.
    pub fn wait_leader(&self, members: &[usize]) -> usize {
        let leads = |n: &usize| self.status(*n).is_some_and(|it| it["role"] == "leader");
        wait_for("a leader", || members.iter().copied().find(leads))
    }

    /// Waits until the leader has `count` voters and no learner. A cluster starts with one voter
    /// and adds the others one by one, so a test that kills members earlier would meet a smaller
    /// quorum.
    pub fn wait_voters(&self, count: usize) {
        let all: Vec<usize> = (1..=self.plan.controls + self.plan.spares).collect();
        let kinds = |status: &Value, kind: &str| {
            let rows = status["members"].as_array();
            rows.map_or(0, |it| it.iter().filter(|row| row["kind"] == kind).count())
        };
        wait_until(&format!("{count} voters"), || {
            let led = all.iter().filter_map(|it| self.status(*it));
            led.filter(|it| it["role"] == "leader")
                .any(|it| kinds(&it, "voter") == count && kinds(&it, "learner") == 0)
        });
    }

    /// Heals the links between `one` and `others` in both directions.
    pub fn heal(&self, one: usize, others: &[usize]) {
        for other in others {
            self.link(one, *other).heal();
            self.link(*other, one).heal();
        }
    }

    /// Waits until `/readyz` answers 200.
    pub fn wait_ready(&self, address: SocketAddr) {
        self.wait_page(address, "/readyz");
    }

    /// Waits until `/livez` answers 200.
    pub fn wait_live(&self, address: SocketAddr) {
        self.wait_page(address, "/livez");
    }

    fn wait_page(&self, address: SocketAddr, page: &str) {
        wait_until(&format!("{address}{page}"), || {
            self.http.get(address, page).is_ok_and(|it| it.status == 200)
        });
    }

    /// Starts the binary as a process with this name.
    pub fn spawn(&mut self, name: &str, args: &[&str]) -> &mut Process {
        let old = self.processes.remove(name);
        assert!(old.is_none_or(|mut it| it.has_ended()), "{name} runs already");
        let process = Process::spawn(name, args, self.folder.path());
        self.processes.entry(name.to_owned()).or_insert(process)
    }

    fn open_links(&mut self) {
        if !self.plan.proxied {
            return;
        }
        for (from, to, target) in self.nodes.pairs() {
            let link = self.start_proxy(target);
            self.links.insert((from, to), link);
        }
    }
}

/// Waits until the condition is true.
///
/// # Panics
/// Panics if it does not become true within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}

/// Waits until the condition returns a value.
///
/// # Panics
/// Panics if it returns none within [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    const PAUSE: Duration = Duration::from_millis(10);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(PAUSE);
    }
}

fn path_text(path: &Path) -> &str {
    path.to_str().unwrap()
}
