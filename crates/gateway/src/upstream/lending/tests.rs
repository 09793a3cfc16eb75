//! Borrowed connections, and the requests that use them.

use std::net::Ipv4Addr;

use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::upstream::{ConnectionShare, Lease, Reuse};

const LASTS: Duration = Duration::from_secs(10);

/// Returns an upstream with one connection of this entry, and what listens there.
async fn upstream() -> (Arc<Upstream>, TcpListener) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let listed = registry::Upstream {
        id: "u".to_owned(),
        service: "s".to_owned(),
        address: listener.local_addr().expect("an address"),
        domain: "d".to_owned(),
        slots: 8,
        health: registry::Health::Ready,
        version: "v1".into(),
    };
    (Arc::new(Upstream::new(&listed, 1)), listener)
}

/// Guards against a loan for each request of a crowd: what it costs grows with the crowd.
#[tokio::test]
async fn a_borrowed_connection_serves_one_request_after_the_other() {
    let (upstream, _listener) = upstream().await;
    let now = Instant::now();
    let end = now + Duration::from_secs(3);
    let first = upstream.connect(end, end, Reuse::Any).await.expect("its own connection");
    let mut returned = upstream.add_borrowed(now + LASTS);
    for _ in 0..3 {
        let lease = upstream.connect(end, end, Reuse::Any).await.expect("the borrowed connection");
        lease.keep(None);
        tokio::task::yield_now().await;
        assert!(returned.try_recv().is_err_and(|it| it == oneshot::error::TryRecvError::Empty));
    }
    first.keep(None);
    // Nobody uses it any more.
    assert!(returned.await.is_err(), "it is returned");
    assert_eq!(upstream.borrowed_connections(), 0);
}

/// Guards against more connections than an upstream accepts: a lender uses one again after its time.
#[tokio::test]
async fn a_request_that_may_outlast_a_loan_does_not_use_it() {
    let (upstream, _listener) = upstream().await;
    let now = Instant::now();
    let end = now + Duration::from_secs(3);
    let _first = upstream.connect(end, end, Reuse::Any).await.expect("its own connection");
    let _returned = upstream.add_borrowed(now + LASTS);
    let late = now + LASTS + Duration::from_secs(1);
    assert!(
        upstream.connect(end, late, Reuse::Any).await.is_err(),
        "it lasts longer than the loan"
    );
    assert!(upstream.connect(end, end, Reuse::Any).await.is_ok());
}

/// Guards against requests that wait for a connection although the others have some left: those that begin
/// at the same moment each see a free one.
#[tokio::test]
async fn requests_that_begin_together_lack_connections_together() {
    let (upstream, _listener) = upstream().await;
    let first = upstream.begin_request(0);
    assert!(!upstream.lacks_connections());
    let _second = upstream.begin_request(0);
    assert!(upstream.lacks_connections());
    let _returned = upstream.add_borrowed(Instant::now() + LASTS);
    assert!(!upstream.lacks_connections());
    let _third = upstream.begin_request(0);
    assert!(upstream.lacks_connections());
    drop(first);
    assert!(!upstream.lacks_connections());
}

/// What comes while requests use their connections.
struct Change {
    name: &'static str,
    act: fn(&Arc<Upstream>),
}

const CHANGES: &[Change] = &[
    Change { name: "a lower share", act: |it| it.set_connection_share(share(1)) },
    Change {
        name: "a share that is lowered again and again",
        act: |it| (0..10).for_each(|_| it.set_connection_share(share(1))),
    },
    Change {
        name: "a higher share, and a lower one",
        act: |it| {
            it.set_connection_share(share(9));
            it.set_connection_share(share(1));
        },
    },
    Change {
        name: "a loan to another entry that ends",
        act: |it| {
            it.set_connection_share(share(9));
            drop(it.lend_connection());
        },
    },
    Change { name: "a cut path", act: |it| it.forget_path() },
    Change { name: "a drain", act: |it| it.set_draining(true) },
];

const fn share(most: u32) -> ConnectionShare {
    ConnectionShare { most, keeps_idle: false }
}

/// Answers the first request on each connection after a silence that is longer than the loan.
async fn answer_late(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut part = [0; 1024];
            let read = stream.read(&mut part).await.expect("a request");
            assert!(read > 0, "no request");
            sleep(SHORT_LOAN * 3).await;
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
            stream.write_all(answer).await.expect("sent");
        });
    }
}

const SHORT_LOAN: Duration = Duration::from_millis(200);

/// Guards against ending a request because its entry may have fewer connections from now on, or because the
/// time of its loan is over.
#[tokio::test]
async fn no_change_of_what_an_entry_may_use_ends_a_request() {
    for Change { name, act } in CHANGES {
        let (upstream, listener) = upstream().await;
        tokio::spawn(answer_late(listener));
        let now = Instant::now();
        let by = now + Duration::from_secs(3);
        let mut own = upstream.connect(by, by, Reuse::Any).await.expect("its own connection");
        let _returned = upstream.add_borrowed(now + SHORT_LOAN);
        let mut borrowed =
            upstream.connect(by, now + SHORT_LOAN, Reuse::Any).await.expect("a borrowed one");
        let request = || http::Request::new(http_body_util::Full::<bytes::Bytes>::default());
        let send = |lease: &mut Lease| lease.begin_call().expect("open").0.send_request(request());
        let (first, second) = (send(&mut own), send(&mut borrowed));
        act(&upstream);
        let (first, second) = tokio::join!(first, second);
        for answer in [first, second] {
            let body = answer.expect(name).into_body().collect().await.expect(name).to_bytes();
            assert_eq!(&body[..], b"done", "{name}");
        }
    }
}
