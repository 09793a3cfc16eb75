//! Which calls have a piece, and when a call is dropped.

use std::time::Duration;

use tokio::task::JoinHandle;

use super::*;
use crate::dialect::PieceInput;

const OVERDUE: Duration = Duration::from_secs(1);
const SILENT: Duration = Duration::from_secs(2);

fn piece(segment: u32, now: Instant) -> Piece {
    Piece {
        job: JobKey { origin: 0, id: 1 },
        attempt: "a".into(),
        stage: 0,
        segment,
        input: PieceInput::Key("k".into()),
        rank: 0,
        result_bytes: 1,
        domain: None,
        transfer_bytes: 0,
        due: now,
        deadline: now + SILENT * 3,
        queued_at: now,
        sends: 1,
        request: None,
        isolated: false,
        lost_calls: 0,
        permit: None,
    }
}

fn call(number: u32, segment: u32, now: Instant) -> (InFlightCall, JoinHandle<()>) {
    let listed = registry::Upstream {
        id: "u".to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".to_owned(),
        slots: 1,
        health: registry::Health::Ready,
        version: "v1".into(),
    };
    let task = tokio::spawn(std::future::pending());
    let call = InFlightCall {
        call: number.into(),
        section: Section::whole(&"s".into()),
        upstream: Arc::new(Upstream::new(&listed, 1)),
        task: task.abort_handle(),
        overdue_at: now + OVERDUE,
        silent_at: now + SILENT,
        pieces: vec![piece(segment, now)],
        is_overdue: false,
        fetched_at: now,
        fetched_sent: false,
    };
    (call, task)
}

/// Guards against dropping a silent call while somebody waits for its pieces, and against keeping one that
/// nobody waits for.
#[tokio::test]
async fn a_silent_call_goes_on_while_a_piece_is_wanted() {
    let now = Instant::now();
    let (first, first_task) = call(1, 7, now);
    let held = piece(7, now);
    let mut calls = Calls::default();
    calls.insert(first);
    assert!(calls.hold_in_time(&held));
    assert!(calls.take_overdue(now).is_empty());
    assert_eq!(calls.take_overdue(now + OVERDUE).len(), 1);
    assert!(calls.take_overdue(now + OVERDUE).is_empty(), "overdue twice");
    assert!(!calls.hold_in_time(&held));
    assert!(calls.hold(&held));
    assert_eq!(calls.leave_silent(now + SILENT), [1]);
    calls.abandon(|_| true);
    assert!(calls.hold(&held), "a wanted piece was given up");

    // Its upstream gets another call, whose end is not that of the silent one.
    let (second, second_task) = call(2, 8, now + SILENT);
    calls.insert(second);
    assert_eq!(calls.end("u", 2), Known::InTime);
    assert!(calls.hold(&held));
    assert!(!calls.hold(&piece(8, now)));
    calls.abandon(|_| false);
    assert!(!calls.hold(&held));
    assert_eq!(calls.end("u", 1), Known::Unwanted);
    assert!(first_task.await.is_err_and(|it| it.is_cancelled()), "the call goes on");
    second_task.abort();
}
