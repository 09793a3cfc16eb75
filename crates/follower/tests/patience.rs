//! When an entry leaves a member that confirms nothing.

use std::time::{Duration, Instant};

use follower::{CONFIRM_PATIENCE, Patience, UNDER_WAY};

/// What happens, `ms` after what happened before, with the bytes that have arrived by then.
enum Event {
    /// The entry looks at the time.
    Look { ms: u64, received: u64, over: bool },
    /// A quorum is confirmed.
    Confirmed { ms: u64, received: u64 },
}

use Event::{Confirmed, Look};

struct Case {
    name: &'static str,
    events: &'static [Event],
}

const CASES: &[Case] = &[
    Case {
        name: "silent for the whole patience",
        events: &[
            Look { ms: 1_399, received: 90, over: false },
            Look { ms: 1, received: 90, over: false },
            Look { ms: 99, received: 90, over: false },
            Look { ms: 1, received: 90, over: true },
        ],
    },
    Case {
        name: "heartbeats are no message under way",
        events: &[
            Look { ms: 1_400, received: UNDER_WAY - 1, over: false },
            Look { ms: 100, received: UNDER_WAY - 1, over: true },
        ],
    },
    Case {
        name: "confirmed",
        events: &[
            Confirmed { ms: 1_000, received: 90 },
            Look { ms: 1_400, received: 90, over: false },
            Look { ms: 100, received: 90, over: true },
        ],
    },
    Case {
        name: "confirmed between the last two looks",
        events: &[
            Look { ms: 1_400, received: 90, over: false },
            Confirmed { ms: 99, received: 110 },
            Look { ms: 1_399, received: 110, over: false },
            Look { ms: 1, received: 110, over: false },
            Look { ms: 100, received: 110, over: true },
        ],
    },
    Case {
        name: "a message under way, then nothing more",
        events: &[
            Look { ms: 1_400, received: 1_500_000, over: false },
            Look { ms: 1_400, received: 1_500_000, over: false },
            Look { ms: 100, received: 1_500_000, over: true },
        ],
    },
    // The document's last 56 kB come after the second look; the confirmation is there to be read.
    Case {
        name: "a document that takes 1.6 s to read",
        events: &[
            Look { ms: 1_501, received: 1_482_838, over: false },
            Look { ms: 1_501, received: 2_944_086, over: false },
            Look { ms: 1_779, received: 3_000_277, over: false },
            Confirmed { ms: 1, received: 3_000_277 },
            Look { ms: 1_399, received: 3_000_277, over: false },
        ],
    },
    Case {
        name: "a process that was stopped",
        events: &[
            Look { ms: 60_000, received: 90, over: false },
            Look { ms: 99, received: 90, over: false },
            Look { ms: 1, received: 90, over: true },
        ],
    },
];

/// Symptom: an entry leaves one member after the other and has no service, or leaves one that is well.
/// Sequence: what the member sent is on its way on a slow link, or there and not read yet.
/// Cause: time counts as the member's silence in which its bytes arrive, or which the entry took itself.
#[test]
fn only_the_members_own_silence_counts() {
    for case in CASES {
        let mut now = Instant::now();
        let mut patience = Patience::new(now, 0);
        for event in case.events {
            match *event {
                Look { ms, received, over } => {
                    now += Duration::from_millis(ms);
                    assert_eq!(patience.is_over(now, received), over, "{}", case.name);
                }
                Confirmed { ms, received } => {
                    now += Duration::from_millis(ms);
                    patience = Patience::new(now, received);
                }
            }
            // A member that is silent from here on is left in time.
            assert!(patience.deadline() <= now + CONFIRM_PATIENCE, "{}", case.name);
        }
    }
}
