//! What the kernel tells of a connection.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::Instant;

use super::*;

struct Case {
    name: &'static str,
    kind: u16,
    timer: u8,
    unanswered: u8,
    /// How long ago data was sent, and an acknowledgement came, in ms.
    ages: (u32, u32),
    expected: Option<Sending>,
}

const fn case(
    name: &'static str,
    (timer, unanswered): (u8, u8),
    ages: (u32, u32),
    expected: Sending,
) -> Case {
    Case { name, kind: SOCK_DIAG_BY_FAMILY, timer, unanswered, ages, expected: Some(expected) }
}

const fn unanswered(ms: u64) -> Sending {
    Sending::Unanswered(Duration::from_millis(ms))
}

const CASES: &[Case] = &[
    case("no timer", (0, 0), (0, 0), Sending::Free),
    case("keep-alive", (2, 1), (0, 0), Sending::Free),
    case("no room, asked and answered", (TIMER_PROBE, 0), (500, 0), Sending::NoRoom),
    case("no room, asked", (TIMER_PROBE, 1), (500, 3_200), unanswered(3_200)),
    case("sent again, and refused", (TIMER_RETRANSMIT, 3), (400, 400), Sending::NoRoom),
    case("sent again, path cut", (TIMER_RETRANSMIT, 3), (400, 1_600), unanswered(1_600)),
    Case {
        name: "an error",
        kind: 2,
        timer: TIMER_PROBE,
        unanswered: 0,
        ages: (0, 0),
        expected: None,
    },
];

/// Guards against taking a path that is cut for a peer without room.
#[test]
fn a_peer_without_room_is_told_from_a_cut_path() {
    for Case { name, kind, timer, unanswered, ages, expected } in CASES {
        let mut answer = [0; ATTRIBUTES_AT];
        answer[KIND_AT..KIND_AT + 2].copy_from_slice(&kind.to_ne_bytes());
        (answer[TIMER_AT], answer[UNANSWERED_AT]) = (*timer, *unanswered);
        let mut counters = [0; 104];
        counters[LAST_SENT_AT..LAST_SENT_AT + 4].copy_from_slice(&ages.0.to_ne_bytes());
        counters[LAST_ACK_AT..LAST_ACK_AT + 4].copy_from_slice(&ages.1.to_ne_bytes());
        let mut answer = answer.to_vec();
        for (kind, bytes) in [(8_u16, &[0_u8][..]), (INET_DIAG_INFO.into(), &counters)] {
            answer.extend((4 + bytes.len() as u16).to_ne_bytes());
            answer.extend(kind.to_ne_bytes());
            answer.extend(bytes);
            answer.resize(answer.len().next_multiple_of(4), 0);
        }
        assert_eq!(decode(&answer), *expected, "{name}");
        assert_eq!(decode(&answer[..TIMER_AT]), None, "{name}, cut short");
    }
}

/// Guards against an offset or a constant that isn't the kernel's.
#[test]
fn the_kernel_tells_that_a_reader_stands_still() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("open");
    let (_unread, _) = listener.accept().expect("accepted");
    let addresses = (stream.local_addr().expect("local"), stream.peer_addr().expect("remote"));
    let ask = || query(addresses.0, addresses.1).expect("an answer");
    assert_eq!(ask(), Sending::Free);
    stream.set_nonblocking(true).expect("set");
    while stream.write(&[0; 64 << 10]).is_ok() {}
    let end = Instant::now() + Duration::from_secs(20);
    while ask() != Sending::NoRoom {
        assert!(Instant::now() < end, "{:?}", ask());
        sleep(Duration::from_millis(20));
    }
}
