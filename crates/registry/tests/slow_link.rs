//! The transfer of large plans to an entry on a slow link.

mod env;

use std::time::Duration;

use env::{Env, TIMEOUT, put};
use registry::{Follower, Member, RegistryState};
use standins::proxy::{Config, Proxy};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use types::Version;

/// The number of proxied links from an entry to members: as many as it connects to at once, so that
/// every connection goes through a proxy.
const LINKS: usize = 7;

/// The delay that a proxy adds to each chunk of 16 KiB: some 1.2 MB/s, like a link of 10 Mbit/s.
const CHUNK_DELAY: Duration = Duration::from_millis(13);

/// The number of routes in the plan.
const ROUTES: usize = 4_250;

/// Returns the text of a plan: its version, then a line of some 190 bytes per route.
fn plan(version: u64, routes: usize, changed: usize) -> String {
    let route = |it: usize| {
        let service = if it == changed { version } else { 0 };
        format!("{{\"route\":{it},\"service\":{service},\"rest\":\"{:0>150}\"}}\n", it * it)
    };
    format!("{version} \n{}", (0..routes).map(route).collect::<String>())
}

/// Members, and slow links to them.
struct Cluster {
    members: Vec<Member<env::TextValidator>>,
    links: Vec<Proxy>,
    env: Env,
}

/// An entry that reaches the members through the links.
struct Entry {
    state: watch::Receiver<RegistryState>,
    _follower: Follower,
}

impl Entry {
    /// Waits until the entry has a plan with this version, or a newer one.
    async fn shown(&mut self, version: Version) {
        let known = self.state.wait_for(|it| it.plan.as_ref().is_some_and(|it| it.0 >= version));
        let known = timeout(TIMEOUT, known).await;
        known.expect("the plan comes").expect("the entry runs");
    }
}

impl Cluster {
    async fn open() -> Self {
        let env = Env::new(3, 1);
        let mut members = Vec::new();
        for number in 0..3 {
            members.push(env.member(number, true).await);
        }
        let mut links = Vec::new();
        for number in 0..LINKS {
            let config = Config::to(env.addresses[number % env.addresses.len()]);
            let link = standins::proxy::spawn(config).await.expect("a proxy");
            link.delay(CHUNK_DELAY);
            links.push(link);
        }
        Self { members, links, env }
    }

    fn entry(&self) -> Entry {
        let follower = self.env.follower_of(self.links.iter().map(Proxy::address).collect());
        Entry { state: follower.state(), _follower: follower }
    }

    async fn put(&self, text: &str) -> Version {
        let all: Vec<_> = self.members.iter().collect();
        put(&all, text).await
    }

    /// Returns the number of bytes that went over the entry's links.
    fn bytes(&self) -> u64 {
        self.links.iter().map(|it| it.counts().forwarded).sum()
    }
}

/// Guards against links that are saturated with copies of the same plan. When an entry requested a whole
/// plan from the next member after 250 ms, a text of 820 kB, which takes 660 ms on a link of 10 Mbit/s,
/// was sent twelve times in ten seconds. A change of a single route was sent as a whole plan again and
/// waited behind those copies, so routes of a confirmed plan were unknown 2.9 s after its confirmation.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_crosses_a_slow_link_once_and_a_small_change_takes_few_bytes() {
    let cluster = Cluster::open().await;
    let mut entry = cluster.entry();
    let first = plan(1, ROUTES, 0);
    let version = cluster.put(&first).await;
    entry.shown(version).await;
    for (number, changed) in [(2, 40), (3, 4_000), (4, 2_000)] {
        let version = cluster.put(&plan(number, ROUTES, changed)).await;
        entry.shown(version).await;
    }
    let (bytes, text) = (cluster.bytes(), first.len() as u64);
    assert!(bytes < 2 * text, "{bytes} bytes for a text of {text} and three small changes");
}

/// The number of changes, at least 5 ms apart. An entry on a slow link takes some 200 ms to get its first
/// plan.
const CHANGES: u64 = 200;

/// Guards against an entry that starts during a series of changes and answers every request with 503
/// until they pause. When a text has arrived, each member already holds a newer one, so the entry must
/// accept a text that is older than the newest.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_during_changes_has_a_plan_before_they_end() {
    let cluster = Cluster::open().await;
    cluster.put(&plan(1, ROUTES, 0)).await;
    let mut entry = cluster.entry();
    let shown = entry.state.wait_for(|it| it.plan.is_some());
    let changes = async {
        for number in 2..=CHANGES {
            cluster.put(&plan(number, ROUTES, number as usize)).await;
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        shown = shown => assert!(shown.is_ok()),
        () = changes => panic!("no plan is shown before the changes end"),
    }
}

/// The delay of each chunk on a link that is full of other data.
const FULL_LINK_DELAY: Duration = Duration::from_millis(150);

/// Guards against an entry that never has a member again: on a full link the handshake takes longer than
/// the time after which the entry gave up and began again.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_on_a_full_link_connects_to_a_member() {
    let cluster = Cluster::open().await;
    let version = cluster.put(&plan(1, 10, 0)).await;
    cluster.links.iter().for_each(|it| it.delay(FULL_LINK_DELAY));
    let mut entry = cluster.entry();
    entry.shown(version).await;
}
