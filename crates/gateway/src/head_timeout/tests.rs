//! Tests of the timers of callers' connections.

use tokio::time::{sleep, timeout};

use super::*;

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_millis(400);

/// Far above the time that any of these timers takes.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Case {
    name: &'static str,
    /// The limits when the wait begins, and those that come after half of [`SHORT`].
    before: (Duration, Duration),
    after: (Duration, Duration),
    /// Whether the first bytes of a head come after half of [`SHORT`].
    begins: bool,
    /// When the timer is due, counted from the beginning of the wait.
    due: Duration,
}

/// Limits are the one for a head, then the one for an idle connection.
const CASES: &[Case] = &[
    Case { name: "idle", before: (LONG, SHORT), after: (LONG, SHORT), begins: false, due: SHORT },
    Case {
        name: "idle, a longer limit comes",
        before: (SHORT, SHORT),
        after: (SHORT, LONG),
        begins: false,
        due: LONG,
    },
    Case {
        name: "idle, a shorter limit comes",
        before: (SHORT, LONG),
        after: (SHORT, SHORT),
        begins: false,
        due: LONG,
    },
    Case {
        name: "a head begins, with the limit in force",
        before: (SHORT, SHORT),
        after: (LONG, SHORT),
        begins: true,
        due: Duration::from_millis(450),
    },
    Case {
        name: "a head begins, with a limit below that of idle connections",
        before: (SHORT, LONG),
        after: (SHORT, LONG),
        begins: true,
        due: Duration::from_millis(150),
    },
];

fn limits((header_time, idle_time): (Duration, Duration)) -> Limits {
    Limits { header_time, idle_time, ..Limits::default() }
}

/// Guards against timers that go by an old plan, or by the limit of an idle connection amid a head.
#[tokio::test]
async fn a_timer_goes_by_the_limits_in_force_and_by_what_has_come() {
    for Case { name, before, after, begins, due } in CASES {
        let (reads, shared) = (ReadCounter::default(), CallerLimits::default());
        shared.set(limits(*before));
        let start = time::Instant::now();
        let timer = HeadTimer::new(reads.clone(), shared.clone());
        let mut wait = timer.sleep(Duration::ZERO);
        let early = timeout(SHORT / 2, wait.as_mut()).await;
        assert!(early.is_err(), "{name}: due at once");
        shared.set(limits(*after));
        if *begins {
            reads.record();
        }
        assert!(timeout(TIMEOUT, wait).await.is_ok(), "{name}: never due");
        let took = start.elapsed();
        assert!(took >= *due, "{name}: due after {took:?}");
    }
}

/// Guards against closing a connection whose next head came while the process was held up: the timer must
/// let the connection be looked at once more after it was due.
#[tokio::test]
async fn a_timer_that_is_due_waits_for_a_last_look() {
    let (reads, shared) = (ReadCounter::default(), CallerLimits::default());
    shared.set(limits((LONG, SHORT)));
    let mut wait = HeadTimer::new(reads.clone(), shared).sleep(Duration::ZERO);
    assert!(timeout(SHORT / 2, wait.as_mut()).await.is_err());
    sleep(SHORT).await;
    let polled = std::future::poll_fn(|cx| Poll::Ready(wait.as_mut().poll(cx))).await;
    assert!(polled.is_pending(), "due without a last look");
    reads.record();
    let rest = timeout(LONG / 2, wait.as_mut()).await;
    assert!(rest.is_err(), "a head that was found had no limit of its own");
}
