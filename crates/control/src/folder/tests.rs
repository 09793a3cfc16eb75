use disk::Store;
use types::{LogIndex, NodeId, VmName};
use uuid::Uuid;

use super::{initial_snapshot, open};
use crate::identity::Identity;
use crate::protocol::ClusterId;

fn vm(name: &str) -> VmName {
    name.parse().expect("a name")
}

#[test]
fn a_folder_is_taken_for_what_it_is() {
    // The member that started the cluster may restart with its identity but without its log. If
    // this counted as a cluster that has yet to begin, the history would be lost and a new cluster
    // would answer under the old id.
    struct Case {
        name: &'static str,
        identity: Option<(&'static str, bool)>,
        begun: bool,
        expected: Result<LogIndex, &'static str>,
    }
    let cases = [
        Case { name: "empty", identity: None, begun: false, expected: Ok(LogIndex(0)) },
        Case {
            name: "joined, not caught up yet",
            identity: Some(("c1", false)),
            begun: false,
            expected: Ok(LogIndex(0)),
        },
        Case {
            name: "began",
            identity: Some(("c1", true)),
            begun: true,
            expected: Ok(LogIndex(1)),
        },
        Case {
            name: "init cut short",
            identity: Some(("c1", true)),
            begun: false,
            expected: Err("init was cut short"),
        },
        Case {
            name: "another VM's",
            identity: Some(("c2", false)),
            begun: false,
            expected: Err("the data folder belongs to c2"),
        },
    ];
    for Case { name, identity, begun, expected } in cases {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (mut store, _) = Store::open(folder.path()).expect("it opens");
        if let Some((owner, founder)) = identity {
            let (vm, node, cluster) = (vm(owner), NodeId(7), ClusterId(Uuid::nil()));
            let identity = Identity { vm, node, cluster, founder };
            store.set_identity(&identity.encode().expect("it encodes")).expect("it is written");
        }
        if begun {
            let data =
                replica::encode(&initial_snapshot(NodeId(7), &vm("c1"))).expect("it encodes");
            store.install(LogIndex(1), &data).expect("it is written");
        }
        drop(store);
        match (open(folder.path(), &vm("c1")), expected) {
            (Ok(opened), Ok(applied)) => {
                assert_eq!(opened.applied, applied, "{name}");
                assert_eq!(opened.id == NodeId(7), identity.is_some(), "{name}: its node id");
            }
            (Err(e), Err(why)) => assert!(e.to_string().contains(why), "{name}: {e}"),
            (found, expected) => panic!("{name}: {:?}, {expected:?}", found.map(|it| it.applied)),
        }
    }
}
