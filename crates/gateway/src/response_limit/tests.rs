//! When a response is cut.

use super::*;

/// Bodies of 1 MiB from callers.
const BODY_BYTES: usize = 1 << 20;

struct Case {
    name: &'static str,
    limit: ResponseLimit,
    announced: u64,
    /// The frames, as their number and the size of each.
    frames: (usize, usize),
    excess: Option<Excess>,
}

fn case(
    name: &'static str,
    limit: ResponseLimit,
    announced: u64,
    frames: (usize, usize),
    excess: Option<Excess>,
) -> Case {
    Case { name, limit, announced, frames, excess }
}

/// Guards against cutting sound responses, and against taking those that do not end.
#[test]
fn only_responses_beyond_a_bound_are_cut() {
    let (plain, stream) = (ResponseLimit::plain(BODY_BYTES), ResponseLimit::stream());
    let own = ResponseLimit::whole(BODY_BYTES);
    let most = BODY_BYTES as u64 + (4 << 20);
    let cases = [
        case("nothing", plain, 0, (0, 0), None),
        case("the longest", plain, most, (5, 1 << 20), None),
        case("announced beyond it", plain, most + 1, (0, 0), Some(Excess::Length)),
        case("announced without end", plain, 1_000_000_000_000, (0, 0), Some(Excess::Length)),
        case("longer than the longest", plain, 0, (6, 1 << 20), Some(Excess::Length)),
        case("a body byte by byte", plain, 0, (16_000, 1), None),
        case("a large body in lines", plain, 0, (60_000, 80), None),
        case("byte by byte without end", plain, 0, (20_000, 1), Some(Excess::Frames)),
        case("empty frames", plain, 0, (20_000, 0), Some(Excess::Frames)),
        case("an own answer", own, 1 << 20, (16, 1 << 16), None),
        case("an own answer that is longer", own, 0, (17, 1 << 16), Some(Excess::Length)),
        case("short events", stream, 0, (40_000, 10), None),
        case("a stream byte by byte", stream, 0, (20_000, 1), Some(Excess::Frames)),
        case("a stream without end", stream, 0, (200_000, 100), Some(Excess::Length)),
    ];
    for Case { name, limit, announced, frames: (count, bytes), excess } in cases {
        let mut meter = ResponseMeter::new(limit, RawLimit::default());
        let took = meter.announce(announced);
        let took = took.and_then(|()| (0..count).try_for_each(|_| meter.add(bytes)));
        assert_eq!(took.err(), excess, "{name}");
    }
}

/// Guards against a metric that tells another cause than the log.
#[test]
fn cuts_are_counted_by_cause() {
    let opts = prometheus::Opts::new("cuts", "Cuts");
    let counts = IntCounterVec::new(opts, &["cause"]).expect("a metric");
    let counter = CutCounter::new(&counts);
    for (excess, times) in [(Excess::Head, 2), (Excess::Length, 1), (Excess::Frames, 3)] {
        (0..times).for_each(|_| counter.record(excess));
        assert_eq!(counts.with_label_values(&[&*excess.to_string()]).get(), times);
    }
}

/// Guards against buffering an event that does not end.
#[test]
fn an_event_is_bounded() {
    let meter = ResponseMeter::new(ResponseLimit::stream(), RawLimit::default());
    assert_eq!(meter.check_event(MAX_EVENT_BYTES), Ok(()));
    assert_eq!(meter.check_event(MAX_EVENT_BYTES + 1), Err(Excess::Event));
}
