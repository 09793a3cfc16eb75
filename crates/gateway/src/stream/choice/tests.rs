//! Which engines are taken for silent.

use std::thread::sleep;

use registry::Health;

use super::*;

/// Longer than the resolution of the times that an upstream keeps.
const STEP: Duration = Duration::from_millis(5);

fn engine() -> Arc<Upstream> {
    let listed = registry::Upstream {
        id: "u-1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".to_owned(),
        slots: 8,
        health: Health::Ready,
        version: "v1".into(),
    };
    Arc::new(Upstream::new(&listed, 1))
}

/// Returns a moment with a step before it and one after it.
fn moment() -> Instant {
    sleep(STEP);
    let now = Instant::now();
    sleep(STEP);
    now
}

/// Guards against taking an engine for silent that has got its first request just now, as where many
/// streams leave silent engines at the same moment.
#[test]
fn an_engine_counts_as_silent_only_if_it_had_time_to_speak() {
    let engine = engine();
    assert_eq!(Doubt::of(&engine, moment()), Doubt::Unknown, "idle");
    let since = moment();
    let first = engine.begin_request(0);
    let second = engine.begin_request(0);
    assert_eq!(Doubt::of(&engine, since), Doubt::Unknown, "just asked");
    let later = moment();
    assert_eq!(Doubt::of(&engine, later), Doubt::Silent, "asked before");
    engine.record_heard();
    assert_eq!(Doubt::of(&engine, later), Doubt::None, "heard");
    let later = moment();
    assert_eq!(Doubt::of(&engine, later), Doubt::Silent, "heard before");
    drop(first);
    assert_eq!(Doubt::of(&engine, later), Doubt::Silent, "still busy");
    drop(second);
    assert_eq!(Doubt::of(&engine, later), Doubt::Unknown, "idle again");
    assert!(Doubt::None < Doubt::Unknown && Doubt::Unknown < Doubt::Silent);
}
