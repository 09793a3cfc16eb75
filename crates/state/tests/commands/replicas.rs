//! Random sequences of commands: replicas must agree and invariants must hold.

use std::collections::BTreeMap;

use proptest::prelude::*;
use state::{ChangeReply, Command, Reply, State, verify};
use types::{ClaimAnswer, ClaimKey, ClaimTicket, LogIndex, UnixMillis, Version};

use crate::support::{UNDATED, change, claim, dated, enter, expire, finish, lost, release, ticket};

fn commands() -> impl Strategy<Value = Command> {
    let vm = prop::sample::select(vec!["a", "b"]);
    let key = prop::sample::select(vec![UNDATED.to_owned(), dated(1_500), dated(4_000)]);
    let ticket = (vm.clone(), 1_u64..4, 0_u64..3).prop_map(|(vm, owner, it)| ticket(vm, owner, it));
    let claims = (key.clone(), 0_u8..2, ticket.clone()).prop_map(|(k, p, t)| claim(&k, p, t));
    let finishes =
        (key.clone(), ticket.clone(), "[a-z]{1,9}").prop_map(|(k, t, b)| finish(&k, t, &b));
    let releases = (key, ticket).prop_map(|(k, t)| release(&k, t));
    let sessions = (vm, 1_u64..4, prop::bool::weighted(0.3));
    let sessions =
        sessions.prop_map(|(vm, it, gone)| if gone { lost(vm, it) } else { enter(vm, it) });
    let changes = (0_u128..12, 0_u64..5, 0_u8..2)
        .prop_map(|(id, base, text)| change(id, base, "ana", &format!("text {text}")));
    let orders = Just(Command::Order {
        upstream: "engine".parse().unwrap(),
        target: "v2".to_owned(),
        at: UnixMillis(1),
    });
    prop_oneof![
        6 => claims,
        2 => finishes,
        2 => releases,
        3 => sessions,
        2 => changes,
        1 => orders,
        1 => (1_000_u64..9_000).prop_map(expire),
    ]
}

/// The constraints that the replies so far put on later ones.
#[derive(Default)]
struct Invariants {
    holders: BTreeMap<ClaimKey, ClaimTicket>,
    /// By id and content: past its limit, the state treats an id with other content as a new one.
    changes: BTreeMap<String, ChangeReply>,
    version: Version,
    fence: u64,
}

fn is_first(reply: &ChangeReply) -> bool {
    !matches!(reply, ChangeReply::Reused | ChangeReply::Forgotten { .. })
}

impl Invariants {
    fn check(&mut self, command: &Command, reply: &Reply, state: &State) {
        match (command, reply) {
            (Command::Claim { request, .. }, Reply::Claim(ClaimAnswer::Granted)) => {
                let holder = self.holders.entry(request.key.clone());
                let holder = holder.or_insert(request.ticket.clone());
                assert_eq!(*holder, request.ticket, "the claim was granted to a second ticket");
            }
            (Command::Release { key, ticket }, Reply::Done)
                if self.holders.get(key) == Some(ticket) =>
            {
                self.holders.remove(key);
            }
            (Command::Change { .. }, Reply::Change(reply)) if is_first(reply) => {
                let first = self.changes.entry(format!("{command:?}")).or_insert(reply.clone());
                assert_eq!(first, reply, "a resent change got another reply");
            }
            (_, Reply::Fence(fence)) => {
                assert!(fence.0 > self.fence, "the fencing number did not increase");
                self.fence = fence.0;
            }
            _ => {}
        }
        assert!(state.version() >= self.version, "the version decreased");
        self.version = state.version();
    }
}

proptest! {
    // Guards against members that reply differently, a key that runs twice, and an accepted change
    // that is undone. The commands come in any order, with a snapshot and restore at any point. All
    // that a decision depends on must be in the snapshot.
    #[test]
    fn replicas_agree_and_invariants_hold(
        commands in prop::collection::vec((commands(), prop::bool::weighted(0.2)), 1..120),
    ) {
        let (mut one, mut other) = (State::new(), State::new());
        let mut invariants = Invariants::default();
        for (index, (command, restart)) in commands.into_iter().enumerate() {
            let index = LogIndex(index as u64 + 1);
            let reply = one.apply(index, command.clone());
            prop_assert_eq!(&reply, &other.apply(index, command.clone()));
            invariants.check(&command, &reply, &one);
            if restart {
                other = State::restore(&other.snapshot()).unwrap();
            }
            prop_assert_eq!(&one, &other);
        }
        prop_assert_eq!(one.snapshot(), other.snapshot());
        prop_assert!(verify(&one.audit(0, usize::MAX)).is_ok());
        prop_assert!(one.counts().keys <= 3 || one.limits().claims.keys > 3);
    }

    #[test]
    fn no_bytes_make_restore_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let form = [1].into_iter().chain(bytes).collect::<Vec<u8>>();
        let _ = State::restore(&form);
    }
}
