//! Snapshots that are sent in parts.

use consensus::{Body, Node, Restored, Snapshot};
use types::{LogIndex, Term};

use crate::cluster::{Cluster, config, members, message};

/// Guards against a large snapshot that never arrives over a lossy connection, or arrives with
/// mixed parts. Parts or their replies are lost or duplicated; each case states the expected reply.
/// The transmission must not start over, nor take one part for another.
#[test]
fn snapshot_resumes_where_it_broke_off() {
    struct Case {
        name: &'static str,
        from: u64,
        offset: u64,
        part: &'static [u8],
        answer: u64,
    }
    let case = |name, from, offset, part, answer| Case { name, from, offset, part, answer };
    let cases = [
        case("first", 1, 0, b"0123", 4),
        case("from another sender", 3, 4, b"4567", 0),
        case("first again", 1, 0, b"0123", 4),
        case("gap", 1, 8, b"89", 4),
        case("doubled", 1, 0, b"0123", 4),
        case("second", 1, 4, b"4567", 8),
        case("too long", 1, 8, b"89xyz", 8),
        case("last", 1, 8, b"89", 10),
        case("late copy", 1, 4, b"4567", 10),
    ];
    let head = |data: &[u8]| Snapshot {
        index: LogIndex(5),
        term: Term(1),
        membership: members(&[1], &[2]),
        data: data.to_vec(),
    };
    let mut node = Node::new(config(2), Restored::default());
    for Case { name, from, offset, part, answer } in cases {
        let part = part.to_vec();
        let body = Body::SnapshotPart { head: head(&[]), offset, part, total: 10 };
        node.step(message(from, 2, 1, body));
        let ready = node.ready();
        node.synced();
        let expected = Body::SnapshotReply { index: LogIndex(5), offset: answer };
        assert_eq!(ready.messages[0].body, expected, "{name}");
        assert_eq!(ready.snapshot, (name == "last").then(|| head(b"0123456789")), "{name}");
    }
}

/// Guards against the same when the reply to the second part is lost. The leader must send that
/// part again with the next heartbeat, and must not start over.
#[test]
fn lost_part_is_sent_again_by_the_heartbeat() {
    let mut cluster = Cluster::new(1);
    cluster.node(1).change(members(&[1], &[2])).unwrap();
    cluster.settle();
    let term = cluster.nodes[&1].status().term.0;
    let refusal = Body::AppendReply { accepted: false, index: LogIndex(0), round: 0 };
    cluster.node(1).step(message(2, 1, term, refusal));
    cluster.settle();
    let answer = Body::SnapshotReply { index: LogIndex(1), offset: 4 };
    cluster.node(1).step(message(2, 1, term, answer));
    cluster.settle();
    cluster.tick(2);
    let offset = |body: &Body| match body {
        Body::SnapshotPart { offset, .. } => Some(*offset),
        _ => None,
    };
    let offsets: Vec<u64> = cluster.sent.iter().filter_map(|sent| offset(&sent.body)).collect();
    assert_eq!(offsets, [0, 4, 4]);
}
