//! Held requests after all processes of a deployment were killed.

mod env;

use std::time::Duration;

use env::{Env, TIMEOUT, TextValidator, put};
use registry::quarantine::{Admission, EndSeen, Evidence, QuarantineView, RunSeen};
use registry::{Follower, Member, RequestDigest};
use tokio::runtime::{Builder, Runtime};
use tokio::task;
use tokio::time::{sleep, timeout};

/// The number of upstreams that the request ends, and the time between two of them.
const ENDS: u64 = 3;
const END_INTERVAL: Duration = Duration::from_millis(700);

/// How often the member starts.
const LIVES: usize = 3;

/// How long the log may take to store what was just decided.
const STORE_TIME: Duration = Duration::from_millis(500);

/// A member that can be killed with all its tasks.
struct Mortal {
    runtime: Runtime,
    member: Member<TextValidator>,
    /// Which of its lives this is: each has its own address, and a copy of the data folder.
    life: usize,
}

impl Mortal {
    async fn spawn(env: &Env, life: usize) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let member = task::block_in_place(|| runtime.block_on(env.member(life, life == 0)));
        Self { runtime, member, life }
    }

    /// Ends it as a kill does. Its thread still holds its data folder, which is not used any more.
    fn kill(self) {
        self.runtime.shutdown_background();
        drop(self.member);
    }

    /// Kills it, and starts it again with a copy of the data that it left.
    async fn restart(self, env: &Env) -> Self {
        let (before, life) = (self.life, self.life + 1);
        self.kill();
        std::fs::create_dir_all(env.data_dir(life)).expect("a folder");
        for file in std::fs::read_dir(env.data_dir(before)).expect("the data") {
            let file = file.expect("a file");
            let copy = env.data_dir(life).join(file.file_name());
            std::fs::copy(file.path(), copy).expect("a copy");
        }
        Self::spawn(env, life).await
    }

    fn follower(&self, env: &Env) -> Follower {
        env.follower_of(vec![env.addresses[self.life]])
    }
}

/// Reports that a request ended an upstream, as an entry does.
async fn report_end(follower: &Follower, digest: RequestDigest, number: u64) {
    let run = RunSeen { digest, age_ms: 50 };
    let upstream = format!("i-{number}");
    let seen = EndSeen { upstream, ago_ms: 20, runs: vec![run], clock: None, parts: Vec::new() };
    let at_ms = number * END_INTERVAL.as_millis() as u64;
    let evidence = Evidence::EndedWithParts(at_ms, seen, Vec::new());
    follower.evidence().send(evidence).await.expect("a follower");
}

fn is_held(view: &QuarantineView, digest: &RequestDigest) -> bool {
    matches!(view.admission(digest, std::time::Instant::now()), Admission::Held(_))
}

async fn wait_held(follower: &Follower, digest: &RequestDigest) -> bool {
    let mut known = follower.quarantine();
    let held = known.wait_for(|it| is_held(it, digest));
    timeout(TIMEOUT, held).await.is_ok_and(|it| it.is_ok())
}

async fn wait_upstreams(follower: &Follower) {
    let mut state = follower.state();
    let known = state.wait_for(|it| !it.upstreams.is_empty());
    assert!(timeout(TIMEOUT, known).await.is_ok_and(|it| it.is_ok()), "no upstreams");
}

/// Guards against a request that is tried anew, and ends upstreams until it is held again, because all
/// processes that knew of it were killed at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_held_outlasts_all_processes() {
    let env = Env::new(LIVES, 0);
    let (harmful, sound) = (RequestDigest::of(&[b"harmful"]), RequestDigest::of(&[b"sound"]));
    let member = Mortal::spawn(&env, 0).await;
    put(&[&member.member], "1 first").await;
    let follower = member.follower(&env);
    wait_upstreams(&follower).await;
    for number in 1..=ENDS {
        report_end(&follower, harmful, number).await;
        report_end(&follower, sound, number + ENDS).await;
        sleep(END_INTERVAL).await;
        follower.evidence().send(Evidence::Completed(sound)).await.expect("a follower");
    }
    assert!(wait_held(&follower, &harmful).await, "it was never held");
    sleep(STORE_TIME).await;
    drop(follower);
    let member = member.restart(&env).await;
    let follower = member.follower(&env);
    // An entry sends nothing before it knows upstreams.
    wait_upstreams(&follower).await;
    let known = follower.quarantine().borrow().clone();
    assert!(is_held(&known, &harmful), "it is sent again");
    assert_eq!(known.admission(&sound, std::time::Instant::now()), Admission::Allowed);

    // What is not held any more stays so, too.
    follower.evidence().send(Evidence::Completed(harmful)).await.expect("a follower");
    let mut quarantine = follower.quarantine();
    let released = quarantine.wait_for(|it| !is_held(it, &harmful));
    assert!(timeout(TIMEOUT, released).await.is_ok(), "it was not released");
    sleep(STORE_TIME).await;
    drop(follower);
    let member = member.restart(&env).await;
    let follower = member.follower(&env);
    wait_upstreams(&follower).await;
    assert!(!is_held(&follower.quarantine().borrow(), &harmful), "it is held again");
    member.kill();
}
