//! The kernel's own account of what it sends on a TCP connection.

use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

#[cfg(test)]
mod tests;

// Of `linux/netlink.h`, `linux/sock_diag.h` and `linux/inet_diag.h`.
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const IPPROTO_TCP: u8 = 6;
const INET_DIAG_INFO: u8 = 2;
const TIMER_RETRANSMIT: u8 = 1;
const TIMER_PROBE: u8 = 4;

/// The bytes of a question: a header of 16 and a request of 56.
const QUESTION_BYTES: u32 = 72;

/// Where the answer tells its kind, the kernel's timer, and how often that ran without an acknowledgement.
const KIND_AT: usize = 4;
const TIMER_AT: usize = 18;
const UNANSWERED_AT: usize = 19;

/// Where the attributes of the answer begin.
const ATTRIBUTES_AT: usize = 88;

/// Where the counters tell how long ago data was sent, and an acknowledgement came.
const LAST_SENT_AT: usize = 44;
const LAST_ACK_AT: usize = 56;

/// What a connection waits for with the bytes that it has to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sending {
    /// For nothing: all that was sent is acknowledged.
    Free,
    /// For room at the peer, whose kernel has answered what was sent last.
    NoRoom,
    /// For an answer of the peer's kernel to what was sent last, with the time since any came.
    Unanswered(Duration),
}

/// Asks the kernel what a connection of this process waits for.
///
/// # Errors
///
/// Returns an error if the kernel can't be asked, or doesn't know the connection.
pub(super) fn query(local: SocketAddr, remote: SocketAddr) -> io::Result<Sending> {
    let kind = Type::DGRAM.cloexec();
    let protocol = Protocol::from(NETLINK_SOCK_DIAG);
    let mut socket = Socket::new(Domain::from(AF_NETLINK), kind, Some(protocol))?;
    socket.set_nonblocking(true)?;
    socket.send(&encode(local, remote))?;
    let mut answer = [0; 1 << 10];
    // The kernel has put the answer into the socket before the question returned.
    let count = socket.read(&mut answer)?;
    let unknown = || io::Error::new(io::ErrorKind::NotFound, "no such connection");
    answer.get(..count).and_then(decode).ok_or_else(unknown)
}

fn encode(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    let mut question = Vec::new();
    question.extend(QUESTION_BYTES.to_ne_bytes());
    question.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    question.extend(NLM_F_REQUEST.to_ne_bytes());
    // The number of the question, and the port, which the kernel fills in.
    question.extend([0; 8]);
    // With the counters, in all states.
    question.extend([family, IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), 0]);
    question.extend(u32::MAX.to_ne_bytes());
    question.extend(local.port().to_be_bytes());
    question.extend(remote.port().to_be_bytes());
    question.extend(octets(local.ip()));
    question.extend(octets(remote.ip()));
    // Any interface, any cookie.
    question.extend([0; 4]);
    question.extend([u8::MAX; 8]);
    question
}

fn octets(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V4(it) => {
            let [a, b, c, d] = it.octets();
            [a, b, c, d, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]
        }
        IpAddr::V6(it) => it.octets(),
    }
}

fn decode(answer: &[u8]) -> Option<Sending> {
    if number(answer, KIND_AT)? != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    let timer = *answer.get(TIMER_AT)?;
    if ![TIMER_PROBE, TIMER_RETRANSMIT].contains(&timer) {
        return Some(Sending::Free);
    }
    let counters = counters(answer.get(ATTRIBUTES_AT..)?)?;
    let acknowledged = age(counters, LAST_ACK_AT)?;
    let is_answered = match timer {
        TIMER_PROBE => *answer.get(UNANSWERED_AT)? == 0,
        _ => acknowledged <= age(counters, LAST_SENT_AT)?,
    };
    Some(if is_answered { Sending::NoRoom } else { Sending::Unanswered(acknowledged) })
}

/// Returns the counters of the connection among attributes, each of which has a length, a kind, its bytes, and
/// padding to a multiple of 4 bytes.
fn counters(mut attributes: &[u8]) -> Option<&[u8]> {
    loop {
        let length = usize::from(number(attributes, 0)?);
        if number(attributes, 2)? == u16::from(INET_DIAG_INFO) {
            return attributes.get(4..length);
        }
        attributes = attributes.get(length.max(4).next_multiple_of(4)..)?;
    }
}

fn number(bytes: &[u8], at: usize) -> Option<u16> {
    let bytes = bytes.get(at..at + 2)?;
    bytes.try_into().ok().map(u16::from_ne_bytes)
}

/// Returns how long ago something happened.
fn age(counters: &[u8], at: usize) -> Option<Duration> {
    let bytes = counters.get(at..at + 4)?;
    let ms = bytes.try_into().ok().map(u32::from_ne_bytes)?;
    Some(Duration::from_millis(ms.into()))
}
