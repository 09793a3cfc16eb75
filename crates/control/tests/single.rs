//! A cluster of one member: the operators' API and an entry's session.

mod common;

use common::entry::Entry;
use common::{Cluster, TIMEOUT, TOKEN, call, document};
use serde_json::{Value, json};
use types::{ClaimAnswer, ClaimRequest, Outcome, StoredAnswer, Version};
use wire::session::{ControlMessage, EntryMessage};

const ID: &str = "6f1c1f6e-6f0f-4a63-8a6b-0d9d3b8a0001";

#[tokio::test(flavor = "multi_thread")]
async fn answers_operators() {
    let mut cluster = Cluster::new(1, 0);
    cluster.start(0).await;
    let http = cluster.running[0].as_ref().expect("it runs").http_address();

    struct Case {
        name: &'static str,
        method: &'static str,
        path: &'static str,
        body: Value,
        token: Option<&'static str>,
        status: u16,
        outcome: Value,
    }
    let change = |id: &str, base: u64, mark: &str| {
        json!({
            "id": id, "base": base, "document": document(mark)
        })
    };
    let other = "6f1c1f6e-6f0f-4a63-8a6b-0d9d3b8a0002";
    let faulty =
        json!({"id": ID, "base": 0, "document": {"base": "{", "overlays": {"north": "{}"}}});
    let unknown = json!({"id": "6f1c1f6e-6f0f-4a63-8a6b-0d9d3b8a0004", "upstream": "engine-9",
        "leaving": true});
    let mark = json!({"id": "6f1c1f6e-6f0f-4a63-8a6b-0d9d3b8a0003", "upstream": "engine-1",
        "leaving": true});
    let case = |name, method, path, body, status, outcome| Case {
        name,
        method,
        path,
        body,
        token: Some(TOKEN),
        status,
        outcome,
    };
    let cases = [
        Case {
            token: None,
            ..case("no token", "POST", "/v1/init", json!({}), 401, json!("refused"))
        },
        Case {
            token: Some("wrong"),
            ..case("wrong token", "POST", "/v1/init", json!({}), 401, json!("refused"))
        },
        Case { token: None, ..case("alive", "GET", "/livez", Value::Null, 200, Value::Null) },
        case("not ready", "GET", "/readyz", Value::Null, 503, json!("not-run")),
        case("before init", "POST", "/v1/changes", change(ID, 0, "a"), 503, json!("not-run")),
        case("init", "POST", "/v1/init", json!({}), 200, json!("started")),
        case("init again", "POST", "/v1/init", json!({}), 409, json!("refused")),
        case("first change", "POST", "/v1/changes", change(ID, 0, "a"), 200, json!("accepted")),
        case("sent again", "POST", "/v1/changes", change(ID, 0, "a"), 200, json!("accepted")),
        case("id reused", "POST", "/v1/changes", change(ID, 0, "b"), 409, json!("reused")),
        case("old base", "POST", "/v1/changes", change(other, 0, "b"), 409, json!("conflict")),
        case("faults", "POST", "/v1/changes", faulty, 422, json!("refused")),
        case("no JSON", "POST", "/v1/changes", json!("text"), 400, json!("refused")),
        case("mark", "POST", "/v1/marks", mark, 200, json!("accepted")),
        case("unknown upstream", "POST", "/v1/marks", unknown, 422, json!("refused")),
        case("ready", "GET", "/readyz", Value::Null, 200, Value::Null),
        case("nobody to hand over to", "POST", "/v1/transfer", json!({}), 409, json!("refused")),
        case("unknown call", "GET", "/v1/else", Value::Null, 404, json!("refused")),
        case(
            "last voter",
            "POST",
            "/v1/members",
            json!({"action": "remove", "vm": "c1"}),
            409,
            json!("refused"),
        ),
    ];
    for it in cases {
        let answer = call(http, it.method, it.path, &it.body, it.token).await;
        assert_eq!(answer.status, it.status, "{}: {}", it.name, answer.body);
        assert_eq!(answer.body["outcome"], it.outcome, "{}", it.name);
    }

    let service = cluster.call(0, "GET", "/v1/service", Value::Null).await;
    assert_eq!(service.body["version"], 1);
    assert_eq!(service.body["document"], document("a"));
    let audit = cluster.call(0, "GET", "/v1/audit?after=0", Value::Null).await;
    let kinds: Vec<&Value> =
        audit.body["records"].as_array().expect("records").iter().map(|it| &it["kind"]).collect();
    assert_eq!(kinds, ["change", "change", "change", "mark"]);
    let huge = json!({"text": "x".repeat(9 << 20)});
    let answer = cluster.call(0, "POST", "/v1/changes", huge).await;
    assert!(matches!(answer.status, 413 | 503), "{answer:?}");
    cluster.drain(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_an_entry() {
    let mut cluster = Cluster::new(1, 0);
    cluster.init(&["c1"]).await;
    let mut entry = Entry::open(&cluster, 0, "e1", 11).await;

    // A version is pushed as soon as it is in force, and confirmed only afterwards.
    let answer = cluster.change(0, ID, 0, "a").await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let confirm = EntryMessage::Confirm { ticket: 5, have: Version(0) };
    entry.sender.send(&confirm).await.expect("it is sent");
    let pushed = entry
        .wait(|it| match it {
            ControlMessage::Service { version, .. } => Some(version),
            ControlMessage::Confirmed { .. } => panic!("confirmed before it was pushed"),
            _ => None,
        })
        .await;
    assert_eq!(pushed, Version(1));
    let confirmed = entry
        .wait(|it| match it {
            ControlMessage::Confirmed { ticket, version } => Some((ticket, version)),
            _ => None,
        })
        .await;
    assert_eq!(confirmed, (5, Version(1)));

    assert_eq!(entry.claim("k1", 1).await, ClaimAnswer::Granted);
    assert_eq!(entry.claim("k1", 1).await, ClaimAnswer::Granted, "the same attempt, sent again");
    assert_eq!(entry.claim("k1", 2).await, ClaimAnswer::Running);
    let stored = StoredAnswer {
        outcome: Outcome::Complete,
        status: 200,
        body: Some(b"{}".to_vec()),
        digest: [1; 32],
    };
    let ClaimRequest { key, ticket: claim_ticket, .. } = entry.request("k1", 1);
    let finish =
        EntryMessage::Finish { ticket: 9, key, proof: claim_ticket, answer: stored.clone() };
    entry.sender.send(&finish).await.expect("it is sent");
    let committed = |it| matches!(it, ControlMessage::Committed { ticket: 9 }).then_some(());
    entry.wait(committed).await;
    assert_eq!(entry.claim("k1", 3).await, ClaimAnswer::Done(stored.clone()));

    // If an entry claims a key, dies and restarts as a new incarnation, a resend of the claim must
    // not wait for the dead incarnation. The claim of an incarnation that the state does not know
    // to be over would count as running for ever.
    assert_eq!(entry.claim("k2", 4).await, ClaimAnswer::Granted);
    drop(entry);
    let mut entry = Entry::open(&cluster, 0, "e1", 12).await;
    assert_eq!(entry.claim("k2", 5).await, ClaimAnswer::OwnerLost);
    assert_eq!(entry.claim("k1", 6).await, ClaimAnswer::Done(stored));

    // If an entry claims a key and dies, and its VM does not come back, callers that resend through
    // another entry must not wait for ever. No new incarnation registers, so the control members
    // must declare the old one lost.
    assert_eq!(entry.claim("k3", 7).await, ClaimAnswer::Granted);
    let mut other = Entry::open(&cluster, 0, "e2", 13).await;
    assert_eq!(other.claim("k3", 1).await, ClaimAnswer::Running);
    drop(entry);
    let end = std::time::Instant::now() + TIMEOUT;
    while other.claim("k3", 1).await != ClaimAnswer::OwnerLost {
        assert!(std::time::Instant::now() < end, "the claim still runs");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    let status = cluster.status(0).await;
    let entries = status["entries"].as_array().expect("entries");
    let why =
        |vm: &str| entries.iter().find(|it| it["vm"] == vm).expect("it is listed")["why"].clone();
    assert!(why("e1").as_str().is_some_and(|it| it.contains("no session")), "{status:#}");
    assert!(why("e2").as_str().is_some_and(|it| it.contains("version 1")), "{status:#}");
    let mut entry = other;

    let leave = |it| matches!(it, ControlMessage::Leave).then_some(());
    let draining = cluster.running[0].take().expect("it runs");
    let left = async { tokio::join!(draining.drain(), entry.wait(leave)) };
    tokio::time::timeout(TIMEOUT, left).await.expect("the member drains");
}
