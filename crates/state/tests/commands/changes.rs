//! Tests of changes, marks, fencing numbers and the audit trail.

use state::{AuditRecord, ChangeReply, Command, Reply, State, verify};
use types::{ChangeId, Fence, LogIndex, UnixMillis, Version};

use crate::support::{change, expire};

fn id(number: u128) -> ChangeId {
    ChangeId(uuid::Uuid::from_u128(number))
}

fn apply(state: &mut State, command: Command) -> ChangeReply {
    match state.apply(LogIndex(1), command) {
        Reply::Change(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn mark(number: u128, leaving: bool) -> Command {
    let (upstream, operator) = ("engine-1".parse().unwrap(), "ana".parse().unwrap());
    Command::Mark { id: id(number), upstream, leaving, operator, at: UnixMillis(5) }
}

fn order(target: &str) -> Command {
    let upstream = "engine-1".parse().unwrap();
    Command::Order { upstream, target: target.to_owned(), at: UnixMillis(6) }
}

// Guards against a resent change that is applied twice or gets another reply than at first. Two
// operators race on one base; hundreds of changes and a restart follow; both resend. Ids must
// outlast the log, and a resend must not be judged by its base alone.
#[test]
fn a_resent_change_gets_its_first_answer() {
    let mut state = State::new();
    let won = ChangeReply::Accepted(Version(1));
    let (version, winner, operator) = (Version(1), Some(id(1)), Some("ana".parse().unwrap()));
    let conflict = ChangeReply::Conflict { version, winner, operator };
    let ahead = ChangeReply::Conflict { version: Version(0), winner: None, operator: None };
    assert_eq!(apply(&mut state, change(9, 40, "bo", "ahead")), ahead);
    assert_eq!(apply(&mut state, change(1, 0, "ana", "one")), won);
    assert_eq!(apply(&mut state, change(2, 0, "bo", "two")), conflict);
    assert_eq!(apply(&mut state, change(8, 40, "bo", "ahead of one")), conflict);
    for base in 1..=400 {
        let text = format!("text {base}");
        let reply = apply(&mut state, change(1_000 + u128::from(base), base, "ana", &text));
        assert_eq!(reply, ChangeReply::Accepted(Version(base + 1)));
    }
    let mut state = State::restore(&state.snapshot()).unwrap();
    assert_eq!(apply(&mut state, change(1, 0, "ana", "one")), won);
    assert_eq!(apply(&mut state, change(2, 0, "bo", "two")), conflict);
    assert_eq!(apply(&mut state, change(9, 40, "bo", "ahead")), ahead);
    assert_eq!(apply(&mut state, change(1, 0, "ana", "other")), ChangeReply::Reused);
    assert_eq!(apply(&mut state, change(1, 401, "ana", "one")), ChangeReply::Reused);
    assert_eq!(state.version(), Version(401));
    assert_eq!(state.document().base, "text 400");

    // Past the limit, the older replies are dropped, and a resend is told so.
    state.apply(LogIndex(1), expire(1));
    apply(&mut state, change(3, 401, "ana", "three"));
    let forgotten = ChangeReply::Forgotten { version: Version(402) };
    assert_eq!(apply(&mut state, change(2, 0, "bo", "two")), forgotten);
    assert_eq!(apply(&mut state, change(1_010, 10, "ana", "text 10")), forgotten);
    assert_eq!(apply(&mut state, change(9, 40, "bo", "ahead")), ahead);
    assert_eq!(apply(&mut state, change(8, 40, "bo", "ahead of one")), conflict);
    assert_eq!(
        apply(&mut state, change(3, 401, "ana", "three")),
        ChangeReply::Accepted(Version(402))
    );
    assert_eq!(state.version(), Version(402));
}

#[test]
fn marks_and_fences_hold_and_a_resent_mark_does_nothing() {
    let mut state = State::new();
    let upstream = "engine-1".parse().unwrap();
    apply(&mut state, mark(1, true));
    apply(&mut state, mark(2, false));
    apply(&mut state, mark(1, true));
    assert!(state.marks().is_empty());
    assert_eq!(apply(&mut state, mark(1, false)), ChangeReply::Reused);
    assert_eq!(state.apply(LogIndex(7), order("v1")), Reply::Fence(Fence(7)));
    let mut state = State::restore(&state.snapshot()).unwrap();
    assert_eq!(state.apply(LogIndex(7), order("v2")), Reply::Fence(Fence(8)));
    assert_eq!(state.fence(&upstream), Some(Fence(8)));
}

fn trail() -> Vec<AuditRecord> {
    let mut state = State::new();
    apply(&mut state, change(1, 0, "ana", "{\n  \"a\": 1\n}"));
    apply(&mut state, change(2, 1, "bo", "{\n  \"a\": 2\n}"));
    apply(&mut state, change(3, 1, "ana", "{\n  \"a\": 3\n}"));
    apply(&mut state, mark(4, true));
    state.apply(LogIndex(9), order("model m, version 2"));
    let member = Command::Member {
        what: "added as voter".to_owned(),
        vm: "vm-3".parse().unwrap(),
        node: types::NodeId(5),
        operator: None,
        at: UnixMillis(7),
    };
    state.apply(LogIndex(10), member);
    assert_eq!(state.audit(4, 1)[0].number, 5);
    assert!(state.audit(u64::MAX, 1).is_empty());
    state.audit(0, 100)
}

#[test]
fn the_audit_trail_says_who_did_what() {
    let lines: Vec<String> = trail()
        .iter()
        .map(|it| {
            let operator = it.operator.as_ref().map_or("-", |it| it.as_str());
            let (kind, outcome) = (it.kind.as_str(), it.outcome.as_str());
            format!("{} {operator} {kind} v{} {outcome}: {}", it.number, it.version, it.what)
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against an audit record that is changed, left out or moved without notice. Every field
// must be in the hash, and the hash must cover the record before.
#[test]
fn any_flipped_bit_and_any_gap_in_the_audit_trail_is_found() {
    let records = trail();
    verify(&records).unwrap();
    verify(&records[2..]).unwrap();
    let bytes = postcard::to_stdvec(&records).unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok((changed, _)) = postcard::take_from_bytes::<Vec<AuditRecord>>(&bytes) {
            // A flipped count only cuts the end off, which a reader detects by the hash of the last
            // record.
            let cut = changed.len() < records.len() && records.starts_with(&changed);
            assert!(cut || verify(&changed).is_err(), "bit {bit}");
        }
    }
    // A forged record with a valid hash of its own, and a record with another number.
    let mut forged = records.clone();
    forged[2].what = "nothing".to_owned();
    forged[2].hash = forged[2].compute_hash();
    assert_eq!(verify(&forged).unwrap_err().number, 4);
    let mut forged = records.clone();
    forged[5].number = 9;
    forged[5].hash = forged[5].compute_hash();
    assert_eq!(verify(&forged).unwrap_err().number, 9);
    for at in 1..records.len() - 1 {
        let mut gap = records.clone();
        gap.remove(at);
        assert_eq!(verify(&gap).unwrap_err().number, at as u64 + 2);
        let mut swapped = records.clone();
        swapped.swap(at, at + 1);
        assert!(verify(&swapped).is_err());
    }
}
