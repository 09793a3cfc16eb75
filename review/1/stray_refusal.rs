//! A replica that turns a request away sends that answer twice now and then; the second copy comes
//! late, at the point where the next answer on the connection is expected. Counts how often each
//! request that isn't idempotent runs.

#[path = "../common.rs"]
mod lib;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lib::*;

const REPLICAS: usize = 5;
/// Share 0.6 of the service's replicas, as in the largest dose of `garble` on the site file.
const FAULTY: usize = 3;
/// One answer in this many is sent twice: the 0.03 of the site file.
const EXTRA_EVERY: u64 = 34;
/// How long the disruption lasts each time, as on the site file, and how often it comes.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(2);
const ROUNDS: usize = 5;
const CLIENTS: usize = 18;
const SLOTS: usize = 2;
const QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(3_000);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"receipts","host":"shop.example","path_prefix":"/receipts/","type":"unsafe","timeout_ms":3000,"latency_target_ms":300,"priority":1,"service":"counter","max_attempts":2,"public":false}],"services":[{"name":"counter","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-one","api_keys":["key-one"],"priority":1}]}"#;

/// The runs of each request: the replica and the time in ms.
type Runs = Mutex<HashMap<String, Vec<(String, u64)>>>;

struct Counter {
    id: String,
    is_faulty: bool,
    in_trouble: Arc<AtomicBool>,
    record: Arc<Record>,
    runs: Arc<Runs>,
    held: AtomicUsize,
    working: Mutex<usize>,
    free: std::sync::Condvar,
    answers: AtomicU64,
    extras: Arc<AtomicUsize>,
}

/// The second copy of the last answer, which is still to come.
#[derive(Default)]
struct Pending(Option<(String, Vec<u8>)>);

impl Counter {
    /// Sends an answer, and decides whether a second copy of it follows late.
    fn answer(
        &self,
        attempt: &str,
        bytes: Vec<u8>,
        conn: &mut Conn,
        pending: &mut Pending,
    ) -> bool {
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let twice =
            self.is_faulty && self.in_trouble.load(Ordering::Relaxed) && number % EXTRA_EVERY == 0;
        let sent = conn.send(&bytes).is_ok();
        if twice {
            pending.0 = Some((attempt.to_owned(), bytes));
        }
        sent
    }
}

impl Replica for Counter {
    type State = Pending;

    fn handle(&self, request: &Message, conn: &mut Conn, pending: &mut Pending) -> bool {
        let attempt = request.header("x-mothplank-attempt-id").unwrap_or("").to_owned();
        let echo = format!("X-Mothplank-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=10\r\n");
        if request.header("x-mothplank-expect-replica").is_some_and(|it| it != self.id) {
            return conn.send(&response("421 Misdirected Request", &echo, "")).is_ok();
        }
        if let Some((earlier, bytes)) = pending.0.take() {
            self.extras.fetch_add(1, Ordering::Relaxed);
            let status = String::from_utf8_lossy(&bytes[9..12]).into_owned();
            self.record.line(format!(
                "{} sends the second copy of its answer {status} to {earlier}, as {attempt} has arrived",
                self.id
            ));
            if conn.send(&bytes).is_err() {
                return false;
            }
        }
        if self.held.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.held.fetch_sub(1, Ordering::SeqCst);
            let head = format!("{echo}X-Mothplank-Not-Executed: 1\r\n");
            self.record.line(format!("{} rejects {attempt}", self.id));
            let bytes = response("503 Service Unavailable", &head, "full");
            return self.answer(&attempt, bytes, conn, pending);
        }
        let mut working = lock(&self.working);
        while *working >= SLOTS {
            working = self.free.wait(working).expect("the slots");
        }
        *working += 1;
        drop(working);
        let at = self.record.ms();
        lock(&self.runs).entry(attempt.clone()).or_default().push((self.id.clone(), at));
        self.record.line(format!("{} runs {attempt}", self.id));
        thread::sleep(WORK);
        *lock(&self.working) -= 1;
        self.free.notify_one();
        self.held.fetch_sub(1, Ordering::SeqCst);
        let head = format!("{echo}X-Mothplank-Replica-Seal: seal.{}.{attempt}\r\n", self.id);
        let bytes = response("200 OK", &head, &format!("receipt of {attempt}"));
        self.answer(&attempt, bytes, conn, pending)
    }
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    watch_time();
    let record = Record::create(&folder);
    let list = List::start();
    let runs: Arc<Runs> = Arc::default();
    let in_trouble = Arc::new(AtomicBool::new(false));
    let extras = Arc::new(AtomicUsize::new(0));
    for number in 0..REPLICAS {
        let listener = bind_any();
        let address = listener.local_addr().expect("an address");
        let id = format!("i-counter-{number}");
        let replica = Counter {
            id: id.clone(),
            is_faulty: number < FAULTY,
            in_trouble: Arc::clone(&in_trouble),
            record: Arc::clone(&record),
            runs: Arc::clone(&runs),
            held: AtomicUsize::new(0),
            working: Mutex::new(0),
            free: std::sync::Condvar::new(),
            answers: AtomicU64::new(0),
            extras: Arc::clone(&extras),
        };
        serve_replica(listener, Arc::new(replica));
        let zone = ZONES[number % ZONES.len()].to_owned();
        let service = "counter".to_owned();
        list.add(Listed { id, service, address, zone, slots: SLOTS as u32, state: "ready" });
    }
    let fleet = Fleet::start(3, 2, list.address);
    fleet.put_config(CONFIG);
    fleet.wait_ready();
    record.line("the system is ready");

    let stop = Stop::default();
    let ids = Arc::new(Ids::default());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fleet.front(number % fleet.gateways.len());
            let (stop, ids) = (stop.clone(), Arc::clone(&ids));
            let (record, outcomes) = (Arc::clone(&record), Arc::clone(&outcomes));
            thread::spawn(move || {
                let mut client = Client::new(front);
                let mut random = Random::new(number as u64 + 1);
                while !stop.is_set() {
                    let id = ids.next();
                    record.line(format!("client {number} sends {id}"));
                    let outcome = client.call(&id, "/receipts/", "", DEADLINE);
                    record.line(format!("client {number} gets {} for {id}", outcome.status));
                    let pause = if outcome.status == 200 { 10 } else { 150 };
                    lock(&outcomes).push(outcome);
                    thread::sleep(Duration::from_millis(pause + random.below(50)));
                }
            })
        })
        .collect();
    thread::sleep(CALM_TIME);
    for _ in 0..ROUNDS {
        in_trouble.store(has_trouble(), Ordering::Relaxed);
        thread::sleep(TROUBLE_TIME);
        in_trouble.store(false, Ordering::Relaxed);
        thread::sleep(CALM_TIME);
    }
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    fleet.end();

    let outcomes = lock(&outcomes);
    let runs = lock(&runs);
    let answered = |status: u16| outcomes.iter().filter(|it| it.status == status).count();
    let mut broken = 0;
    for (id, of) in runs.iter().filter(|it| it.1.len() > 1) {
        broken += 1;
        let status = outcomes.iter().find(|it| it.id == *id).map_or(0, |it| it.status);
        record.line(format!("BROKEN TWICE: {id} ran at {of:?}; its client got {status}"));
    }
    for it in outcomes.iter().filter(|it| matches!(it.status, 408 | 421 | 429 | 503)) {
        if let Some(of) = runs.get(&it.id) {
            broken += 1;
            record.line(format!(
                "BROKEN REFUSED: {} was answered {} and ran at {of:?}",
                it.id, it.status
            ));
        }
    }
    let summary = format!(
        "requests {}, 200: {}, 502: {}, 503: {}, 504: {}; second copies {}; breaks {broken}",
        outcomes.len(),
        answered(200),
        answered(502),
        answered(503),
        answered(504),
        extras.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if answered(200) < 500 {
        cannot_run("too few requests were served");
    }
    std::process::exit(i32::from(broken > 0));
}
