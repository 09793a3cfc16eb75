//! Tests of claims: at most one grant for each key, and correct answers to all other requests.

use state::{Command, Reply, State};
use types::{ClaimAnswer, LogIndex, StoredAnswer};

use crate::support::{
    UNDATED, answer, claim, dated, enter, expire, finish, finish_at, lost, release, ticket,
};

struct Case {
    name: &'static str,
    /// The steps after two entry processes, `a` and `b`, entered with incarnation 1.
    steps: Vec<(Command, Reply)>,
}

fn granted() -> Reply {
    Reply::Claim(ClaimAnswer::Granted)
}

fn owner_lost() -> Reply {
    Reply::Claim(ClaimAnswer::OwnerLost)
}

fn expired() -> Reply {
    Reply::Claim(ClaimAnswer::Expired)
}

fn done(body: &str) -> Reply {
    Reply::Claim(ClaimAnswer::Done(answer(body)))
}

fn done_without_body() -> Reply {
    Reply::Claim(ClaimAnswer::Done(StoredAnswer { body: None, ..answer("") }))
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let mut state = State::new();
        state.apply(LogIndex(1), enter("a", 1));
        state.apply(LogIndex(2), enter("b", 1));
        for (at, (command, reply)) in case.steps.into_iter().enumerate() {
            state = State::restore(&state.snapshot()).unwrap();
            let got = state.apply(LogIndex(at as u64 + 3), command);
            assert_eq!(got, reply, "{}, step {at}", case.name);
        }
    }
}

// Guards against a booking that runs twice, and a resend that gets a wrong answer. Resends come
// through other entry processes, with other content, and with commands delivered twice. A second
// ticket must not be granted, and neither the answer of another request nor another owner's ticket
// may be accepted.
#[test]
fn one_ticket_is_granted_and_resends_get_its_answer() {
    let (a, b, k) = (ticket("a", 1, 10), ticket("b", 1, 20), UNDATED);
    let running = || Reply::Claim(ClaimAnswer::Running);
    let mismatch = || Reply::Claim(ClaimAnswer::Mismatch);
    check(vec![
        Case {
            name: "running, then done",
            steps: vec![
                (claim(k, 1, a.clone()), granted()),
                (claim(k, 1, a.clone()), granted()),
                (claim(k, 1, b.clone()), running()),
                (claim(k, 1, ticket("a", 1, 11)), running()),
                (claim(k, 2, b.clone()), mismatch()),
                (finish(k, b.clone(), "forged"), Reply::Done),
                (claim(k, 1, b.clone()), running()),
                (finish(k, a.clone(), "sold"), Reply::Done),
                (finish(k, a.clone(), "again"), Reply::Done),
                (claim(k, 1, b.clone()), done("sold")),
                (claim(k, 1, a.clone()), done("sold")),
                (claim(k, 2, b.clone()), mismatch()),
                (release(k, a.clone()), done("sold")),
            ],
        },
        Case {
            name: "full",
            steps: vec![
                (expire(1_000), Reply::Done),
                (claim("1", 1, a.clone()), granted()),
                (claim("2", 1, a.clone()), granted()),
                (claim("3", 1, a.clone()), granted()),
                (claim("4", 1, a.clone()), Reply::Claim(ClaimAnswer::Full)),
                (release("1", a.clone()), Reply::Done),
                (claim("4", 1, b.clone()), granted()),
            ],
        },
    ]);
}

// Guards against a resend that runs although the call of a dead entry process may have run, or that
// waits forever. An entry process dies, restarts, or is silent and comes back, with claims in
// flight; its old commands are delivered late. Its claims must not be taken over, a superseded
// incarnation must not count as alive, and the owner's own late answer must be accepted.
#[test]
fn claims_of_a_lost_owner_stay_lost_unless_it_finishes_them() {
    let (a, b, k) = (ticket("a", 1, 10), ticket("b", 1, 20), UNDATED);
    check(vec![
        Case {
            name: "a new incarnation",
            steps: vec![
                (claim(k, 1, a.clone()), granted()),
                (enter("a", 2), Reply::Done),
                (claim(k, 1, b.clone()), owner_lost()),
                (claim(k, 1, a.clone()), owner_lost()),
                (enter("a", 1), Reply::Done),
                (claim("other", 1, a.clone()), owner_lost()),
                (claim("other", 1, ticket("a", 2, 11)), granted()),
                (claim(k, 1, ticket("a", 2, 12)), owner_lost()),
                (finish(k, a.clone(), "sold"), Reply::Done),
                (claim(k, 1, b.clone()), done("sold")),
            ],
        },
        Case {
            name: "silent, then back",
            steps: vec![
                (claim(k, 1, a.clone()), granted()),
                (lost("a", 1), Reply::Done),
                (claim("other", 1, a.clone()), owner_lost()),
                (enter("a", 1), Reply::Done),
                (claim(k, 1, b.clone()), owner_lost()),
                (finish(k, b.clone(), "forged"), Reply::Done),
                (release(k, a.clone()), owner_lost()),
                (claim(k, 1, b.clone()), owner_lost()),
                (claim("other", 1, b.clone()), granted()),
            ],
        },
        Case {
            name: "never entered",
            steps: vec![
                (claim(k, 1, ticket("c", 1, 1)), owner_lost()),
                (claim(k, 1, b.clone()), granted()),
            ],
        },
    ]);
}

// Guards against a caller that is told `not-run` while its key never runs, or runs for nobody. An
// entry process releases a claim whose answer it never saw, and the claim commits after that. A
// release that finds no claim must still be recorded.
#[test]
fn a_released_ticket_is_never_granted_later() {
    let (a, b, k) = (ticket("a", 1, 10), ticket("b", 1, 20), UNDATED);
    check(vec![
        Case {
            name: "in order",
            steps: vec![
                (claim(k, 1, a.clone()), granted()),
                (release(k, b.clone()), Reply::Done),
                (claim(k, 1, a.clone()), granted()),
                (release(k, a.clone()), Reply::Done),
                (claim(k, 1, a.clone()), owner_lost()),
                (claim(k, 1, ticket("b", 1, 21)), granted()),
            ],
        },
        Case {
            name: "overtaken",
            steps: vec![
                (release(k, a.clone()), Reply::Done),
                (expire(4_000_000), Reply::Done),
                (claim(k, 1, a.clone()), owner_lost()),
                (claim(k, 1, b.clone()), granted()),
            ],
        },
    ]);
}

// Guards against a request that runs again after its key was dropped. A key ends, its answer and
// then its record expire, and a resend arrives. A dropped record must leave a trace.
#[test]
fn an_old_key_is_refused_and_never_runs_again() {
    let (a, b) = (ticket("a", 1, 10), ticket("b", 1, 20));
    let late = dated(9_000);
    let key = dated(1_500);
    check(vec![
        Case {
            name: "dated",
            steps: vec![
                (expire(1_000), Reply::Done),
                (claim(&key, 1, a.clone()), granted()),
                (claim(&late, 1, a.clone()), granted()),
                (finish(&key, a.clone(), "sold"), Reply::Done),
                (expire(3_000), Reply::Done),
                (claim(&key, 1, b.clone()), done("sold")),
                (expire(3_001), Reply::Done),
                (claim(&key, 1, b.clone()), done_without_body()),
                (expire(4_501), Reply::Done),
                (claim(&key, 1, b.clone()), expired()),
                (claim(&dated(1_499), 1, b.clone()), expired()),
                (expire(3_000), Reply::Done),
                (claim(&key, 1, b.clone()), expired()),
                (claim(&dated(1_501), 1, b.clone()), granted()),
            ],
        },
        Case {
            name: "undated, after a clock that was far ahead",
            steps: vec![
                (claim(UNDATED, 1, a.clone()), granted()),
                (finish(UNDATED, a.clone(), "sold"), Reply::Done),
                (expire(4_000_000_000), Reply::Done),
                (expire(2_000), Reply::Done),
                (claim(UNDATED, 1, b.clone()), expired()),
                (claim(&key, 1, b.clone()), granted()),
            ],
        },
        Case {
            name: "old when it was first sent",
            steps: vec![
                (expire(8_000), Reply::Done),
                (claim(&key, 1, a.clone()), granted()),
                (finish_at(&key, a.clone(), "sold", 8_000), Reply::Done),
                (expire(9_000), Reply::Done),
                (claim(&key, 1, b.clone()), done("sold")),
                (expire(9_001), Reply::Done),
                (claim(&key, 1, b.clone()), expired()),
            ],
        },
        Case {
            name: "more answers than the memory for them",
            steps: vec![
                (expire(1_000), Reply::Done),
                (claim("1", 1, a.clone()), granted()),
                (claim("2", 1, a.clone()), granted()),
                (claim("3", 1, a.clone()), granted()),
                (finish("1", a.clone(), "one"), Reply::Done),
                (finish("2", a.clone(), "two"), Reply::Done),
                (finish("3", a.clone(), "three"), Reply::Done),
                (claim("1", 1, b.clone()), done_without_body()),
                (claim("2", 1, b.clone()), done("two")),
                (claim("3", 1, b.clone()), done("three")),
            ],
        },
        Case {
            name: "an answer beyond the limit",
            steps: vec![
                (expire(1_000), Reply::Done),
                (claim(UNDATED, 1, a.clone()), granted()),
                (finish(UNDATED, a.clone(), "nine byte"), Reply::Done),
                (claim(UNDATED, 1, b.clone()), done_without_body()),
            ],
        },
    ]);
}
