//! What cases 8 and 9 share: replicas that a request crashes, and the client that sends it again.

#![allow(dead_code)]

use crate::common2::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

pub const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a replica is down after a crash.
const DOWN: Duration = Duration::from_millis(3_000);
/// How often the request comes again.
const AGAIN: Duration = Duration::from_millis(5_000);
/// How long a replica works on a booking.
const WORK_TIME: Duration = Duration::from_millis(60);
/// The path of the request.
const PATH: &str = "/cufi501/x";

pub const PLAN: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"jepu9.example","path_prefix":"/cufi501/","type":"safe","timeout_ms":1500,"latency_target_ms":300,"priority":0,"service":"wuno96b","max_attempts":2},{"name":"r-2","host":"jepu9.example","path_prefix":"/puxa400/","type":"unsafe","timeout_ms":1500,"latency_target_ms":300,"priority":0,"service":"wuno96b","max_attempts":1}],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":48,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// When replicas have crashed.
pub type Crashes = Arc<Mutex<Vec<Instant>>>;

/// How a replica takes the request.
#[derive(Clone, Copy)]
pub enum Takes {
    /// It runs it.
    Well,
    /// It crashes this long after it began to run it, and is back some seconds later.
    Deadly(Duration),
}

/// Starts three replicas, as many as the service has in the small deployments, and lists them.
pub fn replicas(net: Net, takes: Takes, list: &List, record: &Record) -> Crashes {
    let crashes = Crashes::default();
    let mut entries = Vec::new();
    for host in 41..=43 {
        let id = format!("i-{host}");
        replica(net, host, id.clone(), takes, &crashes, record);
        let (service, address) = ("wuno96b".to_owned(), net.at(host, net.front));
        let zone = zones()[usize::from(host) % 3].clone();
        entries.push(Listed { id, service, address, zone, slots: 6, state: "ready" });
    }
    list.set(entries);
    crashes
}

fn replica(net: Net, host: u8, id: String, takes: Takes, crashes: &Crashes, record: &Record) {
    let (crashes, record) = (crashes.clone(), record.clone());
    thread::spawn(move || {
        loop {
            let (crash, crashed) = mpsc::channel::<()>();
            let crash = Mutex::new(crash);
            let (id, seen, lines) = (id.clone(), crashes.clone(), record.clone());
            let server = Server::start(net.at(host, net.front), move |request, stream| {
                let attempt = request.header("x-mothplank-attempt-id").unwrap_or("").to_owned();
                let expected = request.header("x-mothplank-expect-replica").unwrap_or(&id);
                let mut headers = vec![("X-Mothplank-Attempt-Id", attempt.clone())];
                if expected != id {
                    headers.push(("X-Mothplank-Not-Executed", "1".to_owned()));
                    return stream
                        .write_all(&answer("421 Misdirected Request", &headers, b""))
                        .is_ok();
                }
                if let (Takes::Deadly(time), PATH) = (takes, request.path()) {
                    seen.lock().unwrap().push(Instant::now());
                    lines.line(&format!("{id} begins to run {attempt}, and crashes"));
                    sleep(time);
                    let _ = crash.lock().unwrap().send(());
                    sleep(ms(500));
                    return false;
                }
                lines.line(&format!("{id} runs {attempt}"));
                sleep(WORK_TIME);
                headers.push(("X-Mothplank-Replica-Seal", seal(&id)));
                stream.write_all(&answer("200 OK", &headers, b"done")).is_ok()
            });
            let server = server.expect("a replica");
            let _ = crashed.recv();
            server.stop();
            sleep(DOWN);
        }
    });
}

/// Has the request come again and again for `time`; `turn` counts how often it came.
pub fn send_for(fronts: &[SocketAddr], time: Duration, turn: &mut usize, record: &Record) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        send_again(fronts, *turn, record);
        *turn += 1;
        sleep(AGAIN);
    }
}

/// Sends the request, as its client does: once more after a failure, to another machine.
fn send_again(fronts: &[SocketAddr], turn: usize, record: &Record) {
    for retry in 0..2 {
        let front = fronts[(turn + retry) % fronts.len()];
        let attempt = attempt_id();
        let headers = [
            ("Host", "jepu9.example".to_owned()),
            ("X-Mothplank-Attempt-Id", attempt.clone()),
            ("X-Mothplank-Deadline-Ms", "1500".to_owned()),
        ];
        record.line(&format!("the request is sent to {front} as {attempt}"));
        let got = call(front, "GET", PATH, &headers, &[], ms(1_500));
        let text =
            got.map_or_else(|e| e.to_string(), |it| format!("{} {}", it.status(), it.text()));
        record.line(&format!("{attempt}: {text}"));
        if !text.starts_with("502") && !text.starts_with("504") {
            return;
        }
    }
}

/// How the bookings of other clients ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bookings {
    pub made: u32,
    /// Answered 502 or 504, or not at all: they may have been made.
    pub lost: u32,
    pub refused: u32,
}

/// Clients that have nothing to do with the request: they send bookings to the same service.
pub struct Others {
    ended: Arc<AtomicBool>,
    counts: Arc<Mutex<Bookings>>,
    threads: Vec<JoinHandle<()>>,
}

impl Others {
    /// Starts four clients, which send some twenty bookings a second together.
    pub fn start(fronts: &[SocketAddr], record: &Record) -> Self {
        let (ended, counts) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Bookings>>::default());
        let client = |number: usize| {
            let (ended, counts) = (ended.clone(), counts.clone());
            let (fronts, record) = (fronts.to_vec(), record.clone());
            thread::spawn(move || {
                let mut turn = number;
                while !ended.load(Ordering::SeqCst) {
                    let attempt = attempt_id();
                    let headers = [
                        ("Host", "jepu9.example".to_owned()),
                        ("X-Mothplank-Attempt-Id", attempt.clone()),
                        ("X-Mothplank-Deadline-Ms", "1500".to_owned()),
                    ];
                    let front = fronts[turn % fronts.len()];
                    let got =
                        call(front, "POST", "/puxa400/y", &headers, attempt.as_bytes(), ms(1_500));
                    let status = got.map_or(0, |it| it.status());
                    let mut counts = counts.lock().unwrap();
                    match status {
                        200 => counts.made += 1,
                        503 => counts.refused += 1,
                        _ => {
                            counts.lost += 1;
                            record.line(&format!("booking {attempt} is lost: {status}"));
                        }
                    }
                    drop(counts);
                    turn += 1;
                    sleep(ms(140));
                }
            })
        };
        let threads = (0..4).map(client).collect();
        Self { ended, counts, threads }
    }

    pub fn counts(&self) -> Bookings {
        *self.counts.lock().unwrap()
    }

    /// Ends the clients; returns how the bookings ended.
    pub fn stop(mut self) -> Bookings {
        self.ended.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.counts()
    }
}
