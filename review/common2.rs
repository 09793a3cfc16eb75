//! What the scripts of cases 6 and up share: the project's programs as processes, and small stand-ins for
//! clients, replicas, the operator and the platform's list. Only the standard library is used.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn open(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new((Mutex::new(file), Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.1.elapsed().as_secs_f64();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {text}");
    }

    /// Writes a line that is shown, too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// An HTTP message, as far as the stand-ins need it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads a message; `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return if message.start.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            let line = line.trim_end();
            if message.start.is_empty() {
                message.start = line.to_owned();
            } else if line.is_empty() {
                break;
            } else if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        } else if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok())
        {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }
}

/// Sends a request on a new connection, and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(ms(1_000)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|it| it.0.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("Connection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let answer = Message::read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Encodes an answer with a length.
pub fn answer(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A server of a stand-in: each connection has a thread, which handles its requests one after the other.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    /// Starts a server. `handle` gets a request and the connection, on which it writes the answer; the
    /// connection ends if it returns false.
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let (is_stopped, streams, handle) = (stopped.clone(), open.clone(), Arc::new(handle));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let number = number as u64;
                let Ok(kept) = stream.try_clone() else { continue };
                streams.lock().unwrap().insert(number, kept);
                let (handle, streams) = (handle.clone(), streams.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    if let Ok(read) = stream.try_clone() {
                        let (mut reader, mut stream) = (BufReader::new(read), stream);
                        while let Ok(Some(request)) = Message::read(&mut reader) {
                            if !handle(&request, &mut stream) {
                                break;
                            }
                        }
                        let _ = stream.shutdown(std::net::Shutdown::Both);
                    }
                    streams.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(Self { address, stopped, open })
    }

    /// Ends the server as the end of its process does: its port refuses, and its connections end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, ms(200));
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// The seal of a replica's answer.
pub fn seal(id: &str) -> String {
    format!("3e1b.07.5a2.{:x}.0.c9f2a4d1", id.len())
}

/// An entry of the platform's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
}

/// The platform's list.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<Vec<Listed>>>);

impl List {
    pub fn set(&self, entries: Vec<Listed>) {
        *self.0.lock().unwrap() = entries;
    }

    pub fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let list = self.clone();
        Server::start(address, move |request, stream| {
            if !request.path().starts_with("/replicas") {
                return stream.write_all(&answer("404 Not Found", &[], b"")).is_ok();
            }
            let entries = list.0.lock().unwrap().clone();
            let rows: Vec<String> = entries
                .iter()
                .map(|it| {
                    format!(
                        "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                         \"state\":\"{}\",\"cold_left_ms\":0,\"id\":\"{}\"}}",
                        it.service, it.address, it.zone, it.slots, it.state, it.id
                    )
                })
                .collect();
            let body = format!("{{\"instances\":[{}],\"next_token\":null}}", rows.join(","));
            let headers = [("Content-Type", "application/json".to_owned())];
            stream.write_all(&answer("200 OK", &headers, body.as_bytes())).is_ok()
        })
    }
}

/// The addresses of one run: each machine has a loopback address of its own.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
    third: u8,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub first: u16,
    pub last: u16,
}

impl Net {
    /// Chooses addresses and ports that are free.
    pub fn choose() -> Self {
        let seed = std::process::id();
        for attempt in 0..200u32 {
            let value = seed.wrapping_mul(31).wrapping_add(attempt * 7_919);
            let base = 21_000 + (value % 800) as u16 * 10;
            let net = Self {
                second: 16 + (value / 7 % 200) as u8,
                third: (value / 3 % 250) as u8,
                front: base,
                ready: base + 1,
                control: base + 2,
                first: base + 3,
                last: base + 9,
            };
            let is_free = |port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok();
            if (base..base + 10).all(is_free) {
                return net;
            }
        }
        panic!("no free ports");
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(host), port))
    }
}

/// What the settings of the machines of a run have in common.
#[derive(Clone)]
pub struct Site {
    pub net: Net,
    /// A temporary folder.
    pub folder: PathBuf,
    pub list: SocketAddr,
    pub zones: Vec<String>,
    pub tolerance: u32,
}

impl Site {
    /// The settings are those of the deployment with 6 edge and 5 core machines.
    fn settings(
        &self,
        name: &str,
        host: u8,
        is_core: bool,
        seeds: &[u8],
        bootstrap: bool,
    ) -> String {
        let Net { front, ready, control, first, last, .. } = self.net;
        let ip = self.net.ip(host);
        let zone = &self.zones[usize::from(host) % self.zones.len()];
        let zones: Vec<String> = self.zones.iter().map(|it| format!("\"{it}\":\"pos\"")).collect();
        let seeds: Vec<String> =
            seeds.iter().map(|it| format!("\"{}\"", self.net.at(*it, control))).collect();
        let (role, class, serves) =
            if is_core { ("registry", "core", "control") } else { ("gateway", "edge", "edge") };
        let listen = match is_core {
            true => format!("{{\"control\":\"{ip}:{control}\"}}"),
            false => format!("{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\"}}"),
        };
        let data = match is_core {
            true => format!("\"{}\"", self.data(host).display()),
            false => "null".to_owned(),
        };
        let share = if is_core { "0.6" } else { "0.25" };
        format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"machine_class\":\"{class}\",\"serves\":[\"{serves}\"],\
             \"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"pos\",\"zones\":{{{}}},\"listen\":{listen},\
             \"port_range\":[{first},{last}],\"seeds\":[{}],\"bootstrap\":{bootstrap},\"loss_counts\":{is_core},\
             \"limits\":{{\"cpu_share\":{share},\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":128}},\
             \"data_dir\":{data},\"discovery\":\"cloud\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"stages\"],\
             \"fault_tolerance\":{{\"machines\":{},\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\
             \"drain_ms\":3000,\"grace_s\":8,\"loss_slack_ms\":200,\"apply_ms\":2000,\"rollback_slack_ms\":250,\
             \"max_skew_ms\":5000,\"strict_revoke\":false,\"revoke_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,\
             \"retry_burst\":52,\"recover_s\":12,\"delivery_deadline_ms\":120,\"reuse_window_s\":9.7}},\
             \"config_mode\":\"highest\",\"cloud\":{{\"addr\":\"{}\",\"rate_per_s\":40.0,\"duties\":[],\"lag_ms\":800}}}}",
            zones.join(","),
            seeds.join(","),
            self.tolerance,
            self.list,
        )
    }

    /// Returns the data folder of a core machine.
    pub fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("disk-{host}"))
    }
}

/// A machine that runs one of the project's programs.
pub struct Machine {
    pub name: String,
    pub host: u8,
    pub is_core: bool,
    site: Site,
    child: Option<Child>,
    record: Record,
}

impl Machine {
    pub fn new(site: &Site, host: u8, is_core: bool, record: &Record) -> Self {
        let name = format!("{}-{host}", if is_core { "core" } else { "edge" });
        Self { name, host, is_core, site: site.clone(), child: None, record: record.clone() }
    }

    fn settings_path(&self) -> PathBuf {
        self.site.folder.join(format!("{}.json", self.name))
    }

    /// Writes the settings file, as the platform does.
    pub fn write_settings(&self, seeds: &[u8], bootstrap: bool) {
        let text = self.site.settings(&self.name, self.host, self.is_core, seeds, bootstrap);
        let path = self.settings_path();
        let next = path.with_extension("next");
        fs::write(&next, text).expect("settings");
        fs::rename(&next, &path).expect("settings");
    }

    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) {
        if self.is_core {
            fs::create_dir_all(self.site.data(self.host)).expect("disk");
        }
        let log = self.site.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("log");
        let role = if self.is_core { "registry" } else { "gateway" };
        let path = std::env::var_os("PATH").unwrap_or_default();
        let child = Command::new("target/release/mothplank")
            .arg(role)
            .env_clear()
            .env("PATH", path)
            .env("MOTHPLANK_BOOT", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| {
            eprintln!("target/release/mothplank can't be started: {error}");
            std::process::exit(2);
        }));
        self.record.line(&format!("started {}", self.name));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process was started here and has not been waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, signal) };
            self.record.line(&format!("signal {signal} to {}", self.name));
        }
    }

    /// Waits until the process has ended; kills it after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let mut child = self.child.take()?;
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("{} ended: {status}", self.name));
                return status.code();
            }
            if Instant::now() >= end {
                let _ = child.kill();
                let _ = child.wait();
                self.record.line(&format!("{} was killed at the end of its grace time", self.name));
                return None;
            }
            sleep(ms(10));
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.wait(ms(2_000));
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after 8 s.
    pub fn stop(&mut self) {
        self.signal(SIGTERM);
        self.wait(ms(8_000));
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn front(&self) -> SocketAddr {
        self.site.net.at(self.host, self.site.net.front)
    }

    pub fn control(&self) -> SocketAddr {
        self.site.net.at(self.host, self.site.net.control)
    }

    /// Asks whether an edge machine is ready.
    pub fn is_ready(&self) -> bool {
        let at = self.site.net.at(self.host, self.site.net.ready);
        let asked = call(at, "GET", "/mothplank/readyz", &[], &[], ms(900));
        asked.is_ok_and(|it| it.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends an operator's call to any of the machines, as the operator does: it follows a redirection twice, and
/// moves on after a failure, until `limit`. Returns the answer and the machine that gave it.
pub fn operate(
    machines: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Option<(Message, SocketAddr)> {
    let end = Instant::now() + limit;
    let mut pause = ms(50);
    for machine in machines.iter().cycle() {
        let (mut at, mut target) = (*machine, path.to_owned());
        for _ in 0..3 {
            let Ok(answered) = call(at, method, &target, &[], body, ms(1_000)) else { break };
            match answered.status() {
                307 => {
                    let Some(location) = answered.header("location") else { break };
                    let location = location.trim_start_matches("http://");
                    let Some((host, rest)) = location.split_once('/') else { break };
                    let Ok(next) = host.parse() else { break };
                    (at, target) = (next, format!("/{rest}"));
                }
                408 | 429 | 500..=599 => break,
                _ => return Some((answered, at)),
            }
        }
        if Instant::now() >= end {
            return None;
        }
        sleep(pause);
        pause = (pause * 2).min(ms(400));
    }
    None
}

/// The machines of a small deployment: core machines 1 to 5 and edge machines from 21 on.
pub struct System {
    pub core: Vec<Machine>,
    pub edge: Vec<Machine>,
    pub controls: Vec<SocketAddr>,
}

impl System {
    /// Starts the machines for the first time, sends the first configuration, and waits until the edge machines
    /// are ready. Returns `None`, and says why, if that fails.
    pub fn start(site: &Site, edges: u8, plan: &str, record: &Record) -> Option<Self> {
        let seeds = [1, 2, 3];
        let mut core: Vec<Machine> =
            (1..=5).map(|it| Machine::new(site, it, true, record)).collect();
        let mut edge: Vec<Machine> =
            (21..21 + edges).map(|it| Machine::new(site, it, false, record)).collect();
        for machine in core.iter_mut().chain(&mut edge) {
            machine.write_settings(&seeds, true);
            machine.start();
        }
        let controls: Vec<_> = core.iter().map(Machine::control).collect();
        let put = operate(&controls, "PUT", "/mothplank/config", plan.as_bytes(), ms(10_000));
        if put.is_none_or(|it| it.0.status() != 200) {
            record.say("the first configuration was not acknowledged");
            return None;
        }
        if !wait_until(ms(8_000), || edge.iter().all(Machine::is_ready)) {
            record.say("the edge machines did not become ready at the start");
            return None;
        }
        record.line("the configuration is acknowledged, and the edge machines are ready");
        for machine in core.iter().chain(&edge) {
            machine.write_settings(&seeds, false);
        }
        Some(Self { core, edge, controls })
    }
}

/// Runs a case: its folder is the first argument. The exit code is 1 if the rule was broken.
pub fn run_case(run: impl FnOnce(&Record) -> i32) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::open(&folder).expect("the record");
    let code = run(&record);
    record.say(match code {
        0 => "held",
        1 => "BROKEN",
        _ => "could not run",
    });
    std::process::exit(code)
}

/// The zones of the small deployment.
pub fn zones() -> Vec<String> {
    ["laventille-hall", "woodbrook-hall", "belmont-hall"].map(str::to_owned).to_vec()
}

/// Waits until `test` holds; returns whether it does within `limit`.
pub fn wait_until(limit: Duration, mut test: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if test() {
            return true;
        }
        sleep(ms(50));
    }
    false
}

/// A new id of a client attempt.
pub fn attempt_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id(), count)
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Creates a temporary folder, which is removed when the value is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
