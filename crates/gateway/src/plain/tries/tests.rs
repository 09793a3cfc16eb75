//! When a request is sent to another upstream, and when it ends.

use super::*;

/// What happens to a request.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Another try begins.
    Begin,
    /// No upstream takes another try.
    Nobody,
    /// The newest try is silent.
    Silence,
    /// The try with this number ends.
    End(u32, End),
}

use self::End::{Failed, Last, NoPermit};
use self::Event::{Begin, Nobody, Silence};

const REJECTED: End = End::NotRun { sent: true, more: true };
const REJECTED_LAST: End = End::NotRun { sent: true, more: false };
const UNSENT: End = End::NotRun { sent: false, more: true };

struct Case {
    name: &'static str,
    limit: u32,
    events: &'static [Event],
    step: Step,
    /// Whether another try would need a permit.
    permit: bool,
    /// Whether the request may have run.
    ran: bool,
}

const fn case(
    name: &'static str,
    limit: u32,
    events: &'static [Event],
    step: Step,
    (permit, ran): (bool, bool),
) -> Case {
    Case { name, limit, events, step, permit, ran }
}

const CASES: &[Case] = &[
    case("new", 2, &[], Step::Begin, (false, false)),
    case("nobody takes it", 2, &[Nobody], Step::Finish, (false, false)),
    case("under way", 2, &[Begin], Step::Wait, (true, true)),
    case("silent", 2, &[Begin, Silence], Step::Begin, (true, true)),
    case("silent, and may run once", 1, &[Begin, Silence], Step::Wait, (true, true)),
    case("silent, and nobody takes it", 2, &[Begin, Silence, Nobody], Step::Wait, (true, true)),
    case("both silent", 2, &[Begin, Silence, Begin, Silence], Step::Wait, (true, true)),
    case("both silent of three", 3, &[Begin, Silence, Begin, Silence], Step::Begin, (true, true)),
    case("failed", 2, &[Begin, Event::End(1, Failed)], Step::Begin, (true, true)),
    case(
        "failed, and may run once",
        1,
        &[Begin, Event::End(1, Failed)],
        Step::Finish,
        (true, true),
    ),
    case("rejected", 1, &[Begin, Event::End(1, REJECTED)], Step::Begin, (true, false)),
    case("not sent", 1, &[Begin, Event::End(1, UNSENT)], Step::Begin, (false, false)),
    case("rejected often", 2, &[Begin, Event::End(1, REJECTED_LAST)], Step::Finish, (true, false)),
    case("time over", 2, &[Begin, Event::End(1, Last)], Step::Finish, (true, true)),
    case(
        "rejected beside a silent one",
        2,
        &[Begin, Silence, Begin, Event::End(2, REJECTED)],
        Step::Begin,
        (true, true),
    ),
    case(
        "rejected often beside a silent one",
        2,
        &[Begin, Silence, Begin, Event::End(2, REJECTED_LAST)],
        Step::Wait,
        (true, true),
    ),
    case(
        "no permit beside a silent one",
        2,
        &[Begin, Silence, Begin, Event::End(2, NoPermit)],
        Step::Wait,
        (true, true),
    ),
    case(
        "no permit beside a silent one that fails later",
        2,
        &[Begin, Silence, Begin, Event::End(2, NoPermit), Event::End(1, Failed)],
        Step::Begin,
        (true, true),
    ),
    case(
        "no permit after a failure",
        2,
        &[Begin, Event::End(1, Failed), Begin, Event::End(2, NoPermit)],
        Step::Finish,
        (true, true),
    ),
    case(
        "failed beside a silent one",
        2,
        &[Begin, Silence, Begin, Event::End(2, Failed)],
        Step::Wait,
        (true, true),
    ),
    case(
        "failed beside a silent one of three",
        3,
        &[Begin, Silence, Begin, Event::End(2, Failed)],
        Step::Begin,
        (true, true),
    ),
    case(
        "the silent one failed beside a newer one of three",
        3,
        &[Begin, Silence, Begin, Event::End(1, Failed)],
        Step::Wait,
        (true, true),
    ),
    case(
        "the silent one rejected it beside a newer one that failed",
        2,
        &[Begin, Silence, Begin, Event::End(1, REJECTED), Event::End(2, Failed)],
        Step::Begin,
        (true, true),
    ),
    case(
        "both failed",
        2,
        &[Begin, Silence, Begin, Event::End(1, Failed), Event::End(2, Failed)],
        Step::Finish,
        (true, true),
    ),
];

/// Guards against leaving a silent upstream for none, against waiting where another one may get the request,
/// and against sending it too often.
#[test]
fn a_try_is_left_only_for_one_that_takes_over() {
    for Case { name, limit, events, step, permit, ran } in CASES {
        let mut tries = Tries::new(*limit);
        for event in *events {
            match *event {
                Begin => {
                    assert_eq!(tries.step(), Step::Begin, "{name}");
                    tries.begin();
                }
                Nobody => tries.record_nobody(),
                Silence => tries.record_silence(),
                Event::End(number, end) => tries.record_end(number, end),
            }
        }
        assert_eq!(tries.step(), *step, "{name}");
        assert_eq!(tries.needs_permit(), *permit, "{name}");
        assert_eq!(tries.may_have_run(), *ran, "{name}");
    }
}
