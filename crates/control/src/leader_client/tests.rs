use std::sync::Arc;
use std::sync::mpsc::{TryRecvError, sync_channel};
use std::time::Duration;

use arc_swap::ArcSwap;
use consensus::Role;
use state::{Command, Reply};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use types::{
    ClaimAnswer, ClaimKey, ClaimRequest, ClaimTicket, Incarnation, LogIndex, NodeId, UnixMillis,
};

use super::LeaderClient;
use crate::announcements::PeerAnnouncements;
use crate::handle::{CoreHandle, Input};
use crate::peers::Peers;
use crate::request::{LeaderRequest, LeaderResponse, LeaderResult, RequestError};
use crate::view::View;

/// How often the fake core checks for requests. The clock of these tests advances only while no
/// task runs. On a busy machine a response could otherwise come after the request's deadline, which
/// the client cannot distinguish from a lost response.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

fn enter_command() -> Command {
    Command::Enter { vm: "e1".parse().expect("a name"), owner: Incarnation(1) }
}

fn member_command() -> Command {
    let vm = "c1".parse().expect("a name");
    let at = UnixMillis(1);
    Command::Member { what: "joins".to_owned(), vm, node: NodeId(1), operator: None, at }
}

fn done_result() -> LeaderResult {
    Ok(LeaderResponse::Reply(LogIndex(1), Reply::Done))
}

fn not_run_result() -> LeaderResult {
    Err(RequestError::NotRun("not the leader".to_owned()))
}

fn refused_result() -> LeaderResult {
    Err(RequestError::Refused("no".to_owned()))
}

fn uncertain_result() -> LeaderResult {
    Err(RequestError::Uncertain("lost".to_owned()))
}

/// Creates a client whose core returns these results in order and repeats the last one.
fn leader_client(responses: Vec<LeaderResult>) -> LeaderClient {
    let (inputs, taken) = sync_channel(16);
    tokio::spawn(async move {
        let mut responses = responses.into_iter().peekable();
        loop {
            let responder = match taken.try_recv() {
                Ok(Input::LeaderRequest(_, responder)) => responder,
                Err(TryRecvError::Empty) => {
                    sleep(POLL_INTERVAL).await;
                    continue;
                }
                Ok(_) | Err(TryRecvError::Disconnected) => return,
            };
            let last = responses.peek().cloned();
            let next = responses.next();
            if responses.peek().is_none() {
                responses = last.clone().into_iter().collect::<Vec<_>>().into_iter().peekable();
            }
            let _ = responder.send(next.or(last).expect("there is an answer"));
        }
    });
    let view = View { role: Role::Leader, ..View::default() };
    let core = CoreHandle {
        inputs,
        view: Arc::new(ArcSwap::from_pointee(view)),
        applied: watch::channel(LogIndex(0)).1,
        published: watch::channel(Arc::default()).1,
    };
    let peers = Arc::new(Peers::new(&[], Arc::new(PeerAnnouncements::default())));
    LeaderClient { vm: "c1".parse().expect("a name"), core, peers }
}

#[tokio::test(start_paused = true)]
async fn an_uncertain_attempt_leaves_the_whole_uncertain() {
    // A leader may propose a change, be cut off, and leave the client without a leader to retry
    // with. If the last attempt, which certainly did not run, decided the result, the operator
    // would be told that the change did not run and send it under a new id; the change would then
    // be applied twice.
    struct Case {
        name: &'static str,
        command: Command,
        responses: Vec<LeaderResult>,
        expected: LeaderResult,
    }
    let case = |name, command, responses, expected| Case { name, command, responses, expected };
    let cases = [
        case("answered", enter_command(), vec![done_result()], done_result()),
        case(
            "a leader turns up",
            enter_command(),
            vec![not_run_result(), not_run_result(), done_result()],
            done_result(),
        ),
        case("none turns up", enter_command(), vec![not_run_result()], not_run_result()),
        case("refused", enter_command(), vec![refused_result()], refused_result()),
        case(
            "lost, then no leader",
            enter_command(),
            vec![uncertain_result(), not_run_result()],
            uncertain_result(),
        ),
        case(
            "lost, then refused",
            enter_command(),
            vec![uncertain_result(), refused_result()],
            uncertain_result(),
        ),
        case(
            "lost, then answered",
            enter_command(),
            vec![uncertain_result(), done_result()],
            done_result(),
        ),
        case(
            "lost, not idempotent",
            member_command(),
            vec![uncertain_result(), done_result()],
            uncertain_result(),
        ),
    ];
    for Case { name, command, responses, expected } in cases {
        let request = LeaderRequest::Command(Box::new(command));
        let answer =
            leader_client(responses).request(request, Instant::now() + REQUEST_TIMEOUT).await;
        assert_eq!(answer, expected, "{name}");
    }
}

fn claim_command() -> Command {
    let ticket =
        ClaimTicket { vm: "e1".parse().expect("a name"), owner: Incarnation(1), attempt: 1 };
    let key = ClaimKey { customer: "c".parse().expect("a name"), key: "k".parse().expect("a key") };
    let request = ClaimRequest { key, fingerprint: [0; 32], ticket };
    Command::Claim { request, at: UnixMillis(1) }
}

fn claim_result(answer: ClaimAnswer) -> LeaderResult {
    Ok(LeaderResponse::Reply(LogIndex(1), Reply::Claim(answer)))
}

#[tokio::test(start_paused = true)]
async fn a_refused_claim_is_uncertain_while_an_attempt_before_is_open() {
    // The first attempt to commit a claim may be lost on its way, while the second finds the key
    // held by another request. The first may still be committed after that request ends. If the
    // second answer counted as final, every resend would be told that the request is running
    // although none is.
    struct Case {
        name: &'static str,
        responses: Vec<LeaderResult>,
        certain: bool,
    }
    let case = |name, responses, certain| Case { name, responses, certain };
    let running = || claim_result(ClaimAnswer::Running);
    let granted = || claim_result(ClaimAnswer::Granted);
    let cases = [
        case("held by another", vec![running()], true),
        case("no leader, then held by another", vec![not_run_result(), running()], true),
        case("lost, then held by another", vec![uncertain_result(), running()], false),
        case("lost, then granted", vec![uncertain_result(), granted()], true),
    ];
    for Case { name, responses, certain } in cases {
        let answer = leader_client(responses)
            .entry_command(claim_command(), Instant::now() + REQUEST_TIMEOUT)
            .await;
        assert_eq!(answer.is_ok(), certain, "{name}: {answer:?}");
    }
}
