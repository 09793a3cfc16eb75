//! Measures the cost of leading a fleet of the planned size on loopback: the processor time of its
//! one thread, and the bytes of its digests.
//!
//! `cargo run --release -p mothplank-fleet --example polls`
#![allow(clippy::print_stdout, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{Authority, Fleet, FleetConfig, Target};
use http::Response;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::interval;
use types::{
    Fence, Fencing, Incarnation, Pool, Service, StepResult, Upstream, UpstreamName, VmName,
};
use wire::session::LoadReport;

const UPSTREAMS: usize = 600;

const ENTRIES: usize = 380;

/// The number of upstreams that have calls of one entry.
const BUSY_UPSTREAMS: usize = 20;

/// How often an entry reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of bursts in which the reports of one interval arrive. If they arrived one by one,
/// they would wake the thread hundreds of times per second, which is the cost of the socket they
/// come from, not of the fleet.
const BURSTS_PER_INTERVAL: usize = 10;

const WARM_UP: Duration = Duration::from_secs(10);

const MEASUREMENT: Duration = Duration::from_secs(20);

struct LocalAuthority;

impl Authority for LocalAuthority {
    async fn fence(&self, _: &UpstreamName, _: &Target) -> StepResult<Fence> {
        Ok(Fence(1))
    }

    async fn confirm(&self) -> StepResult<()> {
        Ok(())
    }
}

fn main() {
    let (sender, addresses) = std::sync::mpsc::channel();
    std::thread::spawn(move || upstreams(&sender));
    let addresses: Vec<SocketAddr> = addresses.recv().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(lead(&addresses));
}

/// Serves the upstreams on their own thread.
fn upstreams(sender: &std::sync::mpsc::Sender<Vec<SocketAddr>>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..UPSTREAMS {
            let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(socket.local_addr().unwrap());
            tokio::spawn(serve(socket));
        }
        sender.send(addresses).unwrap();
        std::future::pending::<()>().await;
    });
}

async fn serve(socket: TcpListener) {
    while let Ok((stream, _)) = socket.accept().await {
        let service = service_fn(|_| async {
            let running = rand::random::<u8>() % 16;
            let body = format!(r#"{{"running": {running}, "waiting": 0, "draining": false}}"#);
            Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from(body))))
        });
        let connection = hyper::server::conn::http1::Builder::new();
        tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
    }
}

async fn lead(addresses: &[SocketAddr]) {
    let (fleet, mut digests) = Fleet::spawn(FleetConfig::default(), LocalAuthority);
    fleet.lead(Arc::new(service(addresses)));
    let names: Vec<UpstreamName> = (0..UPSTREAMS).map(name).collect();
    let entries: Vec<VmName> = (0..ENTRIES).map(|it| format!("vm-{it}").parse().unwrap()).collect();
    let mut reports = interval(REPORT_INTERVAL / BURSTS_PER_INTERVAL as u32);
    let (mut sequence, mut bytes, mut loads) = (0, 0, 0);
    let (mut started, mut spent) = (None, Duration::ZERO);
    let start = Instant::now();
    while start.elapsed() < WARM_UP + MEASUREMENT {
        if started.is_none() && start.elapsed() >= WARM_UP {
            started = Some(Instant::now());
            (spent, bytes, loads) = (thread_time(), 0, 0);
        }
        tokio::select! {
            _ = reports.tick() => {
                for _ in 0..ENTRIES / BURSTS_PER_INTERVAL {
                    fleet.take_report(report(sequence, &entries, &names));
                    sequence += 1;
                }
            }
            Some(digest) = digests.recv() => {
                loads += digest.loads.len();
                bytes += wire::encode(&digest).unwrap().len();
            }
        }
    }
    let seconds = started.unwrap().elapsed().as_secs_f64();
    let share = (thread_time() - spent).as_secs_f64() / seconds * 100.0;
    let (bytes, loads) = (bytes as f64 / seconds, loads as f64 / seconds);
    println!("{UPSTREAMS} upstreams, {ENTRIES} entries: {share:.2}% of a core,");
    println!("digests: {bytes:.0} B/s to each receiver, {loads:.0} loads a second");
}

fn report(sequence: u64, entries: &[VmName], names: &[UpstreamName]) -> LoadReport {
    let entry = sequence as usize % entries.len();
    let upstream =
        |it: usize| (names[(entry * 7 + it * 31) % names.len()].clone(), rand::random::<u32>() % 5);
    LoadReport {
        vm: entries[entry].clone(),
        owner: Incarnation(1),
        sequence: 1 + sequence / entries.len() as u64,
        in_flight: (0..BUSY_UPSTREAMS).map(upstream).collect(),
        full: true,
    }
}

fn service(addresses: &[SocketAddr]) -> Service {
    let upstream = |(index, address): (usize, &SocketAddr)| {
        let spec = Upstream {
            address: *address,
            site: "north".parse().unwrap(),
            vm: format!("upstream-vm-{index}").parse().unwrap(),
            capacity: 8,
            model: None,
            role: None,
            fencing: Fencing::Checks,
            reports: true,
            leaving: false,
        };
        (name(index), spec)
    };
    let upstreams = addresses.iter().enumerate().map(upstream).collect();
    let mut service = Service::default();
    service.pools.insert("pool".parse().unwrap(), Pool { upstreams, ..Pool::default() });
    service
}

fn name(index: usize) -> UpstreamName {
    format!("engine-{index}").parse().unwrap()
}

/// Returns the user and system time of this thread from its `stat` file: the 14th and 15th fields,
/// in hundredths of a second.
fn thread_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/stat").unwrap();
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).map(|it| it.parse::<u64>().unwrap()).sum();
    Duration::from_millis(ticks * 10)
}
