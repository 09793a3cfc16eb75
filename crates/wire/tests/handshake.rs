//! The handshake: which peers are accepted and which are refused.

mod common;

use common::{ANY, cause, hello, listen, pair, secret, within};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{Kind, Listener, ListenerLimits, RefusalCause, Secret, WireError, connect};

#[tokio::test]
async fn both_sides_learn_who_the_other_is() {
    let mut listener = listen().await;
    let address = listener.address();
    let (dialed, accepted) = pair(&mut listener, address).await;
    assert_eq!(*dialed.hello(), hello(Kind::Member, 1));
    assert_eq!(*accepted.hello(), hello(Kind::Entry, 2));
}

/// Guards against accepting a process of another cluster, which has another secret, without a check
/// of its proof.
#[tokio::test]
async fn a_dialer_with_another_secret_is_refused() {
    let mut listener = listen().await;
    let other = Secret::new(b"another secret, as long").unwrap();
    let dialed = connect(listener.address(), &other, hello(Kind::Entry, 9), Kind::Member).await;
    let error = dialed.expect_err("the dialer was accepted");
    assert_eq!(cause(&error), WireError::RefusedBy(RefusalCause::Proof));
    // The next accepted peer is the one with the right secret.
    let address = listener.address();
    let (_dialed, accepted) = pair(&mut listener, address).await;
    assert_eq!(accepted.hello().node, 2);
}

/// Guards against an attacker who listens on a member's address and sends back the dialer's own hello
/// and proof, which works if the proofs of both sides are the same.
#[tokio::test]
async fn an_acceptor_that_echoes_is_refused() {
    let socket = TcpListener::bind(ANY).await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = socket.accept().await.unwrap();
        let (mut reader, mut writer) = stream.split();
        let _ = tokio::io::copy(&mut reader, &mut writer).await;
    });
    let dialed = connect(address, &secret(), hello(Kind::Member, 2), Kind::Member).await;
    assert_eq!(cause(&dialed.unwrap_err()), WireError::Refused(RefusalCause::Proof));
}

#[tokio::test]
async fn a_peer_of_another_kind_is_refused() {
    let own_hello = hello(Kind::Member, 1);
    let listener = Listener::bind(ANY, &secret(), own_hello).await.unwrap();
    let dialed = connect(listener.address(), &secret(), hello(Kind::Entry, 2), Kind::Entry).await;
    assert_eq!(cause(&dialed.unwrap_err()), WireError::Unexpected(Kind::Member));
}

/// Guards against replaying the recorded bytes of a valid connection, which works if the dialer's
/// proof does not cover a nonce of the acceptor.
#[tokio::test]
async fn a_replayed_hello_is_refused() {
    let mut listener = listen().await;
    let target = listener.address();
    let tap = TcpListener::bind(ANY).await.unwrap();
    let tapped = tap.local_addr().unwrap();
    let record = tokio::spawn(async move {
        let (mut near, _) = tap.accept().await.unwrap();
        let mut far = TcpStream::connect(target).await.unwrap();
        let (mut near_in, mut near_out) = near.split();
        let (mut far_in, mut far_out) = far.split();
        let mut recorded = Vec::new();
        let back = async { drop(tokio::io::copy(&mut far_in, &mut near_out).await) };
        let forth = async {
            let mut buffer = vec![0; 4096];
            while let Ok(length @ 1..) = near_in.read(&mut buffer).await {
                recorded.extend_from_slice(&buffer[..length]);
                far_out.write_all(&buffer[..length]).await.unwrap();
            }
        };
        tokio::select! { () = back => {}, () = forth => {} }
        recorded
    });
    let (dialed, accepted) = pair(&mut listener, tapped).await;
    drop(dialed.split::<(), ()>());
    drop(accepted);
    let recorded = within("the tap ends", record).await.unwrap();

    let mut replay = TcpStream::connect(target).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    let mut answer = Vec::new();
    let closed = replay.read_to_end(&mut answer);
    let _ = within("the listener closes the replayed connection", closed).await;
    // The next accepted connection is a valid one, not the replayed one.
    let secret = secret();
    let dialed = connect(target, &secret, hello(Kind::Entry, 3), Kind::Member);
    let (_dialed, accepted) = tokio::join!(dialed, listener.accept());
    assert_eq!(accepted.unwrap().0.node, 3);
}

/// Guards against silent peers that block all others: more of them connect than handshakes may run at
/// once, before a valid peer does. Handshakes that run one after the other or without a timeout would
/// block it.
#[tokio::test]
async fn silent_peers_do_not_keep_others_out() {
    let limits = ListenerLimits { handshakes: 2, ..ListenerLimits::default() };
    let own_hello = hello(Kind::Member, 1);
    let mut listener = Listener::bind_with(ANY, &secret(), own_hello, limits).await.unwrap();
    let mut silent = Vec::new();
    for _ in 0..3 {
        silent.push(TcpStream::connect(listener.address()).await.unwrap());
    }
    let address = listener.address();
    let good = tokio::spawn(async move {
        loop {
            let dialed = connect(address, &secret(), hello(Kind::Entry, 5), Kind::Member).await;
            if let Ok(connection) = dialed {
                return connection;
            }
        }
    });
    let accepted = within("a valid peer is accepted", listener.accept()).await.unwrap();
    assert_eq!(accepted.0.node, 5);
    within("the valid peer is connected", good).await.unwrap();
}

#[tokio::test]
async fn garbage_in_place_of_a_hello_closes_the_connection() {
    struct Case {
        name: &'static str,
        bytes: &'static [u8],
    }
    let cases = [
        Case { name: "HTTP", bytes: b"GET / HTTP/1.1\r\n\r\n" },
        Case { name: "a frame above the limit", bytes: &[0xff; 64] },
        Case { name: "an empty frame", bytes: &[0, 0, 0, 0] },
        Case { name: "a proof first", bytes: &[0, 0, 0, 2, 1, 0] },
        Case { name: "zeros", bytes: &[0, 0, 0, 4, 0, 0, 0, 0] },
    ];
    let mut listener = listen().await;
    for case in cases {
        let mut stream = TcpStream::connect(listener.address()).await.unwrap();
        stream.write_all(case.bytes).await.unwrap();
        let mut answer = Vec::new();
        let _ = within(case.name, stream.read_to_end(&mut answer)).await;
    }
    let address = listener.address();
    pair(&mut listener, address).await;
}

/// Guards against a listener that runs out of memory or file descriptors because more peers connect
/// than it may hold.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let limits = ListenerLimits { open: 1, ..ListenerLimits::default() };
    let own_hello = hello(Kind::Member, 1);
    let mut listener = Listener::bind_with(ANY, &secret(), own_hello, limits).await.unwrap();
    let address = listener.address();
    let first = pair(&mut listener, address).await;
    let second = connect(address, &secret(), hello(Kind::Entry, 3), Kind::Member).await;
    assert!(second.is_err());
    drop(first.0.split::<(), ()>());
    drop(first.1.split::<(), ()>());
    let freed = async {
        while connect(address, &secret(), hello(Kind::Entry, 4), Kind::Member).await.is_err() {}
    };
    within("a connection is allowed again", freed).await;
}

#[test]
fn a_short_secret_is_refused() {
    assert!(Secret::new(b"fifteen bytes..").is_err());
}
