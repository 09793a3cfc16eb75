//! Measures commits with real disk syncs, with all members in one process on loopback. The first
//! argument is a folder in which the data folders are created, the second is the number of members.
//!
//! Prints the latency of sequential changes, the rate of claims for several numbers of concurrent
//! claims, and the time from the end of a leader to the next accepted change.

#[path = "../tests/common/mod.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::Cluster;
use tokio::sync::Semaphore;
use types::{ClaimKey, ClaimRequest, ClaimTicket, Incarnation, Version, VmName};
use wire::session::{ControlMessage, EntryMessage};
use wire::{Hello, Kind, Secret};

/// The number of sequential changes.
const CHANGES: u64 = 300;

/// How long claims are sent at each concurrency.
const CLAIM_DURATION: Duration = Duration::from_secs(4);

/// How long the idle members are measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// The clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The number of leaders that are stopped.
const TRIALS: usize = 30;

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().expect("name a folder on a disk");
    let members: usize =
        arguments.next().and_then(|it| it.parse().ok()).expect("name the number of members");
    let mut cluster = Cluster::new_in(&folder, members);
    cluster.log_size(8 << 20);
    let names: Vec<String> = (1..=members).map(|it| format!("c{it}")).collect();
    let voters: Vec<&str> = names.iter().map(String::as_str).collect();
    cluster.init(&voters).await;
    println(&idle_usage(members).await);
    println(&format!("{members} members, {}", commit_latency(&cluster).await));
    for concurrency in [1, 8, 64, 256] {
        println(&claim_rate(&cluster, concurrency).await);
    }
    println(&failover(&mut cluster, &voters).await);
}

#[allow(clippy::print_stdout)] // A measurement's output.
fn println(line: &str) {
    println!("{line}");
}

fn id(number: u64) -> String {
    format!("6f1c1f6e-6f0f-4a63-8a6b-{number:012x}")
}

fn percentiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    let (p50, p95, p99) = (at(0.5), at(0.95), at(0.99));
    let max = at(1.0);
    format!("p50 {p50:.1} ms, p95 {p95:.1} ms, p99 {p99:.1} ms, longest {max:.1} ms")
}

/// Measures the processor time and memory of idle members.
async fn idle_usage(members: usize) -> String {
    let start = processor_ticks();
    tokio::time::sleep(IDLE_DURATION).await;
    let ticks = processor_ticks() - start;
    let share =
        ticks as f64 / TICKS_PER_SECOND / IDLE_DURATION.as_secs_f64() * 100.0 / members as f64;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let memory = status.lines().find(|it| it.starts_with("VmRSS")).unwrap_or_default().to_owned();
    format!("at rest: {share:.2}% of a core a member; all members together {memory}")
}

fn processor_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    // The user and system times are the fields 14 and 15; two fields come before the last bracket.
    fields.skip(11).take(2).filter_map(|it| it.parse::<u64>().ok()).sum()
}

async fn commit_latency(cluster: &Cluster) -> String {
    let leader = cluster.leader().await;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let start = Instant::now();
        let answer = cluster.change(leader, &id(number + 1), number, "measured").await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        times.push(start.elapsed());
    }
    format!("{CHANGES} changes one at a time over HTTP: {}", percentiles(times))
}

async fn claim_rate(cluster: &Cluster, concurrency: usize) -> String {
    let leader = cluster.leader().await;
    let vm: VmName = "e1".parse().expect("a name");
    let owner = Incarnation(7);
    let me = Hello { kind: Kind::Entry, vm: vm.clone(), node: owner.0 };
    let secret = Secret::new(cluster.settings[0].secret.as_bytes()).expect("long enough");
    let address = cluster.settings[0].members[leader].wire;
    let connection = wire::connect(address, &secret, me, Kind::Member).await.expect("it connects");
    let (sender, mut receiver) = connection.split::<EntryMessage, ControlMessage>();
    let site = "north".parse().expect("a name");
    let follow = EntryMessage::Follow { vm: vm.clone(), site, owner, have: Version(0) };
    sender.send(&follow).await.expect("it is sent");

    let permits = Arc::new(Semaphore::new(concurrency));
    let granted = Arc::new(AtomicU64::new(0));
    let (taken, answered) = (Arc::clone(&permits), Arc::clone(&granted));
    let responses = tokio::spawn(async move {
        while let Ok(Some(message)) = receiver.recv().await {
            match message {
                ControlMessage::Claim { .. } => {
                    answered.fetch_add(1, Ordering::Relaxed);
                    taken.add_permits(1);
                }
                ControlMessage::Rejected { reason, .. }
                | ControlMessage::Uncertain { reason, .. } => panic!("{reason}"),
                _ => {}
            }
        }
    });
    let start = Instant::now();
    let mut ticket = 0;
    while start.elapsed() < CLAIM_DURATION {
        permits.acquire().await.expect("it is open").forget();
        ticket += 1;
        let customer = "yard".parse().expect("a name");
        let key = format!("{concurrency}-{ticket}").parse().expect("a key");
        let key = ClaimKey { customer, key };
        let claim_ticket = ClaimTicket { vm: vm.clone(), owner, attempt: ticket };
        let request = ClaimRequest { key, fingerprint: [7; 32], ticket: claim_ticket };
        sender.send(&EntryMessage::Claim { ticket, request }).await.expect("it is sent");
    }
    let rate = granted.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
    responses.abort();
    format!("claims, {concurrency} under way at once: {rate:.0}/s")
}

async fn failover(cluster: &mut Cluster, voters: &[&str]) -> String {
    let mut times = Vec::new();
    for version in (CHANGES..).take(TRIALS) {
        let leader = cluster.leader().await;
        let other = (leader + 1) % voters.len();
        cluster.abort(leader).await;
        let start = Instant::now();
        let answer = cluster.change(other, &id(version + 1), version, "measured").await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        times.push(start.elapsed());
        cluster.start(leader).await;
        cluster.wait_for_voters(voters).await;
    }
    format!("{TRIALS} leaders ended, until the next accepted change: {}", percentiles(times))
}
