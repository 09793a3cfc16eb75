//! When an entry leaves a member that does not confirm a quorum.

use std::time::{Duration, Instant};

use follower::{CONFIRM_TIMEOUT, ConfirmTimer, MIN_PROGRESS_BYTES};

/// An event, `ms` after the previous one, with the number of bytes received by then.
enum Event {
    /// The entry checks the timer.
    Check { ms: u64, received: u64, expired: bool },
    /// A quorum's confirmation arrives.
    Confirmed { ms: u64, received: u64 },
}

use Event::{Check, Confirmed};

struct Case {
    name: &'static str,
    events: &'static [Event],
}

const CASES: &[Case] = &[
    Case {
        name: "silent for the whole timeout",
        events: &[
            Check { ms: 1_399, received: 90, expired: false },
            Check { ms: 1, received: 90, expired: false },
            Check { ms: 99, received: 90, expired: false },
            Check { ms: 1, received: 90, expired: true },
        ],
    },
    Case {
        name: "heartbeats do not count as a message in flight",
        events: &[
            Check { ms: 1_400, received: MIN_PROGRESS_BYTES - 1, expired: false },
            Check { ms: 100, received: MIN_PROGRESS_BYTES - 1, expired: true },
        ],
    },
    Case {
        name: "confirmed",
        events: &[
            Confirmed { ms: 1_000, received: 90 },
            Check { ms: 1_400, received: 90, expired: false },
            Check { ms: 100, received: 90, expired: true },
        ],
    },
    Case {
        name: "confirmed between the last two checks",
        events: &[
            Check { ms: 1_400, received: 90, expired: false },
            Confirmed { ms: 99, received: 110 },
            Check { ms: 1_399, received: 110, expired: false },
            Check { ms: 1, received: 110, expired: false },
            Check { ms: 100, received: 110, expired: true },
        ],
    },
    Case {
        name: "a message in flight, then nothing more",
        events: &[
            Check { ms: 1_400, received: 1_500_000, expired: false },
            Check { ms: 1_400, received: 1_500_000, expired: false },
            Check { ms: 100, received: 1_500_000, expired: true },
        ],
    },
    // The last 56 kB of the document arrive after the second check; the confirmation has arrived
    // and is not read yet.
    Case {
        name: "a document that takes 1.6 s to read",
        events: &[
            Check { ms: 1_501, received: 1_482_838, expired: false },
            Check { ms: 1_501, received: 2_944_086, expired: false },
            Check { ms: 1_779, received: 3_000_277, expired: false },
            Confirmed { ms: 1, received: 3_000_277 },
            Check { ms: 1_399, received: 3_000_277, expired: false },
        ],
    },
    Case {
        name: "a process that was paused",
        events: &[
            Check { ms: 60_000, received: 90, expired: false },
            Check { ms: 99, received: 90, expired: false },
            Check { ms: 1, received: 90, expired: true },
        ],
    },
];

/// Data from the member may be in flight on a slow link, or may have arrived and not been read yet.
/// If that time counted as the member's silence, an entry would leave a working member, or leave
/// one member after another and have no service.
#[test]
fn only_the_members_own_silence_counts() {
    for case in CASES {
        let mut now = Instant::now();
        let mut confirm_timer = ConfirmTimer::new(now, 0);
        for event in case.events {
            match *event {
                Check { ms, received, expired } => {
                    now += Duration::from_millis(ms);
                    assert_eq!(confirm_timer.has_expired(now, received), expired, "{}", case.name);
                }
                Confirmed { ms, received } => {
                    now += Duration::from_millis(ms);
                    confirm_timer = ConfirmTimer::new(now, received);
                }
            }
            // A member that is silent from here on is left in time.
            assert!(confirm_timer.deadline() <= now + CONFIRM_TIMEOUT, "{}", case.name);
        }
    }
}
