//! What a change of the leader costs an entry.

mod env;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use env::{Env, TIMEOUT, put};
use registry::{Health, ListSource, Listing, Member, RegistryState, Upstream};
use standins::proxy::{self, Config, Proxy};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use types::StepResult;

/// The number of upstreams.
const UPSTREAMS: usize = 3_000;

/// What a change of the leader may cost an entry while nothing else changes, in bytes.
const MAX_CHANGE_BYTES: u64 = 1_000;

/// What one changed upstream may cost besides: the digests of the buckets that the entry holds, of four
/// bytes each, and the elements of one.
const MAX_PATCH_BYTES: u64 = 4_000;

/// The rate of heartbeats and confirmations on all links, in bytes per second, at most.
const IDLE_BYTES_PER_SECOND: f64 = 300.0;

/// How long the links are watched after an entry has the new leader's list.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The list that all members read.
#[derive(Clone)]
struct SharedList(Arc<Mutex<Vec<Upstream>>>);

impl ListSource for SharedList {
    async fn read(&self) -> StepResult<Listing> {
        let upstreams = self.0.lock().expect("the list").clone();
        Ok(Listing { upstreams, ..Listing::default() })
    }
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        id: format!("i-{number:010x}"),
        service: format!("service-{}", number % 5),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_663)),
        domain: format!("domain-{}", number % 5),
        slots: 64,
        health: Health::Ready,
        version: "v1".into(),
    }
}

/// Returns the bytes that went over the links.
fn bytes(links: &[Proxy]) -> u64 {
    links.iter().map(|it| it.counts().forwarded).sum()
}

/// Ends the leadership of whichever member leads.
async fn change_leader(members: &[Member<env::TextValidator>]) {
    for member in members {
        member.resign().await;
    }
}

async fn wait_for(
    state: &mut watch::Receiver<RegistryState>,
    expected: &[Upstream],
    after: u64,
) -> u64 {
    let known = state.wait_for(|it| it.upstreams_stamp.term > after && *it.upstreams == expected);
    let known = timeout(TIMEOUT, known).await.expect("in time").expect("a follower");
    known.upstreams_stamp.term
}

/// Guards against a leader whose link is full for seconds after each election, because it sends its
/// whole list to all entries, which have it already from the leader before.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_the_leader_costs_an_entry_few_bytes() {
    let env = Env::new(3, 1);
    let mut list: Vec<Upstream> = (0..UPSTREAMS).map(upstream).collect();
    let source = SharedList(Arc::new(Mutex::new(list.clone())));
    let mut members = Vec::new();
    for number in 0..3 {
        members.push(env.member_with(number, true, source.clone()).await);
    }
    let mut links = Vec::new();
    for address in &env.addresses {
        links.push(proxy::spawn(Config::to(*address)).await.expect("a proxy"));
    }
    put(&members.iter().collect::<Vec<_>>(), "1 first").await;
    let follower = env.follower_of(links.iter().map(Proxy::address).collect());
    let mut state = follower.state();
    let mut term = wait_for(&mut state, &list, 0).await;
    for changed in [false, true] {
        sleep(SETTLE_TIME).await;
        let (before, start) = (bytes(&links), Instant::now());
        if changed {
            list[7].slots += 1;
            source.0.lock().expect("the list").clone_from(&list);
        }
        change_leader(&members).await;
        term = wait_for(&mut state, &list, term).await;
        sleep(SETTLE_TIME).await;
        let idle = (IDLE_BYTES_PER_SECOND * start.elapsed().as_secs_f64()) as u64;
        let sent = bytes(&links) - before;
        let allowed = MAX_CHANGE_BYTES + if changed { MAX_PATCH_BYTES } else { 0 } + idle;
        assert!(sent <= allowed, "{sent} bytes of {allowed}, changed: {changed}");
    }
}
