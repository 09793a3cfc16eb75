//! Plans on their way to an entry whose link is slow beside their size.

mod env;

use std::time::Duration;

use env::{Env, PATIENCE, put};
use registry::{Follower, Member, News};
use standins::proxy::{Config, Proxy};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use types::Version;

/// Links of an entry to members: as many as it follows at once, so that none goes past a proxy.
const LINKS: usize = 7;

/// How long a proxy holds back each chunk of 16 KiB: some 1.2 MB/s, as a link of 10 Mbit/s.
const CHUNK_DELAY: Duration = Duration::from_millis(13);

/// Routes of the plan.
const ROUTES: usize = 4_250;

/// The text of a plan: its version, then a line of some 190 bytes a route.
fn plan(version: u64, routes: usize, changed: usize) -> String {
    let route = |it: usize| {
        let service = if it == changed { version } else { 0 };
        format!("{{\"route\":{it},\"service\":{service},\"rest\":\"{:0>150}\"}}\n", it * it)
    };
    format!("{version} \n{}", (0..routes).map(route).collect::<String>())
}

/// Members, and slow links to them.
struct Scene {
    members: Vec<Member<env::TextCodec>>,
    links: Vec<Proxy>,
    env: Env,
}

/// An entry behind the links.
struct Entry {
    news: watch::Receiver<News>,
    _follower: Follower,
}

impl Entry {
    /// Waits until the entry has a plan with this version, or a newer one.
    async fn shown(&mut self, version: Version) {
        let known = self.news.wait_for(|it| it.plan.as_ref().is_some_and(|it| it.0 >= version));
        let known = timeout(PATIENCE, known).await;
        known.expect("the plan comes").expect("the entry runs");
    }
}

impl Scene {
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
        Entry { news: follower.news(), _follower: follower }
    }

    async fn put(&self, text: &str) -> Version {
        let all: Vec<_> = self.members.iter().collect();
        put(&all, text).await
    }

    /// Bytes that went over the entry's links.
    fn bytes(&self) -> u64 {
        self.links.iter().map(|it| it.counts().forwarded).sum()
    }
}

/// Routes that a confirmed plan had added were answered as unknown 2.9 s after its confirmation,
/// and for ten seconds the entries' links carried nothing but plans. An entry that had no text 250 ms
/// after it asked a member asked the next one as well, and a text of 820 kB takes 660 ms on a link of
/// 10 Mbit/s: of one version it was sent twelve copies in ten seconds, and a version that moved a
/// single route waited behind copies of the one before and came whole again. The log of one entry has
/// 14 lines `a plan arrived` of 822 kB for two versions, 12 of them with `known`.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_takes_a_slow_link_once_and_a_small_change_little_of_it() {
    let scene = Scene::open().await;
    let mut entry = scene.entry();
    let first = plan(1, ROUTES, 0);
    let version = scene.put(&first).await;
    entry.shown(version).await;
    for (number, changed) in [(2, 40), (3, 4_000), (4, 2_000)] {
        let version = scene.put(&plan(number, ROUTES, changed)).await;
        entry.shown(version).await;
    }
    let (bytes, text) = (scene.bytes(), first.len() as u64);
    assert!(bytes < 2 * text, "{bytes} bytes for a text of {text} and three small changes");
}

/// How many changes come, at least 5 ms apart. An entry behind a slow link takes some 200 ms for its
/// first plan.
const CHANGES: u64 = 200;

/// Symptom looked for: an entry that starts while operators send one change after the other answers
/// every request with 503 until they pause.
/// Sequence: by the time a text has arrived, each member holds a newer one.
/// Cause it would have: only a member that holds nothing newer vouches for the text.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_amid_changes_has_a_plan_before_they_end() {
    let scene = Scene::open().await;
    scene.put(&plan(1, ROUTES, 0)).await;
    let mut entry = scene.entry();
    let shown = entry.news.wait_for(|it| it.plan.is_some());
    let changes = async {
        for number in 2..=CHANGES {
            scene.put(&plan(number, ROUTES, number as usize)).await;
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        shown = shown => assert!(shown.is_ok()),
        () = changes => panic!("no plan is shown before the changes end"),
    }
}
