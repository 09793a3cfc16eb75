//! Many entries that come at once.

mod env;

use std::net::SocketAddr;

use env::{Env, PATIENCE, put};
use registry::EntrySeen;
use registry::difference::NumberedList;
use registry::message::{ToEntry, ToMember};
use tokio::task::JoinSet;
use tokio::time::timeout;
use wire::{Hello, Kind, Receiver, Sender, connect};

/// How many come at once.
const ENTRIES: usize = 120;

/// What the list of all entries takes in a message, in bytes, at the most.
const LIST: u64 = 60 * ENTRIES as u64;

/// How many times its size one entry may be sent while all come: once as it connects, once in
/// differences, and as much again for the plan, the upstreams and the heartbeats.
const TIMES: u64 = 4;

fn seen(number: usize) -> EntrySeen {
    EntrySeen {
        name: format!("edge-of-some-domain-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        domain: "a-domain".to_owned(),
    }
}

async fn join(member: SocketAddr, number: usize) -> (Sender<ToMember>, Receiver<ToEntry>) {
    let me = Hello {
        kind: Kind::Entry,
        vm: format!("vm-{number}").parse().expect("a name"),
        node: number as u64 + 1,
    };
    let connection = connect(member, &registry::deployment_secret(), me, Kind::Member).await;
    let (sender, receiver) = connection.expect("a member").split();
    sender.send(&ToMember::Hello(seen(number))).await.expect("a greeting");
    (sender, receiver)
}

/// Reads until all entries are told, and returns how many bytes it took.
async fn read_all(receiver: &mut Receiver<ToEntry>) -> u64 {
    let mut known = NumberedList::<EntrySeen>::default();
    while known.list.len() < ENTRIES {
        match receiver.recv().await.expect("a message").expect("a member") {
            ToEntry::Entries(stamp, list) => known = NumberedList::new(stamp, list),
            ToEntry::EntriesChanged(difference) => {
                known = known.apply(difference).expect("a difference to the list before");
            }
            _ => {}
        }
    }
    receiver.received()
}

/// Symptom: after a loss of all power a member passes its memory of 256 MB within three seconds, is
/// ended, and hardly any request is served until the others have taken over; with 295 entries it made
/// some 1.4 GB of messages.
/// Sequence: all entries connect at once.
/// Cause: each that comes or goes had the whole list sent to all, as a copy for each, and the queues
/// held all of these.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_come_at_once_cost_each_a_few_lists() {
    let env = Env::new(1, 0);
    let member = env.member(0, true).await;
    put(&[&member], "1 first").await;
    let mut joining = JoinSet::new();
    for number in 0..ENTRIES {
        let address = env.addresses[0];
        joining.spawn(async move {
            let (sender, mut receiver) = join(address, number).await;
            let bytes = read_all(&mut receiver).await;
            (sender, receiver, bytes)
        });
    }
    let joined = timeout(PATIENCE, joining.join_all()).await.expect("all are told of all");
    let most = joined.iter().map(|it| it.2).max().expect("some entry");
    assert!(most <= TIMES * LIST, "{most} bytes to one entry, {LIST} for a list");
}
