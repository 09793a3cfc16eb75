//! The memory of a member that sends a large list to many entries at once.

mod env;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use env::{Env, TIMEOUT, put};
use registry::message::ToEntry;
use registry::{Health, ListSource, Listing, Upstream};
use standins::proxy::{self, Config, Cut, Direction, Scope};
use tokio::time::{Instant, sleep, timeout};
use types::StepResult;

/// The number of entries.
const ENTRIES: usize = 300;

/// The number of upstreams.
const UPSTREAMS: usize = 5_000;

/// The size of an upstream in a message, in bytes, at least.
const UPSTREAM_BYTES: u64 = 40;

/// How long the list may be on its way; entries that read nothing are given up after two seconds.
const SENDING_TIME: Duration = Duration::from_millis(1_900);

/// A list that is empty until it is filled.
struct LateList {
    filled: Arc<AtomicBool>,
}

impl ListSource for LateList {
    async fn read(&self) -> StepResult<Listing> {
        let count = if self.filled.load(Ordering::Relaxed) { UPSTREAMS } else { 0 };
        let upstream = |number: usize| Upstream {
            id: format!("i-{number:010x}"),
            service: format!("service-{}", number % 5),
            address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_663)),
            domain: format!("domain-{}", number % 5),
            slots: 64,
            health: Health::Ready,
            version: "v1".into(),
        };
        Ok(Listing { upstreams: (0..count).map(upstream).collect(), ..Listing::default() })
    }
}

/// Returns a field of this process's status, in bytes.
fn memory(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|it| it.starts_with(field)).expect("the field");
    let kilobytes = line.split_whitespace().nth(1).expect("a value");
    kilobytes.parse::<u64>().expect("a number") << 10
}

/// Guards against a member that is killed for its memory when the leader changes: it holds a copy of the
/// whole list for each entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_is_not_copied_for_each_entry() {
    let env = Env::new(1, 0);
    let filled = Arc::new(AtomicBool::new(false));
    let member = env.member_with(0, true, LateList { filled: Arc::clone(&filled) }).await;
    put(&[&member], "1 first").await;
    let link = proxy::spawn(Config::to(env.addresses[0])).await.expect("a proxy");
    let mut entries = Vec::new();
    for _ in 0..ENTRIES {
        let (sender, mut receiver) = env.connect(link.address()).await;
        // An entry that has the first list is sent the difference from it, without an exchange.
        loop {
            let message = timeout(TIMEOUT, receiver.recv()).await.expect("the empty list comes");
            if let Ok(Some(ToEntry::Upstreams(_) | ToEntry::UpstreamsChanged(_))) = message {
                break;
            }
        }
        entries.push((sender, receiver));
    }
    // What the member sends from now on reaches no entry, whose memory would count here too.
    link.cut(Cut { way: Direction::Down, scope: Scope::Open });
    sleep(Duration::from_millis(100)).await;
    let (before, start) = (memory("VmRSS:"), Instant::now());
    filled.store(true, Ordering::Relaxed);
    let list = UPSTREAM_BYTES * UPSTREAMS as u64;
    let all = list * ENTRIES as u64;
    let (mut most, mut sent) = (before, 0);
    while start.elapsed() < SENDING_TIME && sent < all {
        sleep(Duration::from_millis(10)).await;
        most = most.max(memory("VmRSS:"));
        sent = link.counts().swallowed;
    }
    assert!(sent > all / 2, "only {sent} bytes of the lists were sent");
    let grown = most - before;
    assert!(grown < all / 4, "{grown} bytes more for {ENTRIES} entries and a list of {list} bytes");
}
