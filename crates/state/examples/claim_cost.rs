//! Measures the cost of claims, change ids and audit records in memory, in the snapshot and in the
//! log, and the duration of commands and snapshots. Each run measures the one kind that its
//! argument names, so that memory freed by another kind is not reused; without an argument it lists
//! the kinds.

use std::fs;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use state::{Command, Limits, State};
use types::{
    ChangeId, ClaimKey, ClaimLimits, ClaimRequest, ClaimTicket, Document, Incarnation, LogIndex,
    Millis, Outcome, StoredAnswer, UnixMillis, Version, VmName,
};

/// The number of items measured of a kind.
const COUNT: u64 = 200_000;

/// The cost of one kind.
struct Cost {
    memory: u64,
    snapshot: usize,
    apply: Duration,
    write: Duration,
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn vm() -> VmName {
    "vm-1".parse().expect("a valid name")
}

fn key(number: u64) -> ClaimKey {
    let text = format!("order-{number:012}");
    let customer = "association".parse().expect("a valid name");
    ClaimKey { customer, key: text.parse().expect("a valid key") }
}

fn ticket(number: u64) -> ClaimTicket {
    let attempt = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ClaimTicket { vm: vm(), owner: Incarnation(1 << 60), attempt }
}

fn claim(number: u64) -> Command {
    let fingerprint = [number as u8; 32];
    let request = ClaimRequest { key: key(number), fingerprint, ticket: ticket(number) };
    Command::Claim { request, at: UnixMillis(1 << 40) }
}

fn finish(number: u64, body: Option<Vec<u8>>) -> Command {
    let answer = StoredAnswer { outcome: Outcome::Complete, status: 200, body, digest: [9; 32] };
    Command::Finish { key: key(number), ticket: ticket(number), answer, at: UnixMillis(1 << 40) }
}

fn release(number: u64) -> Command {
    Command::Release { key: key(number), ticket: ticket(number) }
}

fn change(number: u64) -> Command {
    Command::Change {
        id: ChangeId(uuid::Uuid::from_u128(
            u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        )),
        base: Version(number),
        operator: "ana".parse().expect("a valid name"),
        document: Document {
            base: format!("{{\n  \"capacity\": {number}\n}}"),
            ..Document::default()
        },
        at: UnixMillis(1 << 40),
    }
}

fn limits() -> Limits {
    let claims = ClaimLimits { answers: Millis(1_000), ..ClaimLimits::default() };
    Limits { key_retention: Millis(1_000), max_records: 1, ..Limits::from(claims) }
}

fn expire(at: u64) -> Command {
    Command::Expire { at: UnixMillis(at), limits: limits() }
}

/// Measures what the commands, created for each number in turn, add to the state.
fn measure(state: &mut State, commands: &[&dyn Fn(u64) -> Command]) -> Cost {
    let empty = state.snapshot().len();
    let before = resident_bytes();
    let started = Instant::now();
    for number in 0..COUNT {
        for command in commands {
            state.apply(LogIndex(number + 1), command(number));
        }
    }
    let apply = started.elapsed();
    let memory = resident_bytes().saturating_sub(before);
    let started = Instant::now();
    let snapshot = state.snapshot().len() - empty;
    Cost { memory, snapshot, apply, write: started.elapsed() }
}

fn state_with_entry(limits: Limits) -> State {
    let mut state = State::new();
    state.apply(LogIndex(1), Command::Expire { at: UnixMillis(1 << 40), limits });
    state.apply(LogIndex(1), Command::Enter { vm: vm(), owner: Incarnation(1 << 60) });
    state
}

fn log_costs(out: &mut impl Write) -> io::Result<()> {
    for (name, command) in
        [("claim", claim(1)), ("finish", finish(1, None)), ("release", release(1))]
    {
        let bytes = postcard::to_stdvec(&command).map_err(io::Error::other)?.len();
        writeln!(out, "log: {name} {bytes} B")?;
    }
    Ok(())
}

fn main() -> io::Result<()> {
    type Kind<'a> = (&'a str, State, Vec<&'a dyn Fn(u64) -> Command>);
    let body = |number| finish(number, Some(vec![1; 80]));
    let bare = |number| finish(number, None);
    let claim_or_expire =
        |number| if number % 5_000 == 4_999 { expire(1 << 41) } else { claim(number) };
    let enter = |number| Command::Enter { vm: vm(), owner: Incarnation((1 << 60) + number) };
    let order = |number| Command::Order {
        upstream: "engine-1".parse().expect("a valid name"),
        target: format!("model m, version {number}"),
        at: UnixMillis(1 << 40),
    };
    let unlimited_audit = Limits { max_records: u32::MAX, ..limits() };
    let kinds: [Kind<'_>; 8] = [
        ("running", state_with_entry(limits()), vec![&claim]),
        ("done", state_with_entry(limits()), vec![&claim, &bare]),
        ("body", state_with_entry(limits()), vec![&claim, &body]),
        ("tombstone", state_with_entry(limits()), vec![&claim, &bare, &claim_or_expire]),
        ("note", state_with_entry(limits()), vec![&release]),
        ("life", state_with_entry(limits()), vec![&enter]),
        ("change", state_with_entry(limits()), vec![&change]),
        ("audit", state_with_entry(unlimited_audit), vec![&order]),
    ];
    let mut out = io::stdout().lock();
    let wanted = std::env::args().nth(1);
    for (name, mut state, commands) in kinds {
        if wanted.as_deref() != Some(name) {
            continue;
        }
        let cost = measure(&mut state, &commands);
        let applied = COUNT * commands.len() as u64;
        let each = cost.apply.as_nanos() / u128::from(applied);
        let (memory, snapshot) = (cost.memory / COUNT, cost.snapshot as u64 / COUNT);
        let write = cost.write.as_millis();
        writeln!(out, "{name}: memory {memory} B, snapshot {snapshot} B each, {COUNT} of them")?;
        writeln!(out, "{name}: {each} ns a command, {write} ms for the snapshot")?;
        writeln!(out, "{name}: {:?}", state.counts())?;
        return Ok(());
    }
    log_costs(&mut out)?;
    writeln!(out, "kinds: running done body tombstone note life change audit")
}
