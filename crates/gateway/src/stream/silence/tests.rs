//! When a stream looks for another engine, and when it leaves its own.

use super::*;

const MS: Duration = Duration::from_millis(1);

/// Guards against looking at once, again and again, or never again while an engine stays silent.
#[test]
fn a_silent_stream_looks_now_and_then() {
    let start = Instant::now();
    let mut silence = Silence::new(stall_time(400 * MS), start);
    assert_eq!(silence.look_at(), start + 1_500 * MS);
    assert!(silence.begin_look(), "the first look");
    let looked = start + 1_600 * MS;
    silence.record_not_taken(looked);
    assert_eq!(silence.look_at(), looked + 1_500 * MS);
    assert!(!silence.begin_look(), "a later look in the same silence");
    let heard = start + 2_000 * MS;
    silence.record_heard(heard);
    assert_eq!(silence.look_at(), heard + 1_500 * MS);
    assert!(silence.begin_look(), "the first look in the next silence");
}

#[test]
fn a_route_with_long_pauses_waits_longer() {
    assert_eq!(stall_time(100 * MS), 1_500 * MS);
    assert_eq!(stall_time(1_000 * MS), 3_000 * MS);
}

struct StandCase {
    name: &'static str,
    /// How long ago the request was sent to another engine, in ms.
    sent_ago: Option<u32>,
    stand: fn(Instant) -> Stand,
}

const STAND_CASES: &[StandCase] = &[
    StandCase { name: "not sent", sent_ago: None, stand: |_| Stand::Listen },
    StandCase { name: "just sent", sent_ago: Some(0), stand: |it| Stand::Hold(it + OVERLAP) },
    StandCase { name: "sent", sent_ago: Some(249), stand: |it| Stand::Hold(it + OVERLAP) },
    StandCase { name: "sent long ago", sent_ago: Some(250), stand: |_| Stand::Leave },
    StandCase { name: "sent very long ago", sent_ago: Some(9_000), stand: |_| Stand::Leave },
];

/// Guards against two engines that work on a request, and against leaving one before another has it.
#[test]
fn an_engine_is_left_soon_after_another_one_has_the_request() {
    let sent = Instant::now();
    for StandCase { name, sent_ago, stand } in STAND_CASES {
        let now = sent + MS * sent_ago.unwrap_or(0);
        assert_eq!(Stand::of(sent_ago.map(|_| sent), now), stand(sent), "{name}");
    }
    assert!(OVERLAP < Duration::from_millis(400), "well before the limit");
}

struct TermsCase {
    name: &'static str,
    terms: Terms,
    outcome: Result<(), NotResumed>,
}

const TERMS: Terms = Terms {
    is_resumable: true,
    is_trial: false,
    has_event: true,
    runs: 1,
    attempts: 2,
    is_version_known: true,
};

const TERMS_CASES: &[TermsCase] = &[
    TermsCase { name: "allowed", terms: TERMS, outcome: Ok(()) },
    TermsCase {
        name: "a route that allows none",
        terms: Terms { is_resumable: false, ..TERMS },
        outcome: Err(NotResumed::NotAllowed),
    },
    TermsCase {
        name: "a trial",
        terms: Terms { is_trial: true, ..TERMS },
        outcome: Err(NotResumed::NotAllowed),
    },
    TermsCase {
        name: "no event that a run could go on after",
        terms: Terms { has_event: false, ..TERMS },
        outcome: Err(NotResumed::NotAllowed),
    },
    TermsCase {
        name: "one attempt",
        terms: Terms { attempts: 1, ..TERMS },
        outcome: Err(NotResumed::NoAttempts),
    },
    TermsCase {
        name: "all attempts used",
        terms: Terms { runs: 2, ..TERMS },
        outcome: Err(NotResumed::NoAttempts),
    },
    TermsCase {
        name: "an unknown version",
        terms: Terms { is_version_known: false, ..TERMS },
        outcome: Err(NotResumed::NoVersion),
    },
];

#[test]
fn a_stream_moves_only_where_its_route_and_its_engine_let_it() {
    for TermsCase { name, terms, outcome } in TERMS_CASES {
        assert_eq!(terms.may_move(), *outcome, "{name}");
    }
}
