//! Borrowed connections, and the requests that use them.

use std::net::Ipv4Addr;

use tokio::net::TcpListener;

use super::*;

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
    let first = upstream.connect(end, end).await.expect("its own connection");
    let mut returned = upstream.add_borrowed(now + LASTS);
    for _ in 0..3 {
        let lease = upstream.connect(end, end).await.expect("the borrowed connection");
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
    let _first = upstream.connect(end, end).await.expect("its own connection");
    let _returned = upstream.add_borrowed(now + LASTS);
    let late = now + LASTS + Duration::from_secs(1);
    assert!(upstream.connect(end, late).await.is_err(), "it lasts longer than the loan");
    assert!(upstream.connect(end, end).await.is_ok());
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
