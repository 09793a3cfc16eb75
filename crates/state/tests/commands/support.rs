//! Helpers that build commands.

use state::{Command, Limits};
use types::{
    ClaimKey, ClaimLimits, ClaimRequest, ClaimTicket, Document, Incarnation, Millis, Outcome,
    StoredAnswer, UnixMillis, Version, VmName,
};

pub(crate) const UNDATED: &str = "lot-17";

pub(crate) fn vm(name: &str) -> VmName {
    name.parse().unwrap()
}

/// Returns a UUIDv7 with the given time.
pub(crate) fn dated(at: u64) -> String {
    format!("{:08x}-{:04x}-7000-8000-000000000001", at >> 16, at & 0xffff)
}

pub(crate) fn key(text: &str) -> ClaimKey {
    ClaimKey { customer: "yard".parse().unwrap(), key: text.parse().unwrap() }
}

/// Returns a ticket of a VM, its incarnation and the attempt.
pub(crate) fn ticket(name: &str, owner: u64, attempt: u64) -> ClaimTicket {
    ClaimTicket { vm: vm(name), owner: Incarnation(owner), attempt }
}

pub(crate) fn enter(name: &str, owner: u64) -> Command {
    Command::Enter { vm: vm(name), owner: Incarnation(owner) }
}

pub(crate) fn lost(name: &str, owner: u64) -> Command {
    Command::Lost { vm: vm(name), owner: Incarnation(owner) }
}

pub(crate) fn claim(text: &str, print: u8, ticket: ClaimTicket) -> Command {
    let request = ClaimRequest { key: key(text), fingerprint: [print; 32], ticket };
    Command::Claim { request, at: UnixMillis(1_000) }
}

pub(crate) fn answer(body: &str) -> StoredAnswer {
    let body = Some(body.as_bytes().to_vec());
    StoredAnswer { outcome: Outcome::Complete, status: 200, body, digest: [7; 32] }
}

pub(crate) fn finish(text: &str, ticket: ClaimTicket, body: &str) -> Command {
    finish_at(text, ticket, body, 2_000)
}

pub(crate) fn finish_at(text: &str, ticket: ClaimTicket, body: &str, at: u64) -> Command {
    Command::Finish { key: key(text), ticket, answer: answer(body), at: UnixMillis(at) }
}

pub(crate) fn release(text: &str, ticket: ClaimTicket) -> Command {
    Command::Release { key: key(text), ticket }
}

/// Returns limits that keep answers for 1 s and up to 8 bytes, two of them in all; dated keys for 3
/// s; and three keys in all.
pub(crate) fn limits() -> Limits {
    let answer = types::ByteSize(8);
    let claims = ClaimLimits { answer, answers: Millis(1_000), keys: 3 };
    let body_memory = types::ByteSize(250);
    Limits {
        key_retention: Millis(3_000),
        body_memory,
        max_changes: 8,
        max_records: 1_000,
        ..Limits::from(claims)
    }
}

pub(crate) fn expire(at: u64) -> Command {
    Command::Expire { at: UnixMillis(at), limits: limits() }
}

pub(crate) fn document(text: &str) -> Document {
    Document { base: text.to_owned(), ..Document::default() }
}

pub(crate) fn change(id: u128, base: u64, operator: &str, text: &str) -> Command {
    Command::Change {
        id: types::ChangeId(uuid::Uuid::from_u128(id)),
        base: Version(base),
        operator: operator.parse().unwrap(),
        document: document(text),
        at: UnixMillis(1_000),
    }
}
