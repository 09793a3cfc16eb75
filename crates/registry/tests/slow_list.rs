//! A large list that changes while an entry's link is busy.

mod env;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use env::{Env, TIMEOUT, put};
use registry::{Health, ListSource, Listing, Upstream};
use standins::proxy::{self, Config};
use tokio::time::{sleep, timeout};
use types::StepResult;

/// The number of upstreams.
const UPSTREAMS: usize = 10_000;

/// The size of an upstream in a message, in bytes, at least.
const UPSTREAM_BYTES: u64 = 40;

/// The delay that the link adds to each chunk of 16 KiB: some 1.2 MB/s, like a link of 10 Mbit/s.
const CHUNK_DELAY: Duration = Duration::from_millis(13);

/// How often the list changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// The number of changes.
const CHANGES: usize = 40;

/// A list that a test changes.
#[derive(Clone)]
struct ChangingList(Arc<Mutex<Vec<Upstream>>>);

impl ListSource for ChangingList {
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
    }
}

/// Guards against entries whose links are full of whole lists, so that a new plan is not in force in
/// time: an entry that gets one list too late for the next difference is sent the whole next list,
/// which takes longer than the time until the one after it.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_on_a_busy_link_is_sent_differences() {
    let env = Env::new(1, 0);
    let source = ChangingList(Arc::new(Mutex::new((0..UPSTREAMS).map(upstream).collect())));
    let member = env.member_with(0, true, source.clone()).await;
    put(&[&member], "1 first").await;
    let link = proxy::spawn(Config::to(env.addresses[0])).await.expect("a proxy");
    link.delay(CHUNK_DELAY);
    let follower = env.follower_of(vec![link.address()]);
    let mut state = follower.state();
    let listed = state.wait_for(|it| it.upstreams.len() == UPSTREAMS);
    assert!(timeout(TIMEOUT, listed).await.is_ok_and(|it| it.is_ok()), "no list");
    let before = link.counts().forwarded;
    // Something else takes all of the link for a while, as a large plan does.
    link.delay(Duration::from_secs(1));
    for change in 0..CHANGES {
        if change == CHANGES / 4 {
            link.delay(CHUNK_DELAY);
        }
        source.0.lock().expect("the list")[change * 200].slots += 1;
        sleep(CHANGE_INTERVAL).await;
    }
    let newest = source.0.lock().expect("the list").clone();
    let listed = state.wait_for(|it| *it.upstreams == newest);
    assert!(timeout(TIMEOUT, listed).await.is_ok_and(|it| it.is_ok()), "no newest list");
    let (sent, list) = (link.counts().forwarded - before, UPSTREAM_BYTES * UPSTREAMS as u64);
    assert!(sent < list / 4, "{sent} bytes for {CHANGES} changes of a list of {list} bytes");
}
