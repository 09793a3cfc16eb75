//! Which ends of upstreams an entry reports.

use registry::Health;
use tokio::net::TcpSocket;

use tokio::time::sleep;

use super::*;
use crate::path::Paths;

/// How long an entry may take to report an end.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Returns an upstream whose address refuses connections, and the socket that keeps its port.
fn ended_upstream(number: usize, paths: &Arc<Paths>) -> (Arc<Upstream>, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listed = registry::Upstream {
        id: format!("u-{number}"),
        service: "s".to_owned(),
        address: socket.local_addr().expect("an address"),
        domain: "d".to_owned(),
        slots: 8,
        health: Health::Ready,
        version: "v1".into(),
    };
    (Arc::new(Upstream::new(&listed, 4).with_paths(paths)), socket)
}

struct Case {
    name: &'static str,
    /// The upstreams that refuse connections at the same moment.
    refusing: usize,
    /// How many ends the entry reports.
    reported: usize,
}

const CASES: &[Case] = &[
    Case { name: "one upstream has ended", refusing: 1, reported: 1 },
    Case { name: "the path is cut", refusing: 4, reported: 0 },
];

/// Guards against an entry that loses its path, takes all upstreams for ended, and has the requests that
/// ran there held.
#[tokio::test]
async fn an_entry_without_a_path_reports_no_ends() {
    for case in CASES {
        let paths: Arc<Paths> = Arc::default();
        let (_known, known) = watch::channel(Arc::default());
        let (sender, mut evidence) = mpsc::channel(16);
        let own = SocketAddr::from(([127, 0, 0, 1], 1));
        let quarantine = Quarantine::new(known, sender, own);
        let upstreams: Vec<_> = (0..case.refusing).map(|it| ended_upstream(it, &paths)).collect();
        for (upstream, _) in &upstreams {
            let times = RunTimes { sent: Instant::now(), first: None };
            quarantine.record_lost_run((RequestDigest::default(), &[]), upstream, times);
        }
        sleep(REPORT_TIME).await;
        let mut reported = 0;
        while evidence.try_recv().is_ok() {
            reported += 1;
        }
        assert_eq!(reported, case.reported, "{}", case.name);
    }
}
