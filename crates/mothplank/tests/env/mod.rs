//! The environment of the integration tests: real processes of the real binary on loopback.
//!
//! ```no_run
//! let mut env = TestEnv::start(Plan { controls: 3, entries: 2, ..Plan::default() });
//! let reply = env.call(1, "appraise", json!({"lot": 1}), &[]);
//! assert_eq!(reply.outcome(), "complete");
//! ```
//!
//! Each environment has its own loopback address, and its ports are reserved, so that two tests never
//! meet. Waits are on conditions ([`wait_until`]), never on time alone. Every process is
//! killed by its id when the environment is dropped; after a failed test the tails of their logs
//! are printed.

// Each test file takes in the whole environment and uses a part of it.
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

/// How long a condition may take to come true before the test fails. Generous, for it is reached
/// only by a fault or a machine that stands still.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// What an environment consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control members that are voters from the start, on `vm-1` and on.
    pub controls: usize,
    /// Further VMs that may become members.
    pub spares: usize,
    /// Entries, on `vm-1` and on.
    pub entries: usize,
    /// Whether connections between members, and from entries to members, go through proxies that
    /// [`TestEnv::link`] gives. UDP is then lost between them.
    pub proxied: bool,
    /// How long an entry keeps serving after SIGTERM while the balancer notices, in ms.
    pub notice: u64,
    /// The size of a member's log in bytes at which a snapshot replaces it; the settings' default
    /// where none is given.
    pub log_size: Option<u64>,
    /// The log level of control and entries; `MOTHPLANK_TEST_LOG` sets the default.
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
    /// What it was planned as.
    pub plan: Plan,
    /// An HTTP client for blocking use; cheap to clone and to use from many threads.
    pub http: Http,
    /// The document that [`TestEnv::start`] applied; change it and apply it again.
    pub document: Document,
    /// The runtime for stand-ins and proxies inside the test's own process.
    pub runtime: tokio::runtime::Runtime,
    /// The ports of this environment's own loopback address.
    pub ports: Ports,
    nodes: nodes::Nodes,
    links: BTreeMap<(usize, usize), Proxy>,
    processes: BTreeMap<String, Process>,
    standins: BTreeMap<String, SocketAddr>,
    folder: TempDir,
}

impl TestEnv {
    /// Opens an environment in which nothing runs yet: addresses, settings files and proxies.
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

    /// Starts everything: members, `init`, entries, stand-ins; applies the default document and
    /// waits until every entry is ready.
    pub fn start(plan: Plan) -> Self {
        let mut env = Self::open(plan);
        env.standins();
        env.controls();
        env.init();
        for n in 1..=env.plan.entries {
            env.entry(n);
        }
        let document = env.document.clone();
        env.apply(&document);
        for n in 1..=env.plan.entries {
            env.wait_ready(env.entry_address(n));
        }
        env.wait_voters(env.plan.controls);
        env
    }

    /// Starts every planned control member and waits until each is live.
    pub fn controls(&mut self) {
        for n in 1..=self.plan.controls {
            self.control(n);
        }
        for n in 1..=self.plan.controls {
            self.wait_started(&format!("control-{n}"), self.control_address(n));
        }
    }

    /// Waits until a process that was started answers; one that has ended is told at once.
    fn wait_started(&mut self, name: &str, address: SocketAddr) {
        wait_until(&format!("{name} to be live at {address}"), || {
            assert!(!self.process(name).ended(), "{name} ended at its start");
            self.http.get(address, "/livez").is_ok_and(|it| it.status == 200)
        });
    }

    /// Starts control member `n`, from 1; spares follow the voters.
    pub fn control(&mut self, n: usize) -> &mut Process {
        let settings = self.nodes.file(n);
        self.spawn(&format!("control-{n}"), &["control", "--settings", text(&settings)])
    }

    /// Starts entry `n`, from 1.
    pub fn entry(&mut self, n: usize) -> &mut Process {
        let settings = self.nodes.file(n);
        self.spawn(&format!("entry-{n}"), &["entry", "--settings", text(&settings)])
    }

    /// Starts a cluster with the voters.
    pub fn init(&self) {
        self.run_ok(&["init", "--within-ms", "60000"]);
    }

    /// Starts one stand-in as a process and returns its address.
    pub fn standin(&mut self, name: &str, args: &[&str]) -> SocketAddr {
        let listen = self.ports.reserve().to_string();
        let args = [&["standin"], args, &["--listen", &listen]].concat();
        let process = self.spawn(name, &args);
        let line = process.first_line();
        let line: Value = serde_json::from_str(&line).unwrap();
        let address = line["address"].as_str().unwrap().parse().unwrap();
        self.standins.insert(name.to_owned(), address);
        address
    }

    /// Starts the default stand-ins, each a process, and names them in `document`: two encoders,
    /// two retrievers, two rerankers, two engines and two plain services.
    pub fn standins(&mut self) {
        for (pool, kind, args) in document::STANDINS {
            for i in 1..=document::REPLICAS {
                let name = format!("{pool}-{i}");
                let address = self.standin(&name, args);
                self.document.upstream(pool, kind, &name, address);
            }
        }
    }

    /// Applies a document and waits until it is in force at every entry; returns its version.
    pub fn apply(&self, document: &Document) -> u64 {
        let mut args = vec!["apply"];
        let (base, overlays) = document.write(&self.folder.path().join("service"));
        args.push(text(&base));
        if let Some(overlays) = &overlays {
            args.extend(["--overlays", text(overlays)]);
        }
        args.extend(["--wait", "--wait-ms", "60000", "--within-ms", "60000"]);
        let answer = self.run_ok(&args);
        assert_eq!(answer["outcome"], "accepted", "{answer}");
        answer["version"].as_u64().unwrap()
    }

    /// Sends one request to entry `n` and returns whatever comes; never resends.
    ///
    /// # Panics
    /// Where there is no whole answer; [`Http::call`] returns that as an error.
    pub fn call(&self, n: usize, pipeline: &str, input: Value, headers: &[(&str, &str)]) -> Reply {
        let reply =
            self.http.call(self.entry_address(n), pipeline, &json!({"input": input}), headers);
        reply.unwrap_or_else(|e| panic!("call at entry {n}: {e:?}"))
    }

    /// Runs an operator's command to its end; returns its exit code and its standard output as
    /// JSON. Standard error goes to the test's own.
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

    /// Runs an operator's command that must succeed.
    pub fn run_ok(&self, args: &[&str]) -> Value {
        let (code, value) = self.run(args);
        assert_eq!(code, 0, "{args:?} ended with {code}: {value}");
        value
    }

    /// Returns the process of that name: `control-1`, `entry-2`, `engines-1`.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Returns the id of the process of that name.
    pub fn process_id(&self, name: &str) -> u32 {
        self.processes[name].id()
    }

    /// Returns where the stand-in of that name listens.
    pub fn standin_address(&self, name: &str) -> SocketAddr {
        self.standins[name]
    }

    /// Sends a signal to the process of that name.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        self.process(name).signal(signal);
    }

    /// Kills the process of that name and waits for its end; it may be started again.
    pub fn kill(&mut self, name: &str) {
        self.process(name).kill();
    }

    /// Starts a proxy to `target` in the test's own process.
    pub fn proxy(&self, target: SocketAddr) -> Proxy {
        self.runtime.block_on(proxy::spawn(proxy::Config::to(target))).unwrap()
    }

    /// Returns the proxy that VM `from` uses to reach member `to`; [`Plan::proxied`] only.
    pub fn link(&self, from: usize, to: usize) -> &Proxy {
        &self.links[&(from, to)]
    }

    /// Returns where callers reach entry `n`.
    pub fn entry_address(&self, n: usize) -> SocketAddr {
        self.nodes.node(n).entry
    }

    /// Returns where operators reach control member `n`.
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

    /// Returns the status as member `n` alone sees it, or `None` where it does not answer.
    pub fn status(&self, n: usize) -> Option<Value> {
        let reply = self.http.operator(self.control_address(n), "GET", "/v1/status", &Value::Null);
        reply.ok().filter(|it| it.status == 200).map(|it| it.json())
    }

    /// Returns the number of the member that leads, as it says itself, once there is one among
    /// `members`.
    pub fn wait_leader(&self, members: &[usize]) -> usize {
        let leads = |n: &usize| self.status(*n).is_some_and(|it| it["role"] == "leader");
        wait_for("a leader", || members.iter().copied().find(leads))
    }

    /// Waits until the member that leads has so many voters, and no learner. A cluster starts with
    /// one voter and takes in the others one by one: a test that kills members earlier would find
    /// a quorum of fewer.
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

    /// Lets members reach one another again after cuts between `one` and `others`.
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

    /// Starts the binary as a process of that name.
    pub fn spawn(&mut self, name: &str, args: &[&str]) -> &mut Process {
        let old = self.processes.remove(name);
        assert!(old.is_none_or(|mut it| it.ended()), "{name} runs already");
        let process = Process::spawn(name, args, self.folder.path());
        self.processes.entry(name.to_owned()).or_insert(process)
    }

    fn open_links(&mut self) {
        if !self.plan.proxied {
            return;
        }
        for (from, to, target) in self.nodes.pairs() {
            let link = self.proxy(target);
            self.links.insert((from, to), link);
        }
    }
}

/// Waits until the condition holds.
///
/// # Panics
/// Where it does not within [`PATIENCE`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}

/// Waits until the condition gives a value.
///
/// # Panics
/// Where it does not within [`PATIENCE`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    const PAUSE: Duration = Duration::from_millis(10);
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "waited in vain for: {what}");
        std::thread::sleep(PAUSE);
    }
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}
