//! An entry that has its session with a follower.

mod common;

use common::Cluster;
use common::entry::Entry;
use serde_json::{Value, json};
use types::{ClaimAnswer, CustomerName, Micros, Millis, Tokens, Version};
use wire::session::{ControlMessage, CustomerUse, EntryMessage, LoadReport, StageUse, UsageReport};
use wire::{Datagrams, Secret};

const VMS: [&str; 3] = ["c1", "c2", "c3"];
const ID: &str = "6f1c1f6e-6f0f-4a63-8a6b-0d9d3b8a0001";
const NEXT_ID: &str = "6f1c1f6e-6f0f-4a63-8a6b-0d9d3b8a0002";

fn customer() -> CustomerName {
    "yard".parse().expect("a name")
}

fn usage() -> UsageReport {
    let used = CustomerUse { customer: customer(), requests: 4, concurrency: 2, tokens: Tokens(9) };
    let stage = StageUse {
        customer: customer(),
        stage: "draft".parse().expect("a name"),
        pool: "engines".parse().expect("a name"),
        calls: 3,
        busy: Micros(2_000_000),
        tokens: Tokens(9),
        wasted: Micros(500_000),
    };
    UsageReport { period: Millis(1_000), customers: vec![used], stages: vec![stage] }
}

async fn usage_rows(cluster: &Cluster, at: usize) -> Value {
    cluster.call(at, "GET", "/v1/report?from=0", Value::Null).await.body["rows"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_shares_loads_and_use_pass_through_a_follower() {
    let mut cluster = Cluster::new(3, 0);
    cluster.init(&VMS).await;
    let leader = cluster.leader().await;
    let (follower, third) = ((leader + 1) % 3, (leader + 2) % 3);
    let answer = cluster.change(follower, ID, 0, "first").await;
    assert_eq!(answer.status, 200, "{}", answer.body);

    let mut entry = Entry::open(&cluster, follower, "e1", 11).await;
    assert_eq!(entry.claim("k1", 1).await, ClaimAnswer::Granted);
    // An entry that never requested a confirmation must be listed without an age. If "never" were
    // stored as the largest age, adding the time since the status arrived would overflow: the
    // member would stop responding to operators, or show an age close to zero.
    let is_listed = |it: &Value| it["entries"][0]["vm"] == "e1";
    let status = cluster.wait_for(third, "the entry", is_listed).await;
    assert_eq!(status["entries"][0]["age_ms"], Value::Null, "{status:#}");

    let confirm = EntryMessage::Confirm { ticket: 5, have: Version(1) };
    entry.sender.send(&confirm).await.expect("it is sent");
    entry.wait(|it| matches!(it, ControlMessage::Confirmed { ticket: 5, .. }).then_some(())).await;

    // The leader assigns the customer's whole limit to this entry, which is the only one.
    entry.sender.send(&EntryMessage::Usage(usage())).await.expect("it is sent");
    assert_eq!(entry.share(&customer()).await.concurrency, Some(3));

    // The leader's digest counts the calls that the entry reported by datagram.
    let secret = Secret::new(cluster.settings[0].secret.as_bytes()).expect("long enough");
    let own = "127.0.0.1:0".parse().expect("an address");
    let socket = Datagrams::bind(own, &secret).await.expect("it binds");
    let mut sequence = 0;
    loop {
        sequence += 1;
        let (vm, owner) = (entry.vm.clone(), entry.owner);
        let in_flight = vec![("engine-1".parse().expect("a name"), 3)];
        let report = LoadReport { vm, owner, sequence, in_flight, full: true };
        let to = cluster.settings[follower].members[follower].wire;
        socket.send(to, &report).await.expect("it is sent");
        let counted = |it| match it {
            ControlMessage::Digest(digest) => Some(digest.loads.iter().any(|it| it.in_flight == 3)),
            _ => None,
        };
        if entry.wait(counted).await {
            break;
        }
    }

    // Any member reports the usage that any other member received, with its cost, or without one until
    // it knows the service.
    while usage_rows(&cluster, third).await[0]["cost"].is_null() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let rows = json!([{
        "customer": "yard", "stage": "draft", "pool": "engines", "calls": 3,
        "busy_us": 2_000_000, "tokens": 9, "wasted_us": 500_000, "cost": 10.0,
    }]);
    assert_eq!(usage_rows(&cluster, third).await, rows);
    let status = cluster.status(third).await;
    assert_eq!(status["entries"][0]["version"], 1, "{status:#}");

    // The next version arrives as an edit of the previous one, and in full if the entry asks for
    // it.
    let answer = cluster.change(leader, NEXT_ID, 1, "second").await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let edited = |it| match it {
        ControlMessage::Edit { base, version, .. } => Some((base, version)),
        ControlMessage::Service { .. } => panic!("the whole document again"),
        _ => None,
    };
    assert_eq!(entry.wait(edited).await, (Version(1), Version(2)));
    entry.sender.send(&EntryMessage::NeedWhole).await.expect("it is sent");
    let whole = |it| match it {
        ControlMessage::Service { version, document } => Some((version, document)),
        _ => None,
    };
    let (version, text) = entry.wait(whole).await;
    assert_eq!(version, Version(2));
    assert!(text.base.contains("second"), "{}", text.base);

    // A drained member keeps the usage for its next start.
    drop(entry);
    cluster.drain(follower).await;
    cluster.start(follower).await;
    assert_eq!(usage_rows(&cluster, follower).await, rows);
}
